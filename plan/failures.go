package plan

import (
	"slices"
	"time"
)

// failureAvoidance is how long, for each of its failures, a unit waits for workers
// on which nothing has failed recently. Waiting is the lesser harm: a job that
// runs out of attempts is worth nothing, and a late one still most of its value.
const failureAvoidance = 4 * time.Second

// guaranteedTrialWait is how long guaranteed units avoid workers on trial.
const guaranteedTrialWait = time.Second

// allowsDespiteFailures reports whether a unit may run on a worker, given the
// failures on the worker and those of the unit. A worker on trial takes one task
// at a time, whose failure does little harm (see mayTestWorker), and guaranteed
// units that have waited for guaranteedTrialWait. If most workers are on trial it also
// takes a task of any unit that has waited as it would for reliable workers: there may
// be no task that does little harm, and then no worker was tested, all of them sound.
func (s *state) allowsDespiteFailures(r *Request, w int) bool {
	worker := &s.workers[w]
	switch {
	case worker.OnTrial && r.Guaranteed:
		return r.ReadyFor > guaranteedTrialWait
	case worker.OnTrial:
		return (mayTestWorker(r) || worker.FewTrusted && hasWaitedForTrust(r)) && !s.gotTask[w]
	case !avoidsFailedWorkers(r):
		return true
	}
	return !worker.Unreliable && !slices.Contains(r.FailedOn, worker.Place)
}

// avoidsFailedWorkers reports whether a unit that has failed still waits for a worker
// on which nothing has failed recently.
func avoidsFailedWorkers(r *Request) bool {
	return r.Failures > 0 && r.ReadyFor < time.Duration(r.Failures)*failureAvoidance
}

// hasWaitedForTrust reports whether a unit has waited for reliable workers for as long as its
// failures, or a first attempt, are worth.
func hasWaitedForTrust(r *Request) bool {
	return r.ReadyFor > time.Duration(max(1, r.Failures))*failureAvoidance
}

// mayTestWorker reports whether a unit may run on a worker on trial, to show whether
// the worker is healthy again: a single task that has not failed before and is
// not urgent.
func mayTestWorker(r *Request) bool {
	return r.Failures == 0 && len(r.Unit.Tasks) == 1 && r.priority() > 0
}
