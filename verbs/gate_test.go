package verbs

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"catkinpoint/gate"
	"catkinpoint/intake"
)

// TestShutDownWithStoppedBody guards against a gate that never ends after SIGTERM because a
// client has stopped in the middle of a body: the servers must return from Serve.
func TestShutDownWithStoppedBody(t *testing.T) {
	admission := intake.New(intake.Resources{})
	begun := make(chan struct{})
	callers := admission.Server(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
		_, _ = io.ReadAll(r.Body) // never ends well
	}), intake.ServerOptions{})
	ready := &http.Server{}
	var addresses []string
	served := make(chan error, 2)
	for _, server := range []*http.Server{callers, ready} {
		listener, err := admission.Listen(t.Context(), "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, listener.Addr().String())
		go func() { served <- serveHTTP(server, listener) }()
	}
	raw, err := net.Dial("tcp", addresses[0])
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	fmt.Fprint(raw, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhello")
	<-begun
	if err := shutDownGate(t.Context(), gate.New(gate.Options{}), callers, ready, 200*time.Millisecond); err == nil {
		t.Error("no error, though a request was in progress")
	}
	for range 2 {
		select {
		case <-served:
		case <-time.After(5 * time.Second):
			t.Fatal("a server still serves")
		}
	}
	if _, err := raw.Read(make([]byte, 1)); err == nil {
		t.Error("the stopped body is answered")
	}
}
