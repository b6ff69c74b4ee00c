package link

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"

	"google.golang.org/protobuf/proto"
)

// Pool keeps one link to each peer and opens a new one when it is needed and the
// previous one is closed.
type Pool struct {
	dial   Dialer
	mu     sync.Mutex
	conns  map[netip.AddrPort]*Conn
	closed bool
}

// NewPool returns an empty pool that opens connections with dial.
func NewPool(dial Dialer) *Pool { return &Pool{dial: dial, conns: make(map[netip.AddrPort]*Conn)} }

// Call sends a request to the peer at addr over the pooled link, which is opened
// if necessary. Errors are those of Dial and Conn.Call.
func (p *Pool) Call(ctx context.Context, addr netip.AddrPort, method string, request, response proto.Message) error {
	conn, err := p.getOrDial(ctx, addr)
	if err != nil {
		return err
	}
	err = conn.Call(ctx, method, request, response)
	if errors.Is(err, ErrBroken) && ctx.Err() == nil {
		p.discard(addr, conn)
	}
	return err
}

// getOrDial returns the open link to addr. If there is none it dials outside the
// lock, and of links that were dialled at the same time it keeps the first.
func (p *Pool) getOrDial(ctx context.Context, addr netip.AddrPort) (*Conn, error) {
	if conn := p.openConn(addr); conn != nil {
		return conn, nil
	}
	dialled, err := Dial(ctx, p.dial, addr)
	if err != nil {
		return nil, fmt.Errorf("opening link: %w", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		dialled.Close()
		return nil, fmt.Errorf("pool is closed: %w", ErrNotSent)
	}
	if conn, ok := p.conns[addr]; ok && !conn.closed() {
		dialled.Close()
		return conn, nil
	}
	p.conns[addr] = dialled
	return dialled, nil
}

// openConn returns the pooled link to addr, or nil if none is open.
func (p *Pool) openConn(addr netip.AddrPort) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn, ok := p.conns[addr]
	if !ok || conn.closed() {
		return nil
	}
	return conn
}

// closed reports whether the link has been closed.
func (c *Conn) closed() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// discard closes a link and removes it from the pool.
func (p *Pool) discard(addr netip.AddrPort, conn *Conn) {
	conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[addr] == conn {
		delete(p.conns, addr)
	}
}

// Close closes all links; later calls fail with ErrNotSent.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for addr, conn := range p.conns {
		conn.Close()
		delete(p.conns, addr)
	}
}
