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
	incoming      []segment // sent by the peer and not read yet
	lastSendDue   time.Time // arrival of the last bytes that this end sent
	closed        bool      // by this end
	reset         bool
	silent        bool      // discards all bytes; see Network.Silence
	readDeadline  time.Time // zero means none
	writeDeadline time.Time // zero means none
	// woken is closed and replaced with every change at this end.
	woken chan struct{}
}

// segment holds the bytes of one write.
type segment struct {
	due  time.Time // when it arrives
	held bool      // sent by a frozen process, so it can't be read before Thaw
	data []byte
}

var _ net.Conn = (*hostConn)(nil)

func newHostConn(h *Host) *hostConn { return &hostConn{host: h, woken: make(chan struct{})} }

// wake wakes the goroutines that wait for a change at this end.
func (c *hostConn) wake() {
	close(c.woken)
	c.woken = make(chan struct{})
}

func (c *hostConn) opError(op string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Addr: c.RemoteAddr(), Err: err}
}

// Read implements net.Conn.
func (c *hostConn) Read(p []byte) (int, error) {
	n := c.host.network
	for {
		n.mu.Lock()
		count, wait, err := c.readAvailable(p)
		woken, changed := c.woken, n.changed
		n.mu.Unlock()
		if err != nil || count > 0 || len(p) == 0 {
			return count, err
		}
		waitForChange(wait, woken, changed)
	}
}

// readAvailable reads without waiting. If there is neither a byte nor an error, it
// returns the time after which to try again; 0 means not before the next change.
func (c *hostConn) readAvailable(p []byte) (int, time.Duration, error) {
	n := c.host.network
	now := time.Now()
	untilDeadline := time.Duration(0)
	switch {
	case c.closed:
		return 0, 0, c.opError("read", net.ErrClosed)
	case c.host.dead:
		return 0, 0, c.opError("read", syscall.ECONNRESET)
	case c.host.frozen:
		return 0, 0, nil
	case !c.readDeadline.IsZero():
		if untilDeadline = c.readDeadline.Sub(now); untilDeadline <= 0 {
			return 0, 0, c.opError("read", os.ErrDeadlineExceeded)
		}
	}
	if n.isCut(c.host.name, c.peer.host.name) && !c.reset {
		return 0, untilDeadline, nil
	}
	if len(c.incoming) > 0 {
		first := &c.incoming[0]
		if first.held && c.peer.host.frozen {
			return 0, untilDeadline, nil
		}
		if wait := first.due.Sub(now); wait > 0 {
			if untilDeadline > 0 {
				wait = min(wait, untilDeadline)
			}
			return 0, wait, nil
		}
		count := copy(p, first.data)
		if first.data = first.data[count:]; len(first.data) == 0 {
			c.incoming = c.incoming[1:]
		}
		return count, 0, nil
	}
	switch {
	case c.reset:
		return 0, 0, c.opError("read", syscall.ECONNRESET)
	case c.peer.closed && !c.silent:
		return 0, 0, io.EOF
	}
	return 0, untilDeadline, nil
}

// waitForChange waits until one of the channels is closed, or for d if it is above 0.
func waitForChange(d time.Duration, woken, changed <-chan struct{}) {
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

// Write implements net.Conn. It never blocks: the buffer has no limit, and what a
// frozen process writes stays in it until the end of the freeze. A blocked writer
// would hold locks, and testing/synctest does not let time pass while a goroutine
// waits for a lock.
func (c *hostConn) Write(p []byte) (int, error) {
	n := c.host.network
	if n.OnSend != nil {
		n.OnSend(c.host.name, c.peer.host.name, p)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case c.closed:
		return 0, c.opError("write", net.ErrClosed)
	case c.reset, c.host.dead, c.peer.closed && !c.silent:
		return 0, c.opError("write", syscall.ECONNRESET)
	case !c.writeDeadline.IsZero() && !time.Now().Before(c.writeDeadline):
		return 0, c.opError("write", os.ErrDeadlineExceeded)
	case c.silent:
		return len(p), nil
	}
	due := time.Now().Add(n.Delay(c.host.name, c.peer.host.name))
	if due.Before(c.lastSendDue) {
		due = c.lastSendDue
	}
	c.lastSendDue = due
	c.peer.incoming = append(c.peer.incoming, segment{due, c.host.frozen, append([]byte(nil), p...)})
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
	return c.setDeadlines(func() { c.readDeadline, c.writeDeadline = t, t })
}

// SetReadDeadline implements net.Conn.
func (c *hostConn) SetReadDeadline(t time.Time) error {
	return c.setDeadlines(func() { c.readDeadline = t })
}

// SetWriteDeadline implements net.Conn.
func (c *hostConn) SetWriteDeadline(t time.Time) error {
	return c.setDeadlines(func() { c.writeDeadline = t })
}

func (c *hostConn) setDeadlines(set func()) error {
	c.host.network.mu.Lock()
	defer c.host.network.mu.Unlock()
	set()
	c.wake()
	return nil
}
