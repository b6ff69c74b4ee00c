package duty

import (
	"time"

	"k8s.io/klog/v2"

	"catkinpoint/graph"
)

// nearEnd is how much longer than its worker a run may take and is still left to
// end: workers stay for at least as long as they say, and a stop takes time too.
const nearEnd = 400 * time.Millisecond

// leaveDraining stops runs that cannot end before their worker does. They would
// be lost with it; now they save what they can, and their units start elsewhere
// while the worker is still there. Tasks that last are left until the worker
// ends, because each second at work counts.
func (st *state) leaveDraining(now time.Duration) {
	for _, w := range st.workers {
		if w.endsAt == 0 || w.info.GetGone() {
			continue
		}
		for _, t := range st.on(w.relay) {
			j, r := t.job, t.job.runs[t.Ref]
			if t.Place != w.place || r == nil || r.stop || t.Done || j.graph.Over() || j.graph.Step(t.Ref).GetLongRunning() {
				continue
			}
			left := max(0, w.endsAt-now)
			if r.remaining(now) <= left+nearEnd {
				continue
			}
			klog.InfoS("duty: run stopped before its worker ends", "job", j.graph.Spec.GetId(), "step", t.Ref.Step, "index", t.Ref.Index,
				"worker", t.Place.Worker, "percent", r.percent, "remaining_ms", r.remaining(now).Milliseconds(), "worker_ms", left.Milliseconds())
			st.stopUnit(j, t.Ref)
		}
	}
}

// stopUnit stops a task, or its whole gang.
func (st *state) stopUnit(j *job, ref graph.Ref) {
	for _, member := range j.graph.Members(ref) {
		if m := j.graph.Task(member); m != nil && m.Active() && !m.Done {
			st.stop(j, m)
		}
	}
}
