package pipe

import (
	"io"
	"net"
	"net/netip"
	"os"
	"syscall"
	"time"
)

// hostConn is one end of a connection; the network's mutex guards it.
type hostConn struct {
	host          *Host
	peer          *hostConn
	local, remote netip.AddrPort
	queue         []segment // on its way to this end
	lastDue       time.Time // of what this end sent
	closed        bool      // by this end
	reset         bool
	silent        bool
	readUntil     time.Time
	writeUntil    time.Time
	// woken is closed and replaced with every change at this end.
	woken chan struct{}
}

// segment is what one write sent.
type segment struct {
	due  time.Time
	held bool // sent in a freeze, so it leaves only after its end
	data []byte
}

var _ net.Conn = (*hostConn)(nil)

func newHostConn(h *Host) *hostConn { return &hostConn{host: h, woken: make(chan struct{})} }

func (c *hostConn) wake() {
	close(c.woken)
	c.woken = make(chan struct{})
}

func (c *hostConn) fail(op string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Addr: c.RemoteAddr(), Err: err}
}

// Read implements net.Conn.
func (c *hostConn) Read(p []byte) (int, error) {
	n := c.host.network
	for {
		n.mu.Lock()
		count, wait, err := c.tryRead(p)
		woken, changed := c.woken, n.changed
		n.mu.Unlock()
		if err != nil || count > 0 || len(p) == 0 {
			return count, err
		}
		pause(wait, woken, changed)
	}
}

// tryRead returns bytes, an error, or the time after which to look again; 0
// means that only a change can help.
func (c *hostConn) tryRead(p []byte) (int, time.Duration, error) {
	n := c.host.network
	now := time.Now()
	deadline := time.Duration(0)
	switch {
	case c.closed:
		return 0, 0, c.fail("read", net.ErrClosed)
	case c.host.dead:
		return 0, 0, c.fail("read", syscall.ECONNRESET)
	case c.host.frozen:
		return 0, 0, nil
	case !c.readUntil.IsZero():
		if deadline = c.readUntil.Sub(now); deadline <= 0 {
			return 0, 0, c.fail("read", os.ErrDeadlineExceeded)
		}
	}
	if n.isCut(c.host.name, c.peer.host.name) && !c.reset {
		return 0, deadline, nil
	}
	if len(c.queue) > 0 {
		first := &c.queue[0]
		if first.held && c.peer.host.frozen {
			return 0, deadline, nil
		}
		if wait := first.due.Sub(now); wait > 0 {
			if deadline > 0 {
				wait = min(wait, deadline)
			}
			return 0, wait, nil
		}
		count := copy(p, first.data)
		if first.data = first.data[count:]; len(first.data) == 0 {
			c.queue = c.queue[1:]
		}
		return count, 0, nil
	}
	switch {
	case c.reset:
		return 0, 0, c.fail("read", syscall.ECONNRESET)
	case c.peer.closed && !c.silent:
		return 0, 0, io.EOF
	}
	return 0, deadline, nil
}

// pause waits for a change, or for d if it is above 0.
func pause(d time.Duration, woken, changed <-chan struct{}) {
	var expired <-chan time.Time
	if d > 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-woken:
	case <-changed:
	case <-expired:
	}
}

// Write implements net.Conn. It never blocks: the buffer has no limit, and what
// a frozen process writes waits there. A blocked writer would hold locks, and
// testing/synctest does not let time pass while a goroutine waits for a lock.
func (c *hostConn) Write(p []byte) (int, error) {
	n := c.host.network
	if n.Watch != nil {
		n.Watch(c.host.name, c.peer.host.name, p)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case c.closed:
		return 0, c.fail("write", net.ErrClosed)
	case c.reset, c.host.dead, c.peer.closed && !c.silent:
		return 0, c.fail("write", syscall.ECONNRESET)
	case !c.writeUntil.IsZero() && !time.Now().Before(c.writeUntil):
		return 0, c.fail("write", os.ErrDeadlineExceeded)
	case c.silent:
		return len(p), nil
	}
	due := time.Now().Add(n.Delay(c.host.name, c.peer.host.name))
	if due.Before(c.lastDue) {
		due = c.lastDue
	}
	c.lastDue = due
	c.peer.queue = append(c.peer.queue, segment{due, c.host.frozen, append([]byte(nil), p...)})
	c.peer.wake()
	return len(p), nil
}

// Close implements net.Conn.
func (c *hostConn) Close() error {
	n := c.host.network
	n.mu.Lock()
	defer n.mu.Unlock()
	c.closed = true
	c.wake()
	c.peer.wake()
	if c.peer.closed {
		delete(n.conns, c)
		delete(n.conns, c.peer)
	}
	return nil
}

// LocalAddr implements net.Conn.
func (c *hostConn) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(c.local) }

// RemoteAddr implements net.Conn.
func (c *hostConn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.remote) }

// SetDeadline implements net.Conn.
func (c *hostConn) SetDeadline(t time.Time) error {
	return c.setDeadlines(func() { c.readUntil, c.writeUntil = t, t })
}

// SetReadDeadline implements net.Conn.
func (c *hostConn) SetReadDeadline(t time.Time) error {
	return c.setDeadlines(func() { c.readUntil = t })
}

// SetWriteDeadline implements net.Conn.
func (c *hostConn) SetWriteDeadline(t time.Time) error {
	return c.setDeadlines(func() { c.writeUntil = t })
}

func (c *hostConn) setDeadlines(set func()) error {
	c.host.network.mu.Lock()
	defer c.host.network.mu.Unlock()
	set()
	c.wake()
	return nil
}
