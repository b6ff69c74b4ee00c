package graph

import (
	"cmp"
	"slices"

	"catkinpoint/flow"
)

// Ways in which a run ends.
const (
	EndDone    = "done"
	EndFailed  = "failed"
	EndStopped = "stopped"
	// EndLeaseExpired is the end of a run whose task lease expired.
	EndLeaseExpired = "lapsed"
	// EndGangBroken is the end of a member of a gang because another member ended
	// before it was done.
	EndGangBroken = "broken"
	// EndGangIncomplete is the end of a member of a gang whose other members did not
	// start in time.
	EndGangIncomplete = "alone"
	// EndUnreachable is the end of a run whose task lease has run out on a worker that is
	// not heard of.
	EndUnreachable = "unreachable"
)

// MaxListedEnds is the most ends that a worker lists at a time. A list of that length may
// lack others.
const MaxListedEnds = 500

// workerEnds are the ends that a worker lists, of runs that have started.
var workerEnds = []string{EndDone, EndFailed, EndStopped, EndLeaseExpired, EndGangBroken, EndGangIncomplete}

// RefusedPrefix comes before the reason in the outcome of a run whose start was refused.
const RefusedPrefix = "refused_"

// Reasons for which the start of a run is refused.
const (
	// RefusedStaleEpoch means that the worker has seen a scheduler with a higher
	// epoch.
	RefusedStaleEpoch = "stale_epoch"
	// RefusedStaleRun means that this run of the task, or a later one, has already
	// ended on the worker.
	RefusedStaleRun = "stale_run"
	// RefusedExpired means that the start order arrived after its deadline.
	RefusedExpired    = "expired"
	RefusedNoRoom     = "no_room"
	RefusedUnhealthy  = "unhealthy"
	RefusedInvalid    = "invalid"
	RefusedStopped    = "stopped"
	RefusedDraining   = "draining"
	RefusedUnanswered = "unanswered" // no answer to the relay's calls to start it
)

// Place identifies a process of a worker.
type Place struct {
	Worker      string // id of the worker
	StartUnixMS int64  // start of the process, in Unix milliseconds
	Relay       string // the relay beside the worker
}

// Task is the progress of one task.
type Task struct {
	Ref Ref
	// Run is the number of the last run. Runs are counted from 1; 0 means none.
	Run int64
	// Place is the worker of the last run; it is zero when that run has ended.
	Place Place
	// Started reports whether the worker has reported the run as started.
	Started bool
	// Done reports whether the task has succeeded.
	Done bool
	// Failures is the number of failed runs of the task or, in a gang, of any member.
	// The job fails when it reaches MaxAttempts. Runs of long-running steps are not
	// counted.
	Failures int32
	// failedRuns are the last of these runs, and unlistedRuns the last that were taken as
	// over in a way after which their worker may still list them as failed; both in order.
	failedRuns, unlistedRuns []int64
	// Checkpoint is the last checkpoint, from which the next run resumes, or "".
	Checkpoint string
}

// Active reports whether a run of the task may be running or may still start.
func (t *Task) Active() bool { return t.Place != (Place{}) }

// Job is an accepted job with its progress.
type Job struct {
	Spec  *flow.Job
	Phase flow.Phase
	// Cancelled reports whether the job was cancelled; Phase follows with Advance.
	Cancelled bool
	// EndedUnixMS is when the job reached a final phase, in Unix milliseconds, or 0.
	EndedUnixMS int64
	// tasks has the tasks that were started at least once, without those of donePages.
	tasks     map[Ref]*Task
	layout    layout
	donePages pageSet
	// changed has the pages that have changed since TakeChanged.
	changed map[int64]bool
	// openFrom is the first occurrence of which a step is not done, and open has the progress
	// of later ones and of itself.
	openFrom int32
	open     map[int32]*occurrence
	// pageTasks is the number of tasks of each page, if the progress is in pages.
	pageTasks map[int64]int
	taskLimit int // see LimitTasks
	facts     facts
	// failing has the tasks that have failed and are not done.
	failing map[Ref]*Task
	// crashes has the crashes of workers under each task.
	crashes map[Ref][]Crash
	// activeTasks caches the result of Active; it is nil after a change.
	activeTasks []*Task
}

