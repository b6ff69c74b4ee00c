package relay

import (
	"time"

	"k8s.io/klog/v2"

	"catkinpoint/flow"
	"catkinpoint/graph"
)

// applyOrders takes the answer to a report that was sent at the given time, on
// the relay's and on the worker's clock.
func (s *state) applyOrders(o *flow.Orders, sent, sentWorker time.Duration) {
	if o.GetEpoch() < s.epoch || s.worker == nil ||
		o.GetWorker() != s.worker.GetId() || o.GetWorkerBornMs() != s.worker.GetBornMs() {
		return
	}
	if o.GetEpoch() > s.epoch {
		klog.InfoS("relay: new epoch", "epoch", o.GetEpoch(), "old", s.epoch)
		s.epoch, s.listed, s.ordersVersion = o.GetEpoch(), false, 0
		// What the former scheduler ordered is refused by the worker from the
		// next call on, unless it is there already.
		s.starts, s.stops = map[runKey]*start{}, map[runKey]*stop{}
		s.refusals = map[runKey]string{}
		s.news()
	}
	s.leaseUntil = max(s.leaseUntil, sentWorker+time.Duration(o.GetLeaseMs())*time.Millisecond)
	s.permitUntil = max(s.permitUntil, sent+time.Duration(o.GetPermitMs())*time.Millisecond)
	if o.GetVersion() < s.ordersVersion {
		return
	}
	s.ordersVersion = o.GetVersion()
	s.observed = max(s.observed, o.GetObserved())
	for number := range s.ends {
		if number <= s.observed {
			delete(s.ends, number)
		}
	}
	s.setStarts(o.GetStarts())
	s.setStops(o.GetStops())
}

// setStarts takes the runs that should begin. One that is ordered no more but
// may be on its way to the worker stays until it is settled.
func (s *state) setStarts(orders []*flow.Start) {
	wanted := map[runKey]bool{}
	for _, order := range orders {
		key := runKey{order.GetTask(), order.GetRun()}
		wanted[key] = true
		if _, ok := s.starts[key]; !ok && !s.knows(key) {
			s.starts[key] = &start{order: order}
		}
	}
	for key, st := range s.starts {
		if !wanted[key] && st.phase == startOpen && st.tries == 0 {
			delete(s.starts, key)
		}
	}
	for key := range s.refusals {
		if _, ok := s.stops[key]; !wanted[key] && !ok {
			delete(s.refusals, key)
		}
	}
}

// setStops takes the runs that should end.
func (s *state) setStops(orders []*flow.Stop) {
	wanted := map[runKey]bool{}
	for _, order := range orders {
		key := runKey{order.GetTask(), order.GetRun()}
		wanted[key] = true
		if _, refused := s.refusals[key]; refused || s.ended(key) {
			continue
		}
		if st, ok := s.starts[key]; ok {
			st.phase, st.reason = startRevoking, graph.RefusedStopped
		}
		if _, ok := s.stops[key]; !ok {
			s.stops[key] = &stop{order: order}
		}
	}
	for key, st := range s.stops {
		if _, revoking := s.starts[key]; !wanted[key] && !revoking && !st.sending {
			delete(s.stops, key)
		}
	}
}

// giveUp makes a start final by a stop and refuses it after that.
func (s *state) giveUp(key runKey, st *start, reason string) {
	klog.InfoS("relay: start given up", "task", key.task, "run", key.run, "tries", st.tries, "reason", reason)
	st.phase, st.reason = startRevoking, reason
	if _, ok := s.stops[key]; !ok {
		s.stops[key] = &stop{order: &flow.Stop{Task: key.task, Run: key.run}}
	}
}
