// Package graph represents a job as a directed acyclic graph of steps. Each step is
// a number of equal tasks, which may form a gang.
//
// A Job tracks which tasks are ready to start, how the end of each run changes its
// progress, and the phase that callers see. It converts to and from the record in
// the store. It does no I/O, reads no clock and is not safe for concurrent use.
package graph
