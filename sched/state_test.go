package sched

import (
	"testing"
	"time"

	"catkinpoint/wire"
)

// Guards against moves that would end work that must run once, or that displace
// a job before it has done anything.
func TestSavable(t *testing.T) {
	tests := []struct {
		name                       string
		checkpointable, idempotent bool
		ran, want                  time.Duration
	}{
		{"idempotent, long", true, true, 5 * time.Minute, 4 * time.Minute},
		{"idempotent, short", true, true, 30 * time.Second, 0},
		{"must run once", true, false, 5 * time.Minute, 0},
		{"no checkpoint", false, true, 5 * time.Minute, 0},
	}
	for _, test := range tests {
		job := &wire.Job{Checkpointable: test.checkpointable, Idempotent: test.idempotent}
		if got := savable(job, test.ran); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}
