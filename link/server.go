package link

import (
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"catkinpoint/wire"
)

// Server accepts links and serves the calls of registered receivers.
type Server struct {
	rpc    *rpc.Server
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// pingHandler answers pings, so that an idle link does not count as silent.
type pingHandler struct{}

// Ping answers a ping.
func (pingHandler) Ping(*wire.Ping, *wire.Ping) error { return nil }

// NewServer returns a server that answers only pings until receivers are
// registered.
func NewServer() (*Server, error) {
	s := &Server{rpc: rpc.NewServer(), conns: make(map[net.Conn]struct{})}
	if err := s.rpc.RegisterName("Link", pingHandler{}); err != nil {
		return nil, fmt.Errorf("registering ping: %w", err)
	}
	return s, nil
}

// Register adds the methods of receiver under name, as net/rpc defines them.
func (s *Server) Register(name string, receiver any) error {
	if err := s.rpc.RegisterName(name, receiver); err != nil {
		return fmt.Errorf("registering %s: %w", name, err)
	}
	return nil
}

// readTimeoutConn closes a connection on which nothing arrives for
// serverIdleTimeout.
type readTimeoutConn struct{ net.Conn }

// Read reads with a deadline; an error closes the connection.
func (c readTimeoutConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(serverIdleTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if err != nil {
		// This also ends handlers that are blocked in a write; net/rpc waits for
		// them before it closes the connection.
		_ = c.Close()
	}
	return n, err
}

// Serve accepts links until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accepting link: %w", err)
		}
		if !s.add(conn) {
			_ = conn.Close() // the server is closed
			continue
		}
		go func() {
			defer s.remove(conn)
			s.rpc.ServeCodec(serverCodec{newCodec(readTimeoutConn{conn})})
		}()
	}
}

// add registers a connection for Close; it reports false if the server is closed.
func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) remove(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// Close closes all links; the caller closes the listener.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close() // the peer's calls then fail
	}
}
