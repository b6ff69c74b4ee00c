package slope

import (
	"context"
	"net"
	"time"

	"catkinpoint/link"
	"catkinpoint/meter"
	"catkinpoint/wire"
)

// MeasureLinks measures the keep-alive traffic and the CPU time of idle links, which
// a pool keeps open after one call each, against their number. CPU time is that
// of both ends.
func MeasureLinks(options Options) ([]Series, error) {
	sizes, period, input := []int{10, 40, 160, 640}, 5*time.Second, "links"
	if options.Small {
		sizes, period, input = []int{2}, time.Second, ""
	}
	series := make([]Series, 4)
	for i, output := range []string{"bytes out a second", "bytes in a second", "messages out a second", "both ends, CPU ms a second"} {
		series[i] = Series{Subject: "idle links of one process", Input: input, Output: output}
	}
	for _, links := range sizes {
		counts, cpu, err := measureIdleLinks(links, period)
		if err != nil {
			return nil, Error.New("%d links: %w", links, err)
		}
		for i, y := range []float64{
			perSecond(counts.BytesOut, period), perSecond(counts.BytesIn, period), perSecond(counts.Writes, period), microseconds(cpu) / 1000 / period.Seconds(),
		} {
			series[i].Points = append(series[i].Points, Point{float64(links), y})
		}
	}
	return series, nil
}

// measureIdleLinks opens links and returns the traffic, counted at the client, and
// the CPU time of one period without calls.
func measureIdleLinks(links int, period time.Duration) (TrafficCounts, time.Duration, error) {
	traffic := new(Traffic)
	pool := link.NewPool(func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return countedConn{conn, traffic}, nil
	})
	defer pool.Close()
	server, err := link.NewServer()
	if err != nil {
		return TrafficCounts{}, 0, err
	}
	defer server.Close()
	for range links {
		listener, addr, err := listenLoopback()
		if err != nil {
			return TrafficCounts{}, 0, err
		}
		defer listener.Close()
		go func() { _ = server.Serve(listener) }() // returns when the listener is closed
		if err := pool.Call(context.Background(), addr, "Link.Ping", &wire.Ping{}, &wire.Ping{}); err != nil {
			return TrafficCounts{}, 0, err
		}
	}
	before, err := meter.ReadUsage()
	if err != nil {
		return TrafficCounts{}, 0, err
	}
	countsBefore := traffic.Counts()
	time.Sleep(period)
	counts := traffic.Counts().minus(countsBefore)
	after, err := meter.ReadUsage()
	return counts, after.CPU - before.CPU, err
}
