// Package duty is the scheduler of all workers, a role that one gate holds.
//
// The claim on the role is a leased key; its epoch is the fencing token that
// workers obey. A Scheduler lives for one claim. One goroutine owns its state:
// the jobs, the workers as their relays report them, and what is not stored
// yet. Progress is stored before it has an effect: a start is ordered, and an
// end is acknowledged to the worker, only after the record that holds it was
// committed under the condition that the claim still stands.
//
// Placement is decided by package plan; what an end means by package graph.
package duty