// New returns a job with the progress in its stored record, which may be nil.
func New(spec *flow.Job, work *flow.Work) *Job {
	j := &Job{
		Spec: spec, Phase: work.GetPhase(), EndedUnixMS: work.GetEndedUnixMs(), tasks: map[Ref]*Task{}, layout: newLayout(spec),
		changed: map[int64]bool{}, open: map[int32]*occurrence{}, pageTasks: map[int64]int{}, failing: map[Ref]*Task{}, facts: newFacts(spec),
	}
	j.addTasks(work.GetTasks())
	return j
}

// Load returns a job with the progress in its stored record and pages. It fails if the
// record is not one of such a job.
func Load(spec *flow.Job, work *flow.Work, pages []*flow.Page) (*Job, error) {
	j := New(spec, work)
	if work.GetPageTasks() > 0 {
		if err := j.loadPages(work, pages); err != nil {
			return nil, err
		}
	}
	return j, nil
}

// addTasks adds the stored progress of tasks. It leaves out tasks that the job does not have
// or whose page is done.
func (j *Job) addTasks(records []*flow.Task) {
	for _, r := range records {
		ref := Ref{r.GetOccurrence(), r.GetStep(), r.GetIndex()}
		if j.Step(ref) == nil || ref.Occurrence < 0 || ref.Occurrence >= j.Occurrences() || j.donePages.contains(j.layout.page(ref)) {
			continue
		}
		t := j.addTask(ref)
		j.change(t, func() {
			t.Run, t.Place = r.GetRun(), Place{r.GetWorker(), r.GetWorkerBornMs(), r.GetRelay()}
			t.Started, t.Done, t.Failures, t.Checkpoint = r.GetStarted(), r.GetDone(), r.GetFailures(), r.GetCheckpoint()
			t.failedRuns, t.unlistedRuns = r.GetFailedRuns(), r.GetUnlistedRuns()
			// Earlier builds counted each member of a gang that failed in a run.
			t.Failures = int32(min(int64(t.Failures), t.Run))
		})
	}
	clear(j.changed)
}

// addTask adds a task that was never started.
func (j *Job) addTask(ref Ref) *Task {
	t := &Task{Ref: ref}
	j.tasks[ref] = t
	if j.Paged() {
		j.pageTasks[j.layout.page(ref)]++
	}
	return t
}

// change changes a task by f, and with it the counts of its step.
func (j *Job) change(t *Task, f func()) {
	before := *t
	f()
	j.changed[j.layout.page(t.Ref)] = true
	j.countGang(before, *t)
	j.countStep(t.Ref.Occurrence, t.Ref.Step, one(t.Done)-one(before.Done), one(t.busy())-one(before.busy()))
	if !t.busy() {
		j.markIdle(t.Ref)
	}
	if t.Failures > 0 && !t.Done {
		j.failing[t.Ref] = t
	} else {
		delete(j.failing, t.Ref)
	}
}

func one(x bool) int32 {
	if x {
		return 1
	}
	return 0
}

// busy reports whether the task is done or active, so that it does not wait to be started.
func (t *Task) busy() bool { return t.Done || t.Active() }

// record returns the progress of the task as it is stored.
func (t *Task) record() *flow.Task {
	return &flow.Task{
		Occurrence: t.Ref.Occurrence, Step: t.Ref.Step, Index: t.Ref.Index,
		Run: t.Run, Worker: t.Place.Worker, WorkerBornMs: t.Place.StartUnixMS, Relay: t.Place.Relay,
		Started: t.Started, Done: t.Done, Failures: t.Failures, Checkpoint: t.Checkpoint,
		FailedRuns: t.failedRuns, UnlistedRuns: t.unlistedRuns,
	}
}

