package duty

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"catkinpoint/flow"
	"catkinpoint/graph"
	"catkinpoint/plan"
)

// noteLeaving records when a worker leaves at the earliest, from the next report about it.
// The time counts from the first report that has it: relays repeat it until the worker sends
// another.
func (w *worker) noteLeaving(next *flow.Worker, now time.Duration) {
	if !next.GetDraining() {
		w.leavesAt = 0
		return
	}
	if !w.info.GetDraining() || w.info.GetBornMs() != next.GetBornMs() || w.info.GetRemainingMs() != next.GetRemainingMs() {
		w.leavesAt = now + time.Duration(next.GetRemainingMs())*time.Millisecond
	}
}

// leaving reports whether the worker has said that it leaves, and has not left.
func (w *worker) leaving() bool { return w.info.GetDraining() && !w.info.GetGone() }

// saveLeavingWork stops the units with a task on a worker that leaves, if less work is lost
// than if they run on (see plan.StopLeaving).
func (st *state) saveLeavingWork(now time.Duration) {
	decided := map[taskKey]bool{}
	for _, w := range st.workers {
		if !w.leaving() {
			continue
		}
		for _, t := range st.activeOn(w.relay) {
			key := t.job.unitOf(t.Ref)
			if t.Place != w.place || decided[key] {
				continue
			}
			decided[key] = true
			unit, ok := st.leavingUnit(t.job, t.Ref, now)
			if !ok || !plan.StopLeaving(unit) {
				continue
			}
			leavingStopsCounter.Add(context.Background(), 1)
			klog.InfoS("duty: unit stopped before its worker leaves", "job", t.job.graph.Spec.GetId(), "step", t.Ref.Step, "index", t.Ref.Index,
				"run", t.Run, "worker", w.place.Worker, "left_ms", unit.Left.Milliseconds(), "remaining_ms", unit.Remaining.Milliseconds(),
				"checkpointing", unit.Checkpointing, "done_core_s", int64(unit.Done))
			st.stopUnit(t.job, t.Ref)
		}
	}
}

// leavingUnit describes the unit of a task for the decision. It reports false for a unit that
// lasts, is being stopped or is done, and for one of which a run has not begun as far as is
// known: it loses nothing yet, or this holder has not seen its progress. Without that a gang
// that would have ended within 0.7 s was stopped right after a change of the holder.
func (st *state) leavingUnit(j *job, ref graph.Ref, now time.Duration) (plan.Leaving, bool) {
	step := j.graph.Step(ref)
	if step.GetLongRunning() || j.graph.Ended() {
		return plan.Leaving{}, false
	}
	unit := plan.Leaving{Checkpointing: step.GetCheckpointing()}
	cores, found := needOf(step).CoreEquivalents(), false
	for _, member := range j.graph.Members(ref) {
		m, r := j.graph.Task(member), j.runs[member]
		if m == nil || !m.Active() {
			continue
		}
		if m.Done || r == nil || r.run != m.Run || r.stopOrdered || r.begunAt == 0 {
			return plan.Leaving{}, false
		}
		unit.Remaining = max(unit.Remaining, r.remaining(now))
		done := st.unsavedWork(j, member, now)
		if !unit.Checkpointing { // the work before this holder knew of the run
			done += r.expectedTime * time.Duration(r.firstPercent) / 100
		}
		unit.Done += done.Seconds() * cores
		unit.Rate += cores
		if w := st.byPlace[m.Place]; w != nil && w.leaving() {
			if left := w.leavesAt - now; !found || left < unit.Left {
				unit.Left, found = left, true
			}
		}
	}
	return unit, found
}
