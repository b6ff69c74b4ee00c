// Package blame tells which of the runs on a worker may have made it crash.
//
// A worker runs tasks of many jobs, so a crash alone accuses all of them. The package
// weighs what is known of each run: how long it had been on the worker, and whether
// the same task was on a worker before that crashed after a similar time. It knows
// nothing of other crashes; package duty tells a crash from an outage.
//
// All functions are pure.
package blame
