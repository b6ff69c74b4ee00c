package graph

import (
	"cmp"
	"math"
	"slices"

	"catkinpoint/flow"
)

// maxScan bounds the tasks of a step that are looked at for units that are ready. All tasks of
// a step need the same, so that those beyond come later without harm.
const maxScan = 1024

// occurrence is the progress of an occurrence that has a task that is done or active, and a
// step that is not done.
type occurrence struct {
	steps map[int32]stepCount
	gangs map[int32]*gangCount // by step
	// doneSteps is the number of steps that are done.
	doneSteps int
	busy      Demand // of the tasks that are done or active
	// unblocked are the steps that are not done and do not wait for others, in order. It is
	// nil if it has to be found again.
	unblocked []int32
}

// stepCount is the number of tasks of a step that are done, and of those that are done or
// active. All tasks before idleFrom are.
type stepCount struct{ done, busy, idleFrom int32 }

// Unit is a gang or a single task, which is placed as a whole.
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

// countStep adds to the numbers of tasks of a step. The counts of an occurrence are dropped
// once all of its steps are done.
func (j *Job) countStep(occurrenceIndex, step, done, busy int32) {
	if done == 0 && busy == 0 || occurrenceIndex < j.openFrom {
		return
	}
	o := j.openOccurrence(occurrenceIndex)
	c := o.steps[step]
	c.done, c.busy = c.done+done, c.busy+busy
	o.steps[step] = c
	o.busy = o.busy.plus(busy, j.facts.demands[step])
	if done > 0 && c.done == j.Spec.GetSteps()[step].GetCount() {
		o.doneSteps++
		o.unblocked = nil
	}
	for o := j.open[j.openFrom]; o != nil && o.doneSteps == len(j.Spec.GetSteps()); o = j.open[j.openFrom] {
		delete(j.open, j.openFrom)
		j.openFrom++
	}
}

// openOccurrence returns the progress of an occurrence that is not done.
func (j *Job) openOccurrence(index int32) *occurrence {
	o := j.open[index]
	if o == nil {
		o = &occurrence{steps: map[int32]stepCount{}}
		j.open[index] = o
	}
	return o
}

// markIdle notes that a task is neither done nor active.
func (j *Job) markIdle(ref Ref) {
	if o := j.open[ref.Occurrence]; o != nil {
		c := o.steps[ref.Step]
		c.idleFrom = min(c.idleFrom, ref.Index)
		o.steps[ref.Step] = c
	}
}

// count returns the numbers of tasks of a step of an occurrence.
func (j *Job) count(occurrence, step int32) stepCount {
	if occurrence < j.openFrom {
		all := j.Spec.GetSteps()[step].GetCount()
		return stepCount{done: all, busy: all, idleFrom: all}
	}
	if o := j.open[occurrence]; o != nil {
		return o.steps[step]
	}
	return stepCount{}
}

// unblockedSteps returns the steps of an occurrence that are not done and do not wait for
// others.
func (j *Job) unblockedSteps(occurrence int32) []int32 {
	o := j.open[occurrence]
	if o == nil {
		return j.facts.roots
	}
	if o.unblocked != nil {
		return o.unblocked
	}
	steps := j.Spec.GetSteps()
	done := make([]bool, len(steps))
	o.unblocked = []int32{}
	for n, step := range steps {
		done[n] = o.steps[int32(n)].done == step.GetCount()
		// A step comes after the ones that it depends on.
		if !done[n] && !slices.ContainsFunc(step.GetAfter(), func(earlier int32) bool { return !done[earlier] }) {
			o.unblocked = append(o.unblocked, int32(n))
		}
	}
	return o.unblocked
}

// readyStep is a step of an occurrence with tasks that may start, and their number.
type readyStep struct{ occurrence, step, idle int32 }

// readySteps calls yield for the steps with tasks that may start at a time, by occurrence,
// until yield returns false. Within an occurrence it begins with the step at offset, modulo
// the number of steps.
func (j *Job) readySteps(nowUnixMS int64, offset int, yield func(readyStep) bool) {
	if j.Ended() || j.Cancelled {
		return
	}
	for occurrence := j.openFrom; occurrence < j.Occurrences() && j.DueUnixMS(occurrence) <= nowUnixMS; occurrence++ {
		steps := j.unblockedSteps(occurrence)
		for i := range steps {
			step := steps[(i+offset)%len(steps)]
			count := j.Spec.GetSteps()[step].GetCount()
			idle := count - j.count(occurrence, step).busy
			if idle == 0 || idle < count && j.Spec.GetSteps()[step].GetGang() {
				continue
			}
			if !yield(readyStep{occurrence, step, idle}) {
				return
			}
		}
	}
}

