package intake

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// serve starts a server whose handler reads the body of a request with a key.
func serve(t *testing.T) (*Intake, string) {
	t.Helper()
	i := New(Resources{MemoryMB: 64, Stall: 200 * time.Millisecond})
	listener, err := i.Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := i.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Other") != "" || r.Header.Get("Authorization") == "" {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		fmt.Fprint(w, len(body))
	}), ServerOptions{Headers: []string{"Authorization"}, HeaderTimeout: time.Second, IdleTimeout: time.Second})
	go func() { _ = server.Serve(listener) }() // ends with Close
	t.Cleanup(func() { _ = server.Close() })
	return i, listener.Addr().String()
}

// TestRequests checks what becomes of a body and of its connection. It guards against a
// server that reads what it has refused, and against one that answers a body that has
// stopped as if it were invalid.
func TestRequests(t *testing.T) {
	for _, c := range []struct {
		name, head, body string
		answer           string // empty means that the connection is closed without one
		closes           bool
	}{
		{"read", "Other: 1\r\nAuthorization: k\r\nContent-Length: 5\r\n", "hello", "200", false},
		{"chunked", "Authorization: k\r\nTransfer-Encoding: chunked\r\n", "5\r\nhello\r\n0\r\n\r\n", "200", false},
		{"no body", "Authorization: k\r\nContent-Length: 0\r\n", "", "200", false},
		{"small and unread", "Content-Length: 5\r\n", "hello", "401", false},
		{"large and unread", "Content-Length: 200000\r\n", strings.Repeat("x", 1000), "401", true},
		{"chunked and unread", "Transfer-Encoding: chunked\r\n", "5\r\nhello\r\n", "401", true},
		{"stopped", "Authorization: k\r\nContent-Length: 6\r\n", "hello", "", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			i, addr := serve(t)
			raw, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer raw.Close()
			fmt.Fprintf(raw, "POST / HTTP/1.1\r\nHost: h\r\n%s\r\n%s", c.head, c.body)
			reader := bufio.NewReader(raw)
			answer, err := http.ReadResponse(reader, nil)
			if c.answer == "" {
				if err == nil {
					t.Errorf("status %d instead of a closed connection", answer.StatusCode)
				}
				return
			}
			if err != nil || !strings.HasPrefix(answer.Status, c.answer) || answer.Close != c.closes {
				t.Fatalf("answer %+v, %v", answer, err)
			}
			_ = raw.Close()
			for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
				i.mu.Lock()
				held := i.ledger.Held()
				i.mu.Unlock()
				if held == 0 {
					return
				}
				if time.Now().After(deadline) {
					t.Fatalf("%d bytes are held after the connection's end", held)
				}
			}
		})
	}
}

// TestHeadersWithoutRoom guards against a caller that takes its valid request for an
// invalid one, as it was answered 400 when there was no room for its headers.
func TestHeadersWithoutRoom(t *testing.T) {
	i, addr := serve(t)
	i.mu.Lock()
	i.ledger.small = i.ledger.limits.Bytes // requests that are being served
	i.mu.Unlock()
	raw, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	fmt.Fprint(raw, "POST / HTTP/1.1\r\nHost: h\r\n\r\n")
	if answer, _ := io.ReadAll(raw); len(answer) > 0 {
		t.Errorf("answer %q", answer)
	}
}

// TestSlowReader guards against an answer that is cut off though its reader makes steady
// progress, because one deadline holds for all of a long write.
func TestSlowReader(t *testing.T) {
	const size = 2 << 20
	i := New(Resources{Stall: 400 * time.Millisecond, SocketBytes: 64 << 10})
	listener, err := i.Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := i.Server(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, size)) // the reader checks the length
	}), ServerOptions{})
	go func() { _ = server.Serve(listener) }() // ends with Close
	t.Cleanup(func() { _ = server.Close() })
	raw, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	_ = raw.(*net.TCPConn).SetReadBuffer(64 << 10) // the kernel would take all otherwise
	fmt.Fprint(raw, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	received := int64(0)
	for {
		n, err := io.CopyN(io.Discard, raw, 32<<10)
		received += n
		if err != nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if received < size {
		t.Errorf("%d of %d bytes were received", received, size)
	}
}

// TestPanicWithUnreadBody guards against a connection that stays open after its handler has
// failed: the HTTP server reads the rest of the body first, without a deadline.
func TestPanicWithUnreadBody(t *testing.T) {
	i := New(Resources{})
	listener, err := i.Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := i.Server(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }), ServerOptions{})
	go func() { _ = server.Serve(listener) }() // ends with Close
	t.Cleanup(func() { _ = server.Close() })
	raw, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	fmt.Fprint(raw, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\nhello")
	_ = raw.SetReadDeadline(time.Now().Add(2 * time.Second)) // seen as a timeout below
	var timeout net.Error
	if _, err := raw.Read(make([]byte, 1)); errors.As(err, &timeout) && timeout.Timeout() {
		t.Error("the connection stays open")
	}
}
