package sched

import (
	"errors"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"catkinpoint/store"
	"catkinpoint/wire"
)

// Guards against jobs that are given up although their workers are well: this
// process was paused for longer than the silence after which a worker is lost.
func TestPauseIsNotSilence(t *testing.T) {
	run(t, 1, func(t *testing.T, w *world) {
		revision, record := w.accept(onceJob(1))
		answer := w.submit(onceJob(1), revision, record)
		w.wait(time.Second)
		if err := w.s.control.Do(t.Context(), func(*control) { time.Sleep(30 * time.Second) }); err != nil {
			t.Fatal(err)
		}
		w.wait(time.Second)
		w.agents[0].finish(wire.TaskState_TASK_DONE)
		w.wait(time.Second)
		if got := answer.GetOutcome().GetFate(); got != wire.Fate_DONE || w.agents[0].stops != 0 {
			t.Errorf("fate %s after %d stops, want DONE after none", got, w.agents[0].stops)
		}
	})
}

// Guards against a lost result: the former scheduler, cut off for long, has given
// up the workers, and its end of the record arrives while the job goes on.
func TestFormerSchedulerCannotEnd(t *testing.T) {
	run(t, 1, func(t *testing.T, w *world) {
		revision, _ := w.accept(onceJob(1))
		revision = w.write(w.committed(1), revision)
		w.setTask(wire.TaskState_TASK_RUNNING, true)
		w.takeDuty(2)
		end := w.committed(1)
		end.Phase, end.Outcome = wire.JobRecord_ENDED, &wire.Outcome{Fate: wire.Fate_UNKNOWN}
		data, err := proto.Marshal(end)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := w.store.Put(t.Context(), RecordKey("job"), data, revision, 0); !errors.Is(err, store.ErrConflict) {
			t.Errorf("the former scheduler's end: %v, want a conflict", err)
		}
		w.agents[0].finish(wire.TaskState_TASK_DONE)
		w.wait(time.Second)
		if stored, _ := w.record("job"); stored.GetOutcome().GetFate() != wire.Fate_DONE {
			t.Errorf("outcome %v, want done", stored.GetOutcome())
		}
	})
}
