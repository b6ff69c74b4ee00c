// Package matrix tests the nine promises under faults. It runs a small system
// inside one process, injects a fault, and checks the promises against what the
// endpoints recorded and what callers and operators were told, and those on the
// configuration also against the writes in the store and the entries' status.
// What schedulers report about jobs is never taken as proof.
//
// A Cluster is a system over an in-memory network and stand-ins. A Workload is
// what callers and operators do with it. Run injects one Fault when one Step is
// reached and returns the breaches of each Promise. Runs need testing/synctest,
// under which hours of their time pass in milliseconds. All of the package is
// test code.
package matrix
