package sched

import (
	"testing"
	"time"

	"catkinpoint/wire"
)

// TestOneFailedGangAttemptDoesNotEndJob guards against a gang that gets no further attempt
// because its members fail together, on as many workers as make a job faulty.
func TestOneFailedGangAttemptDoesNotEndJob(t *testing.T) {
	tests := []struct {
		name    string
		failing int // members that fail in the first attempt
	}{
		{"one member", 1},
		{"two members", 2},
		{"three members", 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withScheduler(t, 3, func(t *testing.T, h *harness) {
				job := nonIdempotentJob(3)
				job.Idempotent = true
				answer := h.submit(job, 0, nil)
				h.advance(time.Second)
				for _, a := range h.agents[:test.failing] {
					a.finish(wire.TaskState_TASK_FAILED)
				}
				h.advance(3 * time.Second)
				for _, a := range h.agents {
					a.finish(wire.TaskState_TASK_DONE)
				}
				h.advance(2 * time.Second)
				if got := answer.GetOutcome().GetFate(); got != wire.Fate_DONE || h.agents[0].starts != 2 {
					t.Errorf("fate %s after %d starts of the first member; want DONE after 2", got, h.agents[0].starts)
				}
			})
		})
	}
}
