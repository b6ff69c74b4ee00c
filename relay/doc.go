// Package relay runs beside a worker: it passes the scheduler's orders to the worker
// and reports the worker's state to the scheduler.
//
// One goroutine owns the state. Calls run in goroutines of their own and post their
// results to it. Each report holds the whole state of the worker, and each answer all
// open orders, so that either may be lost or repeated.
//
// A refusal in a report proves that a run will never start: the worker has answered a
// stop of the run, after which it rejects the run for good. It does so even if an
// earlier start that was not answered reaches it late.
package relay
