// Package relay runs beside a worker: it passes the scheduler's orders to the worker
// and reports the worker's state to the scheduler.
//
// One goroutine owns the state. Calls run in goroutines of their own and post their
// results to it. Each report holds the whole state of the worker, and each answer all
// open orders, so that either may be lost or repeated.
//
// The worker is called in three ways: a start and a stop concern one run, which is one
// attempt at a task, and a hold returns the lists of runs. A start and a hold also renew
// the task lease, at whose end the worker kills all its runs. The relay sends a start
// only under a permit, the time for which the scheduler's orders allow starts; it is
// not a Permit of package permit.
//
// Heartbeats and announcements of an end may come from any sender. A process becomes the
// worker when it answers a call at the worker's address, and is gone when none does.
//
// A refusal in a report proves that a run will never start: the worker has carried out a
// stop of the run, after which it rejects the run for good. It does so even if an
// earlier start that was not answered reaches it late.
package relay
