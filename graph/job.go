package graph

import (
	"cmp"
	"slices"

	"catkinpoint/flow"
)

// Ends of a run.
const (
	EndDone    = "done"
	EndFailed  = "failed"
	EndStopped = "stopped"
	// EndLapsed is the end of a run whose task lease ran out.
	EndLapsed = "lapsed"
	// EndBroken is the end of a gang's member after that of another one.
	EndBroken = "broken"
	// EndAlone is the end of a gang's member for which the others did not come.
	EndAlone = "alone"
)

// Reasons for which a run never starts.
const (
	// RefusedEpoch means that the worker has seen a later scheduler.
	RefusedEpoch = "stale_epoch"
	// RefusedRun means that this or a later run of the task has ended there.
	RefusedRun = "stale_run"
	// RefusedLate means that the order came after its deadline.
	RefusedLate       = "expired"
	RefusedRoom       = "no_room"
	RefusedUnhealthy  = "unhealthy"
	RefusedInvalid    = "invalid"
	RefusedStopped    = "stopped"
	RefusedDraining   = "draining"
	RefusedUnanswered = "unanswered"
)

// Place is a worker's process: its id, the start of its process in Unix
// milliseconds, and the relay beside it.
type Place struct {
	Worker string
	Born   int64
	Relay  string
}

// Task is the progress of one task.
type Task struct {
	Ref Ref
	// Run is the number of the last start.
	Run int64
	// Place is where the last start went; it is zero when that run is over.
	Place Place
	// Started tells that the worker has listed the run.
	Started    bool
	Done       bool
	Failures   int32
	Checkpoint string
}

// Active tells whether a run of the task may be going on or may still begin.
func (t *Task) Active() bool { return t.Place != (Place{}) }

// Job is an accepted job with its progress.
type Job struct {
	Spec      *flow.Job
	Phase     flow.Phase
	Cancelled bool
	// EndedUnixMS is when the job reached its last phase, or 0.
	EndedUnixMS int64
	tasks       map[Ref]*Task
	// active is the answer of Active; it is nil after a change.
	active []*Task
}

// New returns a job with the progress of its record, which may be nil.
func New(spec *flow.Job, work *flow.Work) *Job {
	j := &Job{Spec: spec, Phase: work.GetPhase(), EndedUnixMS: work.GetEndedUnixMs(), tasks: map[Ref]*Task{}}
	for _, t := range work.GetTasks() {
		ref := Ref{t.GetOccurrence(), t.GetStep(), t.GetIndex()}
		j.tasks[ref] = &Task{
			Ref: ref, Run: t.GetRun(), Place: Place{t.GetWorker(), t.GetWorkerBornMs(), t.GetRelay()},
			Started: t.GetStarted(), Done: t.GetDone(), Failures: t.GetFailures(), Checkpoint: t.GetCheckpoint(),
		}
	}
	return j
}

