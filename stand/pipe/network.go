package pipe

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// Network joins named processes inside one process and injects faults between
// them. Its zero value is not usable; New connections and listeners belong to a
// Host, which is one run of a process.
type Network struct {
	// Delay is the time that bytes take from one process to another; within a
	// connection they stay in order.
	Delay func(from, to string) time.Duration
	// Watch is called with what a process is about to send; it must not block.
	Watch func(from, to string, data []byte)

	mu        sync.Mutex
	hosts     map[string]*Host // the latest run of each process
	listeners map[netip.AddrPort]*hostListener
	conns     map[*hostConn]struct{}
	cuts      map[[2]string]struct{}
	// changed is closed and replaced with every change that a waiter may need.
	changed chan struct{}
}

// NewNetwork returns a network without processes.
func NewNetwork(delay func(from, to string) time.Duration) *Network {
	return &Network{
		Delay:     delay,
		hosts:     make(map[string]*Host),
		listeners: make(map[netip.AddrPort]*hostListener),
		conns:     make(map[*hostConn]struct{}),
		cuts:      make(map[[2]string]struct{}),
		changed:   make(chan struct{}),
	}
}

// Host is one run of a process as the network sees it.
type Host struct {
	network *Network
	name    string
	number  byte
	ports   uint16
	frozen  bool
	dead    bool
}

// Host returns a fresh run of the named process, which has the addresses that
// its earlier runs had.
func (n *Network) Host(name string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := &Host{network: n, name: name, number: byte(len(n.hosts) + 1)}
	if old, ok := n.hosts[name]; ok {
		h.number = old.number
	}
	n.hosts[name] = h
	return h
}

func (n *Network) wake() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// update changes the state of a process and wakes all waiters.
func (n *Network) update(name string, f func(h *Host)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if h, ok := n.hosts[name]; ok {
		f(h)
	}
	n.wake()
}

// Freeze holds back everything that the process sends and receives.
func (n *Network) Freeze(name string) { n.update(name, func(h *Host) { h.frozen = true }) }

// Thaw ends a freeze; what was held back arrives.
func (n *Network) Thaw(name string) { n.update(name, func(h *Host) { h.frozen = false }) }

// Kill resets the connections of the process; it can open none any more.
func (n *Network) Kill(name string) {
	n.update(name, func(h *Host) {
		h.dead, h.frozen = true, false
		for c := range n.conns {
			if c.host == h || c.peer.host == h {
				c.reset = true
			}
		}
	})
}

// Cut holds back all bytes between two processes until Heal; none can dial the other.
func (n *Network) Cut(a, b string) { n.setCut(a, b, true) }

// Heal ends a cut; what was held back arrives.
func (n *Network) Heal(a, b string) { n.setCut(a, b, false) }

func (n *Network) setCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, pair := range [][2]string{{a, b}, {b, a}} {
		if cut {
			n.cuts[pair] = struct{}{}
		} else {
			delete(n.cuts, pair)
		}
	}
	n.wake()
}

// Silence makes the open connections of the process swallow all bytes for good,
// also those on their way, and returns their number. New connections work.
func (n *Network) Silence(name string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for c := range n.conns {
		if c.host.name == name || c.peer.host.name == name {
			c.silent, c.queue = true, nil
			count++
		}
	}
	n.wake()
	return count / 2
}

// Close resets all connections, so that nothing waits for bytes any more.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
	for c := range n.conns {
		c.reset, c.silent = true, false
	}
	for _, h := range n.hosts {
		h.frozen = false
	}
	n.wake()
}

func (n *Network) isCut(a, b string) bool {
	_, cut := n.cuts[[2]string{a, b}]
	return cut
}

// Listen opens the process's next listener.
func (h *Host) Listen() (net.Listener, netip.AddrPort, error) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	h.ports++
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, h.number}), 7000+h.ports)
	l := &hostListener{host: h, addr: addr, woken: make(chan struct{})}
	n.listeners[addr] = l
	return l, addr, nil
}

// Dial connects to a listener. It waits while the way is cut.
func (h *Host) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	fail := func(err error) error { return &net.OpError{Op: "dial", Net: network, Err: err} }
	target, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, fail(err)
	}
	n := h.network
	for {
		n.mu.Lock()
		l, ok := n.listeners[target]
		switch {
		case h.dead, !ok, l.closed, l.host.dead:
			n.mu.Unlock()
			return nil, fail(syscall.ECONNREFUSED)
		case !h.frozen && !n.isCut(h.name, l.host.name):
			c := n.connect(h, l)
			n.mu.Unlock()
			return c, nil
		}
		changed := n.changed
		n.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, fail(ctx.Err())
		}
	}
}

// connect joins two ends and hands one to the listener; n.mu is held.
func (n *Network) connect(h *Host, l *hostListener) net.Conn {
	client, server := newHostConn(h), newHostConn(l.host)
	client.peer, server.peer = server, client
	client.remote, server.local = l.addr, l.addr
	server.remote = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, h.number}), 0)
	client.local = server.remote
	n.conns[client], n.conns[server] = struct{}{}, struct{}{}
	l.backlog = append(l.backlog, server)
	l.wake()
	return client
}

// hostListener accepts the connections of one address.
type hostListener struct {
	host    *Host
	addr    netip.AddrPort
	backlog []net.Conn
	closed  bool
	// woken is closed and replaced with every new connection, and at the end.
	woken chan struct{}
}

func (l *hostListener) wake() {
	close(l.woken)
	l.woken = make(chan struct{})
}

// Accept implements net.Listener.
func (l *hostListener) Accept() (net.Conn, error) {
	n := l.host.network
	for {
		n.mu.Lock()
		if l.closed {
			n.mu.Unlock()
			return nil, &net.OpError{Op: "accept", Addr: l.Addr(), Err: net.ErrClosed}
		}
		if len(l.backlog) > 0 && !l.host.frozen {
			c := l.backlog[0]
			l.backlog = l.backlog[1:]
			n.mu.Unlock()
			return c, nil
		}
		woken, changed := l.woken, n.changed
		n.mu.Unlock()
		pause(0, woken, changed)
	}
}

// Close implements net.Listener; a successor may listen at the address already.
func (l *hostListener) Close() error {
	n := l.host.network
	n.mu.Lock()
	defer n.mu.Unlock()
	l.closed = true
	if n.listeners[l.addr] == l {
		delete(n.listeners, l.addr)
	}
	for _, c := range l.backlog {
		c.(*hostConn).reset = true
		c.(*hostConn).peer.reset = true
		c.(*hostConn).peer.wake()
	}
	l.wake()
	return nil
}

// Addr implements net.Listener.
func (l *hostListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }
