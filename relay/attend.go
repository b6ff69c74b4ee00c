package relay

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"catkinpoint/clock"
	"catkinpoint/flow"
)

const (
	// attendTime bounds one report; the scheduler answers within answerWait.
	attendTime = 1500 * time.Millisecond
	// findPause is the pause between two searches for the scheduler.
	findPause = 250 * time.Millisecond
	// maxReports bounds the reports that wait for an answer at once.
	maxReports = 4
)

// gateList holds the addresses of gates that the last orders named.
type gateList struct {
	mu    sync.Mutex
	addrs []netip.AddrPort
}

func (g *gateList) set(texts []string) {
	if len(texts) == 0 {
		return
	}
	var addrs []netip.AddrPort
	for _, text := range texts {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			klog.InfoS("relay: address of a gate ignored", "address", text, "err", err)
			continue
		}
		addrs = append(addrs, addr)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.addrs = addrs
}

// Gates returns the addresses of processes that may know the scheduler.
func (r *Relay) Gates() []netip.AddrPort {
	r.gates.mu.Lock()
	defer r.gates.mu.Unlock()
	return r.gates.addrs
}

// attend finds the scheduler and reports to it, until ctx ends.
func (r *Relay) attend(ctx context.Context) {
	lost := false
	for ctx.Err() == nil {
		scheduler, err := r.opts.Find(ctx)
		if err == nil {
			err = r.attendTo(ctx, scheduler, &lost)
		}
		if ctx.Err() == nil && !lost {
			klog.InfoS("relay: scheduler lost", "address", scheduler, "err", err)
			lost = true
		}
		clock.Sleep(ctx, findPause)
	}
}

// attendTo reports to one scheduler until a report fails: at once when there is
// news, and as soon as all reports are answered.
func (r *Relay) attendTo(ctx context.Context, scheduler netip.AddrPort, lost *bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan error, maxReports)
	pending := 0
	for {
		if pending == 0 && r.report(ctx, scheduler, answers) {
			pending++
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.wake:
			if pending > 0 && pending < maxReports && r.report(ctx, scheduler, answers) {
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
			// Without a worker there is nothing to report yet.
		}
	}
}

// report sends one report in the background and tells whether there was one.
func (r *Relay) report(ctx context.Context, scheduler netip.AddrPort, answers chan<- error) bool {
	var report *flow.Report
	var sent, sentWorker time.Duration
	err := r.own.Do(ctx, func(s *state) {
		if s.worker == nil {
			return
		}
		sent = clock.Steady()
		sentWorker = s.clockNow(sent)
		report = s.report(r.opts.Name, r.boot, sent)
	})
	if err != nil || report == nil {
		return false
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, attendTime)
		defer cancel()
		orders, err := guarded("report", func() (*flow.Orders, error) { return r.opts.Attend(ctx, scheduler, report) })
		if err == nil {
			r.gates.set(orders.GetGates())
			r.own.Post(func(s *state) { s.applyOrders(orders, sent, sentWorker) })
		}
		answers <- err
	}()
	return true
}
