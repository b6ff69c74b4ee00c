//go:build race

package model

// sampled reports whether the tests make only some of their runs. The race detector's
// runtime aborts after many bubbles of synctest in one process.
const sampled = true
