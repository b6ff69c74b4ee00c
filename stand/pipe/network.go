package pipe

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// Network connects simulated processes, which run in one real process and are
// known by name, and injects faults between them. Its zero value is not usable.
// Connections and listeners belong to a Host, which is one run of a process.
type Network struct {
	// Delay returns the time that bytes take from one process to another; within
	// a connection they stay in order.
	Delay func(from, to string) time.Duration
	// OnSend, if set, is called with what a process is about to send; it must not
	// block.
	OnSend func(from, to string, data []byte)

	mu        sync.Mutex
	hosts     map[string]*Host // the latest run of each process
	listeners map[netip.AddrPort]*hostListener
	conns     map[*hostConn]struct{}
	cuts      map[[2]string]struct{} // partitioned processes, each pair in both orders
	// changed is closed and replaced whenever the state of a process or a cut changes.
	changed chan struct{}
}

// NewNetwork returns a network without processes and with the given Delay.
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

// Host is the network access of one run of a process.
type Host struct {
	network     *Network
	name        string
	addrByte    byte   // last byte of its IP address, 10.0.0.x
	listenCount uint16 // listeners opened so far; determines the next port
	frozen      bool
	dead        bool
}

// Host starts a new run of the named process. It has the IP address of the earlier
// runs, and its listeners get the same ports in the same order.
func (n *Network) Host(name string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := &Host{network: n, name: name, addrByte: byte(len(n.hosts) + 1)}
	if old, ok := n.hosts[name]; ok {
		h.addrByte = old.addrByte
	}
	n.hosts[name] = h
	return h
}

// wake wakes all goroutines that wait for a change of the network.
func (n *Network) wake() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// updateHost calls f on the latest run of a process, if any, and wakes all waiters.
func (n *Network) updateHost(name string, f func(h *Host)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if h, ok := n.hosts[name]; ok {
		f(h)
	}
	n.wake()
}

// Freeze holds back everything that the process sends and receives until Thaw.
func (n *Network) Freeze(name string) { n.updateHost(name, func(h *Host) { h.frozen = true }) }

// Thaw ends a freeze and delivers what was held back.
func (n *Network) Thaw(name string) { n.updateHost(name, func(h *Host) { h.frozen = false }) }

// Kill resets the connections of the process's latest run, which can't dial or be
// dialled afterwards.
func (n *Network) Kill(name string) {
	n.updateHost(name, func(h *Host) {
		h.dead, h.frozen = true, false
		for c := range n.conns {
			if c.host == h || c.peer.host == h {
				c.reset = true
			}
		}
	})
}

// Cut partitions two processes until Heal: it holds back all bytes between them,
// and dials from one to the other wait.
func (n *Network) Cut(a, b string) { n.setCut(a, b, true) }

// Heal ends a partition and delivers what was held back.
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

// Silence makes the open connections of the process discard all bytes for good,
// including those in transit, and returns their number. The ends of a silent
// connection don't see each other close. New connections work.
func (n *Network) Silence(name string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for c := range n.conns {
		if c.host.name == name || c.peer.host.name == name {
			c.silent, c.incoming = true, nil
			count++
		}
	}
	n.wake()
	return count / 2
}

// Close resets all connections and ends partitions, freezes and silences, so that
// no goroutine waits for bytes any more.
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

// Listen opens a listener at the next port of the process.
func (h *Host) Listen() (net.Listener, netip.AddrPort, error) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	h.listenCount++
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, h.addrByte}), 7000+h.listenCount)
	l := &hostListener{host: h, addr: addr, woken: make(chan struct{})}
	n.listeners[addr] = l
	return l, addr, nil
}

// Dial connects to a listener. It waits, at most until ctx ends, while the process
// is frozen or partitioned from the listener's process. It fails with ECONNREFUSED
// if nothing listens at addr or if either process has been killed.
func (h *Host) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	dialError := func(err error) error { return &net.OpError{Op: "dial", Net: network, Err: err} }
	target, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, dialError(err)
	}
	n := h.network
	for {
		n.mu.Lock()
		l, ok := n.listeners[target]
		switch {
		case h.dead, !ok, l.closed, l.host.dead:
			n.mu.Unlock()
			return nil, dialError(syscall.ECONNREFUSED)
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
			return nil, dialError(ctx.Err())
		}
	}
}

// connect creates a connection, queues its server end for Accept and returns the
// client end. The caller holds n.mu.
func (n *Network) connect(h *Host, l *hostListener) net.Conn {
	client, server := newHostConn(h), newHostConn(l.host)
	client.peer, server.peer = server, client
	client.remote, server.local = l.addr, l.addr
	server.remote = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, h.addrByte}), 0)
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
	backlog []net.Conn // not accepted yet, oldest first
	closed  bool
	// woken is closed and replaced with every new connection, and at the end.
	woken chan struct{}
}

// wake wakes the goroutines in Accept.
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
		waitForChange(0, woken, changed)
	}
}

// Close implements net.Listener. It resets the connections that were not accepted,
// and leaves the address alone if a later run of the process listens at it already.
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
