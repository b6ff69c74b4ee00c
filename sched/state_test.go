package sched

import (
	"testing"
	"time"

	"catkinpoint/wire"
)

// TestPreservedWork guards against moves that would end a job that is not
// idempotent, or displace a job before it has made progress.
func TestPreservedWork(t *testing.T) {
	tests := []struct {
		name                       string
		checkpointable, idempotent bool
		ran, want                  time.Duration
	}{
		{"idempotent, long", true, true, 5 * time.Minute, 4 * time.Minute},
		{"idempotent, short", true, true, 30 * time.Second, 0},
		{"not idempotent", true, false, 5 * time.Minute, 0},
		{"no checkpoint", false, true, 5 * time.Minute, 0},
	}
	for _, test := range tests {
		job := &wire.Job{Checkpointable: test.checkpointable, Idempotent: test.idempotent}
		if got := preservedWork(job, test.ran); got != test.want {
			t.Errorf("%s: preserved work %v, want %v", test.name, got, test.want)
		}
	}
}
