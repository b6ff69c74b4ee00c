// Package sched holds the scheduling duty of one data centre.
//
// One goroutine owns the control state: workers as their agents report them,
// jobs, and the coordinators of their attempts. It asks the placement policy
// for actions and feeds events to the gang protocol; other goroutines carry
// calls to agents and to the store, and post what came of them.
//
// Invariants: a worker is used only after its agent has acknowledged this
// scheduler's epoch; a job with a record is started only after the record
// names the attempt; the caller is told "not run" for a job with a record only
// after the record has ended. All state but the job records is rebuilt from
// agents' reports when another process takes the duty. The package serves no
// HTTP.
package sched
