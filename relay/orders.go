package relay

import (
	"time"

	"k8s.io/klog/v2"

	"catkinpoint/flow"
	"catkinpoint/graph"
)

// applyOrders updates the state from the answer to a report that was sent at the relay's
// time sentAt.
func (s *state) applyOrders(orders *flow.Orders, sentAt time.Duration) {
	s.forgetStoredCrashes(orders.GetCrashesStored())
	if orders.GetEpoch() < s.epoch || s.worker == nil ||
		orders.GetWorker() != s.worker.GetId() || orders.GetWorkerBornMs() != s.worker.GetBornMs() {
		return
	}
	if orders.GetEpoch() > s.epoch {
		klog.InfoS("relay: new epoch", "epoch", orders.GetEpoch(), "old", s.epoch)
		s.epoch, s.listed, s.ordersVersion = orders.GetEpoch(), false, 0
		// From the next call on, which carries the new epoch, the worker refuses
		// what the former scheduler ordered, except for runs that it has already.
		s.starts, s.stops = map[runKey]*start{}, map[runKey]*stop{}
		s.refusals = map[runKey]string{}
		s.requestReport()
	}
	if lease := time.Duration(orders.GetLeaseMs()) * time.Millisecond; lease > 0 {
		s.lease = lease
		s.leaseUntil = max(s.leaseUntil, sentAt+lease)
	}
	s.startsAllowedUntil = max(s.startsAllowedUntil, sentAt+time.Duration(orders.GetPermitMs())*time.Millisecond)
	if orders.GetVersion() < s.ordersVersion {
		return
	}
	s.ordersVersion = orders.GetVersion()
	s.observed = max(s.observed, orders.GetObserved())
	for number := range s.ends {
		if number <= s.observed {
			delete(s.ends, number)
		}
	}
	s.setStarts(orders.GetStarts())
	s.setStops(orders.GetStops())
}

// setStarts replaces the ordered starts. None is accepted while the worker's process has
// ended.
func (s *state) setStarts(orders []*flow.Start) {
	ordered := map[runKey]bool{}
	s.lacksStarts = false
	for _, order := range orders {
		key := runKey{order.GetTask(), order.GetRun()}
		ordered[key] = true
		switch _, ok := s.starts[key]; {
		case ok || s.runKnown(key):
		case s.worker.GetGone():
			s.refuse(key, graph.RefusedStopped)
		case order.GetKnown():
			s.lacksStarts = true
			s.requestReport()
		default:
			s.starts[key] = &start{order: order}
		}
	}
	s.withdrawStarts(ordered)
	for key := range s.refusals {
		if _, ok := s.stops[key]; !ordered[key] && !ok {
			delete(s.refusals, key)
		}
	}
}

// refuseExpiredStarts refuses the starts whose calls all had a deadline that has passed.
func (s *state) refuseExpiredStarts() {
	for key, st := range s.starts {
		if st.phase != startSending {
			s.refuse(key, graph.RefusedExpired)
		}
	}
	s.withdrawStarts(nil)
}

// refuseUnsentStarts gives up all starts, as the process of the worker has ended, and
// refuses those of which every call has an answer. The others may still be carried out by
// the worker's next process.
func (s *state) refuseUnsentStarts() {
	for key, st := range s.starts {
		if st.phase == startPending && st.unansweredTries == 0 {
			s.refuse(key, graph.RefusedStopped)
		}
	}
	s.withdrawStarts(nil)
}

// revokeOpenStarts has the new process of a worker reject the starts of which a call to the
// process before has no answer.
func (s *state) revokeOpenStarts(now time.Duration) {
	for key, sentAt := range s.openStarts {
		if now-sentAt <= lateStartTime {
			s.revokeStart(key, &start{order: &flow.Start{Task: key.task, Run: key.run}}, graph.RefusedStopped)
		}
	}
}

// withdrawStarts gives up the starts that are not ordered. One that may have been sent to
// the worker stays until a stop has made sure that it cannot be carried out.
func (s *state) withdrawStarts(ordered map[runKey]bool) {
	for key, st := range s.starts {
		switch {
		case ordered[key] || st.phase == startRevoking:
		case st.phase == startPending && st.tries == 0:
			delete(s.starts, key)
		default:
			st.withdrawn = true
		}
	}
}

// setStops replaces the ordered stops. A stop that is no longer ordered stays while
// it is being sent, and while it revokes a start.
func (s *state) setStops(orders []*flow.Stop) {
	ordered := map[runKey]bool{}
	for _, order := range orders {
		key := runKey{order.GetTask(), order.GetRun()}
		ordered[key] = true
		if _, refused := s.refusals[key]; refused || s.hasEnded(key) {
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
		if _, revoking := s.starts[key]; !ordered[key] && !revoking && !st.sending {
			delete(s.stops, key)
		}
	}
}

// revokeStart gives up a start. It sends a stop, after which the run can no longer
// start, and the run is then reported as refused for the reason.
func (s *state) revokeStart(key runKey, st *start, reason string) {
	klog.InfoS("relay: start given up", "task", key.task, "run", key.run, "tries", st.tries, "reason", reason)
	st.phase, st.reason = startRevoking, reason
	s.starts[key] = st
	if _, ok := s.stops[key]; !ok {
		s.stops[key] = &stop{order: &flow.Stop{Task: key.task, Run: key.run}}
	}
}
