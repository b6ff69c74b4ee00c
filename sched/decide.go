package sched

import (
	"fmt"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"catkinpoint/gang"
	"catkinpoint/place"
	"catkinpoint/wire"
)

// decideThrottled decides after a batch of events that has changed the state, or
// arms a timer if the last decision was less than decisionInterval ago. The pause
// keeps decisions to a small part of a core.
func (s *Scheduler) decideThrottled(c *control) {
	if !c.dirty || c.decisionPending {
		return
	}
	now := time.Now()
	if wait := c.decisionInterval() - now.Sub(c.lastDecisionAt); wait > 0 {
		c.decisionPending = true
		time.AfterFunc(wait, func() {
			s.post(func(c *control) { c.decisionPending, c.dirty = false, true })
		})
		return
	}
	s.decide(c, now)
}

// decisionInterval returns the least time between two decisions. It grows with
// the duration of the last one: reports of agents arrive all the time, and the
// cost of a decision grows with the data centre.
func (c *control) decisionInterval() time.Duration {
	return min(max(minDecisionInterval, decisionPauseFactor*c.lastDecisionTook), maxDecisionInterval)
}

// decide asks the policy for actions and carries them out.
func (s *Scheduler) decide(c *control, now time.Time) {
	c.dirty, c.lastDecisionAt = false, now
	s.updateServiceState(c, now)
	if !s.readyToPlace(c, now) || c.queue.Len() == 0 {
		return
	}
	state := s.placementState(c, now)
	if len(state.Queue) == 0 {
		return
	}
	for _, action := range s.opts.Policy.Decide(state, now) {
		s.applyAction(c, action, now)
	}
	c.lastDecisionAt = time.Now()
	c.lastDecisionTook = c.lastDecisionAt.Sub(now)
	s.stats.countDecision(c.lastDecisionTook)
}

// updateServiceState follows the permit when the data centre goes out of service
// or returns. All waiting jobs of a data centre out of service are refused.
func (s *Scheduler) updateServiceState(c *control, now time.Time) {
	p := s.opts.Permit()
	if p.Version == 0 {
		return
	}
	if p.InService && c.permitSeen && !c.inService {
		c.returnedAt = now
	}
	if !p.InService && (c.inService || !c.permitSeen) {
		klog.Infof("sched: Data centre %s is out of service.", s.opts.DataCentre)
	}
	c.inService, c.permitSeen = p.InService, true
	if p.InService {
		return
	}
	// Jobs that wait for another attempt are refused too, so that their entries
	// submit them to other data centres.
	for _, item := range slices.Collect(c.queue.All()) {
		s.finish(c, item.Value, refusedOutcome(errOutOfService))
	}
}

// capacityShare returns the share of the capacity that jobs may use. It grows in
// steps after a return to service, so that the jobs of other data centres do not
// all come at once.
func (s *Scheduler) capacityShare(c *control, now time.Time) float64 {
	if c.returnedAt.IsZero() {
		return 1
	}
	steps := 1 + int(now.Sub(c.returnedAt)/s.opts.Limits.ReturnStep)
	return min(1, float64(steps)*s.opts.Limits.ReturnShare)
}

// applyAction carries out one action of the policy.
func (s *Scheduler) applyAction(c *control, action place.Action, now time.Time) {
	switch {
	case action.Place != nil:
		j, ok := c.jobs[action.Place.JobID]
		if ok && j.phase == queued {
			s.startAttempt(c, j, action.Place.Workers, now)
		}
	case action.Preempt != nil:
		s.preempt(c, action.Preempt)
	case action.Reserve != nil:
		c.reservation = action.Reserve
	case action.Refuse != nil:
		j, ok := c.jobs[action.Refuse.JobID]
		if ok && j.phase == queued {
			s.finish(c, j, &wire.Outcome{Fate: wire.Fate_NOT_RUN, Reason: action.Refuse.Reason})
		}
	}
}

// preempt stops a running job with a checkpoint. It does nothing if the job is not
// running, cannot be checkpointed or is being preempted already.
func (s *Scheduler) preempt(c *control, p *place.Preempt) {
	j, ok := c.jobs[p.JobID]
	if !ok || j.phase != running || j.current.preempted || !j.spec.GetCheckpointable() {
		return
	}
	klog.V(1).Infof("sched: Preempts job %s: %s.", p.JobID, p.Reason)
	j.current.preempted = true
	s.step(c, j.current, gang.Event{Kind: gang.EventStop, Reason: fmt.Sprintf("preempted: %s", p.Reason)})
}

// doneOutcome returns the outcome of an attempt whose members are all done. Its
// result is the results of all members in the order of their ranks.
func (s *Scheduler) doneOutcome(a *attempt) *wire.Outcome {
	outcome := &wire.Outcome{Fate: wire.Fate_DONE, Worker: a.members[0].GetWorker()}
	if len(a.results) == 1 {
		outcome.Result = a.results[0]
		return outcome
	}
	for _, result := range a.results {
		outcome.Result = append(outcome.Result, result...)
	}
	return outcome
}
