// Package permit decides whether a task may start now in its data centre.
//
// A permit is the statement that the data centre was in service when the
// configuration head was read. Its time is counted from before that read was
// sent, and every process that passes it on dates it from before its own
// request, so delays and clock differences can only make it look older. The
// package keeps no state and reads no clock.
package permit
