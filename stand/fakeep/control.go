package fakeep

import (
	"context"
	"fmt"
	"time"
)

// updateRunning calls f on every run of an attempt that has not ended, and ends
// the run if it is due afterwards. It returns ErrNoTask if there is no such run.
func (e *Endpoint) updateRunning(attempt string, f func(t *Task)) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	found := false
	for _, t := range e.runningTasks() {
		if t.spec.Attempt != attempt {
			continue
		}
		t.endIfDue()
		if t.state != StateRunning {
			continue
		}
		found = true
		f(t)
		t.endIfDue()
	}
	if !found {
		return Error.Wrap(fmt.Errorf("find running %q: %w", attempt, ErrNoTask))
	}
	return nil
}

// Renew sets the end of the lease of an attempt to lease from now; 0 means the
// lease that it was started with.
func (e *Endpoint) Renew(attempt string, lease time.Duration) error {
	return e.updateRunning(attempt, func(t *Task) {
		if lease == 0 {
			lease = t.spec.Lease
		}
		// A lease that expired during a freeze is not revived.
		if time.Now().Before(t.leaseUntil) {
			t.leaseUntil = time.Now().Add(lease)
		}
	})
}

// Checkpoint records a checkpoint and returns the work done so far, as run time at
// full speed.
func (e *Endpoint) Checkpoint(attempt string) (time.Duration, error) {
	done := time.Duration(0)
	err := e.updateRunning(attempt, func(t *Task) {
		done = t.worked
		e.recordEvent(t.event(KindCheckpoint, done.String()))
	})
	return done, err
}

// Throttle sets the speed of an attempt; 1 is full speed and 0 pauses it.
func (e *Endpoint) Throttle(attempt string, speed float64) error {
	if speed < 0 || speed > 1 {
		return Error.Wrap(fmt.Errorf("throttle %q to %v: %w", attempt, speed, ErrInvalid))
	}
	return e.updateRunning(attempt, func(t *Task) {
		t.speed = speed
		e.recordEvent(t.event(KindThrottle, fmt.Sprint(speed)))
	})
}

// Stop ends an attempt now and returns the work done, as run time at full speed.
func (e *Endpoint) Stop(attempt string) (time.Duration, error) {
	done := time.Duration(0)
	err := e.updateRunning(attempt, func(t *Task) {
		done = t.worked
		t.stopCause = CauseStopped
	})
	return done, err
}

// Close stops all tasks and refuses new ones.
func (e *Endpoint) Close() {
	e.Thaw()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopping = true
	for _, t := range e.runningTasks() {
		t.stopCause = CauseClosed
		t.endIfDue()
	}
}

// Drain refuses new tasks and waits until none runs. It fails if ctx ends first.
func (e *Endpoint) Drain(ctx context.Context) error {
	e.mu.Lock()
	e.stopping = true
	running := e.runningTasks()
	e.mu.Unlock()
	for _, t := range running {
		select {
		case <-t.ended:
		case <-ctx.Done():
			return Error.Wrap(fmt.Errorf("drain: %w", ctx.Err()))
		}
	}
	return nil
}
