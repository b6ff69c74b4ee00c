package sched

import (
	"slices"
	"testing"
	"time"

	"catkinpoint/wire"
)

// committedRecord returns the record of a job whose attempt on the first agent was
// committed by a scheduler with the given epoch.
func (h *harness) committedRecord(epoch int64) *wire.JobRecord {
	return &wire.JobRecord{
		Job: nonIdempotentJob(1), Phase: wire.JobRecord_COMMITTED, DataCentre: "dc", Epoch: epoch, Attempt: 1,
		Members: []*wire.Member{{Worker: "w0", AgentAddress: h.agents[0].listener.Addr().String(), BootId: "first", Attempt: "job.1.1-0"}},
	}
}

// setTask sets the task of committedRecord at the first agent.
func (h *harness) setTask(state wire.TaskState, started bool) {
	h.agents[0].mu.Lock()
	defer h.agents[0].mu.Unlock()
	h.agents[0].tasks["job.1.1-0"] = &wire.TaskStatus{
		Attempt: "job.1.1-0", JobId: "job", State: state, Started: started, Accelerators: 1,
	}
}

// TestStopOrphanOfEndedJob guards against accelerators that are never freed: a task
// goes on running although the record of its job has ended, and this scheduler has
// never known the job.
func TestStopOrphanOfEndedJob(t *testing.T) {
	withScheduler(t, 1, func(t *testing.T, h *harness) {
		record := h.committedRecord(1)
		record.Phase, record.Outcome = wire.JobRecord_ENDED, &wire.Outcome{Fate: wire.Fate_UNKNOWN}
		h.writeRecord(record, 0)
		h.setTask(wire.TaskState_TASK_RUNNING, true)
		h.takeDuty(2)
		h.advance(2 * time.Second)
		if got := h.agents[0].tasks["job.1.1-0"].GetState(); got != wire.TaskState_TASK_STOPPED {
			t.Errorf("task in state %s, want TASK_STOPPED", got)
		}
	})
}

// TestLateCommitOfEarlierScheduler guards against jobs that hang and results that
// are lost when the commit of an earlier scheduler takes effect after the new one
// has read the records.
func TestLateCommitOfEarlierScheduler(t *testing.T) {
	tests := []struct {
		name           string
		reportedBefore bool           // the prepared task is reported before the commit
		state          wire.TaskState // of the task once the commit has taken effect
		want           wire.JobRecord_Phase
	}{
		{"reservation lapsed", true, wire.TaskState_TASK_REFUSED, wire.JobRecord_ACCEPTED},
		{"reservation lapsed, never reported", false, wire.TaskState_TASK_REFUSED, wire.JobRecord_ACCEPTED},
		{"started", true, wire.TaskState_TASK_RUNNING, wire.JobRecord_ENDED},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withScheduler(t, 1, func(t *testing.T, h *harness) {
				revision, _ := h.writeAccepted(nonIdempotentJob(1))
				if test.reportedBefore {
					h.setTask(wire.TaskState_TASK_PREPARED, false)
				}
				h.takeDuty(2)
				h.writeRecord(h.committedRecord(1), revision)
				h.setTask(test.state, test.state == wire.TaskState_TASK_RUNNING)
				h.advance(2 * time.Second)
				h.agents[0].finish(wire.TaskState_TASK_DONE)
				h.advance(time.Second)
				if stored, _ := h.readRecord("job"); stored.GetPhase() != test.want {
					t.Errorf("job record in phase %s, want %s", stored.GetPhase(), test.want)
				}
			})
		})
	}
}

// TestForgetTaskOfEndedJob guards against an agent that drains for 30 s longer than
// its tasks run, because the scheduler that recorded the end of a job was replaced
// before it could tell the agent. A result that an entry may still ask for has to
// stay at the agent.
func TestForgetTaskOfEndedJob(t *testing.T) {
	tests := []struct {
		name     string
		recorded bool // the job has a record, which has ended
		state    wire.TaskState
		want     []string
	}{
		{"done", true, wire.TaskState_TASK_DONE, []string{"job.1.1-0"}},
		{"failed", true, wire.TaskState_TASK_FAILED, []string{"job.1.1-0"}},
		{"stopped", true, wire.TaskState_TASK_STOPPED, []string{"job.1.1-0"}},
		{"done without a record", false, wire.TaskState_TASK_DONE, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withScheduler(t, 1, func(t *testing.T, h *harness) {
				if test.recorded {
					record := h.committedRecord(1)
					record.Phase, record.Outcome = wire.JobRecord_ENDED, &wire.Outcome{Fate: wire.Fate_FAILED}
					h.writeRecord(record, 0)
				}
				h.setTask(test.state, true)
				h.takeDuty(2)
				if got := h.agents[0].settled; !slices.Equal(got, test.want) {
					t.Errorf("2 s after the takeover the agent may forget %q, want %q", got, test.want)
				}
			})
		})
	}
}
