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

// job is a job with what the store does not have.
type job struct {
	graph        *graph.Job
	workRevision int64
	// submitted is when the job was accepted, on this process's clock.
	submitted time.Duration
	dirty     bool
	dirtySeq  int64 // of the last change
	// dirtySince is the first change that is not stored.
	dirtySince int64
	runs       map[graph.Ref]*run
	// readySince is when the unit of a task became ready.
	readySince map[graph.Ref]time.Duration
	// moves counts the stops because of slow workers.
	moves int
	// failedAt has the workers on which a task has failed.
	failedAt map[graph.Ref][]*worker
}

// run is what is known of a task's last run beyond its record.
type run struct {
	run    int64
	stored bool
	stop   bool // a stop is ordered
	at     time.Duration
	// begunAt is when the run, and those of all other members of its gang, were
	// first seen at their workers, or 0.
	begunAt time.Duration
	// firstPercent is the progress at that time, and percentAt when it last grew.
	firstPercent, percent int32
	percentAt             time.Duration
	// The same on the worker's clock, which tells how fast a run is even if
	// reports are held up: of the first and the last reading, and of the last
	// growth.
	firstClock, readClock, percentClock time.Duration
	// sampleClock and samplePercent are the last reading of its speed.
	sampleClock   time.Duration
	samplePercent int32
	slowness      float64
	slowSamples   int // slow readings in a row
	checkpoint    string
	expected      time.Duration
}

// runRef names a run of a task of a known job.
type runRef struct {
	ref graph.Ref
	run int64
}

// worker is a worker as its relay reports it.
type worker struct {
	relay    string
	boot     string
	retired  map[string]bool
	sequence int64
	place    graph.Place
	info     *flow.Worker
	heard    time.Duration
	// reconciled tells that the worker has obeyed this epoch and listed its runs.
	reconciled bool
	ends       []endSeq // ends that are not stored, by number
	applied    int64    // ends up to here have been looked at
	observed   int64    // ends up to here are stored
	strays     map[string]map[int64]bool
	version    int64
	changed    bool
	waiter     chan *flow.Orders
	health     health
}

type endSeq struct {
	number int64
	seq    int64
}

type state struct {
	jobs    map[string]*job
	workers map[string]*worker
	byPlace map[graph.Place]*worker
	// at has the tasks with a run that is not over, by the relay of their place.
	at map[string]map[*graph.Task]*job
	// revisions are those of the keys that were applied.
	revisions  map[string]int64
	cancelled  map[string]bool // cancellations of jobs that are not known yet
	early      map[string]store.Item
	began      time.Duration
	loaded     bool
	plan       bool
	writing    bool
	superseded bool
	sweeping   bool
	sweepAt    time.Duration
	expireAt   time.Duration
	roomsAt    time.Duration
	// held is where room is being made for units.
	held map[unitKey][]graph.Place
	// pressedAt is when an urgent unit last had to wait for room.
	pressedAt time.Duration
	seq       int64
	// in is the last input, of which the next one uses the space.
	in plan.Input
	// sorted is the answer of open; it is nil after a change of the set.
	sorted []*job
}

// unitKey names a unit by its job and first task.
type unitKey struct {
	job   *graph.Job
	first graph.Ref
}

func newState(now time.Duration) *state {
	return &state{
		jobs: map[string]*job{}, workers: map[string]*worker{}, byPlace: map[graph.Place]*worker{}, at: map[string]map[*graph.Task]*job{},
		revisions: map[string]int64{}, cancelled: map[string]bool{}, early: map[string]store.Item{}, began: now,
	}
}

// open returns the jobs that are not settled, and perhaps some that have settled
// since the last change of the set, in the order in which they were accepted.
func (st *state) open() []*job {
	if st.sorted != nil {
		return st.sorted
	}
	st.sorted = make([]*job, 0, len(st.jobs))
	for _, j := range st.jobs {
		if !j.settled() {
			st.sorted = append(st.sorted, j)
		}
	}
	slices.SortFunc(st.sorted, compareJobs)
	return st.sorted
}

// settled tells that nothing of the job can change any more.
func (j *job) settled() bool { return j.graph.Over() && !j.dirty && len(j.graph.Active()) == 0 }

