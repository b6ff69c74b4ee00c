package agent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"catkinpoint/clock"
	"catkinpoint/gang"
	"catkinpoint/permit"
	"catkinpoint/wire"
)

const (
	// renewalsPerLease is the number of renewals within one task lease if each is
	// answered at once. Two renewals in a row without an answer do not end the lease.
	renewalsPerLease = 3
	// drainGrace is the time after the start of a drain in which tasks that were
	// prepared before it may still start.
	drainGrace = 2 * time.Second
	// endpointRetryDelay is the time between two attempts to fetch the result of a
	// task, to stop it or to renew its lease.
	endpointRetryDelay = 200 * time.Millisecond
)

// launchTask checks the permit and starts the background goroutines that run the
// task and renew its lease. It runs on the control goroutine.
func (a *Agent) launchTask(s *state, t *task, now time.Time) {
	current := s.permit
	if err := current.Check(a.opts.Worker, now, a.opts.PermitAge); err != nil {
		a.step(s, t, gang.MemberLaunchAborted, err.Error())
		return
	}
	if s.draining && now.Sub(s.drainStarted) >= drainGrace {
		a.step(s, t, gang.MemberLaunchAborted, permit.ErrDraining.Error())
		return
	}
	t.launchedAt = now
	ctx, cancel := context.WithCancel(a.runCtx)
	t.cancel = cancel
	params := runParams{
		attempt:    t.attempt,
		job:        t.job,
		body:       t.body,
		resumeFrom: t.resumeFrom,
		lease:      t.member.LeaseDuration(now, a.opts.TaskLease),
		permit:     current,
	}
	a.background.Go(func() {
		defer cancel()
		a.runTask(ctx, params)
	})
	a.background.Go(func() { a.renewLoop(ctx, params.attempt) })
}

// runParams is what runTask needs of the state, copied because runTask does not
// run on the control goroutine.
type runParams struct {
	attempt    string
	job        *wire.Job
	body       []byte
	resumeFrom time.Duration
	lease      time.Duration // until the first renewal
	permit     permit.Permit
}

// runTask runs the task at the endpoint and passes its result to the control
// goroutine. It runs on a background goroutine.
func (a *Agent) runTask(ctx context.Context, params runParams) {
	attempt := params.attempt
	checkPermit := func() error { return params.permit.Check(a.opts.Worker, time.Now(), a.opts.PermitAge) }
	result, err := a.endpoint.startAndWait(ctx, attempt, params.job, params.body, params.resumeFrom, params.lease, checkPermit)
	if err != nil && !isTaskOutcome(err) && ctx.Err() == nil {
		// The connection broke after the request was written, so the endpoint may
		// know the task and keep its result.
		klog.Warningf("agent: The connection to the endpoint broke while task %s ran: %v.", attempt, err)
		result, err = a.fetchResult(ctx, attempt)
	}
	a.control.Post(func(s *state) { a.handleResult(s, attempt, result, err) })
}

// isTaskOutcome reports whether err says how the task ended: it was not started,
// failed or was stopped.
func isTaskOutcome(err error) bool {
	return errors.Is(err, errNotStarted) || errors.Is(err, errTaskFailed) || errors.Is(err, errTaskStopped)
}

// fetchResult asks the endpoint for the result until it answers, or ctx ends.
func (a *Agent) fetchResult(ctx context.Context, attempt string) ([]byte, error) {
	for {
		result, err := a.endpoint.result(ctx, attempt)
		if err == nil || isTaskOutcome(err) || errors.Is(err, errNoTask) {
			return result, err
		}
		if !clock.Sleep(ctx, endpointRetryDelay) {
			return nil, fmt.Errorf("fetching result: %w", ctx.Err())
		}
	}
}

