package relay

import (
	"testing"
	"time"

	"catkinpoint/flow"
)

// A worker was listed last while it was idle. A run that is known from the answer
// to its start has made no progress since that list, and must not look like it.
func TestStartedRunIsNotFromTheLastList(t *testing.T) {
	s := newState()
	s.worker, s.epoch = &flow.Worker{Id: "w"}, 1
	s.applyLists(Lists{Clock: time.Second}, 1, 0)
	s.listClock = time.Second
	key := runKey{task: "00000000000000aa.0.0.0", run: 1}
	order := &start{order: &flow.Start{Task: key.task, Run: key.run}, phase: startSending}
	s.starts[key] = order
	s.startAnswered(key, order, AnswerStarted, nil)
	if r := s.report("r", "b", 4*time.Second); len(r.GetRunning()) != 1 || r.GetListClockMs() != 0 {
		t.Errorf("runs %v with the clock %d ms of a list before them; want one run and no clock", r.GetRunning(), r.GetListClockMs())
	}
}
