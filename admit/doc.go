// Package admit decides which work enters a process and in which order it waits.
//
// Queue holds the waiting jobs of one data centre: bounded, fair between
// customers by weight, with removal by id in constant time. Limiter bounds
// concurrent requests, Budget bounds retries, and Egress bounds bytes on the
// paid link between regions.
//
// No call blocks, takes a lock or reads a clock; the time is an argument. Each
// structure has one owner, the goroutine that uses it. Refusals are returned as
// *Refusal, which says when a repetition can succeed.
//
// Invariants: a queue or limiter never admits above its limits; every item that
// a Queue accepted comes out exactly once, by Pop, Take or Remove.
package admit