// apply takes one change of a key. Progress is read only while loading: after
// that this process alone writes it.
func (st *state) apply(e store.Event) {
	// One record that cannot be taken must not keep the others out.
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
		st.forget(id)
		delete(st.revisions, JobKey(id))
	case e.Deleted:
	case kind == KindJob:
		st.addJob(id, e.Item)
	case kind == KindWork && !st.loaded:
		st.early[id] = e.Item
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
		klog.ErrorS(err, "duty: job not decoded", "job", id)
		return
	}
	age := max(0, time.Duration(time.Now().UnixMilli()-spec.GetAcceptedUnixMs())*time.Millisecond)
	st.sorted = nil
	st.jobs[id] = &job{
		graph: graph.New(spec, nil), submitted: clock.Steady() - min(age, time.Hour),
		runs: map[graph.Ref]*run{}, readySince: map[graph.Ref]time.Duration{}, failedAt: map[graph.Ref][]*worker{},
	}
	klog.InfoS("duty: job known", "job", id, "queue", spec.GetQueue(), "age_ms", age.Milliseconds())
	if st.cancelled[id] {
		st.cancel(st.jobs[id])
	}
}

// finishLoad gives jobs the progress that the former holder stored.
func (st *state) finishLoad() {
	for id, item := range st.early {
		j := st.jobs[id]
		if j == nil {
			continue
		}
		record := &flow.Work{}
		if err := proto.Unmarshal(item.Value, record); err != nil {
			klog.ErrorS(err, "duty: progress not decoded", "job", id)
			continue
		}
		cancelled := j.graph.Cancelled
		j.graph = graph.New(j.graph.Spec, record)
		j.graph.Cancelled = cancelled
		j.workRevision = item.Revision
		for _, t := range j.graph.Active() {
			st.put(j, t)
			j.runs[t.Ref] = &run{run: t.Run, stored: true, at: st.began, expected: expected(j, t.Ref)}
		}
	}
	st.early, st.sorted = nil, nil
	st.plan = true
}

// put notes a task that has got a place.
func (st *state) put(j *job, t *graph.Task) {
	at := st.at[t.Place.Relay]
	if at == nil {
		at = map[*graph.Task]*job{}
		st.at[t.Place.Relay] = at
	}
	at[t] = j
}

// placed is a task with a run that is not over.
type placed struct {
	*graph.Task
	job *job
}

func (t placed) name() string { return graph.TaskName(t.job.graph.Spec.GetId(), t.Ref) }

