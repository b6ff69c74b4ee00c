package duty

import (
	"slices"
	"time"

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

// knownOver reports whether this holder took a run as over for another reason than the end
// of its lease, before its worker listed an end.
func (j *job) knownOver(ref graph.Ref, run int64) bool {
	c, ok := j.concluded[ref]
	return ok && c.run == run && c.how != graph.EndUnreachable
}

// reportFailure logs and counts whether an end that a worker listed as failed uses an attempt,
// given the failures before it. late is the result of overAs.
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

// unitOf returns the key of a task or, if it is a member of a gang, of the gang.
func (j *job) unitOf(ref graph.Ref) taskKey { return taskKey{job: j, ref: j.graph.FirstMember(ref)} }

// gangFailure has the workers on which members of the last failed run of a gang failed.
type gangFailure struct {
	run     int64
	workers []*worker
}

// failedTogether records that a member of a gang has failed on a worker, and returns all
// workers on which members have failed in the same run.
func (j *job) failedTogether(w *worker, unit taskKey, run int64) []*worker {
	f := j.gangFailures[unit.ref]
	if f.run != run {
		f = gangFailure{run: run}
	}
	if !slices.Contains(f.workers, w) {
		f.workers = append(f.workers, w)
	}
	if j.gangFailures == nil {
		j.gangFailures = map[graph.Ref]gangFailure{}
	}
	j.gangFailures[unit.ref] = f
	return f.workers
}

// recordOutcome uses the end of a run as evidence on its worker's health. If a task
// has also failed on another worker that is not on trial, the task is at fault, and
// its failures do not count against its workers. Members of a gang that fail on one worker
// in one run are one failure there, and those that fail on several workers less on each.
func (st *state) recordOutcome(w *worker, j *job, ref graph.Ref, run int64, how string, now time.Duration) {
	switch how {
	case graph.EndDone:
		w.health.taskSucceeded()
	case graph.EndFailed:
		if j.graph.Step(ref).GetLongRunning() {
			st.recordLastingFailure(w, j, ref, run, now)
			return
		}
		unit, points := j.unitOf(ref), fullFailure
		if j.graph.Step(ref).GetGang() {
			if together := j.failedTogether(w, unit, run); len(together) > 1 {
				points = sharedFailure
				for _, other := range together {
					other.health.shareFailure(unit, run, other.place.Worker, now)
				}
			}
		}
		taskAtFault := false
		for _, other := range j.failedOn[ref] {
			if other != w && !w.health.onTrial(now) {
				other.health.withdrawFailure(unit, other.place.Worker, now)
			}
			taskAtFault = taskAtFault || other != w && !other.health.onTrial(now)
		}
		if !taskAtFault {
			w.health.taskFailed(unit, run, points, w.place.Worker, now, points == fullFailure || st.enoughTrusted(w, now), st.enoughTrusted(w, now))
		}
		if !slices.Contains(j.failedOn[ref], w) {
			j.failedOn[ref] = append(j.failedOn[ref], w)
		}
	}
}

// Of the workers of a service, one in oneTrustedIn is not put on trial because of gangs that
// fail on several workers: such gangs may be at fault themselves. If fewer are off trial, the
// cause is taken to be none of the workers.
const oneTrustedIn = 3

// enoughTrusted reports whether one more worker of the same service may be put on trial
// because of gangs that fail on several workers.
func (st *state) enoughTrusted(w *worker, now time.Duration) bool {
	workers, trusted := st.countTrusted(w.info.GetService(), now)
	if !w.health.onTrial(now) {
		trusted--
	}
	return trusted*oneTrustedIn >= workers
}

// countTrusted returns how many workers a service has, and how many of them are not on trial.
func (st *state) countTrusted(service string, now time.Duration) (workers, trusted int) {
	for _, w := range st.workers {
		if w.info.GetService() != service || w.info.GetGone() || now-w.lastReport > groupsMemory {
			continue
		}
		workers++
		if !w.health.onTrial(now) {
			trusted++
		}
	}
	return workers, trusted
}

// fewTrusted returns the services of which more workers are on trial than failures of their
// own explain.
func (st *state) fewTrusted(now time.Duration) map[string]bool {
	few := map[string]bool{}
	for _, w := range st.workers {
		service := w.info.GetService()
		if _, known := few[service]; !known {
			workers, trusted := st.countTrusted(service, now)
			few[service] = trusted*oneTrustedIn < workers
		}
	}
	return few
}
