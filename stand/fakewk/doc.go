// Package fakewk is a fake of a worker of the users' platform, with the behaviour
// that a relay can observe. A Worker checks epochs and run numbers, enforces task
// leases by a clock of its own and lists the end of a run until it is observed. It
// can leave calls unanswered, carry out starts late, crash and restart. Workers
// that share a Coordinator start the members of a gang together and end them
// together. All tasks of a worker take the same time.
//
// A start belongs to a gang if its spec is GangSpec of the number of members.
//
// A worker keeps a record of all runs for tests to check. All methods may be
// called from any goroutine.
package fakewk
