// Package fakewk is a stand-in for a worker of the users' platform, as a relay
// sees it: epochs, run numbers, task leases on a clock of its own, ends that are
// listed until they are observed, orders that are carried out late, an end of
// the process, and gangs: workers that share a Site start a gang's members
// together and end them together. Tasks take a set time.
//
// A start belongs to a gang if its text is Gang of the number of members.
//
// It keeps a record of all runs, from which tests judge. All methods may be
// called from any goroutine.
package fakewk
