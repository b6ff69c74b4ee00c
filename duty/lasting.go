package duty

import (
	"time"

	"k8s.io/klog/v2"

	"catkinpoint/graph"
)

// lastingProof is how long a run of a step that lasts has to be at work to show that its
// worker is sound. Such a run never ends as done.
const lastingProof = 3 * time.Second

// stepKey identifies a step of an occurrence of a job.
type stepKey struct{ occurrence, step int32 }

func stepOf(ref graph.Ref) stepKey { return stepKey{ref.Occurrence, ref.Step} }

// recordLastingFailure uses the failure of a task that lasts as evidence. Its step is at
// fault if tasks of it have failed on several workers and run soundly on none: then the
// failures count against no worker. Otherwise the worker may be.
func (st *state) recordLastingFailure(w *worker, j *job, ref graph.Ref, run int64, now time.Duration) {
	key := stepOf(ref)
	if j.lastingFailures == nil {
		j.lastingFailures = map[stepKey]map[*worker]time.Duration{}
	}
	failedOn := j.lastingFailures[key]
	if failedOn == nil {
		failedOn = map[*worker]time.Duration{}
		j.lastingFailures[key] = failedOn
	}
	failedOn[w] = now
	for other, at := range failedOn {
		if now-at > failureMemory {
			delete(failedOn, other)
		}
	}
	if len(failedOn) < 2 || st.provedElsewhere(w, j, ref, now) {
		unit := j.unitOf(ref)
		unit.run = run
		w.health.taskFailed(unit, run, fullFailure, w.place.Worker, now, true)
		return
	}
	klog.InfoS("duty: step at fault", "job", j.graph.Spec.GetId(), "step", ref.Step, "occurrence", ref.Occurrence, "workers", len(failedOn))
	for other := range failedOn {
		for failed := range other.health.failed {
			if failed.job == j && stepOf(failed.ref) == key {
				other.health.withdrawFailure(failed, other.place.Worker, now)
			}
		}
	}
}

// provedElsewhere reports whether a run of the task's step is soundly at work on another
// worker.
func (st *state) provedElsewhere(w *worker, j *job, ref graph.Ref, now time.Duration) bool {
	for _, t := range j.graph.Active() {
		r := j.runs[t.Ref]
		if stepOf(t.Ref) == stepOf(ref) && t.Place != w.place && r != nil && r.provesWorker(now) {
			return true
		}
	}
	return false
}

// provesWorker reports whether a run that lasts has been at work for lastingProof.
func (r *run) provesWorker(now time.Duration) bool {
	return r.begunAt > 0 && now-r.begunAt >= lastingProof
}
