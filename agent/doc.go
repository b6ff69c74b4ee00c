// Package agent implements the process that runs beside one endpoint and starts,
// watches and stops tasks there for the scheduler.
//
// The agent is the authority on its worker: its accelerators, slots and
// connections, and which tasks are prepared and running. One goroutine, the
// control goroutine, owns that state; background goroutines make the calls to
// the scheduler, to other agents and to the endpoint.
//
// An attempt is one try to run a task. The tasks of a job with several tasks form a
// gang, whose members run together or not at all (see package gang). The permit,
// without which no task starts (see package permit), comes with the scheduler's
// responses to reports.
//
// Invariants: a command with an epoch below the highest one seen is refused; an
// attempt that was refused is never started later; a task starts only if the
// permit is valid immediately before the request is written; the slots,
// accelerators and connections of the endpoint are never exceeded. The agent
// keeps no state across restarts: it stops the tasks that its endpoint still
// runs before it offers the worker. It makes no placement decisions.
package agent
