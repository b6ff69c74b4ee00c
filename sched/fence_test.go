package sched

import (
	"errors"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"catkinpoint/store"
	"catkinpoint/wire"
)

// TestPausedProcessKeepsWorkers guards against jobs that are given up although
// their workers are healthy, because the scheduler's process was paused for longer
// than Limits.WorkerLost.
func TestPausedProcessKeepsWorkers(t *testing.T) {
	withScheduler(t, 1, func(t *testing.T, h *harness) {
		revision, record := h.writeAccepted(nonIdempotentJob(1))
		answer := h.submit(nonIdempotentJob(1), revision, record)
		h.advance(time.Second)
		if err := h.scheduler.control.Do(t.Context(), func(*control) { time.Sleep(30 * time.Second) }); err != nil {
			t.Fatal(err)
		}
		h.advance(time.Second)
		h.agents[0].finish(wire.TaskState_TASK_DONE)
		h.advance(time.Second)
		if got := answer.GetOutcome().GetFate(); got != wire.Fate_DONE || h.agents[0].stops != 0 {
			t.Errorf("fate %s after %d stops, want DONE after none", got, h.agents[0].stops)
		}
	})
}

// TestFencedSchedulerCannotEndRecord guards against a lost result: an earlier
// scheduler that was cut off has given up the workers, and its write of the ended
// record arrives while the job goes on under a new scheduler.
func TestFencedSchedulerCannotEndRecord(t *testing.T) {
	withScheduler(t, 1, func(t *testing.T, h *harness) {
		revision, _ := h.writeAccepted(nonIdempotentJob(1))
		revision = h.writeRecord(h.committedRecord(1), revision)
		h.setTask(wire.TaskState_TASK_RUNNING, true)
		h.takeDuty(2)
		end := h.committedRecord(1)
		end.Phase, end.Outcome = wire.JobRecord_ENDED, &wire.Outcome{Fate: wire.Fate_UNKNOWN}
		data, err := proto.Marshal(end)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := h.store.Put(t.Context(), RecordKey("job"), data, revision, 0); !errors.Is(err, store.ErrConflict) {
			t.Errorf("write of the ended record by the earlier scheduler: %v, want a conflict", err)
		}
		h.agents[0].finish(wire.TaskState_TASK_DONE)
		h.advance(time.Second)
		if stored, _ := h.readRecord("job"); stored.GetOutcome().GetFate() != wire.Fate_DONE {
			t.Errorf("stored outcome %v, want fate DONE", stored.GetOutcome())
		}
	})
}
