package relay

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"catkinpoint/clock"
	"catkinpoint/flow"
	"catkinpoint/guard"
)

const (
	// reportTimeout bounds one report. It is longer than answerWait in package duty,
	// within which the scheduler answers.
	reportTimeout = 1500 * time.Millisecond
	// findPause is the pause between two attempts to find the scheduler.
	findPause = 250 * time.Millisecond
	// maxPendingReports bounds the reports that wait for an answer.
	maxPendingReports = 4
)

// gateList holds the addresses of gates that came with the last orders.
type gateList struct {
	mu    sync.Mutex
	addrs []netip.AddrPort
}

// setAddresses replaces the list by the valid ones of addresses. It keeps the list if
// addresses is empty.
func (g *gateList) setAddresses(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	var addrs []netip.AddrPort
	for _, address := range addresses {
		addr, err := netip.ParseAddrPort(address)
		if err != nil {
			klog.InfoS("relay: invalid gate address ignored", "address", address, "err", err)
			continue
		}
		addrs = append(addrs, addr)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.addrs = addrs
}

// GateAddresses returns the addresses of gates that may know which gate runs the
// scheduler.
func (r *Relay) GateAddresses() []netip.AddrPort {
	r.gates.mu.Lock()
	defer r.gates.mu.Unlock()
	return r.gates.addrs
}

// reportLoop finds the scheduler and reports to it, again after each failure, until
// ctx ends.
func (r *Relay) reportLoop(ctx context.Context) {
	lost := false
	for ctx.Err() == nil {
		scheduler, err := r.opts.FindScheduler(ctx)
		if err == nil {
			err = r.reportTo(ctx, scheduler, &lost)
		}
		if ctx.Err() == nil && !lost {
			klog.InfoS("relay: scheduler lost", "address", scheduler, "err", err)
			lost = true
		}
		clock.Sleep(ctx, findPause)
	}
}

// reportTo reports to one scheduler until a report fails. It sends a report as soon as
// all earlier ones are answered, and further ones when the state changes. When a
// report is answered it resets lost, which is set while the scheduler is lost.
func (r *Relay) reportTo(ctx context.Context, scheduler netip.AddrPort, lost *bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan error, maxPendingReports)
	pending := 0
	for {
		if pending == 0 && r.sendReport(ctx, scheduler, answers) {
			pending++
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.wake:
			if pending > 0 && pending < maxPendingReports && r.sendReport(ctx, scheduler, answers) {
				pending++
			}
		case err := <-answers:
			pending--
			if err != nil {
				return err
			}
			if *lost {
				klog.InfoS("relay: scheduler regained", "address", scheduler)
				*lost = false
			}
		case <-time.After(findPause):
			// If no report is pending, no heartbeat has arrived yet; try again.
		}
	}
}

// sendReport sends a report in the background, whose outcome goes to answers. It
// returns false if there is nothing to report.
func (r *Relay) sendReport(ctx context.Context, scheduler netip.AddrPort, answers chan<- error) bool {
	var report *flow.Report
	var sentAt time.Duration
	err := r.stateOwner.Do(ctx, func(s *state) {
		if s.worker == nil {
			return
		}
		sentAt = clock.Monotonic()
		report = s.report(r.opts.Name, r.bootID, sentAt)
	})
	if err != nil || report == nil {
		return false
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		var orders *flow.Orders
		err := guard.Call("report", func() (err error) {
			orders, err = r.opts.SendReport(ctx, scheduler, report)
			return err
		})
		if err == nil {
			r.gates.setAddresses(orders.GetGates())
			r.stateOwner.Post(func(s *state) { s.applyOrders(orders, sentAt) })
		}
		answers <- err
	}()
	return true
}
