// Package procs tests the system as separate processes on loopback: the store's
// stand-in, entries, agents and endpoints, which get real signals (SIGKILL,
// SIGSTOP, SIGTERM). It has no code besides its tests.
package procs
