package model

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"catkinpoint/flow"
)

// direction is one of the two ways between a relay and a gate.
type direction int

const (
	toGate direction = iota
	toRelay
)

const (
	// dialTimeout limits the time to open a connection to a gate.
	dialTimeout = 400 * time.Millisecond
	// cutPoll is the time between two checks whether a cut is over.
	cutPoll = 50 * time.Millisecond
)

var (
	errRefused = errors.New("connection refused")
	errTimeout = errors.New("the connection could not be opened in time")
)

// path is one way between a relay and a gate.
type path struct {
	relay, gate int
	way         direction
}

// network carries reports from relays to gates and orders back.
type network struct {
	mu sync.Mutex
	// cuts, delays and losses count the faults in force.
	cuts, delays, losses map[path]int
}

func newNetwork() *network {
	return &network{cuts: map[path]int{}, delays: map[path]int{}, losses: map[path]int{}}
}

// add changes the count of a fault.
func (n *network) add(faults map[path]int, p path, change int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	faults[p] += change
}

func (n *network) has(faults map[path]int, p path) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return faults[p] > 0
}

func (n *network) isCut(relay, gate int, way direction) bool {
	return n.has(n.cuts, path{relay, gate, way})
}

// conn is an open connection from a relay to a process of a gate. What was sent before a
// cut arrives after it, also if the relay has closed the connection.
type conn struct {
	host *gateHost
	proc *gateProcess
}

// connect returns the open connection to a gate or opens one.
func (h *relayHost) connect(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	g := h.w.gateAt(addr)
	h.mu.Lock()
	c := h.conn
	h.mu.Unlock()
	if c != nil && c.host == g && c.proc == g.present() {
		return c, nil
	}
	if h.w.net.isCut(h.index, g.index, toGate) || h.w.net.isCut(h.index, g.index, toRelay) {
		sleep(ctx, dialTimeout)
		return nil, errTimeout
	}
	proc := g.present()
	if proc == nil {
		sleep(ctx, time.Millisecond)
		return nil, errRefused
	}
	c = &conn{g, proc}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conn = c
	return c, nil
}

// sendReport sends a report to a gate and returns its orders.
func (h *relayHost) sendReport(ctx context.Context, addr netip.AddrPort, report *flow.Report) (*flow.Orders, error) {
	c, err := h.connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	type outcome struct {
		orders *flow.Orders
		err    error
	}
	result := make(chan outcome, 1)
	sent := proto.Clone(report).(*flow.Report)
	go func() {
		orders, err := h.carry(c, sent)
		result <- outcome{orders, err}
	}()
	select {
	case o := <-result:
		if o.err == nil {
			return o.orders, nil
		}
		err = o.err
	case <-ctx.Done():
		err = ctx.Err()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.conn == c {
		h.conn = nil
	}
	return nil, err
}

// carry carries a report to a gate and its orders back, whether or not the relay still
// waits for them.
func (h *relayHost) carry(c *conn, report *flow.Report) (*flow.Orders, error) {
	if err := h.transit(c, toGate); err != nil {
		return nil, err
	}
	orders := &flow.Orders{}
	if err := c.proc.gate.RPCHandlers().Attend(report, orders); err != nil {
		_ = h.transit(c, toRelay) // the error takes the same way
		return nil, err
	}
	if err := h.transit(c, toRelay); err != nil {
		return nil, err
	}
	return proto.Clone(orders).(*flow.Orders), nil
}

// maxTransit bounds the time that a message can be under way.
const maxTransit = 25 * time.Second

// transit lasts as long as a message takes on one way, and fails if it is lost.
func (h *relayHost) transit(c *conn, way direction) error {
	p := path{h.index, c.host.index, way}
	ctx, cancel := context.WithTimeout(context.Background(), maxTransit)
	defer cancel()
	sleep(ctx, h.w.drawTime(200*time.Microsecond, 3*time.Millisecond))
	if h.w.net.has(h.w.net.losses, p) && h.w.draw(2) == 0 {
		sleep(ctx, maxTransit)
		return errReset
	}
	if h.w.net.has(h.w.net.delays, p) && h.w.draw(3) == 0 {
		sleep(ctx, h.w.drawTime(300*time.Millisecond, 8*time.Second))
	}
	wasCut := false
	for h.w.net.isCut(p.relay, p.gate, way) {
		wasCut = true
		if !sleep(ctx, cutPoll) {
			return errReset
		}
	}
	if wasCut { // the time until the next retransmission
		sleep(ctx, h.w.drawTime(0, 3*time.Second))
	}
	if !c.host.waitThawed(ctx) {
		return errReset
	}
	sleep(ctx, h.w.drawTime(0, time.Millisecond))
	select {
	case <-c.proc.dead:
		return errReset
	default:
		return nil
	}
}
