// Package admit decides which work a process accepts and in which order queued
// work is served.
//
// Queue holds the waiting jobs of one data centre. It is bounded, shares the
// accelerators fairly between customers by weight, and removes a job by id
// without a scan. Limiter limits concurrent requests, RetryBudget limits
// retries, and Egress limits the bytes sent over the paid link between regions.
//
// No call blocks, takes a lock or reads a clock; the time is an argument. No
// type is safe for concurrent use: a value is used by one goroutine, or under a
// lock of its owner. Refusals are returned as *Refusal, which says when a retry
// can succeed.
//
// Invariants: a queue or limiter never admits above its limits, except that
// Queue.Requeue takes back an accepted item above them; every item that a Queue
// accepted comes out exactly once, by Pop, Take or Remove.
package admit
