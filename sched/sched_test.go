package sched

import (
	"fmt"
	"testing"
	"time"

	"catkinpoint/stand/fakekv"
	"catkinpoint/wire"
)

// TestGangCompletes checks the case without faults, on which the other tests rely:
// a gang runs to its end, and a result that is too large for a report is fetched.
func TestGangCompletes(t *testing.T) {
	withScheduler(t, 2, func(t *testing.T, h *harness) {
		h.agents[1].hideResults = true
		revision, record := h.writeAccepted(nonIdempotentJob(2))
		answer := h.submit(nonIdempotentJob(2), revision, record)
		h.advance(time.Second)
		for _, a := range h.agents {
			a.finish(wire.TaskState_TASK_DONE)
		}
		h.advance(time.Second)
		if got := answer.GetOutcome(); got.GetFate() != wire.Fate_DONE || string(got.GetResult()) != "result of jobresult of job" {
			t.Errorf("outcome %v, want fate DONE and the results of both tasks", got)
		}
		stored, _ := h.readRecord("job")
		if stored.GetPhase() != wire.JobRecord_ENDED || stored.GetBodyParts() != 1 || stored.GetAcceptedBy() != "boot" {
			t.Errorf("record %v; want it ended, with body_parts 1 and accepted_by \"boot\"", stored)
		}
	})
}

// TestCancelDuringCommit guards against records that stay committed forever when a
// job is cancelled while the write of its commit is in progress.
func TestCancelDuringCommit(t *testing.T) {
	withScheduler(t, 1, func(t *testing.T, h *harness) {
		revision, record := h.writeAccepted(nonIdempotentJob(1))
		h.store.SetFaults(fakekv.AllCallers, fakekv.Faults{Delay: 500 * time.Millisecond})
		answer := h.submit(nonIdempotentJob(1), revision, record)
		h.advance(200 * time.Millisecond)
		if _, err := h.scheduler.Cancel(t.Context(), "job", "cancelled"); err != nil {
			t.Fatal(err)
		}
		h.advance(5 * time.Second)
		h.store.ClearFaults()
		stored, _ := h.readRecord("job")
		if answer.GetOutcome().GetFate() != wire.Fate_NOT_RUN || stored.GetPhase() != wire.JobRecord_ENDED {
			t.Errorf("outcome %v, record in phase %s; want fate NOT_RUN and phase ENDED", answer.GetOutcome(), stored.GetPhase())
		}
	})
}

// TestCancelAfterFailure guards against "not run" for work that ran: an idempotent
// job failed and was cancelled while it waited for its next attempt.
func TestCancelAfterFailure(t *testing.T) {
	for _, recorded := range []bool{false, true} {
		t.Run(fmt.Sprint(recorded), func(t *testing.T) {
			withScheduler(t, 1, func(t *testing.T, h *harness) {
				var revision int64
				var record *wire.JobRecord
				if recorded {
					revision, record = h.writeAccepted(idempotentJob())
				}
				answer := h.submit(idempotentJob(), revision, record)
				h.advance(time.Second)
				h.policy.set(false, true)
				h.agents[0].finish(wire.TaskState_TASK_FAILED)
				h.advance(time.Second)
				if _, err := h.scheduler.Cancel(t.Context(), "job", "cancelled"); err != nil {
					t.Fatal(err)
				}
				h.advance(time.Second)
				if got := answer.GetOutcome().GetFate(); got != wire.Fate_FAILED {
					t.Errorf("fate %s, want FAILED", got)
				}
			})
		})
	}
}

// TestTakeoverWithoutBody guards against a run without the body: a successor knows
// a committed job only from its record, and the attempt turns out not to have
// started.
func TestTakeoverWithoutBody(t *testing.T) {
	withScheduler(t, 1, func(t *testing.T, h *harness) {
		revision, record := h.writeAccepted(nonIdempotentJob(1))
		h.agents[0].refuseStart = true
		h.policy.set(false, false)
		committed := &wire.JobRecord{
			Job: nonIdempotentJob(1), Phase: wire.JobRecord_COMMITTED, DataCentre: "dc", Epoch: 1, Attempt: 1,
			AcceptedBy: record.GetAcceptedBy(), BodyParts: 1,
			Members: []*wire.Member{{Worker: "w0", AgentAddress: h.agents[0].listener.Addr().String(), BootId: "first", Attempt: "job.1.1-0"}},
		}
		h.writeRecord(committed, revision)
		h.takeDuty(2)
		h.agents[0].refuseStart = false
		h.advance(3 * time.Second)
		for _, body := range h.agents[0].bodies {
			if body != "body" {
				t.Errorf("a task got the body %q", body)
			}
		}
		stored, item := h.readRecord("job")
		if stored.GetPhase() != wire.JobRecord_ACCEPTED {
			t.Fatalf("record in phase %s; want ACCEPTED, so that an entry can submit the job with its body", stored.GetPhase())
		}
		h.submit(nonIdempotentJob(1), item.Revision, stored)
		h.advance(time.Second)
		if got := h.agents[0].bodies; len(got) != 1 || got[0] != "body" || h.agents[0].starts != 1 {
			t.Errorf("bodies %q and %d starts, want one of each", got, h.agents[0].starts)
		}
	})
}

