package fakeep

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// listener tracks the connections that it accepts and marks those beyond the limit.
type listener struct {
	net.Listener
	endpoint *Endpoint
}

// conn is an accepted connection that can go silent.
type conn struct {
	net.Conn
	endpoint *Endpoint
	// refused is set on a connection beyond the limit; its requests get an error.
	refused bool
	silent  atomic.Bool // discards all bytes; see SilenceConnections
	once    sync.Once   // for removing the connection from Endpoint.conns
}

// connKey is the context key of the *conn of a request.
type connKey struct{}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.endpoint.trackConn(inner), nil
}

// trackConn wraps an accepted connection. A connection beyond the limit is recorded
// and counted as a violation, and does not count against the limit.
func (e *Endpoint) trackConn(inner net.Conn) *conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := &conn{Conn: inner, endpoint: e}
	if len(e.conns) >= e.opts.Connections {
		c.refused = true
		e.violations.Connections++
		e.recordEvent(Event{Kind: KindRefuse, Detail: codeOf(errTooManyConnections)})
		return c
	}
	e.conns[c] = struct{}{}
	return c
}

// Read implements net.Conn. On a silent connection it discards what arrives and
// blocks until the connection ends.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn. On a silent connection it sends nothing.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. The peer does not see the end of a silent
// connection either, until it closes its own side.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.endpoint.mu.Lock()
		defer c.endpoint.mu.Unlock()
		delete(c.endpoint.conns, c)
	})
	if !c.silent.Load() {
		return c.Conn.Close()
	}
	go func() {
		_, _ = io.Copy(io.Discard, c.Conn) // returns when the peer closes its side
		_ = c.Conn.Close()
	}()
	return nil
}

// shutdownTimeout is how long the answers of ended tasks may take before the
// connections are closed.
const shutdownTimeout = time.Second

// Serve serves HTTP on l until ctx ends, then lets running tasks finish for up to
// Options.DrainTimeout and stops the rest.
func (e *Endpoint) Serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{
		Handler: e,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener{l, e}) }()
	select {
	case err := <-served:
		return Error.Wrap(fmt.Errorf("serve: %w", err))
	case <-ctx.Done():
	}
	e.shutDown(context.WithoutCancel(ctx), server)
	<-served
	return nil
}

// shutDown stops the tasks and the server. It keeps serving while tasks finish,
// because their leases must be renewed until then.
func (e *Endpoint) shutDown(ctx context.Context, server *http.Server) {
	drainCtx, cancel := context.WithTimeout(ctx, e.opts.DrainTimeout)
	defer cancel()
	_ = e.Drain(drainCtx)
	e.Close()
	shutdownCtx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		_ = server.Close()
	}
}
