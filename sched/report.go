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

// Report takes an agent's report and answers with the epoch and the permit.
func (s *Scheduler) Report(ctx context.Context, report *wire.Report) (*wire.ReportResponse, error) {
	address, err := netip.ParseAddrPort(report.GetAddress())
	if err != nil {
		return nil, fmt.Errorf("address of worker %s: %w", report.GetWorker(), err)
	}
	response := &wire.ReportResponse{Epoch: s.opts.Epoch}
	if report.GetEpoch() > s.opts.Epoch {
		if s.opts.Superseded != nil {
			s.opts.Superseded(report.GetEpoch())
		}
		response.NotHolder = true
		return response, nil
	}
	err = s.control.Do(ctx, func(c *control) {
		s.take(c, report, address, time.Now())
		response.Settled = c.settledOf(report)
	})
	if err != nil {
		return nil, fmt.Errorf("taking report of %s: %w", report.GetWorker(), err)
	}
	response.Permit = s.opts.Permit().ToWire(time.Now())
	return response, nil
}

// take applies a report to the control state.
func (s *Scheduler) take(c *control, report *wire.Report, address netip.AddrPort, now time.Time) {
	w, ok := c.workers[report.GetWorker()]
	if !ok {
		klog.Infof("sched: Worker %s of data centre %s reports.", report.GetWorker(), s.opts.DataCentre)
		w = &worker{}
		c.workers[report.GetWorker()] = w
	}
	restarted := ok && w.report.GetBootId() != report.GetBootId()
	if ok && !restarted && report.GetSequence() <= w.report.GetSequence() {
		return // reordered
	}
	w.report, w.address, w.lastSeen, w.lost = report, address, now, false
	w.acked = report.GetEpoch() == s.opts.Epoch
	if restarted {
		s.loseEarlierBoot(c, report)
	}
	for _, status := range report.GetTasks() {
		s.takeStatus(c, report, status, now)
	}
	c.dirty = true
}

// loseEarlierBoot gives up the tasks that the agent had before its restart.
func (s *Scheduler) loseEarlierBoot(c *control, report *wire.Report) {
	for _, a := range c.attempts {
		for rank, m := range a.members {
			if m.GetWorker() == report.GetWorker() && m.GetBootId() != report.GetBootId() {
				s.step(c, a, gang.Event{Kind: gang.EventLost, Rank: rank})
			}
		}
	}
}

func (s *Scheduler) takeStatus(c *control, report *wire.Report, status *wire.TaskStatus, now time.Time) {
	ref, ok := c.tasks[status.GetAttempt()]
	if !ok {
		s.takeOrphan(c, report, status, now)
		return
	}
	s.status(c, ref.attempt, ref.rank, report.GetBootId(), status)
}

// settledOf lists the reported attempts whose outcome is recorded, or that
// nobody will ask for.
func (c *control) settledOf(report *wire.Report) []string {
	var settled []string
	for _, status := range report.GetTasks() {
		if !gang.Final(status.GetState()) {
			continue
		}
		id := status.GetAttempt()
		_, waits := c.tasks[id]
		o, kept := c.orphans[id]
		kept = kept && !o.expired
		if !waits && !kept && !c.isEnding(status.GetJobId()) && c.loaded {
			settled = append(settled, id)
		}
	}
	return settled
}

// isEnding says whether the job's outcome is still being recorded.
func (c *control) isEnding(id string) bool {
	j, ok := c.jobs[id]
	return ok && j.phase == ending
}