// Record returns the progress of the job as one record, with tasks sorted.
func (j *Job) Record() *flow.Work {
	work := &flow.Work{Phase: j.Phase, EndedUnixMs: j.EndedUnixMS}
	for _, t := range j.tasks {
		work.Tasks = append(work.Tasks, t.record())
	}
	slices.SortFunc(work.Tasks, func(a, b *flow.Task) int {
		return cmp.Or(cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
	})
	return work
}

// Ended reports whether the job has reached a final phase.
func (j *Job) Ended() bool {
	return j.Phase == flow.Phase_COMPLETED || j.Phase == flow.Phase_FAILED || j.Phase == flow.Phase_CANCELLED
}

// Occurrences returns the number of times that the job's steps are to run.
func (j *Job) Occurrences() int32 { return max(1, j.Spec.GetRepeats()) }

// DueUnixMS returns the time from which an occurrence may start, in Unix
// milliseconds, or 0 if the job is not scheduled.
func (j *Job) DueUnixMS(occurrence int32) int64 {
	if j.Spec.GetRepeats() == 0 {
		return 0
	}
	return j.Spec.GetStartUnixMs() + int64(occurrence)*j.Spec.GetPeriodMs()
}

// Task returns the progress of a task, or nil if it was never started. Of a task of a done
// page it is only known that it is done.
func (j *Job) Task(ref Ref) *Task {
	t := j.tasks[ref]
	if t == nil && len(j.donePages) > 0 && j.Step(ref) != nil && j.donePages.contains(j.layout.page(ref)) {
		return &Task{Ref: ref, Done: true}
	}
	return t
}

// Step returns the declaration of the step of a task, or nil if the job has no such
// task.
func (j *Job) Step(ref Ref) *flow.Step {
	steps := j.Spec.GetSteps()
	if ref.Step < 0 || int(ref.Step) >= len(steps) || ref.Index < 0 || ref.Index >= steps[ref.Step].GetCount() {
		return nil
	}
	return steps[ref.Step]
}

// Active returns the tasks whose last run has not ended, ordered by CompareRefs. The
// slice is shared by all callers; later changes of the job do not modify it.
func (j *Job) Active() []*Task {
	if j.activeTasks != nil {
		return j.activeTasks
	}
	j.activeTasks = []*Task{}
	for _, t := range j.tasks {
		if t.Active() {
			j.activeTasks = append(j.activeTasks, t)
		}
	}
	slices.SortFunc(j.activeTasks, func(a, b *Task) int { return CompareRefs(a.Ref, b.Ref) })
	return j.activeTasks
}

// CompareRefs orders tasks by occurrence, step and index.
func CompareRefs(a, b Ref) int {
	return cmp.Or(cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// Members returns the tasks that run together with ref: all members of its gang, or
// ref alone.
func (j *Job) Members(ref Ref) []Ref {
	step := j.Step(ref)
	if !step.GetGang() {
		return []Ref{ref}
	}
	members := make([]Ref, step.GetCount())
	for i := range members {
		members[i] = Ref{ref.Occurrence, ref.Step, int32(i)}
	}
	return members
}

// Assign starts a new run of the unit's tasks at the given places, one for each task.
// It returns the number of the run, which all of them share.
func (j *Job) Assign(unit Unit, places []Place) int64 {
	j.activeTasks = nil
	checkpoint := unit.Checkpoint()
	var run int64
	for _, ref := range unit.Tasks {
		if t := j.tasks[ref]; t != nil {
			run = max(run, t.Run)
		}
	}
	run++
	for i, ref := range unit.Tasks {
		t := j.tasks[ref]
		if t == nil {
			t = j.addTask(ref)
		}
		j.change(t, func() { t.Run, t.Place, t.Started, t.Checkpoint = run, places[i], false, checkpoint })
	}
	return run
}

// setPhase changes the phase, which is in the head of the progress.
func (j *Job) setPhase(phase flow.Phase) {
	j.Phase = phase
	j.changed[HeadPage] = true
}

// markBegun moves a job that is queued to RUNNING, as a task has started.
func (j *Job) markBegun() {
	if j.Phase == flow.Phase_QUEUED {
		j.setPhase(flow.Phase_RUNNING)
	}
}

// MarkStarted records that a worker has reported the run as started, and reports
// whether that was not recorded before. It ignores runs that are not the task's last. The
// job is RUNNING from its first start on.
func (j *Job) MarkStarted(ref Ref, run int64) bool {
	t := j.tasks[ref]
	if t == nil || t.Run != run || !t.Active() || t.Started {
		return false
	}
	j.change(t, func() { t.Started = true })
	j.markBegun()
	return true
}

// End records the end of a run with its last checkpoint, if any. The outcome is one
// of the End constants or another reason, such as that of a refusal. Only EndDone
// marks the task as done, and only EndFailed counts as a failure, once for a run of a
// gang. End reports whether the run was the task's last and had not ended before; other
// ends are ignored.
func (j *Job) End(ref Ref, run int64, outcome, checkpoint string) bool {
	t := j.tasks[ref]
	if t == nil || t.Run != run || !t.Active() {
		return false
	}
	j.activeTasks = nil
	doneBefore := t.Done
	j.change(t, func() { t.Place, t.Started = Place{}, false })
	if slices.Contains(workerEnds, outcome) {
		j.markBegun() // the worker may list the end before the run
	}
	if mayListFailure(outcome) {
		j.change(t, func() { t.unlistedRuns = insertRun(t.unlistedRuns, run) })
	}
	if checkpoint != "" {
		j.SaveCheckpoint(ref, run, checkpoint)
	}
	switch {
	case outcome == EndDone && !doneBefore:
		// The success of one member counts for the whole gang.
		for _, member := range j.Members(ref) {
			if m := j.tasks[member]; m != nil && m.Run == run {
				j.change(m, func() { m.Done = true })
			}
		}
	case outcome == EndFailed:
		j.countFailure(ref, run)
	}
	return true
}

// RecordLateSuccess marks a task, or all members of its gang, as done because a run that
// counted as over had succeeded, and reports whether it was not done. The task may have a
// later run, which stays active. It ignores runs that were never assigned, and does nothing
// once the job has ended.
func (j *Job) RecordLateSuccess(ref Ref, run int64) bool {
	t := j.tasks[ref]
	if j.Ended() || t == nil || t.Done || run < 1 || run > t.Run || run == t.Run && t.Active() {
		return false
	}
	for _, member := range j.Members(ref) {
		if m := j.tasks[member]; m != nil {
			j.change(m, func() { m.Done = true })
		}
	}
	j.markBegun()
	return true
}

// SaveCheckpoint records a checkpoint of a run for the task, or for all members of
// its gang. It leaves out tasks whose last run is another one, and does nothing if
// the step is not declared to checkpoint.
func (j *Job) SaveCheckpoint(ref Ref, run int64, checkpoint string) {
	if checkpoint == "" || !j.Step(ref).GetCheckpointing() {
		return
	}
	for _, member := range j.Members(ref) {
		if m := j.tasks[member]; m != nil && m.Run == run {
			j.change(m, func() { m.Checkpoint = checkpoint })
		}
	}
}

// Advance moves the job to a final phase if its tasks have reached one or the job
// was cancelled, and reports whether the phase changed.
func (j *Job) Advance(nowUnixMS int64) bool {
	if j.Ended() {
		return false
	}
	next := j.Phase
	switch {
	case j.Cancelled:
		next = flow.Phase_CANCELLED
	case j.attemptsExhausted() || j.crashesExhausted(nowUnixMS):
		next = flow.Phase_FAILED
	case j.allStepsDone():
		next = flow.Phase_COMPLETED
	}
	if next == j.Phase {
		return false
	}
	j.setPhase(next)
	j.EndedUnixMS = nowUnixMS
	return true
}

// EndReason says why the job has ended, for the log.
func (j *Job) EndReason() string {
	switch {
	case j.Phase == flow.Phase_FAILED && !j.attemptsExhausted():
		return "crashes"
	case j.Phase == flow.Phase_FAILED:
		return "failures"
	}
	return ""
}

// allStepsDone reports whether all steps of all occurrences are done. Long-running
// steps run until the job is cancelled and are never done.
func (j *Job) allStepsDone() bool {
	return j.openFrom == j.Occurrences() && !slices.ContainsFunc(j.Spec.GetSteps(), (*flow.Step).GetLongRunning)
}

// EverStarted reports whether any task of the job was ever started.
func (j *Job) EverStarted() bool { return len(j.tasks) > 0 || len(j.donePages) > 0 }
