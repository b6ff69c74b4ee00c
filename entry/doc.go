// Package entry implements the process that takes jobs from callers, behind a
// load balancer.
//
// An entry serves callers and operators over HTTP and the other processes of the
// system over links. It registers itself in the store under a leased key, polls
// the configuration head, which is the store key that names the published
// configuration (see package head), and holds scheduling duties: the duty of a
// data centre is the role of its scheduler, which one entry holds at a time. An
// entry has no durable state of its own: job records and the configuration are in
// the store, and everything else is rebuilt after a start.
//
// Invariants:
//   - The record of a job that needs one is written to the store before the job
//     is sent to a scheduler.
//   - A caller is told "not run" only if the job was never sent, or if every
//     scheduler that had it gave it back and its record has ended.
//   - A permit, without which no task starts (see package permit), is never dated
//     later than the read of the configuration head on which it is based. The
//     witness policy dates it by its requests to other entries instead while the
//     store cannot be read.
package entry