// Record returns the progress as the store keeps it.
func (j *Job) Record() *flow.Work {
	work := &flow.Work{Phase: j.Phase, EndedUnixMs: j.EndedUnixMS}
	for _, t := range j.tasks {
		work.Tasks = append(work.Tasks, &flow.Task{
			Occurrence: t.Ref.Occurrence, Step: t.Ref.Step, Index: t.Ref.Index,
			Run: t.Run, Worker: t.Place.Worker, WorkerBornMs: t.Place.Born, Relay: t.Place.Relay,
			Started: t.Started, Done: t.Done, Failures: t.Failures, Checkpoint: t.Checkpoint,
		})
	}
	slices.SortFunc(work.Tasks, func(a, b *flow.Task) int {
		return cmp.Or(cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
	})
	return work
}

// Over tells whether the job has reached its last phase.
func (j *Job) Over() bool {
	return j.Phase == flow.Phase_COMPLETED || j.Phase == flow.Phase_FAILED || j.Phase == flow.Phase_CANCELLED
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int32 { return max(1, j.Spec.GetRepeats()) }

// DueUnixMS returns when an occurrence may start.
func (j *Job) DueUnixMS(occurrence int32) int64 {
	if j.Spec.GetRepeats() == 0 {
		return 0
	}
	return j.Spec.GetStartUnixMs() + int64(occurrence)*j.Spec.GetPeriodMs()
}

// Task returns the progress of a task, or nil if it was never started.
func (j *Job) Task(ref Ref) *Task { return j.tasks[ref] }

// Step returns the declaration of a task's step, or nil if it has none.
func (j *Job) Step(ref Ref) *flow.Step {
	steps := j.Spec.GetSteps()
	if ref.Step < 0 || int(ref.Step) >= len(steps) || ref.Index < 0 || ref.Index >= steps[ref.Step].GetCount() {
		return nil
	}
	return steps[ref.Step]
}

// Active returns the tasks with a run that is not over, in order. The slice is
// shared, and later changes of the job do not touch it.
func (j *Job) Active() []*Task {
	if j.active != nil {
		return j.active
	}
	j.active = []*Task{}
	for _, t := range j.tasks {
		if t.Active() {
			j.active = append(j.active, t)
		}
	}
	slices.SortFunc(j.active, func(a, b *Task) int { return CompareRefs(a.Ref, b.Ref) })
	return j.active
}

// CompareRefs orders tasks by occurrence, step and index.
func CompareRefs(a, b Ref) int {
	return cmp.Or(cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// Members returns the tasks that run together with ref: its gang, or itself.
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

// stepDone tells whether all tasks of a step of an occurrence are done.
func (j *Job) stepDone(occurrence, step int32) bool {
	for i := range j.Spec.GetSteps()[step].GetCount() {
		t := j.tasks[Ref{occurrence, step, i}]
		if t == nil || !t.Done {
			return false
		}
	}
	return true
}

// Unit is what is placed as a whole: a gang or one task.
type Unit struct {
	Job   *Job
	Step  *flow.Step
	Tasks []Ref
}

// Checkpoint returns the checkpoint from which the unit resumes, or "".
func (u Unit) Checkpoint() string {
	for _, ref := range u.Tasks {
		if t := u.Job.Task(ref); t != nil && t.Checkpoint != "" {
			return t.Checkpoint
		}
	}
	return ""
}

// Ready returns the units that may start at the given time.
func (j *Job) Ready(nowUnixMS int64) []Unit {
	if j.Over() || j.Cancelled {
		return nil
	}
	var units []Unit
	for k := range j.Occurrences() {
		if j.DueUnixMS(k) > nowUnixMS {
			break
		}
		for s, step := range j.Spec.GetSteps() {
			if j.blocked(k, step) {
				continue
			}
			units = append(units, j.readyOf(k, int32(s), step)...)
		}
	}
	return units
}

func (j *Job) blocked(occurrence int32, step *flow.Step) bool {
	for _, earlier := range step.GetAfter() {
		if !j.stepDone(occurrence, earlier) {
			return true
		}
	}
	return false
}

func (j *Job) readyOf(occurrence, s int32, step *flow.Step) []Unit {
	var units []Unit
	idle := func(ref Ref) bool {
		t := j.tasks[ref]
		return t == nil || !t.Done && !t.Active()
	}
	if step.GetGang() {
		members := j.Members(Ref{occurrence, s, 0})
		for _, ref := range members {
			if !idle(ref) {
				return nil
			}
		}
		return []Unit{{Job: j, Step: step, Tasks: members}}
	}
	for i := range step.GetCount() {
		if ref := (Ref{occurrence, s, i}); idle(ref) {
			units = append(units, Unit{Job: j, Step: step, Tasks: []Ref{ref}})
		}
	}
	return units
}

// Assign gives the unit's tasks a common new run at the given places, one for
// each task, and returns its number.
func (j *Job) Assign(unit Unit, places []Place) int64 {
	j.active = nil
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
			t = &Task{Ref: ref}
			j.tasks[ref] = t
		}
		t.Run, t.Place, t.Started, t.Checkpoint = run, places[i], false, checkpoint
	}
	if j.Phase == flow.Phase_QUEUED {
		j.Phase = flow.Phase_RUNNING
	}
	return run
}

// Begun notes that a worker lists the run, and reports whether that was new.
func (j *Job) Begun(ref Ref, run int64) bool {
	t := j.tasks[ref]
	if t == nil || t.Run != run || !t.Active() || t.Started {
		return false
	}
	t.Started = true
	return true
}

// Complete tells whether workers have listed the run of all members of the gang.
func (j *Job) Complete(ref Ref, run int64) bool {
	for _, member := range j.Members(ref) {
		if m := j.tasks[member]; m == nil || m.Run != run || !m.Started && !m.Done {
			return false
		}
	}
	return true
}

// End notes the end of a run, and reports whether the run was the task's last
// and not over before.
func (j *Job) End(ref Ref, run int64, how, checkpoint string) bool {
	t := j.tasks[ref]
	if t == nil || t.Run != run || !t.Active() {
		return false
	}
	j.active = nil
	t.Place, t.Started = Place{}, false
	if checkpoint != "" {
		j.Saved(ref, run, checkpoint)
	}
	switch how {
	case EndDone:
		// One such end represents all members of a gang.
		for _, member := range j.Members(ref) {
			if m := j.tasks[member]; m != nil && m.Run == run {
				m.Done = true
			}
		}
	case EndFailed:
		if !j.Step(ref).GetLongRunning() {
			j.fail(ref, run)
		}
	}
	return true
}

// fail counts one failure for a task, or for a gang as a whole.
func (j *Job) fail(ref Ref, run int64) {
	for _, member := range j.Members(ref) {
		if m := j.tasks[member]; m != nil && m.Run == run {
			m.Failures++
		}
	}
}

// Saved notes a checkpoint of a run that is the task's last.
func (j *Job) Saved(ref Ref, run int64, checkpoint string) {
	if checkpoint == "" || !j.Step(ref).GetCheckpointing() {
		return
	}
	for _, member := range j.Members(ref) {
		if m := j.tasks[member]; m != nil && m.Run == run {
			m.Checkpoint = checkpoint
		}
	}
}

// Advance moves the job to the phase that its tasks imply and reports whether
// it changed.
func (j *Job) Advance(nowUnixMS int64) bool {
	if j.Over() {
		return false
	}
	next := j.Phase
	switch {
	case j.Cancelled:
		next = flow.Phase_CANCELLED
	case j.exhausted():
		next = flow.Phase_FAILED
	case j.complete():
		next = flow.Phase_COMPLETED
	}
	if next == j.Phase {
		return false
	}
	j.Phase, j.EndedUnixMS = next, nowUnixMS
	return true
}

func (j *Job) exhausted() bool {
	for _, t := range j.tasks {
		if !t.Done && t.Failures >= max(1, j.Spec.GetMaxAttempts()) {
			return true
		}
	}
	return false
}

func (j *Job) complete() bool {
	for k := range j.Occurrences() {
		for s, step := range j.Spec.GetSteps() {
			if step.GetLongRunning() || !j.stepDone(k, int32(s)) {
				return false
			}
		}
	}
	return true
}

// Begins tells whether any task of the job was ever started.
func (j *Job) Begins() bool { return len(j.tasks) > 0 }
