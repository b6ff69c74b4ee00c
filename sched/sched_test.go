package sched

import (
	"fmt"
	"testing"
	"time"

	"catkinpoint/stand/fakekv"
	"catkinpoint/wire"
)

// Guards against the harness: without a fault a gang is done, also if a
// result is too large for a report.
func TestDone(t *testing.T) {
	run(t, 2, func(t *testing.T, w *world) {
		w.agents[1].hidden = true
		revision, record := w.accept(onceJob(2))
		answer := w.submit(onceJob(2), revision, record)
		w.wait(time.Second)
		for _, a := range w.agents {
			a.finish(wire.TaskState_TASK_DONE)
		}
		w.wait(time.Second)
		if got := answer.GetOutcome(); got.GetFate() != wire.Fate_DONE || string(got.GetResult()) != "result of jobresult of job" {
			t.Errorf("outcome %v", got)
		}
		stored, _ := w.record("job")
		if stored.GetPhase() != wire.JobRecord_ENDED || stored.GetBodyParts() != 1 || stored.GetAcceptedBy() != "boot" {
			t.Errorf("record %v; want the end, with the parts of the body and the entry", stored)
		}
	})
}

// Guards against records that name an attempt for good: a job was cancelled
// while the write of its commit was on its way.
func TestCancelDuringCommit(t *testing.T) {
	run(t, 1, func(t *testing.T, w *world) {
		revision, record := w.accept(onceJob(1))
		w.store.SetFaults(fakekv.Everyone, fakekv.Faults{Slow: 500 * time.Millisecond})
		answer := w.submit(onceJob(1), revision, record)
		w.wait(200 * time.Millisecond)
		if _, err := w.s.Cancel(t.Context(), "job", "cancelled"); err != nil {
			t.Fatal(err)
		}
		w.wait(5 * time.Second)
		w.store.ClearFaults()
		stored, _ := w.record("job")
		if answer.GetOutcome().GetFate() != wire.Fate_NOT_RUN || stored.GetPhase() != wire.JobRecord_ENDED {
			t.Errorf("outcome %v, record in phase %s; want not_run and the end", answer.GetOutcome(), stored.GetPhase())
		}
	})
}

// Guards against "not run" for work that ran: an idempotent job failed, and was
// cancelled while it waited for its next attempt.
func TestCancelAfterFailure(t *testing.T) {
	for _, recorded := range []bool{false, true} {
		t.Run(fmt.Sprint(recorded), func(t *testing.T) {
			run(t, 1, func(t *testing.T, w *world) {
				var revision int64
				var record *wire.JobRecord
				if recorded {
					revision, record = w.accept(idempotentJob())
				}
				answer := w.submit(idempotentJob(), revision, record)
				w.wait(time.Second)
				w.policy.set(false, true)
				w.agents[0].finish(wire.TaskState_TASK_FAILED)
				w.wait(time.Second)
				if _, err := w.s.Cancel(t.Context(), "job", "cancelled"); err != nil {
					t.Fatal(err)
				}
				w.wait(time.Second)
				if got := answer.GetOutcome().GetFate(); got != wire.Fate_FAILED {
					t.Errorf("fate %s, want FAILED", got)
				}
			})
		})
	}
}

// Guards against a run without the body: a successor knows a committed job from
// its record only, and its attempt turned out not to have started.
func TestTakeoverWithoutBody(t *testing.T) {
	run(t, 1, func(t *testing.T, w *world) {
		revision, record := w.accept(onceJob(1))
		w.agents[0].refuseStart = true
		w.policy.set(false, false)
		committed := &wire.JobRecord{
			Job: onceJob(1), Phase: wire.JobRecord_COMMITTED, DataCentre: "dc", Epoch: 1, Attempt: 1,
			AcceptedBy: record.GetAcceptedBy(), BodyParts: 1,
			Members: []*wire.Member{{Worker: "w0", AgentAddress: w.agents[0].listener.Addr().String(), BootId: "first", Attempt: "job.1.1-0"}},
		}
		w.write(committed, revision)
		w.takeDuty(2)
		w.agents[0].refuseStart = false
		w.wait(3 * time.Second)
		for _, body := range w.agents[0].bodies {
			if body != "body" {
				t.Errorf("a task got the body %q", body)
			}
		}
		stored, item := w.record("job")
		if stored.GetPhase() != wire.JobRecord_ACCEPTED {
			t.Fatalf("record in phase %s; want it accepted, for an entry that has the body", stored.GetPhase())
		}
		w.submit(onceJob(1), item.Revision, stored)
		w.wait(time.Second)
		if got := w.agents[0].bodies; len(got) != 1 || got[0] != "body" || w.agents[0].starts != 1 {
			t.Errorf("bodies %q, %d starts; want one of each", got, w.agents[0].starts)
		}
	})
}

