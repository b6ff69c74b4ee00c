// Package duty schedules jobs on all workers. One gate (a process that accepts jobs,
// see package gate) at a time holds this role, which is called the duty.
//
// A gate holds the duty by a claim: a key with a lease in the store. The epoch
// of the claim is the fencing token: workers refuse orders of lower epochs.
//
// A Scheduler lives for one claim. One goroutine owns its state: the jobs, the
// workers, and the changes that are not stored yet. The relay beside each worker
// reports what runs there and takes the scheduler's orders in answer.
//
// Progress is stored before it takes effect: a start is ordered, and the end of
// a run is acknowledged to its worker, only after the job's progress record was
// committed in a transaction that requires the claim to be unchanged.
//
// A unit, which is a gang or a single task, is placed as a whole. A job is urgent if
// its priority is 0, and so are its units and runs.
//
// Package plan decides on placement and preemption, package shed on the refusal of jobs,
// and package graph on how the end of a run affects its job.
package duty
