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

// Relay is the verb relay: it serves the worker beside it on the users' platform.
type Relay struct {
	Settings string `arg:"" help:"Settings file with the sections node, relay and platform."`
}

const (
	// findTime bounds one question for the scheduler's address.
	findTime = 800 * time.Millisecond
	// dialTime bounds the opening of a link to the scheduler. The address of one
	// that has lost power stands in the store until its claim ends; a relay that
	// waits there for longer misses the next one.
	dialTime = 400 * time.Millisecond
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
	f := &finder{kv: platform.NewStore(conf.Address(settings.Platform.GetStoreAddress()))}
	r := relay.New(relay.Options{
		Name:          settings.Relay.GetHeartbeatAddress(),
		Worker:        platform.NewWorker(conf.Address(settings.Relay.GetWorkerAddress())),
		FindScheduler: f.find,
		SendReport:    f.attend,
	})
	f.gates = r.GateAddresses
	listeners, err := listen(settings.Relay.GetHeartbeatAddress())
	if err != nil {
		return err
	}
	klog.InfoS("relay: started", "id", settings.Node.GetId(), "data_centre", settings.Node.GetDataCentre())
	beats := &http.Server{Handler: platform.HeartbeatHandler(r), ReadHeaderTimeout: headerTime, IdleTimeout: idleTime}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.Run(ctx) })
	group.Go(func() error { return serveHTTP(beats, listeners[0]) })
	group.Go(func() error { return serveMetricsOf(ctx, settings, "relay") })
	group.Go(func() error { return reload(ctx, v.Settings, settings, "relay") })
	group.Go(func() error {
		<-ctx.Done()
		return beats.Close()
	})
	err = group.Wait()
	klog.InfoS("relay: stopped", "err", err)
	return err
}

// finder finds the scheduler and keeps one link to it.
type finder struct {
	kv    store.TxnKV
	gates func() []netip.AddrPort
	// dial opens connections; nil means TCP.
	dial link.Dialer
	mu   sync.Mutex
	conn *link.Conn
	addr netip.AddrPort
}

// find reads who holds the duty, from the store or else from a known gate.
func (f *finder) find(ctx context.Context) (netip.AddrPort, error) {
	call, cancel := context.WithTimeout(ctx, findTime)
	defer cancel()
	claim, err := duty.ReadClaim(call, f.kv)
	if err == nil {
		return parseAddress(claim)
	}
	if errors.Is(err, store.ErrNotFound) {
		return netip.AddrPort{}, fmt.Errorf("nobody holds the duty: %w", err)
	}
	if claim := f.askAll(ctx); claim.GetAddress() != "" {
		return parseAddress(claim)
	}
	return netip.AddrPort{}, err
}

// askAll asks all known gates at once and returns the latest claim that one of
// them knows: others may have lost the store before it was made.
func (f *finder) askAll(ctx context.Context) *flow.Claim {
	gates := f.gates()
	claims := make(chan *flow.Claim, len(gates))
	for _, addr := range gates {
		go func() {
			claim, err := f.ask(ctx, addr)
			if err != nil {
				klog.InfoS("relay: gate does not tell the scheduler", "gate", addr, "err", err)
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

func parseAddress(claim *flow.Claim) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(claim.GetAddress())
	if err != nil {
		return addr, fmt.Errorf("address of the scheduler: %w", err)
	}
	return addr, nil
}

func (f *finder) ask(ctx context.Context, addr netip.AddrPort) (*flow.Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, findTime)
	defer cancel()
	conn, err := link.Dial(ctx, nil, addr)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	response := &flow.FindResponse{}
	if err := conn.Call(ctx, gate.RPCName+".Find", &flow.FindRequest{}, response); err != nil {
		return nil, fmt.Errorf("asking %s for the scheduler: %w", addr, err)
	}
	return response.GetClaim(), nil
}

// attend sends a report over the link to the scheduler.
func (f *finder) attend(ctx context.Context, addr netip.AddrPort, report *flow.Report) (*flow.Orders, error) {
	conn, err := f.linkTo(ctx, addr)
	if err != nil {
		return nil, err
	}
	orders := &flow.Orders{}
	if err := conn.Call(ctx, gate.RPCName+".Attend", proto.Clone(report), orders); err != nil {
		f.drop(conn)
		return nil, fmt.Errorf("reporting to %s: %w", addr, err)
	}
	return orders, nil
}

func (f *finder) linkTo(ctx context.Context, addr netip.AddrPort) (*link.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn != nil && f.addr == addr {
		select {
		case <-f.conn.Done():
		default:
			return f.conn, nil
		}
	}
	if f.conn != nil {
		f.conn.Close()
		f.conn = nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTime)
	defer cancel()
	conn, err := link.Dial(ctx, f.dial, addr)
	if err != nil {
		return nil, err
	}
	f.conn, f.addr = conn, addr
	return conn, nil
}

// drop closes a link that failed, so that the next report dials a new one.
func (f *finder) drop(conn *link.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	conn.Close()
	if f.conn == conn {
		f.conn = nil
	}
}

// serveMetricsOf serves the metrics page of a process, if it has an address.
func serveMetricsOf(ctx context.Context, settings *conf.Settings, role string) error {
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
	server := &http.Server{Addr: addr.String(), Handler: mux, ReadHeaderTimeout: headerTime}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // a scrape may be cut
	defer stop()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serving metrics: %w", err)
	}
	return nil
}
