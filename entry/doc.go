// Package entry is the thin process behind the balancer.
//
// It serves callers and operators over HTTP and the system's own processes over
// links, registers itself under a leased key, follows the configuration head,
// and holds scheduling duties. It keeps nothing that must last: job records and
// the configuration are in the store, and everything else is rebuilt.
//
// Invariants: a job with a record is claimed in the store before it is sent to
// a scheduler; a caller is told "not run" only if the job was never sent, or if
// every scheduler that had it gave it back and its record has ended; a permit
// is never younger than the read of the head that it stands for.
package entry
