package agent

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"catkinpoint/clock"
	"catkinpoint/gang"
	"catkinpoint/link"
	"catkinpoint/permit"
	"catkinpoint/wire"
)

const (
	// reportTimeout bounds one report; a large result needs more than a ping.
	reportTimeout = 5 * time.Second
	// locateTimeout bounds the question for the scheduler's address.
	locateTimeout = time.Second
	// locateRetry is the time between two questions.
	locateRetry = 200 * time.Millisecond
	// relocatePeriod is the time between two questions to all entries while the
	// scheduler has no valid permit.
	relocatePeriod = 5 * time.Second
	// reportGap collects the ends of several tasks into one report.
	reportGap = 2 * time.Millisecond
)

// reportLoop reports to the scheduler each period, and at once when a task ends.
func (a *Agent) reportLoop(ctx context.Context) {
	ticker := time.NewTicker(a.opts.ReportPeriod)
	defer ticker.Stop()
	var scheduler netip.AddrPort
	asked := time.Now()
	for {
		if !scheduler.IsValid() {
			scheduler = a.locate(ctx)
		}
		if scheduler.IsValid() && !a.report(ctx, scheduler) {
			scheduler = netip.AddrPort{}
			if !clock.Sleep(ctx, locateRetry) {
				return
			}
			continue
		}
		if time.Since(asked) >= relocatePeriod && a.permitLapsed(ctx) {
			asked = time.Now()
			if newest := a.locateNewest(ctx); newest.IsValid() {
				scheduler = newest
				continue
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-a.wake:
			if !clock.Sleep(ctx, reportGap) {
				return
			}
		}
	}
}

// locate asks the entries in turn for the scheduler of this data centre.
func (a *Agent) locate(ctx context.Context) netip.AddrPort {
	epoch := a.epoch(ctx)
	for _, entry := range a.opts.Entries {
		duty := a.ask(ctx, entry)
		if addr, err := netip.ParseAddrPort(duty.GetAddress()); err == nil && duty.GetEpoch() >= epoch {
			return addr
		}
	}
	return netip.AddrPort{}
}

// permitLapsed says whether the scheduler's reports bring no valid permit.
func (a *Agent) permitLapsed(ctx context.Context) bool {
	lapsed := false
	_ = a.control.Do(ctx, func(s *state) { lapsed = s.permit.Remaining(time.Now(), a.opts.PermitAge) <= 0 })
	return lapsed // false at the end of the agent
}

// epoch is the highest epoch that the agent has seen.
func (a *Agent) epoch(ctx context.Context) int64 {
	epoch := int64(0)
	_ = a.control.Do(ctx, func(s *state) { epoch = s.epoch }) // at the end nothing is asked
	return epoch
}

// locateNewest asks all entries for a scheduler of a higher epoch. An entry that
// is cut off from the store goes on naming its own scheduler, although another
// entry has taken the duty.
func (a *Agent) locateNewest(ctx context.Context) netip.AddrPort {
	var newest netip.AddrPort
	epoch := a.epoch(ctx)
	for _, entry := range a.opts.Entries {
		if duty := a.ask(ctx, entry); duty.GetEpoch() > epoch {
			if addr, err := netip.ParseAddrPort(duty.GetAddress()); err == nil {
				newest, epoch = addr, duty.GetEpoch()
			}
		}
	}
	return newest
}

// ask asks one entry for the duty of this data centre.
func (a *Agent) ask(ctx context.Context, entry netip.AddrPort) *wire.Duty {
	request := &wire.LocateRequest{DataCentre: a.opts.DataCentre}
	response := new(wire.LocateResponse)
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	if err := a.pool.Call(ctx, entry, "Entry.Locate", request, response); err != nil {
		klog.V(1).Infof("agent: Entry %s did not answer: %v.", entry, err)
		return nil
	}
	return response.GetDuty()
}

// report sends one report and applies the answer; false means that another
// scheduler must be located.
func (a *Agent) report(ctx context.Context, scheduler netip.AddrPort) bool {
	var report *wire.Report
	err := a.control.Do(ctx, func(s *state) {
		if s.ready {
			report = s.report(a.opts)
		}
	})
	if err != nil || report == nil {
		return true
	}
	sent := time.Now()
	response := new(wire.ReportResponse)
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if err := a.pool.Call(callCtx, scheduler, "Sched.Report", report, response); err != nil {
		if !errors.Is(err, link.ErrNotSent) || ctx.Err() == nil {
			klog.Warningf("agent: The scheduler at %s did not take the report: %v.", scheduler, err)
		}
		return false
	}
	if response.GetNotHolder() {
		return false
	}
	a.control.Post(func(s *state) { a.applyReport(s, report, response, sent) })
	return true
}

// applyReport takes the scheduler's answer. It runs on the control goroutine.
func (a *Agent) applyReport(s *state, report *wire.Report, response *wire.ReportResponse, sent time.Time) {
	if response.GetEpoch() < s.epoch {
		return // the scheduler was replaced while the answer was on its way
	}
	if response.GetEpoch() > s.epoch {
		s.epoch = response.GetEpoch()
		a.reportSoon() // the scheduler uses the worker once it sees its epoch
	}
	if fresh := permit.FromWire(response.GetPermit(), sent); response.GetPermit() != nil && fresh.Newer(s.permit) {
		s.permit = fresh
	}
	if report.GetEpoch() == response.GetEpoch() {
		s.markDelivered(report)
	}
	s.settle(response.GetSettled())
}

// markDelivered notes final states that the holder of the epoch has received,
// so that their results are not sent again.
func (s *state) markDelivered(report *wire.Report) {
	for _, status := range report.GetTasks() {
		t, ok := s.tasks[status.GetAttempt()]
		if ok && gang.Final(status.GetState()) {
			t.delivered = report.GetEpoch()
		}
	}
}
