// Package relay is the process beside a worker: it carries the scheduler's
// orders to the worker and the worker's state to the scheduler.
//
// One goroutine owns the state; calls run in goroutines of their own and post
// their results. A report always tells all that the relay knows, and orders
// always tell all that is open, so that each may be lost or repeated.
//
// A refusal in a report proves that a run will never start: the worker has
// answered a stop of it, and then rejects it for good, also when an earlier
// start that had no answer is carried out late.
package relay
