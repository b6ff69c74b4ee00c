// Package matrix runs whole small systems inside one process, with faults, and
// judges the nine promises from what endpoints recorded and callers were told.
//
// A World is a system over an in-memory network and stand-ins. A Script is the
// work that callers and operators give it. Run injects one Fault when one Step
// is reached and returns the breaches of each Promise. The package is for
// testing/synctest: hours of its time pass in milliseconds. Nothing is judged
// from what schedulers say. All of it is test code.
package matrix