// ReadyTasks returns the number of tasks that may start at a time, up to a limit, and the
// number of tasks of the first unit.
func (j *Job) ReadyTasks(nowUnixMS int64, limit int) (tasks, first int) {
	j.readySteps(nowUnixMS, 0, func(s readyStep) bool {
		if tasks == 0 {
			first = j.unitTasks(s.step)
		}
		tasks += int(s.idle)
		return tasks < limit
	})
	return min(tasks, limit), first
}

// unitTasks returns the number of tasks of a unit of a step.
func (j *Job) unitTasks(step int32) int {
	if s := j.Spec.GetSteps()[step]; s.GetGang() {
		return int(s.GetCount())
	}
	return 1
}

// Ready returns the units that may start at the given time: their occurrence is due,
// all steps that theirs depends on are done, and none of their tasks is done or
// active. It returns none if the job has ended or is cancelled.
func (j *Job) Ready(nowUnixMS int64) []Unit { return j.ReadyUpTo(nowUnixMS, math.MaxInt32, 0) }

// ReadyUpTo is like Ready, with units of at most limit tasks together, or one unit. The first
// of each step come before others, as different steps need different workers. If not all steps
// have one, those from offset on do, so that calls with other offsets reach the others.
func (j *Job) ReadyUpTo(nowUnixMS int64, limit, offset int) []Unit {
	ready, firsts := j.firstReadySteps(nowUnixMS, limit, 0)
	if firsts >= limit {
		ready, firsts = j.firstReadySteps(nowUnixMS, limit, offset)
	}
	slices.SortFunc(ready, func(a, b readyStep) int {
		return cmp.Or(cmp.Compare(a.occurrence, b.occurrence), cmp.Compare(a.step, b.step))
	})
	var units []Unit
	more := max(0, limit-firsts) // tasks beyond the first unit of each step
	for _, s := range ready {
		found := j.readyUnits(s.occurrence, s.step, j.Spec.GetSteps()[s.step], 1+more)
		more -= max(0, len(found)-1)
		units = append(units, found...)
	}
	return units
}

// firstReadySteps returns the first steps with tasks that may start, as readySteps orders them,
// whose first units have at most limit tasks together, and the number of these tasks. It
// returns one step at least if there is one.
func (j *Job) firstReadySteps(nowUnixMS int64, limit, offset int) (ready []readyStep, tasks int) {
	j.readySteps(nowUnixMS, offset, func(s readyStep) bool {
		n := j.unitTasks(s.step)
		if tasks+n > limit && len(ready) > 0 {
			tasks = limit
			return false
		}
		ready, tasks = append(ready, s), tasks+n
		return tasks < limit
	})
	return ready, tasks
}

// readyUnits returns the first units of a step of an occurrence that are neither done nor
// active: a gang, or at most limit tasks.
func (j *Job) readyUnits(occurrence, stepIndex int32, step *flow.Step, limit int) []Unit {
	if step.GetGang() {
		members := j.Members(Ref{occurrence, stepIndex, 0})
		if !j.mayOpen(members[0]) || slices.ContainsFunc(members, func(ref Ref) bool { return !j.idle(ref) }) {
			return nil
		}
		return []Unit{{Job: j, Step: step, Tasks: members}}
	}
	c := j.count(occurrence, stepIndex)
	first, limit := c.idleFrom, min(limit, int(step.GetCount()-c.busy))
	var units []Unit
	for i := c.idleFrom; i < step.GetCount() && int(i-c.idleFrom) < limit+maxScan && len(units) < limit; i++ {
		ref := Ref{occurrence, stepIndex, i}
		switch {
		case !j.idle(ref):
			if first == i {
				first = i + 1
			}
		case j.mayOpen(ref):
			units = append(units, Unit{Job: j, Step: step, Tasks: []Ref{ref}})
		}
	}
	if o := j.open[occurrence]; o != nil && first > c.idleFrom {
		c.idleFrom = first
		o.steps[stepIndex] = c
	}
	return units
}

// idle reports whether a task is neither done nor active.
func (j *Job) idle(ref Ref) bool {
	if t := j.tasks[ref]; t != nil {
		return !t.busy()
	}
	return !j.donePages.contains(j.layout.page(ref))
}

// mayOpen reports whether a task may start while the tasks in memory are limited; see
// LimitTasks. The tasks of the first page that is not done always may, so that the job goes on.
func (j *Job) mayOpen(ref Ref) bool {
	if j.taskLimit == 0 || len(j.tasks) < j.taskLimit || !j.Paged() {
		return true
	}
	page, first := j.layout.page(ref), int64(0)
	if len(j.donePages) > 0 && j.donePages[0].first == 0 {
		first = j.donePages[0].end
	}
	return page <= first || j.pageTasks[page] > 0
}

// LimitTasks has no page of progress begun while the job has at least limit tasks in memory:
// those that were started and whose page is not done. 0 means that there is no limit.
func (j *Job) LimitTasks(limit int) { j.taskLimit = limit }
