// Package place decides which jobs run on which workers of one data centre.
//
// A policy is a pure function from a State and the present time to a list of
// actions. The package opens no socket, takes no lock and reads no clock, so
// that a decision can be replayed from a recorded trace. A State is read-only
// for policies; its owner builds a new one, or updates its own, between calls.
//
// Invariant: after every action, each guaranteed shape of the data centre is
// free, used by its own customer, or lent to work that can be checkpointed and
// stopped within the guarantee's reclaim time.
package place
