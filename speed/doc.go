// Package speed estimates how long work takes: the pace of each worker, which is its
// lasting relative run time, and the run times of a queue, customer and image relative to
// the declared ones.
//
// The package does no I/O and reads no clock: callers pass the time. An estimate without
// evidence equals the declared behaviour: a pace of 1, and the declared run time.
package speed
