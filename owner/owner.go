package owner

import (
	"context"
	"fmt"

	"github.com/zeebo/errs"

	"catkinpoint/guard"
)

// Error is the class of all errors of this package.
var Error = errs.Class("owner")

// ErrClosed means that the owner has ended.
var ErrClosed = Error.New("closed")

// queueLength bounds the functions that wait; a full queue blocks the senders.
const queueLength = 4096

// Owner serialises access to state of type S.
type Owner[S any] struct {
	state S
	calls chan func(S)
	done  chan struct{}
}

// New returns an owner of state; Run starts it.
func New[S any](state S) *Owner[S] {
	return &Owner[S]{state: state, calls: make(chan func(S), queueLength), done: make(chan struct{})}
}

// Run executes functions until ctx ends; after is called after each batch. A
// panic ends the function that caused it, and broken is told: the state may be
// left half changed.
func (o *Owner[S]) Run(ctx context.Context, after func(S), broken func(S, error)) {
	defer close(o.done)
	run := func(what string, f func(S)) {
		if err := guard.Run(what, func() { f(o.state) }); err != nil {
			broken(o.state, err)
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
		run("decision", after)
	}
}

// drain runs what already waits, so that after runs once for a burst.
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

// Tolerate goes on after a panic, for state of which each part is checked or
// replaced by later events.
func Tolerate[S any](S, error) {}

// Post hands over f without waiting for it to run; it reports false after the end.
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

// Do hands over f and waits until it has run.
func (o *Owner[S]) Do(ctx context.Context, f func(S)) error {
	ran := make(chan struct{})
	wrapped := func(s S) {
		defer close(ran)
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
	case <-ran:
		return nil
	case <-o.done:
		return ErrClosed
	}
}