// Guards against jobs that nobody carries: the entry that accepted a waiting
// job has gone, and the entry that adopted it has changed its record.
func TestAdoptedWhileWaiting(t *testing.T) {
	run(t, 1, func(t *testing.T, w *world) {
		w.policy.set(false, true)
		revision, record := w.accept(onceJob(1))
		w.submit(onceJob(1), revision, record)
		w.wait(time.Second)
		record.AcceptedBy = "other"
		next := w.write(record, revision)
		answer := w.submit(onceJob(1), next, record)
		w.policy.set(false, false)
		w.wait(time.Second)
		w.agents[0].finish(wire.TaskState_TASK_DONE)
		w.wait(time.Second)
		if got := answer.GetOutcome().GetFate(); got != wire.Fate_DONE || w.agents[0].starts != 1 {
			t.Errorf("fate %s after %d starts, want DONE after 1", got, w.agents[0].starts)
		}
	})
}

// Guards against jobs that wait for good in a data centre out of service: their
// attempt ended after the others were given back.
func TestGivenBackAfterDrain(t *testing.T) {
	run(t, 1, func(t *testing.T, w *world) {
		w.agents[0].refuseStart = true
		revision, record := w.accept(onceJob(1))
		w.policy.set(false, true)
		answer := w.submit(onceJob(1), revision, record)
		w.policy.set(false, false)
		w.store.SetFaults(fakekv.Everyone, fakekv.Faults{Slow: 900 * time.Millisecond})
		w.wait(500 * time.Millisecond)
		w.mu.Lock()
		w.out = true
		w.mu.Unlock()
		w.wait(5 * time.Second)
		if !answer.GetReroute() || answer.GetOutcome().GetFate() != wire.Fate_NOT_RUN {
			t.Errorf("answer %v; want the job given back", answer)
		}
	})
}

// Guards against a second run of non-idempotent work: a preempted task ended
// without a checkpoint, by itself or as its lease ran out.
func TestPreemptOnce(t *testing.T) {
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
			run(t, 1, func(t *testing.T, w *world) {
				w.agents[0].checkpoint = test.checkpoint
				revision, record := w.accept(onceJob(1))
				answer := w.submit(onceJob(1), revision, record)
				w.wait(time.Second)
				w.waitingJob()
				w.policy.set(true, false)
				w.wait(100 * time.Millisecond)
				w.policy.set(false, false)
				w.wait(time.Second)
				w.agents[0].finish(wire.TaskState_TASK_DONE)
				w.wait(time.Second)
				if got := answer.GetOutcome().GetFate(); got != test.fate || w.agents[0].starts != test.starts {
					t.Errorf("fate %s after %d starts, want %s after %d", got, w.agents[0].starts, test.fate, test.starts)
				}
			})
		})
	}
}

// Guards against cancellations that are dropped while a preempted job is given
// back, and against "not run" for its work.
func TestCancelDuringRelease(t *testing.T) {
	run(t, 1, func(t *testing.T, w *world) {
		w.agents[0].checkpoint = 700
		revision, record := w.accept(onceJob(1))
		answer := w.submit(onceJob(1), revision, record)
		w.wait(time.Second)
		w.store.SetFaults(fakekv.Everyone, fakekv.Faults{Slow: 800 * time.Millisecond})
		w.waitingJob()
		w.policy.set(true, false)
		w.wait(300 * time.Millisecond)
		w.policy.set(false, false)
		if _, err := w.s.Cancel(t.Context(), "job", "cancelled"); err != nil {
			t.Fatal(err)
		}
		w.wait(5 * time.Second)
		if got := answer.GetOutcome().GetFate(); got != wire.Fate_FAILED || w.agents[0].starts != 1 {
			t.Errorf("fate %s after %d starts, want FAILED after 1", got, w.agents[0].starts)
		}
	})
}
