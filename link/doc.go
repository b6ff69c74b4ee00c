// Package link carries calls between the system's own processes: net/rpc over
// TCP with length-delimited protobuf messages.
//
// A link sends a ping every second. Three seconds without a byte from the peer
// close it, because a connection can go silent for good while new ones work;
// while a long body is being sent, its progress counts instead, as pings would
// wait behind it.
// Calls that were pending then fail with ErrBroken: they may have taken effect,
// and the caller asks for their state by id on a fresh link instead of sending
// them again. ErrNotSent proves that a call never left this process. The
// package does not know what the messages mean.
package link
