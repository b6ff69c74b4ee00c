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
	// MaxSilence is the time without a received byte after which a link is closed.
	MaxSilence = 3 * time.Second
	// DialTimeout bounds the opening of a connection.
	DialTimeout = 2 * time.Second
	// serverIdle closes connections on which no ping arrives any more.
	serverIdle = 4 * MaxSilence
	pingMethod = "Link.Ping"
)

// Conn is one link to a peer; it is safe for concurrent use.
type Conn struct {
	client   *rpc.Client
	lastRead atomic.Int64 // time since start, nanoseconds
	start    time.Time
	done     chan struct{}
	close    sync.Once
}

// watchedConn notes when bytes arrive.
type watchedConn struct {
	net.Conn
	owner *Conn
}

// Read reads from the connection and notes the time.
func (w watchedConn) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	if n > 0 {
		w.owner.lastRead.Store(int64(time.Since(w.owner.start)))
	}
	if err != nil {
		// The pool must not offer a link whose peer has gone.
		go w.owner.Close()
	}
	return n, err
}

// Dialer opens connections; nil means TCP.
type Dialer func(ctx context.Context, network, addr string) (net.Conn, error)

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
	c := &Conn{start: time.Now(), done: make(chan struct{})}
	c.client = rpc.NewClientWithCodec(clientCodec{newCodec(watchedConn{conn, c})})
	go c.watch()
	return c
}

// watch pings the peer and closes the link after MaxSilence.
func (c *Conn) watch() {
	ticker := time.NewTicker(PingPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-c.done:
			return
		case <-ticker.C:
		}
		silent := time.Since(c.start) - time.Duration(c.lastRead.Load())
		if silent > MaxSilence {
			c.Close()
			return
		}
		// A separate goroutine writes, because a full send buffer blocks.
		go c.client.Go(pingMethod, &wire.Ping{}, &wire.Ping{}, make(chan *rpc.Call, 1))
	}
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
		_ = c.client.Close() // the connection is gone either way
	})
}
