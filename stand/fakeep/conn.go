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

// listener counts the connections that it accepts.
type listener struct {
	net.Listener
	endpoint *Endpoint
}

// conn is an accepted connection that can go silent.
type conn struct {
	net.Conn
	endpoint *Endpoint
	// refused is set on a connection beyond the limit; it gets an error.
	refused bool
	silent  atomic.Bool
	once    sync.Once
}

type connKey struct{}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.endpoint.connect(inner), nil
}

func (e *Endpoint) connect(inner net.Conn) *conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := &conn{Conn: inner, endpoint: e}
	if len(e.connections) >= e.opts.Connections {
		c.refused = true
		e.violations.Connections++
		e.note(Event{Kind: KindRefuse, Detail: codeOf(errConnections)})
		return c
	}
	e.connections[c] = struct{}{}
	return c
}

// Read swallows what arrives on a silent connection, until its end.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write drops what a silent connection should send.
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
		delete(c.endpoint.connections, c)
	})
	if !c.silent.Load() {
		return c.Conn.Close()
	}
	go func() {
		_, _ = io.Copy(io.Discard, c.Conn) // ends with the peer
		_ = c.Conn.Close()
	}()
	return nil
}

// lastAnswers is the time for the answers of ended tasks before connections are
// cut.
const lastAnswers = time.Second

// Serve serves HTTP on l until ctx ends, then lets running tasks finish for the
// time Drain of the options and stops the rest.
func (e *Endpoint) Serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{
		Handler: e,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener{l, e}) }()
	select {
	case err := <-failed:
		return Error.Wrap(fmt.Errorf("serve: %w", err))
	case <-ctx.Done():
	}
	e.shutDown(context.WithoutCancel(ctx), server)
	<-failed
	return nil
}

// shutDown keeps serving while tasks finish, because they need renewals.
func (e *Endpoint) shutDown(ctx context.Context, server *http.Server) {
	drain, cancel := context.WithTimeout(ctx, e.opts.Drain)
	defer cancel()
	_ = e.Drain(drain)
	e.Close()
	last, cancel := context.WithTimeout(ctx, lastAnswers)
	defer cancel()
	if err := server.Shutdown(last); err != nil {
		_ = server.Close()
	}
}
