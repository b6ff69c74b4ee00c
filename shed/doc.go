// Package shed decides which jobs are refused on arrival because their result would come
// when it is of no use to the caller, and when a refused caller may return.
//
// The functions are pure: they open no socket, take no lock and read no clock. The load that
// they answer is a burst of several times the work that there is room for, on workers of which
// some hang (TestBurst).
//
// Invariants:
//
//   - When the forecast is in doubt, the job is admitted.
//   - A caller that returns at the time promised to it is admitted, and who comes anew is
//     measured behind it.
//   - A caller that returns early gets the same time again, so that nobody gains by retrying
//     more often.
//   - The number of open promises is bounded.
package shed
