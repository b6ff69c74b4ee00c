package verbs

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"go.opentelemetry.io/otel"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"catkinpoint/conf"
	"catkinpoint/duty"
	"catkinpoint/flow"
	"catkinpoint/gate"
	"catkinpoint/link"
	"catkinpoint/logs"
	"catkinpoint/meter"
	"catkinpoint/platform"
	"catkinpoint/relay"
	"catkinpoint/store"
)

// Relay is the verb relay: it runs the relay beside a worker on the users' platform.
type Relay struct {
	Settings string `arg:"" help:"Settings file with the sections node, relay and platform."`
}

const (
	// findTimeout limits one query, of the store or a gate, for the scheduler's address.
	findTimeout = 800 * time.Millisecond
	// dialTimeout limits the dialing of the scheduler. When the scheduler's machine
	// loses power, its address stays in the store until the claim expires. A relay
	// that dials this address for longer is late to find the next scheduler.
	dialTimeout = 400 * time.Millisecond
)

// Run serves until ctx ends.
func (v *Relay) Run(ctx context.Context) error {
	settings, err := conf.Load(v.Settings, "node", "relay", "platform")
	if err != nil {
		return fmt.Errorf("loading settings: %w", err)
	}
	flush, err := logs.Start(os.Stdout)
	if err != nil {
		return err
	}
	defer flush()
	limitMemory(settings.Platform)
	client := &schedulerClient{kv: platform.NewStore(conf.Address(settings.Platform.GetStoreAddress()))}
	r := relay.New(relay.Options{
		Name:          settings.Relay.GetHeartbeatAddress(),
		Worker:        platform.NewWorker(conf.Address(settings.Relay.GetWorkerAddress())),
		FindScheduler: client.findScheduler,
		SendReport:    client.sendReport,
	})
	client.gateAddresses = r.GateAddresses
	listeners, err := listenAll(ctx, netListen, settings.Relay.GetHeartbeatAddress())
	if err != nil {
		return err
	}
	klog.InfoS("relay: started", "id", settings.Node.GetId(), "data_centre", settings.Node.GetDataCentre())
	heartbeats := &http.Server{Handler: platform.HeartbeatHandler(r), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.Run(ctx) })
	group.Go(func() error { return serveHTTP(heartbeats, listeners[0]) })
	group.Go(func() error { return serveProcessMetrics(ctx, settings, "relay") })
	group.Go(func() error {
		return reloadOnHangup(ctx, v.Settings, settings, "relay", func(reloaded *conf.Settings) { limitMemory(reloaded.Platform) })
	})
	group.Go(func() error {
		<-ctx.Done()
		return heartbeats.Close()
	})
	err = group.Wait()
	klog.InfoS("relay: stopped", "err", err)
	return err
}

// schedulerClient finds the scheduler and sends reports to it over one link, which
// it keeps open.
type schedulerClient struct {
	kv            store.TxnKV
	gateAddresses func() []netip.AddrPort // of all known gates
	// dial opens connections; nil means TCP.
	dial link.Dialer
	mu   sync.Mutex
	conn *link.Conn     // nil if there is no link
	addr netip.AddrPort // of the scheduler at the other end of conn
}

// findScheduler returns the address of the gate that runs the scheduler. It reads
// the claim from the store or, if the store is unreachable, asks all known gates.
func (c *schedulerClient) findScheduler(ctx context.Context) (netip.AddrPort, error) {
	storeCtx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	claim, err := duty.ReadClaim(storeCtx, c.kv)
	if err == nil {
		return claimAddress(claim)
	}
	if errors.Is(err, store.ErrNotFound) {
		return netip.AddrPort{}, fmt.Errorf("nobody holds the duty: %w", err)
	}
	if claim := c.queryAllGates(ctx); claim.GetAddress() != "" {
		return claimAddress(claim)
	}
	return netip.AddrPort{}, err
}

// queryAllGates asks all known gates at once and returns the claim with the highest
// epoch, because a gate that lost the store earlier may know only an older claim. It
// returns nil if no gate knows one.
func (c *schedulerClient) queryAllGates(ctx context.Context) *flow.Claim {
	gates := c.gateAddresses()
	claims := make(chan *flow.Claim, len(gates))
	for _, addr := range gates {
		go func() {
			claim, err := c.queryGate(ctx, addr)
			if err != nil {
				klog.InfoS("relay: could not query gate for the scheduler", "gate", addr, "err", err)
			}
			claims <- claim
		}()
	}
	var latest *flow.Claim
	for range gates {
		if claim := <-claims; claim.GetEpoch() > latest.GetEpoch() {
			latest = claim
		}
	}
	return latest
}

// claimAddress returns the address in a claim.
func claimAddress(claim *flow.Claim) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(claim.GetAddress())
	if err != nil {
		return addr, fmt.Errorf("parsing the scheduler's address in the claim: %w", err)
	}
	return addr, nil
}

// queryGate returns the claim that the gate at addr knows, or nil.
func (c *schedulerClient) queryGate(ctx context.Context, addr netip.AddrPort) (*flow.Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	conn, err := link.Dial(ctx, nil, addr)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	response := &flow.FindResponse{}
	if err := conn.Call(ctx, gate.RPCName+".Find", &flow.FindRequest{}, response); err != nil {
		return nil, fmt.Errorf("asking gate %s for the scheduler: %w", addr, err)
	}
	return response.GetClaim(), nil
}

// sendReport sends a report to the scheduler at addr and returns its orders. If the
// call fails, it closes the link.
func (c *schedulerClient) sendReport(ctx context.Context, addr netip.AddrPort, report *flow.Report) (*flow.Orders, error) {
	conn, err := c.connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	orders := &flow.Orders{}
	if err := conn.Call(ctx, gate.RPCName+".Attend", proto.Clone(report), orders); err != nil {
		c.closeConn(conn)
		return nil, fmt.Errorf("reporting to %s: %w", addr, err)
	}
	return orders, nil
}

// connect returns the open link to addr, or closes the present link and dials a new
// one.
func (c *schedulerClient) connect(ctx context.Context, addr netip.AddrPort) (*link.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil && c.addr == addr {
		select {
		case <-c.conn.Done():
		default:
			return c.conn, nil
		}
	}
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := link.Dial(ctx, c.dial, addr)
	if err != nil {
		return nil, err
	}
	c.conn, c.addr = conn, addr
	return conn, nil
}

// closeConn closes a link that failed, so that the next report dials a new one.
func (c *schedulerClient) closeConn(conn *link.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.Close()
	if c.conn == conn {
		c.conn = nil
	}
}

// serveProcessMetrics serves the metrics page of a gate or relay until ctx ends. It
// does nothing if the settings have no port for it.
func serveProcessMetrics(ctx context.Context, settings *conf.Settings, role string) error {
	addr, ok := metricsAddress(settings)
	if !ok {
		return nil
	}
	page, err := meter.New(role, settings.Node.GetId())
	if err != nil {
		return fmt.Errorf("starting metrics: %w", err)
	}
	otel.SetMeterProvider(page.Provider())
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", page.Handler())
	server := &http.Server{Addr: addr.String(), Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // scrapes in progress are aborted
	defer stop()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serving metrics: %w", err)
	}
	return nil
}
