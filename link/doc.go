// Package link carries calls between the system's own processes: net/rpc over
// TCP with length-delimited protobuf messages.
//
// A link is one connection from a client to a server. It sends a ping every
// second and is closed after three seconds without a byte from the peer, because
// a connection can go silent for good while new ones to the same peer work.
// While a long message is being sent, pings would wait behind it, so the
// progress of the write counts instead.
//
// Calls that are pending when a link is closed fail with ErrBroken: they may
// have taken effect. The package does not send them again; the caller asks for
// their state on a new link, or repeats them there if the peer recognises a
// repetition by its id. ErrNotSent proves that a call never left this process. The
// package does not interpret the messages.
package link
