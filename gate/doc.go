// Package gate accepts jobs from callers and reports their state.
//
// A job is accepted once it is committed to the store. Submitting it is
// idempotent: the same id with the same content is the same job, at any gate. A
// refusal proves that the refused call did not store the job, although an earlier
// call may have; after a write whose outcome is unknown the verdict is Unknown
// instead. Calls are checked against the operator's configuration, which must not
// be older than a limit. A gate that cannot read the store forwards calls to one that
// can; if it finds none, it refuses them at once and says when to retry. The answer to
// a question for the state of a job waits for a moment for the job to end, as callers
// ask when they expect that.
//
// While the scheduler has told that room is short, a gate asks it before it stores a job, and
// refuses the job if the scheduler does; see docs/design/refusals.md. Without an answer it
// stores the job.
//
// One of the gates also runs the scheduler of package duty. It holds the claim,
// a leased key of the store that only one process can have at a time.
package gate