// TestResubmitByAdoptingEntry guards against jobs that no entry handles: the entry
// that accepted a waiting job is gone, and the entry that adopts the job changes
// its record and submits it again.
func TestResubmitByAdoptingEntry(t *testing.T) {
	withScheduler(t, 1, func(t *testing.T, h *harness) {
		h.policy.set(false, true)
		revision, record := h.writeAccepted(nonIdempotentJob(1))
		h.submit(nonIdempotentJob(1), revision, record)
		h.advance(time.Second)
		record.AcceptedBy = "other"
		newRevision := h.writeRecord(record, revision)
		answer := h.submit(nonIdempotentJob(1), newRevision, record)
		h.policy.set(false, false)
		h.advance(time.Second)
		h.agents[0].finish(wire.TaskState_TASK_DONE)
		h.advance(time.Second)
		if got := answer.GetOutcome().GetFate(); got != wire.Fate_DONE || h.agents[0].starts != 1 {
			t.Errorf("fate %s after %d starts, want DONE after 1", got, h.agents[0].starts)
		}
	})
}

// TestRerouteWhenOutOfService guards against jobs that wait forever in a data
// centre out of service because their attempt ended after the waiting jobs were
// given back.
func TestRerouteWhenOutOfService(t *testing.T) {
	withScheduler(t, 1, func(t *testing.T, h *harness) {
		h.agents[0].refuseStart = true
		revision, record := h.writeAccepted(nonIdempotentJob(1))
		h.policy.set(false, true)
		answer := h.submit(nonIdempotentJob(1), revision, record)
		h.policy.set(false, false)
		h.store.SetFaults(fakekv.AllCallers, fakekv.Faults{Delay: 900 * time.Millisecond})
		h.advance(500 * time.Millisecond)
		h.mu.Lock()
		h.outOfService = true
		h.mu.Unlock()
		h.advance(5 * time.Second)
		if !answer.GetReroute() || answer.GetOutcome().GetFate() != wire.Fate_NOT_RUN {
			t.Errorf("answer %v; want reroute and fate NOT_RUN", answer)
		}
	})
}

// TestPreemptNonIdempotentJob guards against a second run of a non-idempotent job
// whose preempted task ended without a checkpoint, by itself or because its lease
// expired.
func TestPreemptNonIdempotentJob(t *testing.T) {
	tests := []struct {
		name       string
		checkpoint int64
		starts     int
		fate       wire.Fate
	}{
		{"saved", 700, 2, wire.Fate_DONE},
		{"not saved", 0, 1, wire.Fate_FAILED},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withScheduler(t, 1, func(t *testing.T, h *harness) {
				h.agents[0].checkpointMs = test.checkpoint
				revision, record := h.writeAccepted(nonIdempotentJob(1))
				answer := h.submit(nonIdempotentJob(1), revision, record)
				h.advance(time.Second)
				h.submitUnplaceable()
				h.policy.set(true, false)
				h.advance(100 * time.Millisecond)
				h.policy.set(false, false)
				h.advance(time.Second)
				h.agents[0].finish(wire.TaskState_TASK_DONE)
				h.advance(time.Second)
				if got := answer.GetOutcome().GetFate(); got != test.fate || h.agents[0].starts != test.starts {
					t.Errorf("fate %s after %d starts, want %s after %d", got, h.agents[0].starts, test.fate, test.starts)
				}
			})
		})
	}
}

// TestCancelDuringRelease guards against a cancellation that is lost because the
// record of a preempted job is being released, and against "not run" for the job,
// which ran.
func TestCancelDuringRelease(t *testing.T) {
	withScheduler(t, 1, func(t *testing.T, h *harness) {
		h.agents[0].checkpointMs = 700
		revision, record := h.writeAccepted(nonIdempotentJob(1))
		answer := h.submit(nonIdempotentJob(1), revision, record)
		h.advance(time.Second)
		h.store.SetFaults(fakekv.AllCallers, fakekv.Faults{Delay: 800 * time.Millisecond})
		h.submitUnplaceable()
		h.policy.set(true, false)
		h.advance(300 * time.Millisecond)
		h.policy.set(false, false)
		if _, err := h.scheduler.Cancel(t.Context(), "job", "cancelled"); err != nil {
			t.Fatal(err)
		}
		h.advance(5 * time.Second)
		if got := answer.GetOutcome().GetFate(); got != wire.Fate_FAILED || h.agents[0].starts != 1 {
			t.Errorf("fate %s after %d starts, want FAILED after 1", got, h.agents[0].starts)
		}
	})
}
