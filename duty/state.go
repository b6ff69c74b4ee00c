package duty

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"catkinpoint/clock"
	"catkinpoint/flow"
	"catkinpoint/graph"
	"catkinpoint/guard"
	"catkinpoint/plan"
	"catkinpoint/store"
)

// job is a job with the state that its stored records do not hold.
type job struct {
	graph          *graph.Job
	recordRevision int64 // of the stored progress record
	// submitted is when the job was accepted, on this process's clock.
	submitted     time.Duration
	dirty         bool  // the progress has changes that are not stored
	lastChangeSeq int64 // number of the last change, from state.lastSeq
	// firstUnstoredSeq is the number of the first change that is not stored.
	firstUnstoredSeq int64
	runs             map[graph.Ref]*run // by task
	// readySince is when a unit became ready, by the first task of the unit.
	readySince map[graph.Ref]time.Duration
	// moves counts how often runs were stopped because of slow or stalled workers.
	moves int
	// failedOn holds the workers on which a task has failed.
	failedOn map[graph.Ref][]*worker
}

// run is the last run of a task, with the state that the task's stored record does
// not hold. Times are on this process's clock unless they are called clocks.
type run struct {
	run         int64 // number of the run
	stored      bool  // the record with the run is committed, so it may be ordered
	stopOrdered bool
	knownSince  time.Duration // when this scheduler assigned or first saw the run
	// begunAt is when the worker of the run, and those of all other members of its
	// gang, had listed their runs for the first time, or 0.
	begunAt time.Duration
	// firstPercent is the progress at begunAt, percent the last known progress,
	// and percentAt when it last grew.
	firstPercent, percent int32
	percentAt             time.Duration
	// The worker's clock at begunAt, in its last list and when percent last grew.
	// It measures the speed of the run even if reports are delayed.
	begunClock, lastClock, percentClock time.Duration
	// sampleClock and samplePercent are the worker's clock and the progress at the
	// last slowness sample.
	sampleClock   time.Duration
	samplePercent int32
	slowness      float64 // in the last sample
	slowSamples   int     // slow samples in a row
	checkpoint    string  // last one that the worker listed
	expectedTime  time.Duration
}

// runRef identifies a run of a task of a known job.
type runRef struct {
	ref graph.Ref
	run int64
}

// worker is a worker as its relay reports it.
type worker struct {
	relay        string          // address of the relay
	relayBoot    string          // differs after each start of the relay
	earlierBoots map[string]bool // values of relayBoot of earlier processes
	sequence     int64           // of the last report of this relay process
	place        graph.Place
	info         *flow.Worker
	lastReport   time.Duration
	// reconciled is set once the worker has adopted the epoch of this claim, so
	// that it refuses orders of earlier ones, and has listed its runs since.
	reconciled     bool
	unstoredEnds   []unstoredEnd // in the order of their numbers
	lastAppliedEnd int64         // ends up to this number were applied to their jobs
	lastStoredEnd  int64         // ends up to this number are stored
	// unexpectedRuns are runs that the worker lists but should not have, by task
	// and number of the run. They are stopped.
	unexpectedRuns map[string]map[int64]bool
	ordersVersion  int64
	ordersChanged  bool // the next orders need a new version
	// pendingReply is the channel of the report that waits for new orders, or nil.
	pendingReply chan *flow.Orders
	health       health
}

// unstoredEnd is the end of a run that is not acknowledged to its worker yet.
type unstoredEnd struct {
	number    int64 // position in the worker's list of ends
	changeSeq int64 // the end is stored once all changes up to this number are
}

