// Package pipe provides in-memory connections between parts of a system that run
// in one process, so that tests of timing can run real HTTP and RPC connections
// under testing/synctest.
//
// A Listener accepts only connections of its own Dial. A Network has addresses and
// injects faults between simulated processes, which it knows by name: delay,
// partition, connections that go silent, and freezing or killing a process.
package pipe
