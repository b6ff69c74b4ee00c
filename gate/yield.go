package gate

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"catkinpoint/clock"
	"catkinpoint/duty"
	"catkinpoint/flow"
)

const (
	// yieldCheckPeriod is the time between two comparisons of this gate with the
	// holder of the claim.
	yieldCheckPeriod = time.Second
	// minClaimAge is how long a gate must have been ready under one claim before it
	// asks for that claim, so that the fault that moved the claim is over by then. It
	// is also the time between two requests.
	minClaimAge = 6 * time.Second
	// minProcessorRatio is how many times the holder's processor capacity a gate must
	// have to ask for the claim, because a handover stops the placement of tasks
	// for about a second.
	minProcessorRatio = 2
	// yieldTimeout bounds one request to yield.
	yieldTimeout = time.Second
)

// requestYields asks a holder with much less processor capacity than this gate to give
// up the claim, once this gate has been ready under that claim for minClaimAge. It runs
// until ctx ends.
func (g *Gate) requestYields(ctx context.Context) {
	if g.opts.RequestYield == nil {
		return
	}
	var epoch int64
	var waitingSince time.Duration
	for clock.Sleep(ctx, yieldCheckPeriod) {
		claim, now := g.view.currentClaim(), clock.Monotonic()
		if claim.GetEpoch() != epoch || !g.Ready() {
			epoch, waitingSince = claim.GetEpoch(), now
			continue
		}
		if now-waitingSince < minClaimAge || !g.shouldTakeOver(claim) {
			continue
		}
		waitingSince = now // the next request is sent after minClaimAge again
		addr, err := netip.ParseAddrPort(claim.GetAddress())
		if err == nil {
			callCtx, cancel := context.WithTimeout(ctx, yieldTimeout)
			err = g.opts.RequestYield(callCtx, addr, &flow.YieldRequest{Epoch: epoch, Gate: g.opts.Name, Processor: g.opts.Processor})
			cancel()
		}
		klog.InfoS("gate: holder asked to yield", "holder", claim.GetHolder(), "epoch", epoch,
			"processor", g.opts.Processor, "holder_processor", claim.GetProcessor(), "err", err)
	}
}

// shouldTakeOver reports whether this gate should hold the given claim instead of
// its holder. It should not if the holder's processor capacity is not known.
func (g *Gate) shouldTakeOver(claim *flow.Claim) bool {
	holderProcessor := claim.GetProcessor()
	return holderProcessor > 0 && g.opts.Processor >= minProcessorRatio*holderProcessor && g.opts.Processor >= g.view.maxProcessor()
}

// Yield handles the request of a larger gate to give up the claim. It fails while
// guaranteed work waits for accelerators to be reclaimed, which a handover would
// delay, and if this gate does not hold the claim of the request's epoch.
func (c RPCHandlers) Yield(request *flow.YieldRequest, _ *flow.YieldResponse) error {
	s := c.gate.scheduler.Load()
	if s == nil {
		return duty.ErrNotHolder
	}
	if err := s.Yield(request.GetEpoch()); err != nil {
		return fmt.Errorf("yielding to %s: %w", request.GetGate(), err)
	}
	return nil
}
