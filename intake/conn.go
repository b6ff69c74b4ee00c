package intake

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"catkinpoint/clock"
)

const (
	// lingerTime is how long the rest of a body is thrown away after the answer, so that
	// the answer is not lost to a reset.
	lingerTime = 500 * time.Millisecond
	// lingerBytes limits what is thrown away, bytes.
	lingerBytes = 1 << 20
	// writeBytes is the part of an answer that the client must take in the time of a
	// stall. Results are megabytes long.
	writeBytes = 16 << 10
)

// Listen opens a TCP listener for clients, whose connections are admitted by i.
func (i *Intake) Listen(ctx context.Context, address string) (net.Listener, error) {
	inner, err := Listen(ctx, address, i.resources.SocketBytes)
	if err != nil {
		return nil, err
	}
	return i.Listener(inner), nil
}

// Listen opens a TCP listener whose connections have small buffers in the kernel, for
// Intake.Listener. socketBytes is their size, each way.
func Listen(ctx context.Context, address string, socketBytes int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// Accepted connections inherit the sizes, so that they hold from the first byte.
			for _, option := range []int{syscall.SO_RCVBUF, syscall.SO_SNDBUF} {
				if err := syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, socketBytes); err != nil {
					klog.InfoS("intake: size of a socket's buffer not set", "option", option, "err", err)
				}
			}
		})
	}}
	inner, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listening on %s: %w", address, err)
	}
	if tcp, ok := inner.(*net.TCPListener); ok {
		limitBacklog(tcp)
	}
	return inner, nil
}

// limitBacklog limits the connections that wait to be accepted, of which the kernel would
// otherwise keep thousands with what they have sent.
func limitBacklog(tcp *net.TCPListener) {
	raw, err := tcp.SyscallConn()
	if err == nil {
		var listenErr error
		err = raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), backlog) })
		err = errors.Join(err, listenErr)
	}
	if err != nil {
		klog.InfoS("intake: backlog not limited", "err", err)
	}
}

// Listener returns a listener that accepts the connections of inner that i admits.
func (i *Intake) Listener(inner net.Listener) net.Listener { return &listener{inner, i} }

type listener struct {
	net.Listener
	intake *Intake
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if h := l.intake.open(func(idle bool) { closeRaw(raw, idle) }); h != nil {
			return &conn{Conn: raw, intake: l.intake, holder: h}, nil
		}
		closeRaw(raw, false)
	}
}

// closeRaw closes a connection. If it is not idle, the kernel keeps nothing of it. If it is,
// its last answer may still be on its way and is not thrown away.
func closeRaw(raw net.Conn, idle bool) {
	if tcp, ok := raw.(*net.TCPConn); ok && !idle {
		_ = tcp.SetLinger(0) // fails if the connection is closed
	}
	_ = raw.Close()
}

// conn is a connection of a client.
type conn struct {
	net.Conn
	intake *Intake
	holder *Holder
	// unread reports whether a body was answered without being read to its end.
	unread atomic.Bool
	once   sync.Once
}

// Read implements net.Conn. It counts what is received.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.intake.receive(c.holder, int64(n)) {
		// The HTTP server closes the connection after such an error. After others it
		// answers 400, and the caller would give its request up as invalid.
		return 0, &net.OpError{Op: "read", Net: c.LocalAddr().Network(), Addr: c.RemoteAddr(), Err: errDropped}
	}
	return n, err
}

// receive counts bytes that a connection has received, and reports whether there is room
// for them.
func (i *Intake) receive(h *Holder, n int64) bool {
	i.mu.Lock()
	if h.phase == Idle || h.phase == Answering && !h.writing {
		h.enter(clock.Monotonic(), Heading)
	}
	h.received += n
	heading := h.phase == Heading
	i.mu.Unlock()
	return !heading || i.hold(h, headerFactor*n, false, "headers")
}

// Write implements net.Conn. It fails if the client takes nothing for the time of a
// stall.
func (c *conn) Write(p []byte) (int, error) {
	c.intake.mu.Lock()
	before := *c.holder
	c.holder.enter(clock.Monotonic(), Answering)
	c.holder.writing = true
	c.intake.mu.Unlock()
	n, err := c.writeParts(p)
	c.intake.mu.Lock()
	c.holder.writing = false
	switch {
	case c.holder.phase != Answering: // a read has begun another phase
	case before.phase == Answering:
		c.holder.enter(clock.Monotonic(), Idle) // the request is over
	default:
		c.holder.phase, c.holder.since, c.holder.received = before.phase, before.since, before.received
	}
	c.intake.mu.Unlock()
	return n, err
}

// writeParts writes p in parts, each with a deadline of its own, so that a client that reads
// steadily gets an answer of any length.
func (c *conn) writeParts(p []byte) (int, error) {
	written := 0
	for {
		part := p[written:min(len(p), written+writeBytes)]
		_ = c.Conn.SetWriteDeadline(time.Now().Add(c.intake.resources.Stall)) // fails if the connection is closed
		n, err := c.Conn.Write(part)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// CloseWrite shuts the connection down for sending.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	var err error
	c.once.Do(func() {
		defer c.intake.remove(c.holder)
		if c.unread.Load() {
			c.linger()
		}
		err = c.Conn.Close()
	})
	return err
}

// linger throws away what the client still sends, for a while.
func (c *conn) linger() {
	c.intake.enter(c.holder, Closing)
	if c.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	buffer := make([]byte, firstBytes)
	_, _ = io.CopyBuffer(io.Discard, struct{ io.Reader }{io.LimitReader(c.Conn, lingerBytes)}, buffer) // until the client closes
}

// Descriptors returns how many descriptors the process may have open, or 0 if the system
// does not tell.
func Descriptors() int64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		klog.InfoS("intake: limit of descriptors not known", "err", err)
		return 0
	}
	return int64(min(limit.Cur, math.MaxInt64))
}
