// Package local runs the whole path in one process: an entry, agents, and the
// stand-ins for the store and the endpoints, joined by loopback connections.
//
// It is for trying the system out and for tests of the whole path; nothing in
// it lasts. It is the only product package that uses the stand-ins.
package local
