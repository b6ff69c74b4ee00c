package fakeep

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"
)

// The states of a task in lists and in the record.
const (
	StateRunning = "running"
	StateDone    = "done"
	StateFailed  = "failed"
	StateStopped = "stopped"
)

// The causes of a stop in lists and in the record.
const (
	CauseLease   = "lease_expired"
	CauseStopped = "stopped"
	CauseClosed  = "endpoint_closed"
)

// Task is one run of an attempt.
type Task struct {
	endpoint *Endpoint
	spec     Spec
	run      int           // number among all starts of the endpoint
	fail     bool          // the task fails at once
	result   func() []byte // computes the result once
	ended    chan struct{} // closed at the end of the task

	// The endpoint's mutex guards the rest.
	timer       *time.Timer
	state       string
	stopCause   string // set once the task must stop
	leaseUntil  time.Time
	worked      time.Duration // work done, as run time at full speed
	speed       float64       // 1 is full speed, 0 is paused
	workedUntil time.Time     // worked includes the work up to this time
}

func newTask(e *Endpoint, spec Spec, run int) *Task {
	now := time.Now()
	t := &Task{
		endpoint:    e,
		spec:        spec,
		run:         run,
		fail:        e.failTasks,
		ended:       make(chan struct{}),
		state:       StateRunning,
		leaseUntil:  now.Add(spec.Lease),
		speed:       1,
		workedUntil: now,
	}
	t.result = sync.OnceValue(func() []byte { return e.opts.Work(spec.Attempt, spec.Body) })
	t.timer = time.AfterFunc(spec.Lease, t.onTimer)
	return t
}

// onTimer is called when the lease or the run time may have passed.
func (t *Task) onTimer() {
	t.endpoint.mu.Lock()
	defer t.endpoint.mu.Unlock()
	t.endIfDue()
}

// accrueWork adds the work done since the last call to worked.
func (t *Task) accrueWork() {
	now := time.Now()
	t.worked += time.Duration(float64(now.Sub(t.workedUntil)) * t.speed)
	t.workedUntil = now
}

// endIfDue ends the task if it is stopped, failed or done or if its lease has
// expired; otherwise it sets the timer to the next time at which it can end. In a
// freeze it does nothing. The caller holds the mutex.
func (t *Task) endIfDue() {
	if t.state != StateRunning || t.endpoint.frozen() {
		return
	}
	t.accrueWork()
	remaining := t.remaining()
	lease := time.Until(t.leaseUntil)
	switch {
	// The lease comes first: after a freeze a task whose lease has passed
	// must not be reported as done.
	case lease <= 0:
		t.finish(StateStopped, CauseLease)
	case t.stopCause != "":
		t.finish(StateStopped, t.stopCause)
	case t.fail:
		t.finish(StateFailed, "")
	case remaining <= 0:
		t.finish(StateDone, "")
	default:
		t.timer.Reset(min(lease, remaining))
	}
}

// remaining returns the time until the task is done at its current speed.
func (t *Task) remaining() time.Duration {
	work := t.spec.RunTime - t.worked
	if work <= 0 {
		return 0
	}
	if t.speed == 0 {
		return math.MaxInt64
	}
	// Rounding up keeps the timer from firing just before the end.
	return time.Duration(math.Ceil(float64(work) / t.speed))
}

// finish ends the task in the given state; cause is that of a stop, or "".
func (t *Task) finish(state, cause string) {
	e := t.endpoint
	t.timer.Stop()
	t.state = state
	t.stopCause = cause
	delete(e.running, t.run)
	e.recentlyEnded = append(e.recentlyEnded, t)
	if len(e.recentlyEnded) > maxRecentlyEnded {
		e.recentlyEnded = e.recentlyEnded[1:]
	}
	if state == StateStopped {
		e.recordEvent(t.event(KindStop, cause))
	} else {
		e.recordEvent(t.event(KindEnd, state))
	}
	e.recordUsage()
	close(t.ended)
}

func (t *Task) event(kind Kind, detail string) Event {
	return Event{
		Kind:         kind,
		Attempt:      t.spec.Attempt,
		Run:          t.run,
		Accelerators: t.spec.Accelerators,
		Detail:       detail,
	}
}

// Wait returns the result when the task has ended, or ErrFailed or ErrStopped. The
// task goes on if ctx ends first.
func (t *Task) Wait(ctx context.Context) ([]byte, error) {
	select {
	case <-t.ended:
	case <-ctx.Done():
		return nil, Error.Wrap(fmt.Errorf("wait for %q: %w", t.spec.Attempt, ctx.Err()))
	}
	t.endpoint.mu.Lock()
	state, cause := t.state, t.stopCause
	t.endpoint.mu.Unlock()
	switch state {
	case StateFailed:
		return nil, Error.Wrap(fmt.Errorf("run %q: %w", t.spec.Attempt, ErrFailed))
	case StateStopped:
		return nil, Error.Wrap(fmt.Errorf("run %q: %w: %s", t.spec.Attempt, ErrStopped, cause))
	default:
		return t.result(), nil
	}
}

// Status is one task in the list of Tasks.
type Status struct {
	Attempt      string `json:"attempt"`
	Run          int    `json:"run"`
	State        string `json:"state"`
	Cause        string `json:"cause,omitempty"`
	Accelerators int    `json:"accelerators"`
	WorkedMS     int64  `json:"worked_ms"`
	LeaseMS      int64  `json:"lease_ms"` // until the lease expires
}

func (t *Task) status() Status {
	if t.state == StateRunning {
		t.accrueWork()
	}
	return Status{
		Attempt:      t.spec.Attempt,
		Run:          t.run,
		State:        t.state,
		Cause:        t.stopCause,
		Accelerators: t.spec.Accelerators,
		WorkedMS:     t.worked.Milliseconds(),
		LeaseMS:      max(0, time.Until(t.leaseUntil).Milliseconds()),
	}
}

// Tasks returns the running and the recently ended tasks in order of their starts.
func (e *Endpoint) Tasks() []Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := []Status{}
	for _, t := range e.knownTasks() {
		list = append(list, t.status())
	}
	return list
}