// handleResult handles the result or error with which a task's request to the
// endpoint ended. It runs on the control goroutine.
func (a *Agent) handleResult(s *state, attempt string, result []byte, err error) {
	t, ok := s.tasks[attempt]
	if !ok || gang.Final(t.member.State) {
		return
	}
	t.confirmed = t.confirmed || err == nil || errors.Is(err, errTaskFailed) || errors.Is(err, errTaskStopped)
	switch {
	case err == nil:
		t.result = result
		a.step(s, t, gang.MemberExitOK, "")
	case errors.Is(err, errNotStarted):
		a.step(s, t, gang.MemberLaunchAborted, err.Error())
	case errors.Is(err, errTaskFailed):
		a.step(s, t, gang.MemberExitFailed, err.Error())
	default:
		// The endpoint may still run the task, so it has to be stopped.
		a.step(s, t, gang.MemberStop, err.Error())
	}
}

// renewLoop renews the task lease until the task has ended. The lease of a
// member of a gang counts from the last time at which the whole gang was known to
// be alive, so that the endpoint stops the task even if this process cannot.
func (a *Agent) renewLoop(ctx context.Context, attempt string) {
	period := a.opts.TaskLease / renewalsPerLease
	pause := period
	for clock.Sleep(ctx, pause) {
		pause = period
		lease := a.renewalLease(ctx, attempt)
		if lease <= 0 {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, period/2)
		err := a.endpoint.renew(callCtx, attempt, lease)
		cancel()
		if err == nil {
			a.markConfirmed(attempt)
		} else {
			pause = endpointRetryDelay
		}
		if errors.Is(err, errNoTask) || errors.Is(err, errTaskStopped) {
			a.fetchResultOfEndedTask(ctx, attempt)
			return
		}
	}
}

// markConfirmed records that the endpoint knows the task.
func (a *Agent) markConfirmed(attempt string) {
	a.control.Post(func(s *state) {
		if t, ok := s.tasks[attempt]; ok {
			t.confirmed = true
		}
	})
}

// fetchResultOfEndedTask handles a task that the endpoint no longer runs although
// the request that started it is still open, because that connection went silent.
// It fetches the result on another connection.
func (a *Agent) fetchResultOfEndedTask(ctx context.Context, attempt string) {
	if !clock.Sleep(ctx, endpointRetryDelay) {
		return // the open request was answered in the meantime
	}
	result, err := a.fetchResult(ctx, attempt)
	a.control.Post(func(s *state) { a.handleResult(s, attempt, result, err) })
}

// renewalLease returns the task lease that the attempt may be given now; 0 means
// that it must not be renewed.
func (a *Agent) renewalLease(ctx context.Context, attempt string) time.Duration {
	lease := time.Duration(0)
	_ = a.control.Do(ctx, func(s *state) {
		if t, ok := s.tasks[attempt]; ok && t.member.State == wire.TaskState_TASK_RUNNING {
			lease = t.member.LeaseDuration(time.Now(), a.opts.TaskLease)
		}
	}) // after an error, as the agent has ended, the lease is 0
	return lease
}

// startKill stops the task at the endpoint on a background goroutine. It runs on
// the control goroutine.
func (a *Agent) startKill(t *task) {
	attempt := t.attempt
	a.background.Go(func() { a.killUntilStopped(attempt) })
}

// killUntilStopped stops the task at the endpoint, retrying until it is certain
// that the task does not run any more, and then posts MemberKilled.
func (a *Agent) killUntilStopped(attempt string) {
	started := time.Now()
	for {
		known, err := a.endpoint.stop(a.runCtx, attempt)
		if known {
			a.markConfirmed(attempt)
		}
		// The lease is not renewed any more, so by then the endpoint has stopped
		// the task in any case.
		if err == nil || time.Since(started) > 2*a.opts.TaskLease {
			break
		}
		if !clock.Sleep(a.runCtx, endpointRetryDelay) {
			return
		}
	}
	a.postEvent(attempt, gang.MemberKilled, "")
}

// saveCheckpoint saves the work of a running task at the endpoint. It returns nil
// also if the endpoint no longer runs the task.
func (a *Agent) saveCheckpoint(attempt string) error {
	saved, err := a.endpoint.checkpoint(a.runCtx, attempt)
	if errors.Is(err, errNoTask) || errors.Is(err, errTaskStopped) {
		return nil
	}
	if err != nil {
		return err
	}
	a.control.Post(func(s *state) {
		if t, ok := s.tasks[attempt]; ok {
			t.checkpointedWork = saved
		}
	})
	return nil
}
