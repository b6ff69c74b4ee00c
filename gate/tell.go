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
	// tellTime bounds one call to the scheduler.
	tellTime = time.Second
	// tellQueue bounds the changes that wait to be told.
	tellQueue = 256
)

// teller tells the scheduler of committed changes, so that it need not wait for
// its watch of the store. A change that cannot be told arrives by the watch.
type teller struct {
	holder  func() *flow.Claim
	changes chan *flow.Change
}

func newTeller(holder func() *flow.Claim) teller {
	return teller{holder: holder, changes: make(chan *flow.Change, tellQueue)}
}

// tell queues a change; it never blocks.
func (t teller) tell(change *flow.Change) {
	select {
	case t.changes <- change:
	default: // the watch brings it
	}
}

func (t teller) run(ctx context.Context) {
	var conn *link.Conn
	var addr netip.AddrPort
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
		case change = <-t.changes:
		}
		holder, err := netip.ParseAddrPort(t.holder().GetAddress())
		if err != nil {
			continue // nobody holds the duty
		}
		if conn == nil || addr != holder {
			if conn != nil {
				conn.Close()
			}
			if conn, err = dialHolder(ctx, holder); err != nil {
				klog.InfoS("gate: scheduler not told", "key", change.GetKey(), "err", err)
				continue
			}
			addr = holder
		}
		if err := sendChange(ctx, conn, change); err != nil {
			klog.InfoS("gate: scheduler not told", "key", change.GetKey(), "err", err)
			conn.Close()
			conn = nil
		}
	}
}

func dialHolder(ctx context.Context, addr netip.AddrPort) (*link.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, tellTime)
	defer cancel()
	return link.Dial(ctx, nil, addr)
}

func sendChange(ctx context.Context, conn *link.Conn, change *flow.Change) error {
	ctx, cancel := context.WithTimeout(ctx, tellTime)
	defer cancel()
	if err := conn.Call(ctx, RPCName+".Tell", change, &flow.ChangeAnswer{}); err != nil {
		return fmt.Errorf("telling %s: %w", change.GetKey(), err)
	}
	return nil
}
