package link

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"catkinpoint/wire"
)

// echo is the service of the tests.
type echo struct {
	reached chan struct{}
	release chan struct{}
}

// Prepare answers with the body as the task's result.
func (echo) Prepare(request *wire.PrepareRequest, response *wire.TaskResponse) error {
	response.Status = &wire.TaskStatus{Attempt: request.GetAttempt(), Result: request.GetBody()}
	return nil
}

// Query waits for the requested time.
func (echo) Query(request *wire.QueryRequest, response *wire.TaskResponse) error {
	time.Sleep(time.Duration(request.GetWaitMs()) * time.Millisecond)
	response.Status = &wire.TaskStatus{Attempt: request.GetAttempt()}
	return nil
}

// Stop answers only after release is closed.
func (e echo) Stop(*wire.StopRequest, *wire.TaskResponse) error {
	e.reached <- struct{}{}
	<-e.release
	return errors.New("released")
}

func newEcho(t *testing.T, service echo) *Server {
	t.Helper()
	server, err := NewServer()
	if err != nil {
		t.Fatal(err)
	}
	if err := server.Register("Echo", service); err != nil {
		t.Fatal(err)
	}
	return server
}

// throttled delivers at most rate bytes a second to its reader.
type throttled struct {
	net.Conn
	rate int
}

func (c throttled) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), c.rate/20)])
	time.Sleep(time.Duration(n) * time.Second / time.Duration(c.rate))
	return n, err
}

// A connection that goes silent must not hold calls for longer than MaxSilence.
func TestSilentLinkCloses(t *testing.T) {
	tests := []struct {
		name string
		peer func(peer net.Conn)
		body int
	}{
		{"bytes are swallowed", func(peer net.Conn) { _, _ = io.Copy(io.Discard, peer) }, 10},
		{"a large body is swallowed slowly, then all", func(peer net.Conn) { _, _ = io.Copy(io.Discard, throttled{peer, 4 << 20}) }, 1 << 20},
		{"nothing is read", func(net.Conn) {}, 1 << 20},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				local, peer := net.Pipe()
				defer peer.Close()
				go test.peer(peer)
				conn := newConn(local)
				start := time.Now()
				request := &wire.PrepareRequest{Body: make([]byte, test.body)}
				err := conn.Call(context.Background(), "Echo.Prepare", request, &wire.TaskResponse{})
				if !errors.Is(err, ErrBroken) || errors.Is(err, ErrNotSent) {
					t.Errorf("call: %v, want ErrBroken", err)
				}
				if took := time.Since(start); took > MaxSilence+PingPeriod/4 {
					t.Errorf("closed after %v", took)
				}
				<-conn.Done()
			})
		})
	}
}

// A body that takes longer than MaxSilence to send delays the pings behind it;
// the link was closed although the peer took bytes all the time.
func TestSlowLinkStaysOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, peer := net.Pipe()
		server := newEcho(t, echo{})
		served := make(chan struct{})
		go func() {
			defer close(served)
			server.rpc.ServeCodec(serverCodec{newCodec(idleConn{throttled{peer, 1 << 20}})})
		}()
		conn := newConn(local)
		defer func() { conn.Close(); <-served }()
		request := &wire.PrepareRequest{Body: bytes.Repeat([]byte{7}, 8<<20)}
		var response wire.TaskResponse
		start := time.Now()
		if err := conn.Call(context.Background(), "Echo.Prepare", request, &response); err != nil {
			t.Fatalf("after %v: %v", time.Since(start), err)
		}
		if !bytes.Equal(response.GetStatus().GetResult(), request.GetBody()) {
			t.Error("the answer differs from the body")
		}
		if took := time.Since(start); took < 2*MaxSilence {
			t.Errorf("the body took only %v, so the test shows nothing", took)
		}
	})
}

// An idle link stays open.
func TestIdleLinkStaysOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, peer := net.Pipe()
		server := newEcho(t, echo{})
		go server.rpc.ServeCodec(serverCodec{newCodec(idleConn{peer})})
		conn := newConn(local)
		defer conn.Close()
		time.Sleep(10 * serverIdle)
		if conn.ended() {
			t.Error("the link was closed")
		}
	})
}

// A server whose client is gone without a trace must not keep its handlers.
func TestServerDropsStalledClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, peer := net.Pipe()
		server := newEcho(t, echo{})
		served := make(chan struct{})
		go func() {
			defer close(served)
			server.rpc.ServeCodec(serverCodec{newCodec(idleConn{peer})})
		}()
		client := newCodec(local)
		if err := client.write(&wire.CallHeader{Sequence: 1, Method: "Echo.Prepare"}, &wire.PrepareRequest{}); err != nil {
			t.Fatal(err)
		}
		// The answer is never read, so the handler's write blocks.
		select {
		case <-served:
		case <-time.After(2 * serverIdle):
			t.Error("the server still serves the connection")
			_ = local.Close()
			<-served
		}
	})
}

// The pool must neither crash on nor offer a link that its peer closes at once.
func TestPeerClosesAtOnce(t *testing.T) {
	for range 200 {
		local, peer := net.Pipe()
		_ = peer.Close()
		conn := newConn(local)
		<-conn.Done()
	}
}
