package graph

import (
	"slices"
	"strings"
)

// maxKeptRuns bounds the failed runs that are known by their numbers, and the runs whose worker
// may still list them as failed. Ends come late by seconds, so that they are of one of the last
// runs.
const maxKeptRuns = 64

// countFailure counts a failed run of a task or of its gang, and reports whether it was not
// counted before. Each member of a gang that fails brings an end of the same run.
func (j *Job) countFailure(ref Ref, run int64) bool {
	if j.Step(ref).GetLongRunning() {
		return false
	}
	// Members may differ if their progress is in several pages and not all were stored.
	failures, lastRun := int32(0), int64(0)
	members := j.Members(ref)
	for _, member := range members {
		if m := j.tasks[member]; m != nil {
			if m.countsAsFailed(run) {
				return false
			}
			failures, lastRun = max(failures, m.Failures), max(lastRun, m.Run)
		}
	}
	// An earlier build may have counted the run: it stored no numbers of runs.
	failures = int32(min(int64(failures)+1, lastRun))
	for _, member := range members {
		if m := j.tasks[member]; m != nil {
			j.change(m, func() {
				m.Failures, m.failedRuns = failures, insertRun(m.failedRuns, run)
			})
		}
	}
	return true
}

// countsAsFailed reports whether a run is among the failures of the task.
func (t *Task) countsAsFailed(run int64) bool {
	_, found := slices.BinarySearch(t.failedRuns, run)
	return found || len(t.failedRuns) == maxKeptRuns && run < t.failedRuns[0]
}

// RecordLateFailure counts a run as failed that was taken as over before its worker listed
// that end, and reports whether it was not counted: another member of the gang may have
// failed in the same run. It counts only runs that a stored record has as unlisted, or that
// are known to be taken as over for another reason than the end of their lease. It does
// nothing once the job has ended.
func (j *Job) RecordLateFailure(ref Ref, run int64, known bool) bool {
	t := j.tasks[ref]
	if j.Ended() || t == nil || !known && !slices.Contains(t.unlistedRuns, run) {
		return false
	}
	return j.countFailure(ref, run)
}

// mayListFailure reports whether a worker may list a run as failed that ended in the given
// way. A refused start may be carried out late only by another process of the worker, in
// which it is stopped. Refusals come many at a time and would displace other runs.
func mayListFailure(outcome string) bool {
	return !slices.Contains(workerEnds, outcome) && outcome != EndUnreachable && !strings.HasPrefix(outcome, RefusedPrefix)
}

// insertRun adds a run to a sorted list of the last runs.
func insertRun(runs []int64, run int64) []int64 {
	i, found := slices.BinarySearch(runs, run)
	if found {
		return runs
	}
	runs = slices.Insert(runs, i, run)
	return runs[max(0, len(runs)-maxKeptRuns):]
}

// MaxFailures returns the most failures of any task that is not done.
func (j *Job) MaxFailures() int32 {
	most := int32(0)
	for _, t := range j.failing {
		most = max(most, t.Failures)
	}
	return most
}

// attemptsExhausted reports whether a task that is not done has failed as often as
// the job allows.
func (j *Job) attemptsExhausted() bool {
	return j.MaxFailures() >= max(1, j.Spec.GetMaxAttempts())
}
