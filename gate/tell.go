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
	// answered takes the workers that the scheduler knows.
	answered func([]*flow.Room)
}

func newTeller(holder func() *flow.Claim, answered func([]*flow.Room)) teller {
	return teller{holder: holder, changes: make(chan *flow.Change, tellQueue), answered: answered}
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
		answer, err := sendChange(ctx, conn, change)
		if err != nil {
			klog.InfoS("gate: scheduler not told", "key", change.GetKey(), "err", err)
			conn.Close()
			conn = nil
			continue
		}
		t.answered(answer.GetRooms())
	}
}

func dialHolder(ctx context.Context, addr netip.AddrPort) (*link.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, tellTime)
	defer cancel()
	return link.Dial(ctx, nil, addr)
}

func sendChange(ctx context.Context, conn *link.Conn, change *flow.Change) (*flow.ChangeAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, tellTime)
	defer cancel()
	answer := &flow.ChangeAnswer{}
	if err := conn.Call(ctx, RPCName+".Tell", change, answer); err != nil {
		return nil, fmt.Errorf("telling %s: %w", change.GetKey(), err)
	}
	return answer, nil
}
