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

// proxy forwards loopback connections to target. It can be told to discard all
// bytes of the connections that are open, while new ones work.
type proxy struct {
	listener     net.Listener
	target       string
	maxChunk     int // largest number of bytes forwarded at a time
	mu           sync.Mutex
	conns        []net.Conn
	discardFlags []*atomic.Bool
	goroutines   sync.WaitGroup
}

func startProxy(t *testing.T, target netip.AddrPort, maxChunk int) (*proxy, netip.AddrPort) {
	t.Helper()
	listener, addr := listen(t)
	p := &proxy{listener: listener, target: target.String(), maxChunk: maxChunk}
	p.goroutines.Go(p.serve)
	t.Cleanup(func() {
		_ = listener.Close()
		p.mu.Lock()
		for _, conn := range p.conns {
			_ = conn.Close()
		}
		p.mu.Unlock()
		p.goroutines.Wait()
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
		clientConn, err := p.listener.Accept()
		if err != nil {
			return
		}
		serverConn, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = clientConn.Close()
			continue
		}
		discard := new(atomic.Bool)
		p.mu.Lock()
		p.conns = append(p.conns, clientConn, serverConn)
		p.discardFlags = append(p.discardFlags, discard)
		p.mu.Unlock()
		p.goroutines.Go(func() { p.relay(serverConn, clientConn, discard) })
		p.goroutines.Go(func() { p.relay(clientConn, serverConn, discard) })
	}
}

func (p *proxy) relay(to, from net.Conn, discard *atomic.Bool) {
	defer to.Close()
	buffer := make([]byte, p.maxChunk)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !discard.Load() {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// discardOpenConns makes the proxy discard all bytes of the connections accepted
// so far, and returns their number.
func (p *proxy) discardOpenConns() (connections int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, discard := range p.discardFlags {
		discard.Store(true)
	}
	return len(p.discardFlags)
}

func startServer(t *testing.T, service echoService) (*Server, netip.AddrPort) {
	t.Helper()
	server := newEchoServer(t, service)
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
		return fmt.Errorf("call %s got a body of %d bytes that differs from the one sent", attempt, len(response.GetStatus().GetResult()))
	}
	return nil
}

// TestSilentConnectionIsReplaced guards against a pool that keeps a connection that
// has gone silent for good, and against reporting its call as one that had no
// effect.
func TestSilentConnectionIsReplaced(t *testing.T) {
	_, target := startServer(t, echoService{})
	p, addr := startProxy(t, target, 64<<10)
	pool := startPool(t)
	if err := callEcho(pool, addr, "first", nil); err != nil {
		t.Fatal(err)
	}
	p.discardOpenConns()
	start := time.Now()
	if err := callEcho(pool, addr, "discarded", nil); !errors.Is(err, ErrBroken) || errors.Is(err, ErrNotSent) {
		t.Errorf("call on the silent link: %v, want ErrBroken", err)
	}
	if took := time.Since(start); took > MaxSilence+PingPeriod {
		t.Errorf("the silent link was closed after %v", took)
	}
	if err := callEcho(pool, addr, "fresh", nil); err != nil {
		t.Errorf("call on a new link: %v", err)
	}
	if n := p.discardOpenConns(); n != 2 {
		t.Errorf("the proxy accepted %d connections, want 2", n)
	}
}

// TestAnswersReachOnlyTheirCall guards against responses that reach another call
// when they arrive out of order or after their caller's deadline.
func TestAnswersReachOnlyTheirCall(t *testing.T) {
	_, addr := startServer(t, echoService{})
	pool := startPool(t)
	const (
		callTimeout = 500 * time.Millisecond
		maxWaitMS   = 1000 // twice callTimeout, so that half of the calls are late
	)
	// Opens the link, so that callTimeout does not include dialling.
	if err := pool.Call(context.Background(), addr, "Echo.Query", &wire.QueryRequest{Attempt: "first"}, &wire.TaskResponse{}); err != nil {
		t.Fatal(err)
	}
	var late, answered atomic.Int64
	var group errgroup.Group
	for i := range 200 {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			attempt := fmt.Sprint("attempt-", i)
			var response wire.TaskResponse
			request := &wire.QueryRequest{Attempt: attempt, WaitMs: rand.Int64N(maxWaitMS)}
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
		t.Errorf("%d calls timed out and %d were answered; the test needs both", late.Load(), answered.Load())
	}
}

// TestUnsentCallsReturnErrNotSent guards against another error than ErrNotSent for a
// call that was certainly not sent. ErrNotSent is a proof, so it must not come
// together with ErrBroken.
func TestUnsentCallsReturnErrNotSent(t *testing.T) {
	listener, closed := listen(t)
	_ = listener.Close()
	pool := startPool(t)
	if err := callEcho(pool, closed, "refused", nil); !errors.Is(err, ErrNotSent) || errors.Is(err, ErrBroken) {
		t.Errorf("refused connection: %v, want ErrNotSent", err)
	}
	_, addr := startServer(t, echoService{})
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

// TestPeerLostDuringCallIsErrBroken guards against ErrNotSent for a call whose peer
// is lost while it handles the call, which may have taken effect.
func TestPeerLostDuringCallIsErrBroken(t *testing.T) {
	service := echoService{reached: make(chan struct{}), release: make(chan struct{})}
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

// TestRemoteErrorIsNotLinkError guards against taking an error that the peer
// returned for a failure of the link.
func TestRemoteErrorIsNotLinkError(t *testing.T) {
	service := echoService{reached: make(chan struct{}, 1), release: make(chan struct{})}
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

// TestLargeBodiesUnderLoad guards against corrupted bodies when large and small
// calls share a link, and when a proxy forwards single bytes.
func TestLargeBodiesUnderLoad(t *testing.T) {
	_, addr := startServer(t, echoService{})
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
