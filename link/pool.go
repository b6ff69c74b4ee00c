package link

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"

	"google.golang.org/protobuf/proto"
)

// Pool keeps one link for each peer and opens fresh ones as links end.
type Pool struct {
	dial  Dialer
	mu    sync.Mutex
	conns map[netip.AddrPort]*Conn
	ended bool
}

// NewPool returns an empty pool that opens connections with dial.
func NewPool(dial Dialer) *Pool { return &Pool{dial: dial, conns: make(map[netip.AddrPort]*Conn)} }

// Call sends a request to the peer at addr over the pooled link.
func (p *Pool) Call(ctx context.Context, addr netip.AddrPort, method string, request, response proto.Message) error {
	conn, err := p.conn(ctx, addr)
	if err != nil {
		return err
	}
	err = conn.Call(ctx, method, request, response)
	if errors.Is(err, ErrBroken) && ctx.Err() == nil {
		p.discard(addr, conn)
	}
	return err
}

func (p *Pool) conn(ctx context.Context, addr netip.AddrPort) (*Conn, error) {
	if conn := p.live(addr); conn != nil {
		return conn, nil
	}
	fresh, err := Dial(ctx, p.dial, addr)
	if err != nil {
		return nil, fmt.Errorf("opening link: %w", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		fresh.Close()
		return nil, fmt.Errorf("pool is closed: %w", ErrNotSent)
	}
	if conn, ok := p.conns[addr]; ok && !conn.ended() {
		fresh.Close()
		return conn, nil
	}
	p.conns[addr] = fresh
	return fresh, nil
}

func (p *Pool) live(addr netip.AddrPort) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn, ok := p.conns[addr]
	if !ok || conn.ended() {
		return nil
	}
	return conn
}

func (c *Conn) ended() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

func (p *Pool) discard(addr netip.AddrPort, conn *Conn) {
	conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[addr] == conn {
		delete(p.conns, addr)
	}
}

// Close ends all links; later calls fail with ErrNotSent.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	for addr, conn := range p.conns {
		conn.Close()
		delete(p.conns, addr)
	}
}
