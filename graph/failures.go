package graph

import "slices"

const (
	// maxFailedRuns bounds the failed runs that are known by their numbers. Ends come late by
	// seconds, so that they are of one of the last runs.
	maxFailedRuns = 64
	// maxUnlistedRuns is that of runs whose worker may still list them as failed.
	maxUnlistedRuns = 8
)

// countFailure counts a failed run of a task or of its gang, and reports whether it was not
// counted before. Each member of a gang that fails brings an end of the same run.
func (j *Job) countFailure(ref Ref, run int64) bool {
	if j.Step(ref).GetLongRunning() {
		return false
	}
	// Members may differ if their progress is in several pages and not all were stored.
	failures := int32(0)
	members := j.Members(ref)
	for _, member := range members {
		if m := j.tasks[member]; m != nil {
			if m.countsAsFailed(run) {
				return false
			}
			failures = max(failures, m.Failures)
		}
	}
	for _, member := range members {
		if m := j.tasks[member]; m != nil {
			j.change(m, func() {
				m.Failures, m.failedRuns = failures+1, insertRun(m.failedRuns, run, maxFailedRuns)
			})
		}
	}
	return true
}

// countsAsFailed reports whether a run is among the failures of the task.
func (t *Task) countsAsFailed(run int64) bool {
	_, found := slices.BinarySearch(t.failedRuns, run)
	return found || len(t.failedRuns) == maxFailedRuns && run < t.failedRuns[0]
}

// RecordLateFailure counts a run as failed that was taken as over before its worker listed
// that end, and reports whether it was not counted: another member of the gang may have
// failed in the same run. It ignores runs that were over because their lease had run out,
// and does nothing once the job has ended.
func (j *Job) RecordLateFailure(ref Ref, run int64) bool {
	t := j.tasks[ref]
	if j.Ended() || t == nil || !slices.Contains(t.unlistedRuns, run) {
		return false
	}
	return j.countFailure(ref, run)
}

// insertRun adds a run to a sorted list of the last runs, of which it keeps at most limit.
func insertRun(runs []int64, run int64, limit int) []int64 {
	i, found := slices.BinarySearch(runs, run)
	if found {
		return runs
	}
	runs = slices.Insert(runs, i, run)
	return runs[max(0, len(runs)-limit):]
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
