package owner

import (
	"context"
	"fmt"

	"github.com/zeebo/errs"

	"catkinpoint/guard"
)

// Error is the class of all errors of this package.
var Error = errs.Class("owner")

// ErrClosed means that Run has returned, so that the function may not have run.
var ErrClosed = Error.New("closed")

// queueLength is the capacity of the queue of functions; Do and Post block while
// it is full.
const queueLength = 4096

// Owner serialises access to a state of type S.
type Owner[S any] struct {
	state S
	calls chan func(S)
	done  chan struct{}
}

// New returns an owner of state. Functions are queued until Run is called.
func New[S any](state S) *Owner[S] {
	return &Owner[S]{state: state, calls: make(chan func(S), queueLength), done: make(chan struct{})}
}

// Run runs queued functions in batches until ctx ends, and calls afterBatch
// after each batch. A panic ends only the function that caused it, or
// afterBatch; onPanic is then called with the error, as the state may be left
// partly changed.
func (o *Owner[S]) Run(ctx context.Context, afterBatch func(S), onPanic func(S, error)) {
	defer close(o.done)
	run := func(work string, f func(S)) {
		if err := guard.Run(work, func() { f(o.state) }); err != nil {
			onPanic(o.state, err)
		}
	}
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-o.calls:
			run("event", f)
		}
		o.drain(run)
		run("decision", afterBatch)
	}
}

// drain runs up to queueLength functions that are already queued, so that
// afterBatch runs once for a burst.
func (o *Owner[S]) drain(run func(string, func(S))) {
	for range queueLength {
		select {
		case f := <-o.calls:
			run("event", f)
		default:
			return
		}
	}
}

// IgnorePanic is an onPanic handler for Run that does nothing. It suits a state of
// which every part is checked or replaced by later functions.
func IgnorePanic[S any](S, error) {}

// Post queues f and does not wait for it to run. It reports false if Run has
// returned; f then does not run.
func (o *Owner[S]) Post(f func(S)) bool {
	select {
	case <-o.done:
		return false
	default:
	}
	select {
	case o.calls <- f:
		return true
	case <-o.done:
		return false
	}
}

// Do queues f and waits until it has run or panicked. It returns ErrClosed if Run
// returns first. The end of ctx only ends the wait for a place in the queue.
func (o *Owner[S]) Do(ctx context.Context, f func(S)) error {
	finished := make(chan struct{})
	wrapped := func(s S) {
		defer close(finished)
		f(s)
	}
	select {
	case o.calls <- wrapped:
	case <-o.done:
		return ErrClosed
	case <-ctx.Done():
		return fmt.Errorf("waiting for the owner: %w", ctx.Err())
	}
	select {
	case <-finished:
		return nil
	case <-o.done:
		return ErrClosed
	}
}
