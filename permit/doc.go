// Package permit decides whether a task may start now in its data centre.
//
// A permit states whether the data centre was in service when the configuration
// head, the store key that package head publishes, was read. Its age is counted
// from before that read was sent, and every process that receives a permit counts
// its age from before its own request, so that delays and clock differences can
// only make a permit look older than it is. The package keeps no state and reads
// no clock.
//
// Entries issue permits and agents check them. Gates and relays do not use this
// package; the permit in a relay's orders is only a length of time.
package permit
