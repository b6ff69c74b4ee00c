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

// decideSoon asks the policy after a batch of events, with a pause in between
// that keeps decisions to a small part of a core.
func (s *Scheduler) decideSoon(c *control) {
	if !c.dirty || c.scheduled {
		return
	}
	now := time.Now()
	if wait := c.decidePause() - now.Sub(c.lastDecide); wait > 0 {
		c.scheduled = true
		time.AfterFunc(wait, func() {
			s.post(func(c *control) { c.scheduled, c.dirty = false, true })
		})
		return
	}
	s.decide(c, now)
}

// decidePause is the least time between two decisions. Reports of many agents
// come all the time, and a decision on them grows with the data centre.
func (c *control) decidePause() time.Duration {
	return min(max(decideGap, decideRest*c.decideTook), longestDecideGap)
}

// decide asks the policy and carries out its actions.
func (s *Scheduler) decide(c *control, now time.Time) {
	c.dirty, c.lastDecide = false, now
	s.followService(c, now)
	if !s.settled(c, now) || c.queue.Len() == 0 {
		return
	}
	state := s.state(c, now)
	if len(state.Queue) == 0 {
		return
	}
	for _, action := range s.opts.Policy.Decide(state, now) {
		s.act(c, action, now)
	}
	c.lastDecide = time.Now()
	c.decideTook = c.lastDecide.Sub(now)
	s.stats.decided(c.decideTook)
}

// followService notices that the data centre leaves or returns.
func (s *Scheduler) followService(c *control, now time.Time) {
	p := s.opts.Permit()
	if p.Version == 0 {
		return
	}
	if p.InService && c.seenState && !c.inService {
		c.returned = now
	}
	if !p.InService && (c.inService || !c.seenState) {
		klog.Infof("sched: Data centre %s is out of service.", s.opts.DataCentre)
	}
	c.inService, c.seenState = p.InService, true
	if p.InService {
		return
	}
	// Also jobs that wait again after an attempt go to other data centres.
	for _, item := range slices.Collect(c.queue.All()) {
		s.finish(c, item.Value, refused(errOutOfService))
	}
}

// capacityShare grows in steps after a return, so that the jobs of other data
// centres do not all come at once.
func (s *Scheduler) capacityShare(c *control, now time.Time) float64 {
	if c.returned.IsZero() {
		return 1
	}
	steps := 1 + int(now.Sub(c.returned)/s.opts.Limits.ReturnStep)
	return min(1, float64(steps)*s.opts.Limits.ReturnShare)
}

func (s *Scheduler) act(c *control, action place.Action, now time.Time) {
	switch {
	case action.Place != nil:
		j, ok := c.jobs[action.Place.JobID]
		if ok && j.phase == queued {
			s.begin(c, j, action.Place.Workers, now)
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

func (s *Scheduler) preempt(c *control, p *place.Preempt) {
	j, ok := c.jobs[p.JobID]
	if !ok || j.phase != running || j.current.preempted || !j.spec.GetCheckpointable() {
		return
	}
	klog.V(1).Infof("sched: Preempts job %s: %s.", p.JobID, p.Reason)
	j.current.preempted = true
	s.step(c, j.current, gang.Event{Kind: gang.EventStop, Reason: fmt.Sprintf("preempted: %s", p.Reason)})
}

// doneOutcome joins the results of all members in the order of their ranks.
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
