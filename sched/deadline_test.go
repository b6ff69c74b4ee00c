package sched

import (
	"errors"
	"testing"
	"time"

	"catkinpoint/admit"
	"catkinpoint/place"
	"catkinpoint/wire"
)

// TestRefusalByDeadline guards against the refusal of a job because of a declared
// run time, which can be far from the truth, and against queueing a job that is
// known to miss its deadline.
func TestRefusalByDeadline(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name       string
		learned    bool
		guarantees []place.Guarantee
		refused    bool
	}{
		{"declared only", false, nil, false},
		{"learned", true, nil, true},
		{"learned, but the customer can reclaim", true, []place.Guarantee{{Customer: "league"}}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newControl(now, DefaultLimits())
			c.guarantees = test.guarantees
			for range 100 {
				if test.learned {
					c.learner.RecordRunTime("scan", time.Minute)
				}
			}
			j := &job{
				spec:     &wire.Job{Id: "a", Customer: "league", JobClass: "scan", Tasks: 1, ExpectedRunMs: time.Minute.Milliseconds()},
				deadline: now.Add(5 * time.Second),
			}
			var refusal *admit.Refusal
			if err := c.queue.Push(now, c.queueItem(j)); errors.As(err, &refusal) != test.refused {
				t.Errorf("Push returned %v, want a refusal: %t", err, test.refused)
			}
		})
	}
}
