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

// RemoteError is an error that the peer's handler returned.
type RemoteError struct{ Message string }

// Error returns the peer's message.
func (e *RemoteError) Error() string { return e.Message }

const (
	// PingPeriod is the time between two pings.
	PingPeriod = time.Second
	// MaxSilence is the time without a received byte after which a link is
	// closed, unless a long write still makes progress.
	MaxSilence = 3 * time.Second
	// DialTimeout bounds the opening of a connection.
	DialTimeout   = 2 * time.Second
	checksPerPing = 4
	checkPeriod   = PingPeriod / checksPerPing
	// writePiece is the unit in which the progress of a long write is seen, bytes.
	writePiece = 64 << 10
	// sendBuffer is twice what a link of 30 Mbit/s and 30 ms one way needs, bytes.
	sendBuffer = 512 << 10
	// serverIdle closes connections on which no ping arrives any more.
	serverIdle = 4 * MaxSilence
	pingMethod = "Link.Ping"
)

// Conn is one link to a peer; it is safe for concurrent use.
type Conn struct {
	conn   net.Conn
	client *rpc.Client
	start  time.Time
	done   chan struct{}
	close  sync.Once
	// Times since start, nanoseconds.
	lastRead   atomic.Int64
	pingSent   atomic.Int64 // first ping sent since the last read; 0 means none
	writeSince atomic.Int64 // last progress of the write under way; 0 means none
}

// watchedConn notes when bytes arrive and leave.
type watchedConn struct {
	net.Conn
	owner *Conn
}

// Read reads from the connection and notes the time.
func (w watchedConn) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	if n > 0 {
		w.owner.lastRead.Store(w.owner.now())
		w.owner.pingSent.Store(0)
	}
	if err != nil {
		// The pool must not offer a link whose peer has gone.
		w.owner.Close()
	}
	return n, err
}

// Dialer opens connections; nil means TCP.
type Dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// Write writes in pieces, so that a slow peer is told from a silent one.
func (w watchedConn) Write(p []byte) (int, error) {
	defer w.owner.writeSince.Store(0)
	written := 0
	for {
		w.owner.writeSince.Store(w.owner.now())
		n, err := w.Conn.Write(p[written:min(written+writePiece, len(p))])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

func (c *Conn) now() int64 { return max(1, int64(time.Since(c.start))) }

// Dial opens a link, or returns ErrNotSent.
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
		// A small buffer keeps pings from waiting for long behind a body that
		// has left this process but not this machine; an error costs only that.
		_ = tcp.SetWriteBuffer(sendBuffer)
	}
	c := &Conn{conn: conn, start: time.Now(), done: make(chan struct{})}
	c.client = rpc.NewClientWithCodec(clientCodec{newCodec(watchedConn{conn, c}), c.notePing})
	go c.watch()
	return c
}

func (c *Conn) notePing() { c.pingSent.CompareAndSwap(0, c.now()) }

// watch pings the peer and closes the link after MaxSilence.
func (c *Conn) watch() {
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	for check := 1; ; check++ {
		select {
		case <-c.done:
			return
		case <-ticker.C:
		}
		if c.silent() {
			c.Close()
			return
		}
		// During a long write a ping would only wait behind it. A separate
		// goroutine writes, because a full send buffer blocks.
		if check%checksPerPing == 0 && c.writeSince.Load() == 0 {
			go c.client.Go(pingMethod, &wire.Ping{}, &wire.Ping{}, make(chan *rpc.Call, 1))
		}
	}
}

// silent says whether the peer has sent nothing for MaxSilence although it had
// a ping to answer, or has taken nothing from a write for as long.
func (c *Conn) silent() bool {
	now := c.now()
	longer := func(since int64, limit time.Duration) bool {
		return since != 0 && time.Duration(now-since) >= limit
	}
	if time.Duration(now-c.lastRead.Load()) < MaxSilence {
		return false
	}
	return longer(c.pingSent.Load(), MaxSilence-PingPeriod) || longer(c.writeSince.Load(), MaxSilence)
}

// Call sends a request and waits for its response until ctx ends.
func (c *Conn) Call(ctx context.Context, method string, request, response proto.Message) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("calling %s: %w: %w", method, ErrNotSent, err)
	}
	calls := make(chan *rpc.Call, 1)
	// A response that arrives after ctx has ended is written to a message that
	// only this call holds, and is dropped with it.
	answer := response.ProtoReflect().New().Interface()
	go c.client.Go(method, request, answer, calls)
	select {
	case <-ctx.Done():
		return fmt.Errorf("calling %s: %w: %w", method, ErrBroken, ctx.Err())
	case call := <-calls:
		if call.Error == nil {
			proto.Merge(response, answer)
			return nil
		}
		return fmt.Errorf("calling %s: %w", method, classify(call.Error))
	}
}

func classify(err error) error {
	var remote rpc.ServerError
	switch {
	case errors.As(err, &remote):
		return &RemoteError{Message: string(remote)}
	case errors.Is(err, rpc.ErrShutdown):
		// net/rpc returns this both before and after sending.
		return ErrBroken
	}
	return fmt.Errorf("%w: %w", ErrBroken, err)
}

// Done is closed when the link has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Close ends the link; pending calls fail with ErrBroken.
func (c *Conn) Close() {
	c.close.Do(func() {
		close(c.done)
		_ = c.conn.Close() // the client ends as its next read or write fails
	})
}
