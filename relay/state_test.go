package relay

import (
	"testing"
	"time"

	"catkinpoint/flow"
)

// The relay knows a run from the answer to its start, but the worker's last list is
// older. Reported with the clock of that list, the run would look as if it had made no
// progress since then.
func TestStartedRunClearsListClock(t *testing.T) {
	s := newState()
	s.worker, s.epoch = &flow.Worker{Id: "w"}, 1
	s.applyLists(RunLists{Clock: time.Second}, 1, 0)
	s.listClock = time.Second
	key := runKey{task: "00000000000000aa.0.0.0", run: 1}
	st := &start{order: &flow.Start{Task: key.task, Run: key.run}, phase: startSending}
	s.starts[key] = st
	s.handleStartAnswer(key, st, 1, Done())
	if r := s.report("r", "b", 4*time.Second); len(r.GetRunning()) != 1 || r.GetListClockMs() != 0 {
		t.Errorf("runs %v with list clock %d ms; want one run and no list clock", r.GetRunning(), r.GetListClockMs())
	}
}
