// Package procs has tests that run the system as separate processes on
// loopback: the store's stand-in, entries, agents and endpoints, with real
// signals (SIGKILL, SIGSTOP, SIGTERM). It has no code besides its tests.
package procs
