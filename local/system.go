package local

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"catkinpoint/agent"
	"catkinpoint/conf"
	"catkinpoint/decl"
	"catkinpoint/entry"
	"catkinpoint/gang"
	"catkinpoint/head"
	"catkinpoint/meter"
	"catkinpoint/place"
	"catkinpoint/stand/fakeep"
	"catkinpoint/stand/fakekv"
	"catkinpoint/store"
	"catkinpoint/wire"
)

// Error is the class of all errors of this package.
var Error = errs.Class("local")

// System is a running system in this process.
type System struct {
	Store     *fakekv.Server
	Entries   []netip.AddrPort // HTTP addresses
	Endpoints []*fakeep.Endpoint

	net       func(process string) Network
	group     *errgroup.Group
	cancel    context.CancelFunc
	life      context.Context // ends with Stop
	mu        sync.Mutex
	processes map[string]*Process // the latest run of each
}

// Shape says how large a system is.
type Shape struct {
	Entries int
	// Workers is the number of workers in each data centre.
	Workers int
	// Declarations are the text of the INI file that is published first.
	Declarations []byte
	// PermitPolicy is strict if it is empty.
	PermitPolicy entry.PermitPolicy
	// Net returns what joins the named process to the others, anew for each of
	// its starts; nil means loopback TCP.
	Net func(process string) Network
}

// Network opens listeners and connections.
type Network interface {
	Listen() (net.Listener, netip.AddrPort, error)
	Dial(ctx context.Context, network, addr string) (net.Conn, error)
}

// loopback is the Network of real sockets.
type loopback struct{}

// Listen opens a loopback socket.
func (loopback) Listen() (net.Listener, netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, fmt.Errorf("listening: %w", err)
	}
	return listener, listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

// Dial opens a TCP connection.
func (loopback) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, network, addr)
}

const (
	workersPerRack = 3
	accelerators   = 8
	slots          = 8
	connections    = 64
)

// Start starts a system and returns once its schedulers are ready.
func Start(ctx context.Context, shape Shape) (*System, error) {
	source, err := decl.Parse("local.ini", shape.Declarations)
	if err != nil {
		return nil, fmt.Errorf("reading declarations: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	if shape.Net == nil {
		shape.Net = func(string) Network { return loopback{} }
	}
	s := &System{
		Store:     fakekv.New(),
		net:       shape.Net,
		group:     group,
		cancel:    cancel,
		life:      ctx,
		processes: make(map[string]*Process),
	}
	set := source.Set(0)
	if err := s.publish(ctx, set); err != nil {
		cancel()
		return nil, err
	}
	if err := s.startAll(ctx, shape, set); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

// publish puts the declarations into the store.
func (s *System) publish(ctx context.Context, set *decl.Set) error {
	publisher := head.NewPublisher(head.NewFollower(s.Store), head.Options{})
	change := &wire.Change{
		Id:         "first",
		Author:     "local",
		Reason:     "first declarations",
		Operations: decl.Diff(&decl.Set{}, collect(set), false),
	}
	if _, err := publisher.Publish(ctx, change, false); err != nil {
		return fmt.Errorf("publishing declarations: %w", err)
	}
	return nil
}

func collect(set *decl.Set) []*wire.Object {
	var objects []*wire.Object
	for o := range set.Objects() {
		objects = append(objects, o)
	}
	return objects
}

func (s *System) startAll(ctx context.Context, shape Shape, set *decl.Set) error {
	names := set.Names("data_centre")
	if len(names) == 0 {
		return Error.New("no data centre is declared")
	}
	var rpc []netip.AddrPort
	for i := range shape.Entries {
		name := names[i%len(names)]
		dc, _ := decl.Lookup[*wire.DataCentre](set, name)
		node := &wire.Node{Id: fmt.Sprintf("entry-%d", i), DataCentre: name, Region: dc.GetRegion()}
		addr, err := s.startEntry(ctx, node, shape.PermitPolicy)
		if err != nil {
			return err
		}
		rpc = append(rpc, addr)
	}
	for _, name := range names {
		for i := range shape.Workers {
			if err := s.startWorker(ctx, set, name, i, rpc); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *System) startEntry(ctx context.Context, node *wire.Node, policy entry.PermitPolicy) (netip.AddrPort, error) {
	network := s.net(node.GetId())
	rpc, rpcAddr, err := network.Listen()
	if err != nil {
		return netip.AddrPort{}, err
	}
	web, webAddr, err := network.Listen()
	if err != nil {
		return netip.AddrPort{}, err
	}
	node.RpcAddress, node.HttpAddress = rpcAddr.String(), webAddr.String()
	settings := new(wire.Entry)
	conf.SetDefaults(settings)
	settings.StoreAddress = webAddr.String() // not used: the store is in this process
	opts := entry.FromSettings(node, settings)
	opts.ShutdownDelay = 0 // nothing here stands behind a balancer
	if policy != "" {
		opts.PermitPolicy = policy
	}
	opts.Store = store.KV(s.Store.WithCaller(node.GetId()))
	opts.Dial = network.Dial
	opts.NewPolicy = func() place.Policy { return place.New(place.Options{}) }
	page, err := meter.New("entry", node.GetId())
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("starting entry: %w", err)
	}
	e, err := entry.New(opts, page)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("starting entry: %w", err)
	}
	s.Entries = append(s.Entries, webAddr)
	p := &Process{Name: node.GetId(), Entry: e}
	s.run(ctx, p, func(ctx context.Context) error { return e.Run(ctx, entry.Listeners{RPC: rpc, HTTP: web}) })
	return rpcAddr, nil
}

func (s *System) startWorker(ctx context.Context, set *decl.Set, dc string, number int, entries []netip.AddrPort) error {
	worker := fmt.Sprintf("%s-%02d", dc, number)
	listener, addr, err := s.net(EndpointOf(worker)).Listen()
	if err != nil {
		return err
	}
	endpoint := fakeep.New(fakeep.Options{Slots: slots, Connections: connections, Accelerators: accelerators})
	s.Endpoints = append(s.Endpoints, endpoint)
	p := &Process{Name: EndpointOf(worker), Endpoint: endpoint}
	s.run(ctx, p, func(ctx context.Context) error { return endpoint.Serve(ctx, listener) })
	return s.startAgent(ctx, agent.Options{
		Worker:       worker,
		Rack:         fmt.Sprintf("%s-rack-%d", dc, number/workersPerRack),
		DataCentre:   dc,
		Service:      firstService(set, dc),
		Entries:      entries,
		Endpoint:     addr,
		Accelerators: accelerators,
		Slots:        slots,
		Connections:  connections,
		ReportPeriod: time.Second,
		TaskLease:    3 * time.Second,
		PermitAge:    3 * time.Second,
		Timers:       gang.DefaultTimers(),
	})
}

// firstService names a service that the data centre runs.
func firstService(set *decl.Set, dc string) string {
	for name, service := range decl.All[*wire.Service](set) {
		if len(service.GetDataCentres()) == 0 {
			return name
		}
		for _, offered := range service.GetDataCentres() {
			if offered == dc {
				return name
			}
		}
	}
	return ""
}

// Stop ends all parts and returns the first error of one of them.
func (s *System) Stop() error {
	s.cancel()
	if err := s.group.Wait(); err != nil {
		return fmt.Errorf("stopping: %w", err)
	}
	return nil
}
