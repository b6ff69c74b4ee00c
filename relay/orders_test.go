package relay

import (
	"testing"
	"time"

	"catkinpoint/flow"
	"catkinpoint/graph"
)

// Guards against a start without its spec, as the scheduler takes it as known, that is sent
// to the worker by a relay that lacks it, and against one that then never runs.
func TestKnownStartIsNotReplaced(t *testing.T) {
	s := newState()
	s.worker, s.epoch = &flow.Worker{Id: "w", BornMs: 1}, 1
	task := graph.TaskName("00000000000000aa", graph.Ref{})
	whole := &flow.Start{Task: task, Run: 1, Spec: "spec", Checkpoint: "c"}
	known := &flow.Start{Task: task, Run: 1, Known: true}
	key := runKey{task, 1}
	steps := []struct {
		name     string
		orders   *flow.Start
		has      bool
		reported int64 // version of the orders
	}{
		{"lacking", known, false, 0},
		{"still lacking", known, false, 0},
		{"whole", whole, true, 3},
		{"known", known, true, 4},
		{"withdrawn", nil, false, 5},
		{"lacking again", known, false, 0},
	}
	for i, step := range steps {
		orders := &flow.Orders{Epoch: 1, Worker: "w", WorkerBornMs: 1, Version: int64(i + 1)}
		if step.orders != nil {
			orders.Starts = []*flow.Start{step.orders}
		}
		s.applyOrders(orders, 0)
		st, has := s.starts[key]
		if has != step.has || has && (st.order.GetSpec() != "spec" || st.order.GetCheckpoint() != "c") {
			t.Errorf("%s: start %v", step.name, st)
		}
		if r := s.report("r", "b", time.Second); r.GetOrdersVersion() != step.reported || !r.GetKeepsStarts() {
			t.Errorf("%s: reported version %d; want %d", step.name, r.GetOrdersVersion(), step.reported)
		}
	}
}
