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

// System is a whole system that runs in this process.
type System struct {
	Store     *fakekv.Server
	Entries   []netip.AddrPort // HTTP addresses of the entries
	Endpoints []*fakeep.Endpoint

	net       func(process string) Network
	group     *errgroup.Group
	cancel    context.CancelFunc
	ctx       context.Context // cancelled by Stop
	mu        sync.Mutex
	processes map[string]*Process // the last started process of each name
}

// Options holds the size, the configuration and the network of a system.
type Options struct {
	Entries int
	// Workers is the number of workers in each data centre.
	Workers int
	// Declarations is the INI text that is published before any process starts.
	Declarations []byte
	// PermitPolicy is the permit policy of the entries; empty means strict.
	PermitPolicy entry.PermitPolicy
	// Net returns the network by which the named process reaches the others. It is
	// called for each start of the process. If it is nil, processes use loopback TCP.
	Net func(process string) Network
}

// Network opens the listeners and connections of a process.
type Network interface {
	Listen() (net.Listener, netip.AddrPort, error)
	Dial(ctx context.Context, network, addr string) (net.Conn, error)
}

// loopback is a Network of TCP sockets on the loopback interface.
type loopback struct{}

// Listen opens a listener on a free loopback port and returns its address.
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

// Sizes of each rack, each worker and its endpoint.
const (
	workersPerRack         = 3
	acceleratorsPerWorker  = 8
	slotsPerEndpoint       = 8
	connectionsPerEndpoint = 64
)

// Start publishes the declarations and starts all processes. It does not wait until
// the schedulers are ready; entries refuse jobs until then.
func Start(ctx context.Context, opts Options) (*System, error) {
	source, err := decl.Parse("local.ini", opts.Declarations)
	if err != nil {
		return nil, fmt.Errorf("reading declarations: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	if opts.Net == nil {
		opts.Net = func(string) Network { return loopback{} }
	}
	s := &System{
		Store:     fakekv.New(),
		net:       opts.Net,
		group:     group,
		cancel:    cancel,
		ctx:       ctx,
		processes: make(map[string]*Process),
	}
	set := source.Set(0)
	if err := s.publish(ctx, set); err != nil {
		cancel()
		return nil, err
	}
	if err := s.startAll(ctx, opts, set); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

// publish publishes the declarations in the store, as version 1.
func (s *System) publish(ctx context.Context, set *decl.Set) error {
	publisher := head.NewPublisher(head.NewFollower(s.Store), head.Options{})
	change := &wire.Change{
		Id:         "first",
		Author:     "local",
		Reason:     "first declarations",
		Operations: decl.Diff(&decl.Set{}, listObjects(set), false),
	}
	if _, err := publisher.Publish(ctx, change, false); err != nil {
		return fmt.Errorf("publishing declarations: %w", err)
	}
	return nil
}

// listObjects returns all objects of a set.
func listObjects(set *decl.Set) []*wire.Object {
	var objects []*wire.Object
	for o := range set.Objects() {
		objects = append(objects, o)
	}
	return objects
}

// startAll starts the entries, spread over the data centres, and the workers of each
// data centre.
func (s *System) startAll(ctx context.Context, opts Options, set *decl.Set) error {
	dataCentres := set.Names("data_centre")
	if len(dataCentres) == 0 {
		return Error.New("no data centre is declared")
	}
	var entryAddresses []netip.AddrPort
	for i := range opts.Entries {
		name := dataCentres[i%len(dataCentres)]
		dc, _ := decl.Lookup[*wire.DataCentre](set, name)
		node := &wire.Node{Id: fmt.Sprintf("entry-%d", i), DataCentre: name, Region: dc.GetRegion()}
		addr, err := s.startEntry(ctx, node, opts.PermitPolicy)
		if err != nil {
			return err
		}
		entryAddresses = append(entryAddresses, addr)
	}
	for _, name := range dataCentres {
		for i := range opts.Workers {
			if err := s.startWorker(ctx, set, name, i, entryAddresses); err != nil {
				return err
			}
		}
	}
	return nil
}

// startEntry starts an entry and returns its RPC address.
func (s *System) startEntry(ctx context.Context, node *wire.Node, policy entry.PermitPolicy) (netip.AddrPort, error) {
	network := s.net(node.GetId())
	rpcListener, rpcAddress, err := network.Listen()
	if err != nil {
		return netip.AddrPort{}, err
	}
	httpListener, httpAddress, err := network.Listen()
	if err != nil {
		return netip.AddrPort{}, err
	}
	node.RpcAddress, node.HttpAddress = rpcAddress.String(), httpAddress.String()
	settings := new(wire.Entry)
	conf.SetDefaults(settings)
	settings.StoreAddress = httpAddress.String() // not used: the store is in this process
	opts := entry.FromSettings(node, settings)
	opts.ShutdownDelay = 0 // no load balancer has to notice the failing health check
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
	s.Entries = append(s.Entries, httpAddress)
	p := &Process{Name: node.GetId(), Entry: e}
	s.startProcess(ctx, p, func(ctx context.Context) error {
		return e.Run(ctx, entry.Listeners{RPC: rpcListener, HTTP: httpListener})
	})
	return rpcAddress, nil
}

// startWorker starts the endpoint and the agent of a worker of the data centre dc.
func (s *System) startWorker(ctx context.Context, set *decl.Set, dc string, number int, entries []netip.AddrPort) error {
	worker := fmt.Sprintf("%s-%02d", dc, number)
	listener, addr, err := s.net(EndpointProcessName(worker)).Listen()
	if err != nil {
		return err
	}
	endpoint := fakeep.New(fakeep.Options{Slots: slotsPerEndpoint, Connections: connectionsPerEndpoint, Accelerators: acceleratorsPerWorker})
	s.Endpoints = append(s.Endpoints, endpoint)
	p := &Process{Name: EndpointProcessName(worker), Endpoint: endpoint}
	s.startProcess(ctx, p, func(ctx context.Context) error { return endpoint.Serve(ctx, listener) })
	return s.startAgent(ctx, agent.Options{
		Worker:       worker,
		Rack:         fmt.Sprintf("%s-rack-%d", dc, number/workersPerRack),
		DataCentre:   dc,
		Service:      firstService(set, dc),
		Entries:      entries,
		Endpoint:     addr,
		Accelerators: acceleratorsPerWorker,
		Slots:        slotsPerEndpoint,
		Connections:  connectionsPerEndpoint,
		ReportPeriod: time.Second,
		TaskLease:    3 * time.Second,
		PermitAge:    3 * time.Second,
		Timers:       gang.DefaultTimers(),
	})
}

// firstService returns the name of a service that the data centre runs, or "" if
// there is none.
func firstService(set *decl.Set, dc string) string {
	for name, service := range decl.All[*wire.Service](set) {
		if len(service.GetDataCentres()) == 0 {
			return name
		}
		for _, allowed := range service.GetDataCentres() {
			if allowed == dc {
				return name
			}
		}
	}
	return ""
}

// Stop ends all processes, waits for them, and returns the first error of any.
func (s *System) Stop() error {
	s.cancel()
	if err := s.group.Wait(); err != nil {
		return fmt.Errorf("stopping: %w", err)
	}
	return nil
}
