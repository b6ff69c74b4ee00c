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
	// yieldPeriod is the time between two comparisons with the holder.
	yieldPeriod = time.Second
	// yieldSettle is how long one claim has to stand before a larger gate asks
	// for it, so that a fault that moves the duty is over.
	yieldSettle = 6 * time.Second
	// yieldGain is how many times as much processor a gate must have than the
	// holder, because a handover costs about a second of placement.
	yieldGain = 2
	// yieldTime bounds one request.
	yieldTime = time.Second
)

// askToYield asks a holder with much less processor than this gate to give up
// the duty once its claim has stood for a while.
func (g *Gate) askToYield(ctx context.Context) {
	if g.opts.Yield == nil {
		return
	}
	var epoch int64
	var since time.Duration
	for clock.Sleep(ctx, yieldPeriod) {
		holder, now := g.board.holder(), clock.Steady()
		if holder.GetEpoch() != epoch || !g.Ready() {
			epoch, since = holder.GetEpoch(), now
			continue
		}
		if now-since < yieldSettle || !g.outranks(holder) {
			continue
		}
		since = now // the next request comes after as long a pause
		addr, err := netip.ParseAddrPort(holder.GetAddress())
		if err == nil {
			call, cancel := context.WithTimeout(ctx, yieldTime)
			err = g.opts.Yield(call, addr, &flow.YieldRequest{Epoch: epoch, Gate: g.opts.Name, Processor: g.opts.Processor})
			cancel()
		}
		klog.InfoS("gate: holder asked to yield", "holder", holder.GetHolder(), "epoch", epoch,
			"processor", g.opts.Processor, "holder_processor", holder.GetProcessor(), "err", err)
	}
}

// outranks tells whether this gate should hold the duty in the holder's place.
func (g *Gate) outranks(holder *flow.Claim) bool {
	size := holder.GetProcessor()
	return size > 0 && g.opts.Processor >= yieldGain*size && g.opts.Processor >= g.board.bestProcessor()
}

// Yield takes the request of a larger gate. It is refused while room is being
// made for guaranteed work, which a handover would delay.
func (c Calls) Yield(request *flow.YieldRequest, _ *flow.YieldResponse) error {
	s := c.gate.scheduler.Load()
	if s == nil {
		return duty.ErrNotHolder
	}
	if err := s.Yield(request.GetEpoch()); err != nil {
		return fmt.Errorf("yielding to %s: %w", request.GetGate(), err)
	}
	return nil
}
