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
	// renewsPerLease leaves room for two lost renewals of a task lease.
	renewsPerLease = 3
	// drainGrace lets tasks start that were prepared before a drain began.
	drainGrace = 2 * time.Second
	// fetchRetry is the time between two attempts to fetch a result.
	fetchRetry = 200 * time.Millisecond
)

// launchTask checks the permit and starts the task. It runs on the control goroutine.
func (a *Agent) launchTask(s *state, t *task, now time.Time) {
	current := s.permit
	if err := current.Check(a.opts.Worker, now, a.opts.PermitAge); err != nil {
		a.step(s, t, gang.MemberNoPermit, err.Error())
		return
	}
	if s.draining && now.Sub(s.drainedFrom) >= drainGrace {
		a.step(s, t, gang.MemberNoPermit, permit.ErrDraining.Error())
		return
	}
	t.launchedAt = now
	ctx, cancel := context.WithCancel(a.life)
	t.cancel = cancel
	l := launch{
		attempt: t.attempt,
		job:     t.job,
		body:    t.body,
		resume:  t.resume,
		lease:   t.member.Renewal(now, a.opts.TaskLease),
		permit:  current,
	}
	a.traffic.Go(func() {
		defer cancel()
		a.runTask(ctx, l)
	})
	a.traffic.Go(func() { a.renewLoop(ctx, l.attempt) })
}

// launch is what a traffic goroutine needs to run a task.
type launch struct {
	attempt string
	job     *wire.Job
	body    []byte
	resume  time.Duration
	lease   time.Duration // the first task lease
	permit  permit.Permit
}

// runTask carries the task to the endpoint and its result back. It is a traffic
// goroutine.
func (a *Agent) runTask(ctx context.Context, l launch) {
	attempt := l.attempt
	guard := func() error { return l.permit.Check(a.opts.Worker, time.Now(), a.opts.PermitAge) }
	result, err := a.endpoint.run(ctx, attempt, l.job, l.body, l.resume, l.lease, guard)
	if err != nil && !isVerdict(err) && ctx.Err() == nil {
		// The connection broke after the request was written; the endpoint
		// still knows the task.
		klog.Warningf("agent: The connection of task %s broke: %v.", attempt, err)
		result, err = a.fetchResult(ctx, attempt)
	}
	a.control.Post(func(s *state) { a.exit(s, attempt, result, err) })
}

// isVerdict says whether the error tells what became of the task.
func isVerdict(err error) bool {
	return errors.Is(err, errNotStarted) || errors.Is(err, errTaskFailed) || errors.Is(err, errTaskStopped)
}

// fetchResult asks on fresh connections until the endpoint answers.
func (a *Agent) fetchResult(ctx context.Context, attempt string) ([]byte, error) {
	for {
		result, err := a.endpoint.result(ctx, attempt)
		if err == nil || isVerdict(err) || errors.Is(err, errNoTask) {
			return result, err
		}
		if !clock.Sleep(ctx, fetchRetry) {
			return nil, fmt.Errorf("fetching result: %w", ctx.Err())
		}
	}
}

// exit takes the end of a task. It runs on the control goroutine.
func (a *Agent) exit(s *state, attempt string, result []byte, err error) {
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
		a.step(s, t, gang.MemberNoPermit, err.Error())
	case errors.Is(err, errTaskFailed):
		a.step(s, t, gang.MemberExitFailed, err.Error())
	default:
		// The endpoint may still run the task, so it is stopped for certain.
		a.step(s, t, gang.MemberStop, err.Error())
	}
}

// renewLoop renews the task lease until the task has ended. The lease of a
// member of a gang counts from the last time the whole gang was alive, so that
// the endpoint stops the task even if this process can do nothing more.
func (a *Agent) renewLoop(ctx context.Context, attempt string) {
	period := a.opts.TaskLease / renewsPerLease
	for clock.Sleep(ctx, period) {
		lease := a.renewal(ctx, attempt)
		if lease <= 0 {
			continue
		}
		err := a.endpoint.renew(ctx, attempt, lease)
		if err == nil {
			a.confirm(attempt)
		}
		if errors.Is(err, errNoTask) || errors.Is(err, errTaskStopped) {
			a.fetchEnded(ctx, attempt)
			return
		}
	}
}

// confirm notes that the endpoint knows the task.
func (a *Agent) confirm(attempt string) {
	a.control.Post(func(s *state) {
		if t, ok := s.tasks[attempt]; ok {
			t.confirmed = true
		}
	})
}

// fetchEnded handles a task that the endpoint does not run any more although
// its request is still open: that connection went silent.
func (a *Agent) fetchEnded(ctx context.Context, attempt string) {
	if !clock.Sleep(ctx, fetchRetry) {
		return // the open request was answered meanwhile
	}
	result, err := a.fetchResult(ctx, attempt)
	a.control.Post(func(s *state) { a.exit(s, attempt, result, err) })
}

// renewal is the task lease that the attempt may have now; 0 means none.
func (a *Agent) renewal(ctx context.Context, attempt string) time.Duration {
	lease := time.Duration(0)
	_ = a.control.Do(ctx, func(s *state) {
		if t, ok := s.tasks[attempt]; ok && t.member.State == wire.TaskState_TASK_RUNNING {
			lease = t.member.Renewal(time.Now(), a.opts.TaskLease)
		}
	}) // an ended agent renews nothing
	return lease
}

// kill stops the task at the endpoint and reports once that is certain. It runs
// on the control goroutine.
func (a *Agent) kill(t *task) {
	attempt := t.attempt
	a.traffic.Go(func() { a.killTask(attempt) })
}

func (a *Agent) killTask(attempt string) {
	asked := time.Now()
	for {
		known, err := a.endpoint.stop(a.life, attempt)
		if known {
			a.confirm(attempt)
		}
		// Nothing renews the task any more, so its lease ends it in any case.
		if err == nil || time.Since(asked) > 2*a.opts.TaskLease {
			break
		}
		if !clock.Sleep(a.life, fetchRetry) {
			return
		}
	}
	a.event(attempt, gang.MemberKilled, "")
}

// checkpoint saves the work of a running task before it is stopped.
func (a *Agent) checkpoint(attempt string) error {
	saved, err := a.endpoint.checkpoint(a.life, attempt)
	if errors.Is(err, errNoTask) || errors.Is(err, errTaskStopped) {
		return nil
	}
	if err != nil {
		return err
	}
	a.control.Post(func(s *state) {
		if t, ok := s.tasks[attempt]; ok {
			t.checkpoint = saved
		}
	})
	return nil
}
