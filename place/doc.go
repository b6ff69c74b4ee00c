// Package place decides which jobs run on which workers of one data centre.
//
// A policy is a pure function from a State and the present time to a list of
// actions. The package opens no socket, takes no lock and reads no clock, so
// that a decision can be replayed from a recorded trace. A State is read-only
// for policies; its owner builds a new one, or updates its own, between calls.
//
// A Guarantee promises a customer a number of shapes. A shape is a group of
// accelerators on one worker, in one rack or anywhere in the data centre. While
// the customer leaves a shape idle, jobs of other customers may borrow its
// accelerators, provided that they can be checkpointed and stopped within the
// guarantee's reclaim time. The customer reclaims a shape by preempting them.
//
// Invariant: after every action, each guaranteed shape of the data centre is
// free, used by its own customer, or borrowed by jobs that can be checkpointed
// and stopped within the guarantee's reclaim time.
package place
