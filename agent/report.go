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
	// reportTimeout limits the time for one report; it is longer than that of a
	// ping because a report may carry large results.
	reportTimeout = 5 * time.Second
	// locateTimeout limits the time for asking one entry for the scheduler.
	locateTimeout = time.Second
	// locateRetryDelay is the time before the scheduler is located again after a
	// failed report.
	locateRetryDelay = 200 * time.Millisecond
	// relocatePeriod is the time between two searches for a newer scheduler while
	// the current one provides no valid permit.
	relocatePeriod = 5 * time.Second
	// reportBatchDelay delays a requested report, so that tasks that end shortly
	// after one another share it.
	reportBatchDelay = 2 * time.Millisecond
)

// reportLoop sends a report to the scheduler each period, and soon after one was
// requested because a task's state changed. It locates the scheduler first, and
// again after a failed report or while the permit is expired.
func (a *Agent) reportLoop(ctx context.Context) {
	ticker := time.NewTicker(a.opts.ReportPeriod)
	defer ticker.Stop()
	var scheduler netip.AddrPort
	lastRelocated := time.Now()
	for {
		if !scheduler.IsValid() {
			scheduler = a.locateScheduler(ctx)
		}
		if scheduler.IsValid() && !a.sendReport(ctx, scheduler) {
			scheduler = netip.AddrPort{}
			if !clock.Sleep(ctx, locateRetryDelay) {
				return
			}
			continue
		}
		if time.Since(lastRelocated) >= relocatePeriod && a.permitExpired(ctx) {
			lastRelocated = time.Now()
			if newest := a.locateNewestScheduler(ctx); newest.IsValid() {
				scheduler = newest
				continue
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-a.reportRequested:
			if !clock.Sleep(ctx, reportBatchDelay) {
				return
			}
		}
	}
}

// locateScheduler asks the entries in turn for the scheduler of this data centre
// and returns the first address whose epoch is not below the highest one seen. It
// returns the zero AddrPort if there is none.
func (a *Agent) locateScheduler(ctx context.Context) netip.AddrPort {
	epoch := a.highestEpoch(ctx)
	for _, entry := range a.opts.Entries {
		duty := a.locateDuty(ctx, entry)
		if addr, err := netip.ParseAddrPort(duty.GetAddress()); err == nil && duty.GetEpoch() >= epoch {
			return addr
		}
	}
	return netip.AddrPort{}
}

// permitExpired reports whether the agent has no valid permit, which means that
// the scheduler's answers to reports bring none.
func (a *Agent) permitExpired(ctx context.Context) bool {
	expired := false
	_ = a.control.Do(ctx, func(s *state) { expired = s.permit.Remaining(time.Now(), a.opts.PermitAge) <= 0 })
	return expired // false if the agent has ended
}

// highestEpoch returns the highest epoch that the agent has seen.
func (a *Agent) highestEpoch(ctx context.Context) int64 {
	epoch := int64(0)
	_ = a.control.Do(ctx, func(s *state) { epoch = s.epoch }) // 0 if the agent has ended
	return epoch
}

// locateNewestScheduler asks all entries and returns the address of the scheduler
// with the highest epoch above those seen, or the zero AddrPort. The first answer
// is not enough: an entry that is cut off from the store keeps naming its own
// scheduler after another entry has taken the duty.
func (a *Agent) locateNewestScheduler(ctx context.Context) netip.AddrPort {
	var newest netip.AddrPort
	epoch := a.highestEpoch(ctx)
	for _, entry := range a.opts.Entries {
		if duty := a.locateDuty(ctx, entry); duty.GetEpoch() > epoch {
			if addr, err := netip.ParseAddrPort(duty.GetAddress()); err == nil {
				newest, epoch = addr, duty.GetEpoch()
			}
		}
	}
	return newest
}

// locateDuty asks one entry for the scheduling duty of this data centre, which
// names the scheduler's address and epoch. It returns nil if the entry does not
// answer or knows no such duty.
func (a *Agent) locateDuty(ctx context.Context, entry netip.AddrPort) *wire.Duty {
	request := &wire.LocateRequest{DataCentre: a.opts.DataCentre}
	response := new(wire.LocateResponse)
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	if err := a.pool.Call(ctx, entry, "Entry.Locate", request, response); err != nil {
		klog.V(1).Infof("agent: Asking entry %s for the scheduler failed: %v.", entry, err)
		return nil
	}
	return response.GetDuty()
}

// sendReport sends one report and applies the response. It returns false if the
// scheduler must be located again.
func (a *Agent) sendReport(ctx context.Context, scheduler netip.AddrPort) bool {
	var report *wire.Report
	err := a.control.Do(ctx, func(s *state) {
		if s.ready {
			report = s.buildReport(a.opts)
		}
	})
	if err != nil || report == nil {
		return true
	}
	sentAt := time.Now()
	response := new(wire.ReportResponse)
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if err := a.pool.Call(callCtx, scheduler, "Sched.Report", report, response); err != nil {
		if !errors.Is(err, link.ErrNotSent) || ctx.Err() == nil {
			klog.Warningf("agent: A report to the scheduler at %s failed: %v.", scheduler, err)
		}
		return false
	}
	if response.GetNotHolder() {
		return false
	}
	a.control.Post(func(s *state) { a.applyReportResponse(s, report, response, sentAt) })
	return true
}

// applyReportResponse applies the response to a report: a higher epoch, a newer
// permit and the attempts that are settled. It runs on the control goroutine.
func (a *Agent) applyReportResponse(s *state, report *wire.Report, response *wire.ReportResponse, sentAt time.Time) {
	if response.GetEpoch() < s.epoch {
		return // the scheduler was replaced before its response arrived
	}
	if response.GetEpoch() > s.epoch {
		s.epoch = response.GetEpoch()
		a.requestReport() // the scheduler uses the worker once a report names its epoch
	}
	if received := permit.FromWire(response.GetPermit(), sentAt); response.GetPermit() != nil && received.Newer(s.permit) {
		s.permit = received
	}
	if report.GetEpoch() == response.GetEpoch() {
		s.markDelivered(report)
	}
	s.markSettled(response.GetSettled())
}

// markDelivered records which final states the scheduler of the report's epoch has
// received, so that their results are not sent to it again.
func (s *state) markDelivered(report *wire.Report) {
	for _, status := range report.GetTasks() {
		t, ok := s.tasks[status.GetAttempt()]
		if ok && gang.Final(status.GetState()) {
			t.deliveredEpoch = report.GetEpoch()
		}
	}
}
