//go:build !race

package model

// sampled reports whether the tests make only some of their runs. The race detector's
// runtime may crash after some bubbles of synctest in one process, so that CI runs
// them without it; a run by hand with -race may get through the first ones.
const sampled = false
