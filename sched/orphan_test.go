package sched

import (
	"testing"
	"time"

	"catkinpoint/wire"
)

// committed is a record as an earlier scheduler has committed it.
func (w *world) committed(epoch int64) *wire.JobRecord {
	return &wire.JobRecord{
		Job: onceJob(1), Phase: wire.JobRecord_COMMITTED, DataCentre: "dc", Epoch: epoch, Attempt: 1,
		Members: []*wire.Member{{Worker: "w0", AgentAddress: w.agents[0].listener.Addr().String(), BootId: "first", Attempt: "job.1.1-0"}},
	}
}

func (w *world) setTask(state wire.TaskState, started bool) {
	w.agents[0].mu.Lock()
	defer w.agents[0].mu.Unlock()
	w.agents[0].tasks["job.1.1-0"] = &wire.TaskStatus{
		Attempt: "job.1.1-0", JobId: "job", State: state, Started: started, Accelerators: 1,
	}
}

// Guards against accelerators that are never freed: a task runs on although the
// record of its job has ended, and this scheduler has never known the job.
func TestStopOrphanOfEndedJob(t *testing.T) {
	run(t, 1, func(t *testing.T, w *world) {
		record := w.committed(1)
		record.Phase, record.Outcome = wire.JobRecord_ENDED, &wire.Outcome{Fate: wire.Fate_UNKNOWN}
		w.write(record, 0)
		w.setTask(wire.TaskState_TASK_RUNNING, true)
		w.takeDuty(2)
		w.wait(2 * time.Second)
		if got := w.agents[0].tasks["job.1.1-0"].GetState(); got != wire.TaskState_TASK_STOPPED {
			t.Errorf("state %s, want the task stopped", got)
		}
	})
}

// Guards against jobs that hang and results that are lost: a former scheduler's
// commit takes effect after the new one has read the records.
func TestLateCommitOfFormerScheduler(t *testing.T) {
	tests := []struct {
		name  string
		seen  bool           // the task was reported before
		state wire.TaskState // of the task once the commit has taken effect
		want  wire.JobRecord_Phase
	}{
		{"lapsed", true, wire.TaskState_TASK_REFUSED, wire.JobRecord_ACCEPTED},
		{"lapsed unseen", false, wire.TaskState_TASK_REFUSED, wire.JobRecord_ACCEPTED},
		{"started", true, wire.TaskState_TASK_RUNNING, wire.JobRecord_ENDED},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			run(t, 1, func(t *testing.T, w *world) {
				revision, _ := w.accept(onceJob(1))
				if test.seen {
					w.setTask(wire.TaskState_TASK_PREPARED, false)
				}
				w.takeDuty(2)
				w.write(w.committed(1), revision)
				w.setTask(test.state, test.state == wire.TaskState_TASK_RUNNING)
				w.wait(2 * time.Second)
				w.agents[0].finish(wire.TaskState_TASK_DONE)
				w.wait(time.Second)
				if stored, _ := w.record("job"); stored.GetPhase() != test.want {
					t.Errorf("record in phase %s, want %s", stored.GetPhase(), test.want)
				}
			})
		})
	}
}
