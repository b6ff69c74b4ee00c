package plan

import (
	"testing"
	"time"

	"catkinpoint/flow"
)

// Guards against an order by cost in which a lower priority, a small job or a late result
// counts for more than callers say.
func TestValue(t *testing.T) {
	job := func(priority, count int32) *flow.Job {
		return &flow.Job{
			Priority: priority, SlackFactor: 2, TargetMs: 1000,
			Steps: []*flow.Step{{Count: count, Cpu: 2000, Accelerators: 1, EstimateMs: 2000}},
		}
	}
	if got := Work(job(0, 3)); got != 60 { // 3 tasks of 10 core equivalents for 2 s
		t.Errorf("work %v, want 60", got)
	}
	base := Value(job(1, 4), 0)
	for _, c := range []struct {
		name        string
		job         *flow.Job
		age         time.Duration
		more, least float64 // bounds relative to base
	}{
		{"at the objective", job(1, 4), 5 * time.Second, 1, 1},
		{"late", job(1, 4), 5001 * time.Millisecond, LateShare, LateShare},
		{"at three objectives", job(1, 4), 15 * time.Second, LateShare, LateShare},
		{"of no use", job(1, 4), 15001 * time.Millisecond, 0, 0},
		{"higher priority", job(0, 4), 0, 3, 1.5},
		{"lower priority", job(2, 4), 0, 0.7, 0.3},
		{"a quarter of the work", job(1, 1), 0, 0.9, 0.26},
		{"four times the work", job(1, 16), 0, 3.9, 1.1},
		{"no work", job(1, 0), 0, 0, 0},
	} {
		if got := Value(c.job, c.age) / base; got > c.more+1e-9 || got < c.least-1e-9 {
			t.Errorf("%s: %.3f of the worth, want %.3f to %.3f", c.name, got, c.least, c.more)
		}
	}
}
