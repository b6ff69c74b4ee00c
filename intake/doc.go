// Package intake bounds what clients can make a process hold: connections, headers and
// bodies, what the kernel holds unread and unsent, and what a body becomes when it is
// decoded.
//
// Ledger decides, as pure code: whether a connection may hold more, and which connection
// is closed for it. Intake carries the decisions out on the listeners and HTTP servers of
// a process, which share one Ledger. Whatever is read was admitted before: the sum of
// what is held stays within Limits.Bytes. Requests that are being served are never closed.
// A refusal (503 with Retry-After) is sent only before the body has been read, so that
// nothing was stored.
package intake
