// Package route is the operator's configuration of queues, services and keys
// as an immutable value.
//
// A Table answers which queue a call is for and whether its key may use it. It
// does no I/O; whoever holds one knows how old it is.
package route
