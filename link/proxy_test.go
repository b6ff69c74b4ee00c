package link

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"catkinpoint/wire"
)

// proxy relays loopback connections; it can swallow all bytes of the
// connections that are open, while new ones work.
type proxy struct {
	listener net.Listener
	target   string
	piece    int // largest relayed piece, bytes
	mu       sync.Mutex
	conns    []net.Conn
	swallow  []*atomic.Bool
	group    sync.WaitGroup
}

func startProxy(t *testing.T, target netip.AddrPort, piece int) (*proxy, netip.AddrPort) {
	t.Helper()
	listener, addr := listen(t)
	p := &proxy{listener: listener, target: target.String(), piece: piece}
	p.group.Go(p.serve)
	t.Cleanup(func() {
		_ = listener.Close()
		p.mu.Lock()
		for _, conn := range p.conns {
			_ = conn.Close()
		}
		p.mu.Unlock()
		p.group.Wait()
	})
	return p, addr
}

func listen(t *testing.T) (net.Listener, netip.AddrPort) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener, netip.MustParseAddrPort(listener.Addr().String())
}

func (p *proxy) serve() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		swallow := new(atomic.Bool)
		p.mu.Lock()
		p.conns = append(p.conns, near, far)
		p.swallow = append(p.swallow, swallow)
		p.mu.Unlock()
		p.group.Go(func() { p.relay(far, near, swallow) })
		p.group.Go(func() { p.relay(near, far, swallow) })
	}
}

