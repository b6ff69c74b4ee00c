package slope

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"catkinpoint/agent"
	"catkinpoint/gang"
)

// Fleet is a number of agents in this process. All share one fake endpoint, which
// they reach without sockets. It accepts every task and lets it run until the
// agent stops it.
type Fleet struct {
	group          *errgroup.Group
	cancel         context.CancelFunc
	traffic        []*Traffic // of each agent, without the endpoint
	endpointServer *http.Server
}

// newFleet starts one agent for each of the workers, at equal intervals over the
// ramp-up. The agents report to the entry at the given address.
func newFleet(entry netip.AddrPort, workers int, rampUp time.Duration) (*Fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	f := &Fleet{group: group, cancel: cancel, endpointServer: &http.Server{Handler: http.HandlerFunc(serveEndpoint)}}
	endpoint := newPipeListener()
	group.Go(func() error {
		if err := f.endpointServer.Serve(endpoint); err != http.ErrServerClosed {
			return Error.New("serving endpoints: %w", err)
		}
		return nil
	})
	for i := range workers {
		if err := f.startAgent(ctx, entry, endpoint, i); err != nil {
			_ = f.stop() // the error of the agent is returned
			return nil, err
		}
		time.Sleep(rampUp / time.Duration(workers))
	}
	return f, nil
}

// endpointAddress is the address of the fake endpoint. Agents' dialers map it to a
// pipeListener.
var endpointAddress = netip.MustParseAddrPort("127.0.0.1:1")

// startAgent starts the agent of worker i.
func (f *Fleet) startAgent(ctx context.Context, entry netip.AddrPort, endpoint *pipeListener, i int) error {
	traffic := new(Traffic)
	listener, addr, err := listenLoopback()
	if err != nil {
		return err
	}
	a, err := agent.New(agent.Options{
		Worker:       fmt.Sprintf("%s-r%03d-w%03d", fleetDataCentre, i/workersPerRack, i),
		Rack:         fmt.Sprintf("%s-r%03d", fleetDataCentre, i/workersPerRack),
		DataCentre:   fleetDataCentre,
		Service:      fleetService,
		Address:      addr,
		Entries:      []netip.AddrPort{entry},
		Endpoint:     endpointAddress,
		Accelerators: acceleratorsPerWorker,
		Slots:        slotsPerWorker,
		Connections:  64,
		ReportPeriod: time.Second,
		TaskLease:    3 * time.Second,
		PermitAge:    3 * time.Second,
		Timers:       gang.DefaultTimers(),
		Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
			if addr == endpointAddress.String() {
				return endpoint.dial(ctx)
			}
			conn, err := new(net.Dialer).DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return countedConn{conn, traffic}, nil
		},
	})
	if err != nil {
		_ = listener.Close() // the error of the agent is returned
		return Error.New("starting agent: %w", err)
	}
	f.traffic = append(f.traffic, traffic)
	f.group.Go(func() error { return a.Run(ctx, countedListener{listener, traffic}) })
	return nil
}

// stop stops all agents and the endpoint, and returns the first error of any of them.
func (f *Fleet) stop() error {
	f.cancel()
	_ = f.endpointServer.Close() // ends the requests of running tasks, which never finish
	return f.group.Wait()
}

// trafficCounts returns the counts of each agent so far.
func (f *Fleet) trafficCounts() []TrafficCounts {
	list := make([]TrafficCounts, len(f.traffic))
	for i, t := range f.traffic {
		list[i] = t.Counts()
	}
	return list
}

// serveEndpoint is the handler of the fake endpoint. The request that starts a task
// lasts until the agent breaks the connection.
func serveEndpoint(w http.ResponseWriter, r *http.Request) {
	isTaskStart := r.Method == http.MethodPost && strings.Count(r.URL.Path, "/") == 2
	switch {
	case isTaskStart:
		// net/http detects a closed connection and cancels the context only after
		// the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	case r.Method == http.MethodGet:
		_, _ = w.Write([]byte("[]")) // a write error means that the agent has closed the connection
	}
}

// pipeListener is a listener whose connections are in-memory pipes.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// dial waits until the listener accepts a connection and returns the other end.
func (l *pipeListener) dial(ctx context.Context) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept waits for the next call of dial. It returns net.ErrClosed after Close.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close makes all calls of Accept and dial fail. It may be called only once, as
// http.Server does.
func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

// Addr returns the address of the fake endpoint.
func (l *pipeListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(endpointAddress) }
