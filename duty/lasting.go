package duty

import (
	"slices"
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

// lastingFailure is a failed run of a task that lasts, or of a gang of such tasks, with the
// workers on which it failed.
type lastingFailure struct {
	unit    taskKey
	at      time.Duration
	workers []*worker
}

// recordLastingFailure uses the failure of a task that lasts as evidence. Its step is at
// fault if runs of it have failed on different workers and no task of it runs soundly on
// others: then the failures count against no worker. Otherwise the workers may be. Members of
// a gang that fail in one run do not show more than one of them.
func (st *state) recordLastingFailure(w *worker, j *job, ref graph.Ref, run int64, now time.Duration) {
	key, unit := stepOf(ref), j.unitOf(ref)
	unit.run = run
	if j.lastingFailures == nil {
		j.lastingFailures = map[stepKey][]lastingFailure{}
	}
	failures := slices.DeleteFunc(j.lastingFailures[key], func(f lastingFailure) bool { return now-f.at > failureMemory })
	i := slices.IndexFunc(failures, func(f lastingFailure) bool { return f.unit == unit })
	if i < 0 {
		i = len(failures)
		failures = append(failures, lastingFailure{unit: unit})
	}
	failures[i].at = now
	if !slices.Contains(failures[i].workers, w) {
		failures[i].workers = append(failures[i].workers, w)
	}
	j.lastingFailures[key] = failures
	elsewhere := slices.ContainsFunc(failures, func(f lastingFailure) bool {
		return !slices.ContainsFunc(f.workers, func(other *worker) bool { return slices.Contains(failures[i].workers, other) })
	})
	if !elsewhere || st.provedElsewhere(w, j, ref, now) {
		w.health.taskFailed(unit, run, fullFailure, w.place.Worker, now, true, st.enoughTrusted(w, now))
		return
	}
	klog.InfoS("duty: step at fault", "job", j.graph.Spec.GetId(), "step", ref.Step, "occurrence", ref.Occurrence, "failed_runs", len(failures))
	for _, f := range failures {
		for _, other := range f.workers {
			other.health.withdrawFailure(f.unit, other.place.Worker, now)
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
