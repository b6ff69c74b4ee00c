package slope

import (
	"net"
	"sync/atomic"
	"time"
)

// Traffic counts the bytes and the calls of Read and Write at one end of a set of
// connections.
type Traffic struct {
	bytesIn, bytesOut atomic.Int64
	reads, writes     atomic.Int64
}

// TrafficCounts is a snapshot of the counts of a Traffic.
type TrafficCounts struct {
	BytesIn, BytesOut int64
	// Writes is the number of calls of Write, one for each message of up to 4 KB.
	Writes int64
	Reads  int64 // calls of Read
}

// Counts returns the counts so far.
func (t *Traffic) Counts() TrafficCounts {
	return TrafficCounts{BytesIn: t.bytesIn.Load(), BytesOut: t.bytesOut.Load(), Writes: t.writes.Load(), Reads: t.reads.Load()}
}

// minus returns the counts since an earlier snapshot.
func (c TrafficCounts) minus(before TrafficCounts) TrafficCounts {
	return TrafficCounts{c.BytesIn - before.BytesIn, c.BytesOut - before.BytesOut, c.Writes - before.Writes, c.Reads - before.Reads}
}

// countedConn adds the traffic of a connection to the counts.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read reads from the connection and counts the received bytes.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.bytesIn.Add(int64(n))
	c.traffic.reads.Add(1)
	return n, err
}

// Write writes to the connection and counts the sent bytes.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.bytesOut.Add(int64(n))
	c.traffic.writes.Add(1)
	return n, err
}

// countedListener adds the traffic of all accepted connections to the counts.
type countedListener struct {
	net.Listener
	traffic *Traffic
}

// Accept waits for the next connection and counts its traffic.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, l.traffic}, nil
}

// perSecond returns the mean rate of a count over a period.
func perSecond(count int64, period time.Duration) float64 { return float64(count) / period.Seconds() }
