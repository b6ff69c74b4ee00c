package fakeep

import (
	"context"
	"fmt"
	"time"
)

// apply calls f on every run of an attempt that has not ended, and lets the run
// go on from there.
func (e *Endpoint) apply(attempt string, f func(t *Task)) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	found := false
	for _, t := range e.active() {
		if t.spec.Attempt != attempt {
			continue
		}
		t.step()
		if t.state != StateRunning {
			continue
		}
		found = true
		f(t)
		t.step()
	}
	if !found {
		return Error.Wrap(fmt.Errorf("find running %q: %w", attempt, ErrNoTask))
	}
	return nil
}

// Renew extends the lease of an attempt from now; 0 means the lease it was started with.
func (e *Endpoint) Renew(attempt string, lease time.Duration) error {
	return e.apply(attempt, func(t *Task) {
		if lease == 0 {
			lease = t.spec.Lease
		}
		// A lease that expired during a freeze is not revived.
		if time.Now().Before(t.leaseUntil) {
			t.leaseUntil = time.Now().Add(lease)
		}
	})
}

// Checkpoint records a checkpoint and returns the work done until now.
func (e *Endpoint) Checkpoint(attempt string) (time.Duration, error) {
	done := time.Duration(0)
	err := e.apply(attempt, func(t *Task) {
		done = t.worked
		e.note(t.event(KindCheckpoint, done.String()))
	})
	return done, err
}

// Throttle sets the speed of an attempt; 1 is full speed and 0 pauses it.
func (e *Endpoint) Throttle(attempt string, speed float64) error {
	if speed < 0 || speed > 1 {
		return Error.Wrap(fmt.Errorf("throttle %q to %v: %w", attempt, speed, ErrInvalid))
	}
	return e.apply(attempt, func(t *Task) {
		t.speed = speed
		e.note(t.event(KindThrottle, fmt.Sprint(speed)))
	})
}

// Stop ends an attempt now and returns the work it had done.
func (e *Endpoint) Stop(attempt string) (time.Duration, error) {
	done := time.Duration(0)
	err := e.apply(attempt, func(t *Task) {
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
	for _, t := range e.active() {
		t.stopCause = CauseClosed
		t.step()
	}
}

// Drain refuses new tasks and waits until none runs, or until ctx ends.
func (e *Endpoint) Drain(ctx context.Context) error {
	e.mu.Lock()
	e.stopping = true
	running := e.active()
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
