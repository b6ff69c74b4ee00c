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

// Server answers calls on a listener.
type Server struct {
	rpc   *rpc.Server
	mu    sync.Mutex
	conns map[net.Conn]struct{}
	ended bool
}

// pinger answers pings, so that an idle link is not silent.
type pinger struct{}

// Ping answers a ping.
func (pinger) Ping(*wire.Ping, *wire.Ping) error { return nil }

// NewServer returns a server that answers pings only.
func NewServer() (*Server, error) {
	s := &Server{rpc: rpc.NewServer(), conns: make(map[net.Conn]struct{})}
	if err := s.rpc.RegisterName("Link", pinger{}); err != nil {
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

// idleConn drops a connection on which nothing arrives for serverIdle.
type idleConn struct{ net.Conn }

// Read reads with a deadline.
func (c idleConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(serverIdle)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if err != nil {
		// Handlers that are blocked in a write end too; net/rpc waits for them
		// before it closes the connection.
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
			_ = conn.Close() // the server has ended
			continue
		}
		go func() {
			defer s.remove(conn)
			s.rpc.ServeCodec(serverCodec{newCodec(idleConn{conn})})
		}()
	}
}

func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
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

// Close ends all links; the caller closes the listener.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for conn := range s.conns {
		_ = conn.Close() // the peer sees the end of the link
	}
}