func (p *proxy) relay(to, from net.Conn, swallow *atomic.Bool) {
	defer to.Close()
	buffer := make([]byte, p.piece)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !swallow.Load() {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// silence makes the connections that are open now swallow everything.
func (p *proxy) silence() (connections int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, swallow := range p.swallow {
		swallow.Store(true)
	}
	return len(p.swallow)
}

func startServer(t *testing.T, service echo) (*Server, netip.AddrPort) {
	t.Helper()
	server := newEcho(t, service)
	listener, addr := listen(t)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		server.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return server, addr
}

func startPool(t *testing.T) *Pool {
	pool := NewPool(nil)
	t.Cleanup(pool.Close)
	return pool
}

func callEcho(pool *Pool, addr netip.AddrPort, attempt string, body []byte) error {
	var response wire.TaskResponse
	err := pool.Call(context.Background(), addr, "Echo.Prepare", &wire.PrepareRequest{Attempt: attempt, Body: body}, &response)
	if err != nil {
		return err
	}
	if response.GetStatus().GetAttempt() != attempt {
		return fmt.Errorf("call %s got the answer to %s", attempt, response.GetStatus().GetAttempt())
	}
	if !bytes.Equal(response.GetStatus().GetResult(), body) {
		return fmt.Errorf("call %s got another body of %d bytes", attempt, len(response.GetStatus().GetResult()))
	}
	return nil
}

// A connection that goes silent for good is replaced, and its call fails as
// one that may have taken effect.
func TestSilentConnectionIsReplaced(t *testing.T) {
	_, target := startServer(t, echo{})
	p, addr := startProxy(t, target, 64<<10)
	pool := startPool(t)
	if err := callEcho(pool, addr, "first", nil); err != nil {
		t.Fatal(err)
	}
	p.silence()
	start := time.Now()
	if err := callEcho(pool, addr, "swallowed", nil); !errors.Is(err, ErrBroken) || errors.Is(err, ErrNotSent) {
		t.Errorf("swallowed call: %v, want ErrBroken", err)
	}
	if took := time.Since(start); took > MaxSilence+PingPeriod {
		t.Errorf("the silent link was closed after %v", took)
	}
	if err := callEcho(pool, addr, "fresh", nil); err != nil {
		t.Errorf("call on a fresh link: %v", err)
	}
	if n := p.silence(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

// Answers that cross or come after their caller has gone reach no other call.
func TestCrossedAndLateAnswers(t *testing.T) {
	_, addr := startServer(t, echo{})
	pool := startPool(t)
	const (
		limit   = 500 * time.Millisecond
		waitMax = 1000 // ms; half of the calls are late
	)
	// The limit is for calls on an open link.
	if err := pool.Call(context.Background(), addr, "Echo.Query", &wire.QueryRequest{Attempt: "first"}, &wire.TaskResponse{}); err != nil {
		t.Fatal(err)
	}
	var late, answered atomic.Int64
	var group errgroup.Group
	for i := range 200 {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), limit)
			defer cancel()
			attempt := fmt.Sprint("attempt-", i)
			var response wire.TaskResponse
			request := &wire.QueryRequest{Attempt: attempt, WaitMs: rand.Int64N(waitMax)}
			err := pool.Call(ctx, addr, "Echo.Query", request, &response)
			switch {
			case errors.Is(err, context.DeadlineExceeded) && (errors.Is(err, ErrBroken) || errors.Is(err, ErrNotSent)):
				late.Add(1)
				if response.GetStatus() != nil {
					return fmt.Errorf("late call %s has an answer", attempt)
				}
				return nil
			case err != nil:
				return err
			case response.GetStatus().GetAttempt() != attempt:
				return fmt.Errorf("call %s got the answer to %s", attempt, response.GetStatus().GetAttempt())
			}
			answered.Add(1)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	if late.Load() == 0 || answered.Load() == 0 {
		t.Errorf("%d late, %d answered; the test needs both", late.Load(), answered.Load())
	}
}

// ErrNotSent is a proof, so it is returned only when nothing was sent.
func TestNotSent(t *testing.T) {
	listener, closed := listen(t)
	_ = listener.Close()
	pool := startPool(t)
	if err := callEcho(pool, closed, "refused", nil); !errors.Is(err, ErrNotSent) || errors.Is(err, ErrBroken) {
		t.Errorf("refused connection: %v, want ErrNotSent", err)
	}
	_, addr := startServer(t, echo{})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := pool.Call(ctx, addr, "Echo.Prepare", &wire.PrepareRequest{}, &wire.TaskResponse{}); !errors.Is(err, ErrNotSent) {
		t.Errorf("ended context: %v, want ErrNotSent", err)
	}
	pool.Close()
	if err := callEcho(pool, addr, "after close", nil); !errors.Is(err, ErrNotSent) {
		t.Errorf("closed pool: %v, want ErrNotSent", err)
	}
}

// A call whose peer dies while it works on it may have taken effect.
func TestPeerKilledDuringCall(t *testing.T) {
	service := echo{reached: make(chan struct{}), release: make(chan struct{})}
	server, addr := startServer(t, service)
	pool := startPool(t)
	failed := make(chan error, 1)
	go func() {
		failed <- pool.Call(context.Background(), addr, "Echo.Stop", &wire.StopRequest{}, &wire.TaskResponse{})
	}()
	<-service.reached
	server.Close()
	if err := <-failed; !errors.Is(err, ErrBroken) || errors.Is(err, ErrNotSent) {
		t.Errorf("call: %v, want ErrBroken", err)
	}
	close(service.release)
}

// The peer's own errors are told from those of the link.
func TestRemoteError(t *testing.T) {
	service := echo{reached: make(chan struct{}, 1), release: make(chan struct{})}
	close(service.release)
	_, addr := startServer(t, service)
	pool := startPool(t)
	for _, method := range []string{"Echo.Stop", "Echo.Missing"} {
		err := pool.Call(context.Background(), addr, method, &wire.StopRequest{}, &wire.TaskResponse{})
		var remote *RemoteError
		if !errors.As(err, &remote) || errors.Is(err, ErrBroken) {
			t.Errorf("%s: %v, want RemoteError", method, err)
		}
	}
	if err := callEcho(pool, addr, "after errors", nil); err != nil {
		t.Error(err)
	}
}

// Large answers stay whole among many small ones; the small bodies also pass a
// proxy that relays single bytes.
func TestLargeBodiesUnderLoad(t *testing.T) {
	_, addr := startServer(t, echo{})
	_, slow := startProxy(t, addr, 1)
	pool := startPool(t)
	var group errgroup.Group
	for i := range 6 {
		group.Go(func() error { return callEcho(pool, addr, fmt.Sprint("large-", i), randomBody(8<<20, i)) })
	}
	for i := range 8 {
		group.Go(func() error { return callEcho(pool, slow, fmt.Sprint("single-bytes-", i), randomBody(4<<10, i)) })
	}
	for i := range 200 {
		group.Go(func() error { return callEcho(pool, addr, fmt.Sprint("small-", i), randomBody(i, i)) })
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}

func randomBody(size, seed int) []byte {
	body := make([]byte, size)
	_, _ = io.ReadFull(rand.NewChaCha8([32]byte{byte(seed)}), body) // it never fails
	return body
}
