package sched

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"catkinpoint/gang"
	"catkinpoint/wire"
)

// Report applies an agent's report. The answer holds this scheduler's epoch, the
// permit, and the tasks that the agent may forget.
func (s *Scheduler) Report(ctx context.Context, report *wire.Report) (*wire.ReportResponse, error) {
	address, err := netip.ParseAddrPort(report.GetAddress())
	if err != nil {
		return nil, fmt.Errorf("address of worker %s: %w", report.GetWorker(), err)
	}
	response := &wire.ReportResponse{Epoch: s.opts.Epoch}
	if report.GetEpoch() > s.opts.Epoch {
		if s.opts.OnSuperseded != nil {
			s.opts.OnSuperseded(report.GetEpoch())
		}
		response.NotHolder = true
		return response, nil
	}
	err = s.control.Do(ctx, func(c *control) {
		s.applyReport(c, report, address, time.Now())
		response.Settled = c.settledTasks(report)
	})
	if err != nil {
		return nil, fmt.Errorf("taking report of %s: %w", report.GetWorker(), err)
	}
	response.Permit = s.opts.Permit().ToWire(time.Now())
	return response, nil
}

// applyReport updates the control state from a report, unless a later report of
// the same agent has been applied.
func (s *Scheduler) applyReport(c *control, report *wire.Report, address netip.AddrPort, now time.Time) {
	w, ok := c.workers[report.GetWorker()]
	if !ok {
		klog.Infof("sched: Worker %s of data centre %s has started to report.", report.GetWorker(), s.opts.DataCentre)
		w = &worker{}
		c.workers[report.GetWorker()] = w
	}
	restarted := ok && w.report.GetBootId() != report.GetBootId()
	if ok && !restarted && report.GetSequence() <= w.report.GetSequence() {
		return // out of order or repeated
	}
	w.report, w.address, w.lastSeen, w.lost = report, address, now, false
	w.epochAcked = report.GetEpoch() == s.opts.Epoch
	if restarted {
		s.handleAgentRestart(c, report)
	}
	for _, status := range report.GetTasks() {
		s.routeTaskStatus(c, report, status, now)
	}
	c.dirty = true
}

// handleAgentRestart reports the tasks that the agent had before its restart to
// their coordinators as lost.
func (s *Scheduler) handleAgentRestart(c *control, report *wire.Report) {
	for _, a := range c.attempts {
		for rank, m := range a.members {
			if m.GetWorker() == report.GetWorker() && m.GetBootId() != report.GetBootId() {
				s.step(c, a, gang.Event{Kind: gang.EventLost, Rank: rank})
			}
		}
	}
}

// routeTaskStatus passes the status of a task to its attempt or, if it belongs to
// none, to the orphans.
func (s *Scheduler) routeTaskStatus(c *control, report *wire.Report, status *wire.TaskStatus, now time.Time) {
	ref, ok := c.tasks[status.GetAttempt()]
	if !ok {
		s.applyOrphanStatus(c, report, status, now)
		return
	}
	s.handleTaskStatus(c, ref.attempt, ref.rank, report.GetBootId(), status)
}

// settledTasks returns the ids of the reported tasks that have ended and that the
// agent may forget: their outcome is recorded, or nobody will ask for it.
func (c *control) settledTasks(report *wire.Report) []string {
	var settled []string
	for _, status := range report.GetTasks() {
		if !gang.Final(status.GetState()) {
			continue
		}
		id := status.GetAttempt()
		_, active := c.tasks[id]
		o, retained := c.orphans[id]
		retained = retained && !o.expired && !o.stale
		if !active && !retained && !c.isEnding(status.GetJobId()) && c.recordsRead {
			settled = append(settled, id)
		}
	}
	return settled
}

// isEnding reports whether the job's outcome is still being recorded.
func (c *control) isEnding(id string) bool {
	j, ok := c.jobs[id]
	return ok && j.phase == ending
}
