// Package pipe joins parts of a system by connections that stay inside the
// process, so that a test of timing can run real HTTP and links under
// testing/synctest.
//
// Listener is reached by its own Dial only. Network has addresses and injects
// the faults of a network between named processes: cut, silent connections,
// freeze, kill and delay.
package pipe
