// Package local runs a whole system in one process: entries, agents, and stand-ins
// for the store (stand/fakekv) and the endpoints (stand/fakeep). They are connected
// by loopback TCP or by a network that a test provides.
//
// It is for trying the system out and for end-to-end tests. All state is in memory
// and is lost at the end. Apart from tests and cmd/standin, no other package uses
// the stand-ins.
package local
