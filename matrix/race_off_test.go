//go:build !race

package matrix

// sampled says that only some runs fit into the time of a run with -race.
const sampled = false
