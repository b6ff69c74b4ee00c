package relay

import (
	"fmt"

	"catkinpoint/graph"
)

// Effect is what a call did at the worker.
type Effect int

const (
	// EffectUnknown means that the worker may have carried out the call or may still do
	// so. It is the zero value, so that an answer without a rule of its own has it.
	EffectUnknown Effect = iota
	// EffectNone means that the worker has done nothing for the call and will not.
	EffectNone
	// EffectDone means that the worker has carried out the call.
	EffectDone
)

// Answer is the outcome of one call to the worker; the zero value is an unknown one.
type Answer struct {
	effect Effect
	reason string
	err    error
}

// Done returns the answer of a worker that has carried out the call.
func Done() Answer { return Answer{effect: EffectDone} }

// NothingDone returns the answer of a worker that rejects the call, for a Refused reason
// of package graph, and has done nothing.
func NothingDone(reason string) Answer { return Answer{effect: EffectNone, reason: reason} }

// NotReached returns the outcome of a call that did not reach the worker, which err says
// as it wraps ErrNoWorker or ErrOtherWorker.
func NotReached(err error) Answer { return Answer{effect: EffectNone, err: err} }

// Unknown returns the outcome of a call of which err says why it is not known.
func Unknown(err error) Answer { return Answer{err: err} }

// Effect returns what the call did.
func (a Answer) Effect() Effect { return a.effect }

// Reason returns why the worker rejected the call, or "".
func (a Answer) Reason() string { return a.reason }

// Err returns why there is no answer of the worker, or nil.
func (a Answer) Err() error {
	if a.effect == EffectUnknown && a.err == nil {
		return Error.New("unknown outcome")
	}
	return a.err
}

// Fenced reports whether the worker rejected the call because it has received a higher
// epoch.
func (a Answer) Fenced() bool {
	return a.effect == EffectNone && a.reason == graph.RefusedStaleEpoch
}

// String returns the answer for the log.
func (a Answer) String() string {
	switch {
	case a.effect == EffectDone:
		return "done"
	case a.effect == EffectNone && a.err == nil:
		return "nothing done: " + a.reason
	case a.effect == EffectNone:
		return fmt.Sprintf("not reached: %v", a.err)
	}
	return fmt.Sprintf("unknown: %v", a.Err())
}
