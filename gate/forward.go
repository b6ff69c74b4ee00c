package gate

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"catkinpoint/flow"
	"catkinpoint/link"
)

const (
	// forwardTimeout bounds one call to the scheduler.
	forwardTimeout = time.Second
	// forwardQueueLength bounds the changes that wait to be forwarded.
	forwardQueueLength = 256
)

// changeForwarder sends committed changes to the gate that runs the scheduler, so
// that the scheduler need not wait for its watch of the store. A change that cannot
// be sent is dropped, as the watch delivers it too.
type changeForwarder struct {
	currentClaim func() *flow.Claim
	changes      chan *flow.Change
	// received gets the scheduler's answers.
	received func(*flow.ChangeAnswer)
}

func newChangeForwarder(currentClaim func() *flow.Claim, received func(*flow.ChangeAnswer)) changeForwarder {
	return changeForwarder{currentClaim: currentClaim, changes: make(chan *flow.Change, forwardQueueLength), received: received}
}

// enqueue queues a change. It never blocks: if the queue is full the change is
// dropped.
func (f changeForwarder) enqueue(change *flow.Change) {
	select {
	case f.changes <- change:
	default: // the scheduler's watch delivers the change
	}
}

// run sends queued changes until ctx ends. It keeps one connection, to the holder
// of the claim.
func (f changeForwarder) run(ctx context.Context) {
	var conn *link.Conn
	var connAddr netip.AddrPort
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for {
		var change *flow.Change
		select {
		case <-ctx.Done():
			return
		case change = <-f.changes:
		}
		holderAddr, err := netip.ParseAddrPort(f.currentClaim().GetAddress())
		if err != nil {
			continue // no gate holds the claim
		}
		if conn == nil || connAddr != holderAddr {
			if conn != nil {
				conn.Close()
			}
			if conn, err = dialHolder(ctx, holderAddr); err != nil {
				klog.InfoS("gate: change not forwarded to the scheduler", "key", change.GetKey(), "err", err)
				continue
			}
			connAddr = holderAddr
		}
		answer, err := sendChange(ctx, conn, change)
		if err != nil {
			klog.InfoS("gate: change not forwarded to the scheduler", "key", change.GetKey(), "err", err)
			conn.Close()
			conn = nil
			continue
		}
		f.received(answer)
	}
}

func dialHolder(ctx context.Context, addr netip.AddrPort) (*link.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	return link.Dial(ctx, nil, addr)
}

func sendChange(ctx context.Context, conn *link.Conn, change *flow.Change) (*flow.ChangeAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	answer := &flow.ChangeAnswer{}
	if err := conn.Call(ctx, RPCName+".Tell", change, answer); err != nil {
		return nil, fmt.Errorf("sending change of %s: %w", change.GetKey(), err)
	}
	return answer, nil
}