// on returns the tasks that have a place with the relay's workers, in the order
// in which their jobs were accepted.
func (st *state) on(relay string) []placed {
	list := make([]placed, 0, len(st.at[relay]))
	for t, j := range st.at[relay] {
		list = append(list, placed{t, j})
	}
	slices.SortFunc(list, func(a, b placed) int {
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

func (st *state) forget(id string) {
	if j := st.jobs[id]; j != nil {
		for _, t := range j.graph.Active() {
			delete(st.at[t.Place.Relay], t)
		}
	}
	delete(st.jobs, id)
	st.sorted = nil
}

func expected(j *job, ref graph.Ref) time.Duration {
	return time.Duration(j.graph.Step(ref).GetEstimateMs()) * time.Millisecond
}

// change notes that a job's record has to be written.
func (st *state) change(j *job) {
	st.seq++
	if !j.dirty {
		j.dirty, j.dirtySince = true, st.seq
	}
	j.dirtySeq = st.seq
	st.plan = true
}

func (st *state) cancel(j *job) {
	if j.graph.Cancelled || j.graph.Over() {
		return
	}
	j.graph.Cancelled = true
	klog.InfoS("duty: job cancelled", "job", j.graph.Spec.GetId())
	st.change(j)
	st.stopActive(j)
}

// stopActive orders a stop of all that a job runs.
func (st *state) stopActive(j *job) {
	for _, t := range j.graph.Active() {
		if !t.Done {
			st.stop(j, t)
		}
	}
}

func (st *state) stop(j *job, t *graph.Task) {
	r := j.runs[t.Ref]
	if r == nil || r.run != t.Run {
		r = &run{run: t.Run, stored: true, at: clock.Steady()}
		j.runs[t.Ref] = r
	}
	if !r.stop {
		r.stop = true
		st.touch(t.Place)
	}
}

// touch makes the worker's next orders differ from the last.
func (st *state) touch(p graph.Place) {
	if w := st.byPlace[p]; w != nil {
		w.changed = true
	}
}

// unwritten returns the runs that were assigned since the last write.
func (j *job) unwritten() []runRef {
	var refs []runRef
	for ref, r := range j.runs {
		if t := j.graph.Task(ref); !r.stored && t != nil && t.Active() && t.Run == r.run {
			refs = append(refs, runRef{ref, r.run})
		}
	}
	return refs
}

// over ends a run for the job, with the reason as its end, and stops the rest
// of a gang that cannot go on.
func (st *state) over(j *job, ref graph.Ref, number int64, how, checkpoint string) bool {
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
		lost = st.unsaved(j, ref, clock.Steady()).Seconds() * amount(j.graph.Step(ref)).Cores()
	}
	if !j.graph.End(ref, number, how, checkpoint) {
		return false
	}
	delete(st.at[place.Relay], t)
	count(endsCount, 1, "how", how)
	count(thrownCount, int64(lost), "how", how)
	klog.InfoS("duty: run over", "job", j.graph.Spec.GetId(), "step", ref.Step, "index", ref.Index,
		"occurrence", ref.Occurrence, "run", number, "how", how, "worker", place.Worker, "saved", checkpoint != "",
		"cancelled", j.graph.Cancelled, "lost_core_s", int64(lost))
	delete(j.runs, ref)
	st.change(j)
	st.touch(place)
	if how == graph.EndDone {
		return true
	}
	for _, member := range j.graph.Members(ref) {
		if m := j.graph.Task(member); m != nil && m.Active() && m.Run == number && !m.Done {
			st.stop(j, m)
		}
	}
	return true
}

// unsaved returns the work of a run that a stop would throw away.
func (st *state) unsaved(j *job, ref graph.Ref, now time.Duration) time.Duration {
	r := j.runs[ref]
	if r == nil {
		return 0
	}
	if r.begunAt == 0 {
		return 0
	}
	unsaved := now - r.begunAt
	if j.graph.Step(ref).GetCheckpointing() {
		unsaved = min(unsaved, stopSaves)
	}
	return unsaved
}

// stopSaves bounds the work that is lost when a task that checkpoints is stopped.
const stopSaves = time.Second

// advance moves jobs to the phases that their tasks imply.
func (st *state) advance() {
	now := time.Now().UnixMilli()
	for _, j := range st.open() {
		if j.dirty && j.graph.Advance(now) {
			klog.InfoS("duty: job ended", "job", j.graph.Spec.GetId(), "phase", j.graph.Phase, "priority", j.graph.Spec.GetPriority(),
				"took_ms", (clock.Steady() - j.submitted).Milliseconds(), "objective_ms", graph.ObjectiveMS(j.graph.Spec))
			st.change(j)
			st.stopActive(j)
		}
	}
}

// expire ends the runs of workers whose task lease has surely run out.
func (st *state) expire(s *Scheduler, now time.Duration) {
	if now < st.expireAt || !s.claim.Valid() {
		return // without a claim, another process may have heard of the workers since
	}
	st.expireAt = now + expirePeriod
	limit := time.Duration(float64(s.settings.TaskLease)*leaseTolerance) + leaseMargin
	for relay := range st.at {
		w := st.workers[relay]
		if w != nil && now-w.heard <= limit && now-st.began <= limit {
			continue
		}
		for _, t := range st.on(relay) {
			last := st.began
			if w != nil && w.has(t.Place) {
				last = max(last, w.heard)
			}
			if now-last > limit {
				st.over(t.job, t.Ref, t.Run, "unreachable", "")
			}
		}
	}
}

// amount returns what one task of a step holds.
func amount(step *flow.Step) plan.Amount {
	cpu := step.GetCpu()
	if step.GetFills() {
		cpu = 0
	}
	return plan.Amount{CPU: cpu, Memory: step.GetMemoryMb(), Accelerators: step.GetAccelerators()}
}

func asConflict(err error) *store.ConflictError {
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return conflict
	}
	return nil
}
