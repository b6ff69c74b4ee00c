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

// Fleet is many agents in this process. Their endpoints are one stand-in that
// is reached without sockets, accepts every task and never ends one.
type Fleet struct {
	group   *errgroup.Group
	cancel  context.CancelFunc
	traffic []*Traffic // of each agent with other processes
	web     *http.Server
}

// newFleet starts agents that report to the entry at the given address.
func newFleet(entry netip.AddrPort, workers int, spread time.Duration) (*Fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	f := &Fleet{group: group, cancel: cancel, web: &http.Server{Handler: http.HandlerFunc(serveEndpoint)}}
	endpoint := newPipeListener()
	group.Go(func() error {
		if err := f.web.Serve(endpoint); err != http.ErrServerClosed {
			return Error.New("serving endpoints: %w", err)
		}
		return nil
	})
	for i := range workers {
		if err := f.startAgent(ctx, entry, endpoint, i); err != nil {
			_ = f.stop() // the first error counts
			return nil, err
		}
		time.Sleep(spread / time.Duration(workers))
	}
	return f, nil
}

// pipeAddress stands for the endpoint of every agent.
var pipeAddress = netip.MustParseAddrPort("127.0.0.1:1")

func (f *Fleet) startAgent(ctx context.Context, entry netip.AddrPort, endpoint *pipeListener, i int) error {
	traffic := new(Traffic)
	listener, addr, err := listenLoopback()
	if err != nil {
		return err
	}
	a, err := agent.New(agent.Options{
		Worker:       fmt.Sprintf("%s-r%03d-w%03d", fleetDataCentre, i/sampleRack, i),
		Rack:         fmt.Sprintf("%s-r%03d", fleetDataCentre, i/sampleRack),
		DataCentre:   fleetDataCentre,
		Service:      fleetService,
		Address:      addr,
		Entries:      []netip.AddrPort{entry},
		Endpoint:     pipeAddress,
		Accelerators: sampleAccelerators,
		Slots:        sampleSlots,
		Connections:  64,
		ReportPeriod: time.Second,
		TaskLease:    3 * time.Second,
		PermitAge:    3 * time.Second,
		Timers:       gang.DefaultTimers(),
		Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
			if addr == pipeAddress.String() {
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
		_ = listener.Close() // the first error counts
		return Error.New("starting agent: %w", err)
	}
	f.traffic = append(f.traffic, traffic)
	f.group.Go(func() error { return a.Run(ctx, countedListener{listener, traffic}) })
	return nil
}

func (f *Fleet) stop() error {
	f.cancel()
	_ = f.web.Close() // tasks do not end by themselves
	return f.group.Wait()
}

// counts are the counts of each agent.
func (f *Fleet) counts() []TrafficCount {
	list := make([]TrafficCount, len(f.traffic))
	for i, t := range f.traffic {
		list[i] = t.Count()
	}
	return list
}

// serveEndpoint accepts every task and lets it run until the agent ends it.
func serveEndpoint(w http.ResponseWriter, r *http.Request) {
	started := r.Method == http.MethodPost && strings.Count(r.URL.Path, "/") == 2
	switch {
	case started:
		// The context notices the end of the connection only once the body was read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	case r.Method == http.MethodGet:
		_, _ = w.Write([]byte("[]")) // an agent that has gone needs no answer
	}
}

// pipeListener is a listener of connections in memory.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

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

// Accept waits for a connection.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close refuses new connections; http.Server calls it once.
func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

// Addr returns the address that stands for all endpoints.
func (l *pipeListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(pipeAddress) }
