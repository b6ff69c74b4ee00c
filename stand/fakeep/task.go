package fakeep

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"
)

// The states of a task, as they stand in lists and in the record.
const (
	StateRunning = "running"
	StateDone    = "done"
	StateFailed  = "failed"
	StateStopped = "stopped"
)

// The causes of a stop, as they stand in lists and in the record.
const (
	CauseLease   = "lease_expired"
	CauseStopped = "stopped"
	CauseClosed  = "endpoint_closed"
)

// Task is one run of an attempt.
type Task struct {
	endpoint *Endpoint
	spec     Spec
	run      int
	fail     bool
	result   func() []byte
	ended    chan struct{}

	// The endpoint's mutex guards the rest.
	timer      *time.Timer
	state      string
	stopCause  string
	leaseUntil time.Time
	worked     time.Duration
	speed      float64
	counted    time.Time // worked is counted until then
}

func newTask(e *Endpoint, spec Spec, run int) *Task {
	now := time.Now()
	t := &Task{
		endpoint:   e,
		spec:       spec,
		run:        run,
		fail:       e.failTasks,
		ended:      make(chan struct{}),
		state:      StateRunning,
		leaseUntil: now.Add(spec.Lease),
		speed:      1,
		counted:    now,
	}
	t.result = sync.OnceValue(func() []byte { return e.opts.Work(spec.Attempt, spec.Body) })
	t.timer = time.AfterFunc(spec.Lease, t.wake)
	return t
}

func (t *Task) wake() {
	t.endpoint.mu.Lock()
	defer t.endpoint.mu.Unlock()
	t.step()
}

// advance counts the work done since the last call.
func (t *Task) advance() {
	now := time.Now()
	t.worked += time.Duration(float64(now.Sub(t.counted)) * t.speed)
	t.counted = now
}

// step ends the task if it is time, or sets the timer for the next step.
func (t *Task) step() {
	if t.state != StateRunning || t.endpoint.frozen() {
		return
	}
	t.advance()
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

// remaining is the time until the end at the present speed.
func (t *Task) remaining() time.Duration {
	work := t.spec.Run - t.worked
	if work <= 0 {
		return 0
	}
	if t.speed == 0 {
		return math.MaxInt64
	}
	// Rounding up keeps the timer from firing just before the end.
	return time.Duration(math.Ceil(float64(work) / t.speed))
}

func (t *Task) finish(state, cause string) {
	e := t.endpoint
	t.timer.Stop()
	t.state = state
	t.stopCause = cause
	delete(e.running, t.run)
	e.recent = append(e.recent, t)
	if len(e.recent) > maxEnded {
		e.recent = e.recent[1:]
	}
	if state == StateStopped {
		e.note(t.event(KindStop, cause))
	} else {
		e.note(t.event(KindEnd, state))
	}
	e.noteUsage()
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

// Wait returns the result once the task has ended, ErrFailed or ErrStopped; it
// does not stop the task when ctx ends.
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

// Status is one task in a list.
type Status struct {
	Attempt      string `json:"attempt"`
	Run          int    `json:"run"`
	State        string `json:"state"`
	Cause        string `json:"cause,omitempty"`
	Accelerators int    `json:"accelerators"`
	WorkedMS     int64  `json:"worked_ms"`
	LeaseMS      int64  `json:"lease_ms"` // until the lease ends
}

func (t *Task) status() Status {
	if t.state == StateRunning {
		t.advance()
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

// Tasks lists the running and the recently ended tasks, in order of their start.
func (e *Endpoint) Tasks() []Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := []Status{}
	for _, t := range e.known() {
		list = append(list, t.status())
	}
	return list
}
