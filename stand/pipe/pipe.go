package pipe

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
)

// Listener is a net.Listener that accepts only the connections of its Dial.
type Listener struct {
	addr   netip.AddrPort
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

var _ net.Listener = (*Listener)(nil)

// New returns a listener that reports the address addr and opens no socket.
func New(addr netip.AddrPort) *Listener {
	return &Listener{addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Dial connects to the listener and ignores the address. It waits for Accept
// until ctx ends, and fails with ECONNREFUSED after Close.
func (l *Listener) Dial(ctx context.Context, network, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	err := error(syscall.ECONNREFUSED)
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
	case <-ctx.Done():
		err = ctx.Err()
	}
	err = errors.Join(err, client.Close(), server.Close())
	return nil, &net.OpError{Op: "dial", Net: network, Addr: l.Addr(), Err: err}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "accept", Addr: l.Addr(), Err: net.ErrClosed}
	}
}

// Close refuses new connections and leaves the accepted ones open.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(l.addr)
}
