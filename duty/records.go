package duty

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"catkinpoint/clock"
	"catkinpoint/flow"
	"catkinpoint/graph"
	"catkinpoint/guard"
	"catkinpoint/store"
)

// apply applies one change of a key. Progress and crash records are read only while
// loading: after that this process alone writes them.
func (st *state) apply(e store.Event) {
	// A record that causes a panic must not prevent the others from being applied.
	if err := guard.Run("record "+e.Key, func() { st.applyOne(e) }); err != nil {
		klog.ErrorS(err, "duty: record passed over", "key", e.Key, "revision", e.Revision)
	}
}

func (st *state) applyOne(e store.Event) {
	kind, id := KindOf(e.Key)
	if kind == KindOther || kind == KindClaim || e.Revision <= st.revisions[e.Key] {
		return
	}
	st.revisions[e.Key] = e.Revision
	switch {
	case kind == KindGate:
		st.applyGate(id, e)
	case e.Deleted && kind == KindJob:
		st.removeJob(id)
		delete(st.revisions, JobKey(id))
	case e.Deleted:
	case kind == KindJob:
		st.addJob(id, e.Item)
	case kind == KindProgress && !st.loaded:
		st.loadedProgress[id] = e.Item
	case kind == KindLearned && !st.loaded:
		st.learned.restore(e.Value, clock.Monotonic())
	case kind == KindPage && !st.loaded:
		st.loadPage(id, e.Item)
	case kind == KindCrash && !st.loaded:
		st.loadedCrashes[id] = e.Item
	case kind == KindCancel:
		st.cancelled[id] = true
		if j := st.jobs[id]; j != nil {
			st.cancel(j)
		}
	}
}

func (st *state) addJob(id string, item store.Item) {
	if st.jobs[id] != nil {
		return
	}
	spec := &flow.Job{}
	if err := proto.Unmarshal(item.Value, spec); err != nil || spec.GetId() != id {
		klog.ErrorS(err, "duty: job record is invalid or has the id of another job", "job", id)
		return
	}
	age := max(0, time.Duration(time.Now().UnixMilli()-spec.GetAcceptedUnixMs())*time.Millisecond)
	st.openCache = nil
	st.jobs[id] = &job{
		graph: graph.New(spec, nil), revisions: map[int64]int64{}, changes: map[int64]changeRange{}, submitted: clock.Monotonic() - min(age, time.Hour),
		runs: map[graph.Ref]*run{}, readySince: map[graph.Ref]time.Duration{}, failedOn: map[graph.Ref][]*worker{},
		concluded: map[graph.Ref]conclusion{},
	}
	st.admission.noteArrival(spec, st.jobs[id].submitted)
	klog.InfoS("duty: job known", "job", id, "queue", spec.GetQueue(), "age_ms", age.Milliseconds())
	if st.cancelled[id] {
		st.cancel(st.jobs[id])
	}
}

// finishLoad restores the progress of jobs that the previous holder stored.
func (st *state) finishLoad() {
	for id, item := range st.loadedProgress {
		j := st.jobs[id]
		if j == nil {
			continue
		}
		loaded, err := st.loadGraph(j, item)
		if err != nil {
			// Its tasks may run or be done, so that none may be started.
			klog.ErrorS(err, "duty: cannot decode progress, job is passed over", "job", id)
			st.removeJob(id)
			continue
		}
		loaded.Cancelled = j.graph.Cancelled
		j.graph = loaded
		j.noteRecord(item.Value)
		for _, t := range j.graph.Active() {
			st.addActive(j, t)
			j.runs[t.Ref] = &run{run: t.Run, stored: true, knownSince: st.startedAt, expectedTime: declaredTime(j, t.Ref)}
		}
	}
	for id, item := range st.loadedCrashes {
		if j := st.jobs[id]; j != nil {
			j.loadCrashes(item)
		} else {
			// A build that does not know crash records has removed the job.
			st.orphanedKeys = append(st.orphanedKeys, CrashKey(id))
		}
	}
	st.orphanPages()
	st.loadedProgress, st.loadedCrashes, st.loadedPages, st.openCache = nil, nil, nil, nil
	for _, j := range st.openJobs() {
		st.resumeStops(j)
	}
	st.planNeeded = true
}

// removeJob removes a job and its active tasks from the state.
func (st *state) removeJob(id string) {
	if j := st.jobs[id]; j != nil {
		for _, t := range j.graph.Active() {
			delete(st.activeByRelay[t.Place.Relay], t)
		}
	}
	delete(st.jobs, id)
	st.openCache = nil
}

// asConflict returns the conflict that err wraps, or nil.
func asConflict(err error) *store.ConflictError {
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return conflict
	}
	return nil
}
