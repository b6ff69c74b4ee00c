// Package sched schedules the jobs of one data centre.
//
// At most one process at a time holds the scheduling duty of a data centre. Each
// takeover raises the duty's epoch, and agents refuse commands of a lower epoch
// than the highest that they have seen.
//
// An entry is a process that takes jobs from callers and submits them to the
// schedulers; entries also hold the duties. An agent runs beside the endpoint of
// each worker and starts and stops tasks there. An attempt is one try to run a
// job on chosen workers; its members are the tasks, numbered by rank. The permit
// says whether the data centre is in service, and agents start tasks only while
// theirs is valid.
//
// One goroutine owns the control state: workers as their agents report them,
// jobs, and the coordinators of their attempts. It asks the placement policy
// for actions and passes events to the coordinators, which run the gang
// protocol. Other goroutines call the agents and the store, and post the
// results to the control goroutine.
//
// A job may have a record in the store, which outlives the scheduler. The record
// is accepted when an entry has taken the job, committed when it names the
// attempt that may start, and ended when it holds the outcome.
//
// Invariants: a worker is used only after its agent has acknowledged this
// scheduler's epoch; a job with a record is started only after the record
// names the attempt; "not run" is answered for a job with a record only after
// the record has ended or, so that the entry can submit the job elsewhere, is
// accepted again. All state but the job records is rebuilt from agents' reports
// when another process takes the duty. The package serves no HTTP.
package sched
