// Package load is an open-loop load generator: it submits a bounded number of
// jobs to an entry at a given rate and reports their fates and latencies.
//
// Requests fall due at the given rate whether or not earlier ones were answered,
// so that a slow system shows in the latencies instead of lowering the rate.
package load
