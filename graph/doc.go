// Package graph is a job as a graph of steps of equal tasks.
//
// A Job knows which tasks may start, what each end of a run means for it, and
// which state its callers see; it turns into the record that the store keeps
// and back. It does no I/O, reads no clock and is used by one goroutine.
package graph
