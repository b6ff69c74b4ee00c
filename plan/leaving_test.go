package plan

import (
	"testing"
	"time"
)

// Guards against work that is done for nothing after a worker has said that it leaves, and
// against stops of work that would have ended or been saved.
func TestStopLeaving(t *testing.T) {
	const s = time.Second
	tests := []struct {
		name string
		unit Leaving
		want bool
	}{
		// 10 tasks with 52 cores each, of which two were on workers with a notice of 2 s: run
		// 1 lost 2,600 core-seconds in the 6 s before and 1,200 in the 2.4 s after.
		{"gang that needs much longer", Leaving{Left: 2 * s, Remaining: 5 * s, Done: 3120, Rate: 520}, true},
		{"will end in time", Leaving{Left: 2 * s, Remaining: 1900 * time.Millisecond, Done: 3120, Rate: 520}, false},
		{"needs a little longer, much is done", Leaving{Left: 2 * s, Remaining: 2300 * time.Millisecond, Done: 3120, Rate: 520}, false},
		{"needs a little longer, little is done", Leaving{Left: 2 * s, Remaining: 2300 * time.Millisecond, Done: 52, Rate: 52}, true},
		{"has not begun", Leaving{Left: 2 * s, Remaining: 3 * s, Rate: 52}, true},
		{"the worker leaves at any moment", Leaving{Remaining: 5 * s, Done: 3120, Rate: 520}, false},
		{"checkpoints, early", Leaving{Left: 2 * s, Remaining: 5 * s, Checkpointing: true, Rate: 52}, false},
		{"checkpoints, in time", Leaving{Left: s, Remaining: 5 * s, Checkpointing: true, Rate: 52}, true},
		{"checkpoints, will end in time", Leaving{Left: s, Remaining: 900 * time.Millisecond, Checkpointing: true, Rate: 52}, false},
	}
	for _, test := range tests {
		if got := StopLeaving(test.unit); got != test.want {
			t.Errorf("%s: %v; want %v", test.name, got, test.want)
		}
	}
}
