// Package load sends a bounded number of jobs to an entry at a given rate and
// reports fates and latencies.
//
// Requests are sent on time whether or not earlier ones were answered, so that
// a slow system shows in the latencies and is not hidden by waiting callers.
package load