// state is the state of a Scheduler. Only the goroutine of its owner uses it.
type state struct {
	jobs    map[string]*job
	workers map[string]*worker
	byPlace map[graph.Place]*worker
	// activeByRelay holds the tasks with a run that has not ended, and their jobs,
	// by the relay of their place.
	activeByRelay map[string]map[*graph.Task]*job
	// revisions holds the revision of each key that was applied last.
	revisions      map[string]int64
	cancelled      map[string]bool       // ids of cancelled jobs; a cancellation may come before its job
	loadedProgress map[string]store.Item // progress records read while loading, by job
	startedAt      time.Duration
	loaded         bool // all jobs were read from the store
	planNeeded     bool // placement has to be decided again
	writing        bool // a write of progress is under way
	superseded     bool // the claim is lost or given up; nothing more is written
	sweeping       bool // a transaction that removes jobs is under way
	nextSweep      time.Duration
	nextExpire     time.Duration
	nextRooms      time.Duration
	// holds are the places where resources are being freed for a unit by stopping
	// runs.
	holds map[unitKey][]graph.Place
	// urgentWaitAt is when an urgent unit last had to wait for resources.
	urgentWaitAt time.Duration
	lastSeq      int64 // number of the last change of any job's progress
	// planInput is the last input of package plan. Its slices are reused.
	planInput plan.Input
	// openCache is the result of openJobs, or nil if it has to be built again.
	openCache []*job
}

// unitKey identifies a unit by its job and first task.
type unitKey struct {
	job   *graph.Job
	first graph.Ref
}

func newState(now time.Duration) *state {
	return &state{
		jobs: map[string]*job{}, workers: map[string]*worker{}, byPlace: map[graph.Place]*worker{}, activeByRelay: map[string]map[*graph.Task]*job{},
		revisions: map[string]int64{}, cancelled: map[string]bool{}, loadedProgress: map[string]store.Item{}, startedAt: now,
	}
}

// openJobs returns the jobs that are not settled, in the order in which they were
// accepted. The result is cached until a job is added or removed, and may hold
// jobs that were settled since.
func (st *state) openJobs() []*job {
	if st.openCache != nil {
		return st.openCache
	}
	st.openCache = make([]*job, 0, len(st.jobs))
	for _, j := range st.jobs {
		if !j.settled() {
			st.openCache = append(st.openCache, j)
		}
	}
	slices.SortFunc(st.openCache, compareJobs)
	return st.openCache
}

// settled reports whether nothing of the job can change any more: it has ended, its
// progress is stored and none of its runs is active.
func (j *job) settled() bool { return j.graph.Ended() && !j.dirty && len(j.graph.Active()) == 0 }

// apply applies one change of a key. Progress records are read only while loading:
// after that this process alone writes them.
func (st *state) apply(e store.Event) {
	// A record that causes a panic must not prevent the others from being applied.
	if err := guard.Run("record "+e.Key, func() { st.applyOne(e) }); err != nil {
		klog.ErrorS(err, "duty: record passed over", "key", e.Key, "revision", e.Revision)
	}
}

func (st *state) applyOne(e store.Event) {
	kind, id := KindOf(e.Key)
	if kind == KindOther || kind == KindClaim || kind == KindGate || e.Revision <= st.revisions[e.Key] {
		return
	}
	st.revisions[e.Key] = e.Revision
	switch {
	case e.Deleted && kind == KindJob:
		st.removeJob(id)
		delete(st.revisions, JobKey(id))
	case e.Deleted:
	case kind == KindJob:
		st.addJob(id, e.Item)
	case kind == KindProgress && !st.loaded:
		st.loadedProgress[id] = e.Item
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
		graph: graph.New(spec, nil), submitted: clock.Monotonic() - min(age, time.Hour),
		runs: map[graph.Ref]*run{}, readySince: map[graph.Ref]time.Duration{}, failedOn: map[graph.Ref][]*worker{},
	}
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
		record := &flow.Work{}
		if err := proto.Unmarshal(item.Value, record); err != nil {
			klog.ErrorS(err, "duty: cannot decode progress record", "job", id)
			continue
		}
		cancelled := j.graph.Cancelled
		j.graph = graph.New(j.graph.Spec, record)
		j.graph.Cancelled = cancelled
		j.recordRevision = item.Revision
		for _, t := range j.graph.Active() {
			st.addActive(j, t)
			j.runs[t.Ref] = &run{run: t.Run, stored: true, knownSince: st.startedAt, expectedTime: declaredTime(j, t.Ref)}
		}
	}
	st.loadedProgress, st.openCache = nil, nil
	st.planNeeded = true
}

