package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"catkinpoint/wire"
)

// Error is the class of all errors of this package.
var Error = errs.Class("link")

var (
	// ErrNotSent proves that the call was never sent.
	ErrNotSent = Error.New("call not sent")
	// ErrBroken means that the link broke or the deadline passed after the call was sent.
	ErrBroken = Error.New("link broken after the call was sent")
)

// RemoteError is an error that the peer returned for a call.
type RemoteError struct{ Message string }

// Error returns the peer's message.
func (e *RemoteError) Error() string { return e.Message }

const (
	// PingPeriod is the time between two pings.
	PingPeriod = time.Second
	// MaxSilence is the time without a received byte after which a link is
	// closed, unless a long write still makes progress.
	MaxSilence = 3 * time.Second
	// DialTimeout limits the time to open a connection.
	DialTimeout   = 2 * time.Second
	checksPerPing = 4                          // checks for silence within PingPeriod
	checkPeriod   = PingPeriod / checksPerPing // between two checks for silence
	// writeChunkBytes is the size of the pieces in which a message is written; the
	// progress of a long write is recorded after each.
	writeChunkBytes = 64 << 10
	// sendBufferBytes is the size of the send buffer of a TCP connection. It is
	// twice what a connection of 30 Mbit/s with a delay of 30 ms each way needs.
	sendBufferBytes = 512 << 10
	// serverIdleTimeout is the time without a received byte, so without pings,
	// after which a server closes a connection.
	serverIdleTimeout = 4 * MaxSilence
	pingMethod        = "Link.Ping"
)

// Conn is one link to a peer; it is safe for concurrent use.
type Conn struct {
	conn      net.Conn
	client    *rpc.Client
	start     time.Time
	done      chan struct{}
	closeOnce sync.Once
	// The times below are in nanoseconds since start.
	lastReadAt      atomic.Int64
	pingSentAt      atomic.Int64 // first ping sent since the last read; 0 means none
	writeProgressAt atomic.Int64 // last progress of the write in progress; 0 means none
}

// activityConn records in its link when bytes arrive and leave.
type activityConn struct {
	net.Conn
	link *Conn
}

// Read reads from the connection and records the time. An error closes the link.
func (c activityConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.link.lastReadAt.Store(c.link.elapsed())
		c.link.pingSentAt.Store(0)
	}
	if err != nil {
		// The pool must not return a link whose peer has closed it.
		c.link.Close()
	}
	return n, err
}

// Dialer opens a connection; a nil Dialer means TCP.
type Dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// Write writes in chunks and records the progress, which distinguishes a slow
// peer from a silent one.
func (c activityConn) Write(p []byte) (int, error) {
	defer c.link.writeProgressAt.Store(0)
	written := 0
	for {
		c.link.writeProgressAt.Store(c.link.elapsed())
		n, err := c.Conn.Write(p[written:min(written+writeChunkBytes, len(p))])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// elapsed returns the nanoseconds since start. It is at least 1, because 0 means
// that a recorded time is not set.
func (c *Conn) elapsed() int64 { return max(1, int64(time.Since(c.start))) }

// Dial opens a link to addr with dial. Its errors wrap ErrNotSent.
func Dial(ctx context.Context, dial Dialer, addr netip.AddrPort) (*Conn, error) {
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	conn, err := dial(ctx, "tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("dialling %s: %w: %w", addr, ErrNotSent, err)
	}
	return newConn(conn), nil
}

func newConn(conn net.Conn) *Conn {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// A small buffer keeps pings from waiting for long behind a message that
		// has left this process but not this machine. If the size cannot be set,
		// pings only wait longer.
		_ = tcp.SetWriteBuffer(sendBufferBytes)
	}
	c := &Conn{conn: conn, start: time.Now(), done: make(chan struct{})}
	c.client = rpc.NewClientWithCodec(clientCodec{newCodec(activityConn{conn, c}), c.recordPing})
	go c.keepaliveLoop()
	return c
}

// recordPing records that a ping was sent, unless an earlier one is unanswered.
func (c *Conn) recordPing() { c.pingSentAt.CompareAndSwap(0, c.elapsed()) }

// keepaliveLoop pings the peer every PingPeriod and closes the link once the peer
// is silent.
func (c *Conn) keepaliveLoop() {
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	for check := 1; ; check++ {
		select {
		case <-c.done:
			return
		case <-ticker.C:
		}
		if c.peerSilent() {
			c.Close()
			return
		}
		// During a long write a ping would only wait behind it. A separate
		// goroutine writes, because a full send buffer blocks.
		if check%checksPerPing == 0 && c.writeProgressAt.Load() == 0 {
			go c.client.Go(pingMethod, &wire.Ping{}, &wire.Ping{}, make(chan *rpc.Call, 1))
		}
	}
}

// peerSilent reports whether the peer has sent nothing for MaxSilence although it
// had a ping to answer, or accepted no byte of a write for as long. The first ping
// after the last received byte is sent up to PingPeriod later, so it has to be
// unanswered for MaxSilence - PingPeriod only.
func (c *Conn) peerSilent() bool {
	now := c.elapsed()
	exceeds := func(since int64, limit time.Duration) bool {
		return since != 0 && time.Duration(now-since) >= limit
	}
	if time.Duration(now-c.lastReadAt.Load()) < MaxSilence {
		return false
	}
	return exceeds(c.pingSentAt.Load(), MaxSilence-PingPeriod) || exceeds(c.writeProgressAt.Load(), MaxSilence)
}

// Call sends a request and waits for its response until ctx ends. The error
// wraps a RemoteError if the peer returned an error, ErrNotSent if ctx had ended
// before the call, and otherwise ErrBroken.
func (c *Conn) Call(ctx context.Context, method string, request, response proto.Message) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("calling %s: %w: %w", method, ErrNotSent, err)
	}
	completed := make(chan *rpc.Call, 1)
	// A response that arrives after ctx has ended is written to a message of its
	// own, which the caller never sees.
	reply := response.ProtoReflect().New().Interface()
	go c.client.Go(method, request, reply, completed)
	select {
	case <-ctx.Done():
		return fmt.Errorf("calling %s: %w: %w", method, ErrBroken, ctx.Err())
	case call := <-completed:
		if call.Error == nil {
			proto.Merge(response, reply)
			return nil
		}
		return fmt.Errorf("calling %s: %w", method, callError(call.Error))
	}
}

// callError converts an error of net/rpc to a RemoteError or ErrBroken.
func callError(err error) error {
	var remote rpc.ServerError
	switch {
	case errors.As(err, &remote):
		return &RemoteError{Message: string(remote)}
	case errors.Is(err, rpc.ErrShutdown):
		// net/rpc returns ErrShutdown both before and after sending the request,
		// so the call may have taken effect.
		return ErrBroken
	}
	return fmt.Errorf("%w: %w", ErrBroken, err)
}

// Done is closed when the link has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Close ends the link; pending calls fail with ErrBroken.
func (c *Conn) Close() {
	c.closeOnce.Do(func() {
		close(c.done)
		_ = c.conn.Close() // the client ends as its next read or write fails
	})
}
