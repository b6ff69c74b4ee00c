// Package agent is the process beside one endpoint.
//
// The agent is the authority on its worker: accelerators, slots, connections,
// what is prepared and what runs. One goroutine owns that state; other
// goroutines carry calls to the scheduler, to other agents and to the endpoint.
//
// Invariants: a command with an epoch below the highest one seen is refused; an
// attempt that was refused is never started later; a task starts only on a
// permit that is valid immediately before the request is written; the slots,
// accelerators and connections of the endpoint are never exceeded. The agent
// keeps nothing across restarts: it stops what its endpoint still runs before
// it offers the worker. It decides nothing about placement.
package agent
