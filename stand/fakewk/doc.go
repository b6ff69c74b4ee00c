// Package fakewk is a stand-in for a worker of the users' platform, as a relay
// sees it: epochs, run numbers, task leases on a clock of its own, ends that are
// listed until they are observed, orders that are carried out late, and an end
// of the process. It does not know gangs, and its tasks take a set time.
//
// It keeps a record of all runs, from which tests judge. All methods may be
// called from any goroutine.
package fakewk
