package slope

import (
	"net"
	"sync/atomic"
	"time"
)

// Traffic counts what passed a set of connections, seen from one side.
type Traffic struct {
	in, out         atomic.Int64 // bytes
	reads, segments atomic.Int64 // calls of Read and of Write
}

// TrafficCount is a copy of the counts of a Traffic.
type TrafficCount struct {
	In, Out int64 // bytes
	// Writes is the number of calls of Write: one for each message up to 4 KB.
	Writes int64
	Reads  int64
}

// Count returns the counts so far.
func (t *Traffic) Count() TrafficCount {
	return TrafficCount{In: t.in.Load(), Out: t.out.Load(), Writes: t.segments.Load(), Reads: t.reads.Load()}
}

func (c TrafficCount) minus(before TrafficCount) TrafficCount {
	return TrafficCount{c.In - before.In, c.Out - before.Out, c.Writes - before.Writes, c.Reads - before.Reads}
}

// countedConn counts the bytes of one connection.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read counts received bytes.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.in.Add(int64(n))
	c.traffic.reads.Add(1)
	return n, err
}

// Write counts sent bytes.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.out.Add(int64(n))
	c.traffic.segments.Add(1)
	return n, err
}

// countedListener counts the bytes of all accepted connections.
type countedListener struct {
	net.Listener
	traffic *Traffic
}

// Accept waits for a connection.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, l.traffic}, nil
}

// perSecond spreads a count over a time.
func perSecond(n int64, period time.Duration) float64 { return float64(n) / period.Seconds() }
