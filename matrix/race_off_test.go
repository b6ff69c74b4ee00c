//go:build !race

package matrix

// sampled reports whether TestMatrix makes only a sample of the runs. With -race
// all of them would exceed the time limit of the test.
const sampled = false
