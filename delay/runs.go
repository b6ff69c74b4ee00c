package delay

import (
	"cmp"
	"slices"
)

// causesOfRuns has the causes for which a run can end. A run of a gang with several has the
// first of them: the cancellation of the job, and then as for late jobs.
var causesOfRuns = append([]Cause{JobCancelled}, causesByPrecedence...)

// runKey identifies a run of a gang within its job. Runs of the single tasks of a step
// can have the same key.
type runKey struct{ occurrence, step, run int64 }

// memberKey identifies a task in lines that do not name its occurrence.
type memberKey struct{ step, index int64 }

// runHistory is what the lines say about the runs with one runKey: that of a gang, or those
// of single tasks.
type runHistory struct {
	// gang reports whether this is known to be the run of a gang.
	gang bool
	// cause is the first cause, in the order of causesOfRuns, that a line tells, or "".
	cause Cause
	// ended has the tasks that have ended, by index.
	ended  map[int64]bool
	losses []loss
}

// loss is the work that was lost with the end of a run of one task.
type loss struct {
	coreSeconds int64
	// cause is that of this end, or "" if the lines on the task tell none, such as
	// those on the other members of a gang.
	cause Cause
	// lastCause is the cause for which a run of the job was last stopped or ended before.
	// It stands in if no line on the run tells a cause: when a job has failed, its other
	// runs are stopped without a line on why.
	lastCause Cause
}

// endCause returns the cause that a "duty: run over" line on a run that was not done tells, or
// "" if it tells none.
func endCause(l logLine) Cause {
	if l.fields["cancelled"] == "true" {
		return JobCancelled
	}
	switch l.fields["how"] {
	case "stopped", "broken":
		return ""
	case "failed":
		return RunFailed
	case "gone", "replaced", "unreachable", "lapsed":
		return WorkerLost
	default: // "alone", "never_started" and the reasons of refusals
		return NotStarted
	}
}

// recordPlacement records that a unit is placed, after which earlier stops of its tasks
// do not matter.
func (j *jobHistory) recordPlacement(l logLine) {
	step, index, gang := l.integer("step"), l.integer("index"), l.integer("tasks") > 1
	if gang {
		j.gangSteps[step] = true
	}
	for member := range j.stops {
		if member.step == step && (gang || member.index == index) {
			delete(j.stops, member)
		}
	}
}

// recordStop records that a run of a task is stopped. The line does not name the run, which
// is known once the task ends.
func (j *jobHistory) recordStop(l logLine, c Cause) {
	j.seen[c], j.lastCause = true, c
	j.stops[memberKey{l.integer("step"), l.integer("index")}] = c
}

// recordEnd records the end of a run of a task and the work that was lost with it.
func (j *jobHistory) recordEnd(l logLine) {
	index := l.integer("index")
	member := memberKey{l.integer("step"), index}
	stop := j.stops[member]
	delete(j.stops, member)
	r := j.findRun(l)
	r.ended[index] = true
	r.addCause(stop)
	how := l.fields["how"]
	r.gang = r.gang || j.gangSteps[member.step] || how == "broken" || how == "alone" // only members of gangs end so
	if how == "done" {
		return
	}
	end := loss{coreSeconds: l.integer("lost_core_s"), cause: endCause(l), lastCause: j.lastCause}
	if end.cause == "" {
		end.cause = stop
	} else {
		j.seen[end.cause], j.lastCause = true, end.cause
		r.addCause(end.cause)
	}
	r.losses = append(r.losses, end)
}

// findRun returns the history of the run that ended by a "duty: run over" line. Lines of
// older logs can lack the run, and each is then about a run of its own, or the occurrence,
// and a task that ends again then does so in another one.
func (j *jobHistory) findRun(l logLine) *runHistory {
	key := runKey{l.integer("occurrence"), l.integer("step"), l.integer("run")}
	r := j.runs[key]
	if r == nil || key.run == 0 || l.fields["occurrence"] == "" && r.ended[l.integer("index")] {
		r = &runHistory{ended: map[int64]bool{}}
		j.runs[key] = r
		j.allRuns = append(j.allRuns, r)
	}
	return r
}

// addCause adds a cause that a line on the run tells; "" is none.
func (r *runHistory) addCause(c Cause) {
	if c != "" && (r.cause == "" || slices.Index(causesOfRuns, c) < slices.Index(causesOfRuns, r.cause)) {
		r.cause = c
	}
}

// addLostWork adds the work that was lost with the runs of a job to the report. Members of
// a gang end together, so that all lose their work for the cause of the run, whichever of
// them was heard of first.
func (in *logReader) addLostWork(j *jobHistory) {
	for _, r := range j.allRuns {
		for _, l := range r.losses {
			cause := l.cause
			if r.gang {
				cause = r.cause
			}
			in.report.LostCoreSeconds[cmp.Or(cause, l.lastCause, Other)] += l.coreSeconds
		}
	}
}
