package duty

import (
	"k8s.io/klog/v2"

	"catkinpoint/graph"
)

// failuresOf returns the failed runs that count for a task, or for its gang.
func (j *job) failuresOf(ref graph.Ref) int32 {
	if t := j.graph.Task(ref); t != nil {
		return t.Failures
	}
	return 0
}

// overAs returns how a run was taken as over before its worker listed an end, or "" if the
// run is active.
func (j *job) overAs(ref graph.Ref, run int64) string {
	if t := j.graph.Task(ref); t != nil && t.Run == run && t.Active() {
		return ""
	}
	if c := j.concluded[ref]; c.run == run {
		return c.how
	}
	return "unknown" // by an earlier holder, or before a later run was
}

// reportFailure logs what an end that a worker listed as failed counts for, given the
// failures before it. late is the result of overAs.
func (j *job) reportFailure(w *worker, ref graph.Ref, run int64, before int32, late string) {
	after := j.failuresOf(ref)
	counted := "no"
	if after > before {
		counted = "yes"
	}
	count(failuresCounter, 1, "counted", counted)
	klog.InfoS("duty: run failed", "job", j.graph.Spec.GetId(), "step", ref.Step, "index", ref.Index, "occurrence", ref.Occurrence, "run", run,
		"counted", counted, "failures_before", before, "failures", after, "max_attempts", j.graph.Spec.GetMaxAttempts(),
		"gang", j.graph.Step(ref).GetGang(), "late", late, "worker", w.place.Worker)
}