// addActive records a task that has been assigned a place.
func (st *state) addActive(j *job, t *graph.Task) {
	tasks := st.activeByRelay[t.Place.Relay]
	if tasks == nil {
		tasks = map[*graph.Task]*job{}
		st.activeByRelay[t.Place.Relay] = tasks
	}
	tasks[t] = j
}

// activeTask is a task with a run that has not ended, and its job.
type activeTask struct {
	*graph.Task
	job *job
}

func (t activeTask) name() string { return graph.TaskName(t.job.graph.Spec.GetId(), t.Ref) }

// activeOn returns the tasks with a run that was assigned to a worker of the relay,
// in the order in which their jobs were accepted.
func (st *state) activeOn(relay string) []activeTask {
	list := make([]activeTask, 0, len(st.activeByRelay[relay]))
	for t, j := range st.activeByRelay[relay] {
		list = append(list, activeTask{t, j})
	}
	slices.SortFunc(list, func(a, b activeTask) int {
		return cmp.Or(compareJobs(a.job, b.job), graph.CompareRefs(a.Ref, b.Ref))
	})
	return list
}

func compareJobs(a, b *job) int {
	if a == b {
		return 0
	}
	return cmp.Or(cmp.Compare(a.submitted, b.submitted), cmp.Compare(a.graph.Spec.GetId(), b.graph.Spec.GetId()))
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

// declaredTime returns the run time of a task as its step declares it.
func declaredTime(j *job, ref graph.Ref) time.Duration {
	return time.Duration(j.graph.Step(ref).GetEstimateMs()) * time.Millisecond
}

// markDirty records that the progress of a job has changed and must be stored.
func (st *state) markDirty(j *job) {
	st.lastSeq++
	if !j.dirty {
		j.dirty, j.firstUnstoredSeq = true, st.lastSeq
	}
	j.lastChangeSeq = st.lastSeq
	st.planNeeded = true
}

// cancel cancels a job that has not ended and orders a stop of its runs.
func (st *state) cancel(j *job) {
	if j.graph.Cancelled || j.graph.Ended() {
		return
	}
	j.graph.Cancelled = true
	klog.InfoS("duty: job cancelled", "job", j.graph.Spec.GetId())
	st.markDirty(j)
	st.stopActive(j)
}

// stopActive orders a stop of all active runs of a job.
func (st *state) stopActive(j *job) {
	for _, t := range j.graph.Active() {
		if !t.Done {
			st.orderStop(j, t)
		}
	}
}

// orderStop orders the worker of a task to stop its run.
func (st *state) orderStop(j *job, t *graph.Task) {
	r := j.runs[t.Ref]
	if r == nil || r.run != t.Run {
		r = &run{run: t.Run, stored: true, knownSince: clock.Monotonic()}
		j.runs[t.Ref] = r
	}
	if !r.stopOrdered {
		r.stopOrdered = true
		st.markOrdersChanged(t.Place)
	}
}

// markOrdersChanged makes the worker at a place get orders with a new version.
func (st *state) markOrdersChanged(p graph.Place) {
	if w := st.byPlace[p]; w != nil {
		w.ordersChanged = true
	}
}

// unstoredRuns returns the active runs whose assignment is not stored yet.
func (j *job) unstoredRuns() []runRef {
	var refs []runRef
	for ref, r := range j.runs {
		if t := j.graph.Task(ref); !r.stored && t != nil && t.Active() && t.Run == r.run {
			refs = append(refs, runRef{ref, r.run})
		}
	}
	return refs
}

// endRun records the end of a run. how is an End constant of package graph or, if the
// worker did not report an end, another reason, such as "unreachable" or that of a
// refusal. Unless the run succeeded, it orders a stop of the other members of its
// gang, which cannot continue. It reports whether the run was the task's active run.
func (st *state) endRun(j *job, ref graph.Ref, number int64, how, checkpoint string) bool {
	t := j.graph.Task(ref)
	if t == nil || t.Run != number || !t.Active() {
		return false
	}
	place := t.Place
	if r := j.runs[ref]; r != nil && r.run == number && checkpoint == "" {
		checkpoint = r.checkpoint
	}
	lost := 0.0
	if how != graph.EndDone {
		lost = st.unsavedWork(j, ref, clock.Monotonic()).Seconds() * needOf(j.graph.Step(ref)).CoreEquivalents()
	}
	if !j.graph.End(ref, number, how, checkpoint) {
		return false
	}
	delete(st.activeByRelay[place.Relay], t)
	count(endsCounter, 1, "how", how)
	count(lostWorkCounter, int64(lost), "how", how)
	klog.InfoS("duty: run over", "job", j.graph.Spec.GetId(), "step", ref.Step, "index", ref.Index,
		"occurrence", ref.Occurrence, "run", number, "how", how, "worker", place.Worker, "saved", checkpoint != "",
		"cancelled", j.graph.Cancelled, "lost_core_s", int64(lost))
	delete(j.runs, ref)
	st.markDirty(j)
	st.markOrdersChanged(place)
	if how == graph.EndDone {
		return true
	}
	for _, member := range j.graph.Members(ref) {
		if m := j.graph.Task(member); m != nil && m.Active() && m.Run == number && !m.Done {
			st.orderStop(j, m)
		}
	}
	return true
}

// unsavedWork returns the run time that would be lost by stopping a run now.
func (st *state) unsavedWork(j *job, ref graph.Ref, now time.Duration) time.Duration {
	r := j.runs[ref]
	if r == nil {
		return 0
	}
	if r.begunAt == 0 {
		return 0
	}
	unsaved := now - r.begunAt
	if j.graph.Step(ref).GetCheckpointing() {
		unsaved = min(unsaved, maxStopLoss)
	}
	return unsaved
}

// maxStopLoss bounds the run time that is lost when a task that writes checkpoints
// is stopped.
const maxStopLoss = time.Second

// advanceJobs moves changed jobs to the phase that follows from their tasks, and
// stops what still runs of those that have ended.
func (st *state) advanceJobs() {
	now := time.Now().UnixMilli()
	for _, j := range st.openJobs() {
		if j.dirty && j.graph.Advance(now) {
			klog.InfoS("duty: job ended", "job", j.graph.Spec.GetId(), "phase", j.graph.Phase, "priority", j.graph.Spec.GetPriority(),
				"took_ms", (clock.Monotonic() - j.submitted).Milliseconds(), "objective_ms", graph.ObjectiveMS(j.graph.Spec))
			st.markDirty(j)
			st.stopActive(j)
		}
	}
}

// expireLeases ends the runs whose task lease has surely expired. Their workers
// have killed them by then, as they got no orders during the lease.
func (st *state) expireLeases(s *Scheduler, now time.Duration) {
	if now < st.nextExpire || !s.claim.Valid() {
		// Without a valid claim, another process may have received reports of the
		// workers since and extended their leases.
		return
	}
	st.nextExpire = now + expirePeriod
	maxSilence := time.Duration(float64(s.settings.TaskLease)*leaseClockFactor) + leaseKillMargin
	for relay := range st.activeByRelay {
		w := st.workers[relay]
		if w != nil && now-w.lastReport <= maxSilence && now-st.startedAt <= maxSilence {
			continue
		}
		for _, t := range st.activeOn(relay) {
			last := st.startedAt
			if w != nil && w.sameWorker(t.Place) {
				last = max(last, w.lastReport)
			}
			if now-last > maxSilence {
				st.endRun(t.job, t.Ref, t.Run, "unreachable", "")
			}
		}
	}
}

// needOf returns the resources that one task of a step holds. A task that uses idle
// processors (Step.fills) holds no processor.
func needOf(step *flow.Step) plan.Resources {
	cpu := step.GetCpu()
	if step.GetFills() {
		cpu = 0
	}
	return plan.Resources{MilliCPU: cpu, MemoryMB: step.GetMemoryMb(), Accelerators: step.GetAccelerators()}
}

// asConflict returns the conflict that err wraps, or nil.
func asConflict(err error) *store.ConflictError {
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return conflict
	}
	return nil
}
