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

// echoService is the service that the tests call, registered as "Echo".
type echoService struct {
	reached chan struct{} // receives a value when Stop is called
	release chan struct{} // Stop returns when it is closed
}

// Prepare answers with the body as the task's result.
func (echoService) Prepare(request *wire.PrepareRequest, response *wire.TaskResponse) error {
	response.Status = &wire.TaskStatus{Attempt: request.GetAttempt(), Result: request.GetBody()}
	return nil
}

// Query waits for the requested time.
func (echoService) Query(request *wire.QueryRequest, response *wire.TaskResponse) error {
	time.Sleep(time.Duration(request.GetWaitMs()) * time.Millisecond)
	response.Status = &wire.TaskStatus{Attempt: request.GetAttempt()}
	return nil
}

// Stop returns an error once release is closed.
func (e echoService) Stop(*wire.StopRequest, *wire.TaskResponse) error {
	e.reached <- struct{}{}
	<-e.release
	return errors.New("released")
}

func newEchoServer(t *testing.T, service echoService) *Server {
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

// throttledConn delivers at most rate bytes per second to its reader.
type throttledConn struct {
	net.Conn
	rate int
}

func (c throttledConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), c.rate/20)])
	time.Sleep(time.Duration(n) * time.Second / time.Duration(c.rate))
	return n, err
}

// TestSilentLinkCloses guards against calls that wait for longer than MaxSilence on
// a connection that has gone silent.
func TestSilentLinkCloses(t *testing.T) {
	tests := []struct {
		name  string
		serve func(peer net.Conn)
		body  int
	}{
		{"peer discards a small request", func(peer net.Conn) { _, _ = io.Copy(io.Discard, peer) }, 10},
		{"peer discards a large request slowly", func(peer net.Conn) { _, _ = io.Copy(io.Discard, throttledConn{peer, 4 << 20}) }, 1 << 20},
		{"peer reads nothing", func(net.Conn) {}, 1 << 20},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				local, peer := net.Pipe()
				defer peer.Close()
				go test.serve(peer)
				conn := newConn(local)
				start := time.Now()
				request := &wire.PrepareRequest{Body: make([]byte, test.body)}
				err := conn.Call(context.Background(), "Echo.Prepare", request, &wire.TaskResponse{})
				if !errors.Is(err, ErrBroken) || errors.Is(err, ErrNotSent) {
					t.Errorf("call: %v, want ErrBroken", err)
				}
				if took := time.Since(start); took > MaxSilence+PingPeriod/4 {
					t.Errorf("the call failed after %v, later than MaxSilence allows", took)
				}
				<-conn.Done()
			})
		})
	}
}

// TestSlowLinkStaysOpen guards against closing a link while its peer still accepts
// bytes: a body that takes longer than MaxSilence to send delays the pings behind
// it.
func TestSlowLinkStaysOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, peer := net.Pipe()
		server := newEchoServer(t, echoService{})
		served := make(chan struct{})
		go func() {
			defer close(served)
			server.rpc.ServeCodec(serverCodec{newCodec(readTimeoutConn{throttledConn{peer, 1 << 20}})})
		}()
		conn := newConn(local)
		defer func() { conn.Close(); <-served }()
		request := &wire.PrepareRequest{Body: bytes.Repeat([]byte{7}, 8<<20)}
		var response wire.TaskResponse
		start := time.Now()
		if err := conn.Call(context.Background(), "Echo.Prepare", request, &response); err != nil {
			t.Fatalf("call failed after %v: %v", time.Since(start), err)
		}
		if !bytes.Equal(response.GetStatus().GetResult(), request.GetBody()) {
			t.Error("the result in the response differs from the request's body")
		}
		if took := time.Since(start); took < 2*MaxSilence {
			t.Errorf("the body took only %v to send, which is too short to delay pings beyond MaxSilence", took)
		}
	})
}

// TestIdleLinkStaysOpen guards against closing a link that is idle but answers
// pings.
func TestIdleLinkStaysOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, peer := net.Pipe()
		server := newEchoServer(t, echoService{})
		go server.rpc.ServeCodec(serverCodec{newCodec(readTimeoutConn{peer})})
		conn := newConn(local)
		defer conn.Close()
		time.Sleep(10 * serverIdleTimeout)
		if conn.closed() {
			t.Error("the idle link was closed")
		}
	})
}

// TestServerDropsStalledClient guards against handlers that never end because their
// client disappeared without closing the connection.
func TestServerDropsStalledClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, peer := net.Pipe()
		server := newEchoServer(t, echoService{})
		served := make(chan struct{})
		go func() {
			defer close(served)
			server.rpc.ServeCodec(serverCodec{newCodec(readTimeoutConn{peer})})
		}()
		client := newCodec(local)
		if err := client.write(&wire.CallHeader{Sequence: 1, Method: "Echo.Prepare"}, &wire.PrepareRequest{}); err != nil {
			t.Fatal(err)
		}
		// The response is never read, so the handler's write blocks.
		select {
		case <-served:
		case <-time.After(2 * serverIdleTimeout):
			t.Error("the server still serves the connection")
			_ = local.Close()
			<-served
		}
	})
}

// TestPeerClosesImmediately guards against a crash or a link that stays open when
// the peer closes the connection immediately.
func TestPeerClosesImmediately(t *testing.T) {
	for range 200 {
		local, peer := net.Pipe()
		_ = peer.Close()
		conn := newConn(local)
		<-conn.Done()
	}
}
