// Package route holds the operator's configuration of queues, customers and
// services as an immutable value. Gates use it; the configuration of entries is
// the declared set of package head.
//
// A Table finds the queue that a call is for and the customer that the call's
// key belongs to. It does no I/O and does not record when it was read; its
// holder keeps track of its age.
package route
