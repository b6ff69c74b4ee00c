package sched

import (
	"testing"
	"time"

	"catkinpoint/wire"
)

// TestReroutedJobHasNotEnded guards against a job that is counted as ended by each scheduler
// that gives it back for another data centre or that it is taken from, besides the one that
// runs it.
func TestReroutedJobHasNotEnded(t *testing.T) {
	tests := []struct {
		name         string
		outOfService bool
		earlier      wire.Fate // of an attempt in another data centre
		taken        bool      // the record is changed by another scheduler
		want         map[wire.Fate]int64
	}{
		{"run here", false, 0, false, map[wire.Fate]int64{wire.Fate_DONE: 1}},
		{"given back", true, 0, false, nil},
		{"given back after a failed attempt elsewhere", true, wire.Fate_FAILED, false, nil},
		{"taken by another scheduler", false, 0, true, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withScheduler(t, 1, func(t *testing.T, h *harness) {
				h.policy.set(false, test.outOfService)
				revision, record := h.writeAccepted(nonIdempotentJob(1))
				record.Earlier = test.earlier
				answer := h.submit(nonIdempotentJob(1), revision, record)
				h.mu.Lock()
				h.outOfService = test.outOfService
				h.mu.Unlock()
				h.advance(time.Second)
				if test.taken {
					current, item := h.readRecord("job")
					current.DataCentre, current.Epoch = "other", 2
					h.writeRecord(current, item.Revision)
				}
				h.agents[0].finish(wire.TaskState_TASK_DONE)
				h.advance(5 * time.Second)
				if answer.GetReroute() != test.outOfService {
					t.Fatalf("answer %v", answer)
				}
				fates := h.scheduler.Stats().Fates
				if len(fates) != len(test.want) || fates[wire.Fate_DONE] != test.want[wire.Fate_DONE] {
					t.Errorf("ended jobs %v; want %v", fates, test.want)
				}
			})
		})
	}
}
