package verbs

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"catkinpoint/clock"
	"catkinpoint/conf"
	"catkinpoint/duty"
	"catkinpoint/flow"
	"catkinpoint/gate"
	"catkinpoint/intake"
	"catkinpoint/link"
	"catkinpoint/logs"
	"catkinpoint/platform"
	"catkinpoint/wire"
)

// Gate is the verb gate: it runs a gate, which accepts jobs that consist of steps,
// on the users' platform.
type Gate struct {
	Settings string `arg:"" help:"Settings file with the sections node, gate and platform."`
}

const (
	// goMemoryShare is the part of the process's memory limit above which the Go
	// runtime collects garbage eagerly; the rest is for stacks, buffers and the C
	// library.
	goMemoryShare = 0.6
	bytesPerMB    = 1 << 20
	// milliPerProcessor converts processors to thousandths of a processor.
	milliPerProcessor = 1000
	// A stopping gate asks callers to reconnect and still accepts connections for
	// acceptShare of the drain time. It then waits for requests in progress until
	// shutdownShare of the drain time has passed.
	acceptShare   = 0.45
	shutdownShare = 0.8
	// readHeaderTimeout and idleTimeout limit how long slow and idle callers keep a
	// connection open.
	readHeaderTimeout = 3 * time.Second
	idleTimeout       = 15 * time.Second
	// readyBudgetMB and readyConnections limit what readiness checks make a gate hold. A
	// few balancers check at a time.
	readyBudgetMB    = 8
	readyConnections = 64
)

// Run serves until ctx ends, and then until callers have moved to other gates or
// the drain time is over.
func (v *Gate) Run(ctx context.Context) error {
	settings, err := conf.Load(v.Settings, "node", "gate", "platform")
	if err != nil {
		return fmt.Errorf("loading settings: %w", err)
	}
	flush, err := logs.Start(os.Stdout)
	if err != nil {
		return err
	}
	defer flush()
	limitMemory(settings.Platform)
	g := gate.New(gateOptions(settings))
	server, err := link.NewServer()
	if err != nil {
		return err
	}
	if err := server.Register(gate.RPCName, g.RPCHandlers()); err != nil {
		return err
	}
	admission := intake.New(callerResources(settings))
	listeners, err := listenAll(ctx, netListen, settings.Node.GetRpcAddress())
	if err != nil {
		return err
	}
	// Readiness checks have a budget of their own, so that a crowd of callers does not make
	// the balancer take the gate out.
	checks := intake.New(intake.Resources{Name: "ready", BudgetMB: readyBudgetMB, Connections: readyConnections})
	for _, client := range []struct {
		admission *intake.Intake
		address   string
	}{{admission, settings.Gate.GetJobAddress()}, {checks, settings.Gate.GetReadyAddress()}} {
		opened, err := listenAll(ctx, client.admission.Listen, client.address)
		if err != nil {
			return err
		}
		listeners = append(listeners, opened...)
	}
	klog.InfoS("gate: started", "id", settings.Node.GetId(), "data_centre", settings.Node.GetDataCentre())
	serverOptions := intake.ServerOptions{Headers: platform.CallerHeaders, HeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	callers := admission.Server(platform.CallerHandler(g), serverOptions)
	ready := checks.Server(platform.ReadinessHandler(g), serverOptions)
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serveCtx := errgroup.WithContext(serveCtx)
	group.Go(func() error { return g.Run(serveCtx) })
	limit := func(reloaded *conf.Settings) {
		limitMemory(reloaded.Platform)
		resources := callerResources(settings)
		resources.MemoryMB = reloaded.Platform.GetMemoryMb()
		admission.Resize(resources)
	}
	group.Go(func() error { return reloadOnHangup(serveCtx, v.Settings, settings, "gate", limit) })
	group.Go(func() error { return server.Serve(listeners[0]) })
	group.Go(func() error { return serveHTTP(callers, listeners[1]) })
	group.Go(func() error { return serveHTTP(ready, listeners[2]) })
	group.Go(func() error { return serveProcessMetrics(serveCtx, settings, "gate") })
	group.Go(func() error {
		defer stop()
		defer func() { _ = listeners[0].Close() }() // makes server.Serve return
		defer server.Close()
		select {
		case <-ctx.Done():
		case <-serveCtx.Done():
			return nil
		}
		return shutDownGate(serveCtx, g, callers, ready, conf.Duration(settings.Gate.GetDrainTime()))
	})
	err = group.Wait()
	klog.InfoS("gate: stopped", "err", err)
	return err
}

// shutDownGate makes the gate report that it is not ready, asks callers to
// reconnect, so that they move to other gates, and then stops the HTTP servers.
// It fails if requests are still in progress at the end.
func shutDownGate(ctx context.Context, g *gate.Gate, callers, ready *http.Server, drain time.Duration) error {
	klog.InfoS("gate: leaving", "drain_ms", drain.Milliseconds())
	start := clock.Monotonic()
	g.Leave()
	callers.SetKeepAlivesEnabled(false)
	clock.Sleep(ctx, time.Duration(acceptShare*float64(drain)))
	ctx, cancel := context.WithTimeout(ctx, time.Duration(shutdownShare*float64(drain))-(clock.Monotonic()-start))
	defer cancel()
	// Closing fails only if a listener is closed already. The readiness check has failed
	// since g.Leave.
	defer func() { _ = ready.Close() }()
	if err := callers.Shutdown(ctx); err != nil {
		_ = callers.Close()
		return fmt.Errorf("shutting down the server for callers: %w", err)
	}
	return nil
}

// gateOptions converts settings, which must be valid, to options.
func gateOptions(settings *conf.Settings) gate.Options {
	s := settings.Gate
	return gate.Options{
		Name:         settings.Node.GetId(),
		Address:      conf.Address(settings.Node.GetRpcAddress()),
		Processor:    int64(milliPerProcessor * settings.Platform.GetProcessorShare() * settings.Platform.GetProcessorSpeed()),
		RequestYield: requestYield,
		AskAdmission: (&gate.HolderLink{}).AskAdmission,
		Peers:        peers{},
		KV:           platform.NewStore(conf.Address(settings.Platform.GetStoreAddress())),
		OperatorKeys: platform.OperatorKeys(),
		ClaimTTL:     conf.Duration(s.GetClaimTtl()),
		Settings: duty.Settings{
			TaskLease: conf.Duration(s.GetTaskLease()), ConfigAge: conf.Duration(s.GetConfigAge()),
			StartAge: conf.Duration(s.GetStartAge()), Retention: conf.Duration(s.GetRetention()),
			MemoryBytes:  settings.Platform.GetMemoryMb() * bytesPerMB,
			RemoteFactor: s.GetRemoteFactor(), UnevenWorkers: s.GetUnevenWorkers(), LearnRunTimes: s.GetLearnRunTimes(),
			OrderByCost: s.GetOrderByCost(), RefuseLate: s.GetRefuseLate(), SaveLeavingWork: s.GetSaveLeavingWork(),
		},
	}
}

// requestYield asks the gate that holds the claim to give it up.
func requestYield(ctx context.Context, holder netip.AddrPort, request *flow.YieldRequest) error {
	conn, err := link.Dial(ctx, nil, holder)
	if err != nil {
		return fmt.Errorf("dialing the holder of the claim: %w", err)
	}
	defer conn.Close()
	if err := conn.Call(ctx, gate.RPCName+".Yield", request, &flow.YieldResponse{}); err != nil {
		return fmt.Errorf("asking the holder to give up the claim: %w", err)
	}
	return nil
}

// peers calls other gates, each time over a new link, as calls are rare.
type peers struct{}

// CheckStore implements gate.Peers.
func (peers) CheckStore(ctx context.Context, addr netip.AddrPort) (bool, error) {
	conn, err := link.Dial(ctx, nil, addr)
	if err != nil {
		return false, fmt.Errorf("dialing another gate: %w", err)
	}
	defer conn.Close()
	answer := &flow.StoreCheckAnswer{}
	if err := conn.Call(ctx, gate.RPCName+".CheckStore", &flow.StoreCheck{}, answer); err != nil {
		return false, fmt.Errorf("asking another gate for the store: %w", err)
	}
	return answer.GetReached(), nil
}

// Forward implements gate.Peers.
func (peers) Forward(ctx context.Context, addr netip.AddrPort, call *flow.ForwardedCall) (*flow.ForwardedAnswer, error) {
	conn, err := link.Dial(ctx, nil, addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", gate.ErrNotSent, err)
	}
	defer conn.Close()
	answer := &flow.ForwardedAnswer{}
	if err := conn.Call(ctx, gate.RPCName+".Forward", call, answer); err != nil {
		return nil, fmt.Errorf("forwarding a call: %w", err)
	}
	return answer, nil
}

// reloadOnHangup reads the settings again on each SIGHUP until ctx ends, and calls limit
// with them, which applies a new memory limit at once. All other settings apply from the
// next start. If the file has faults, they are logged and nothing changes.
func reloadOnHangup(ctx context.Context, path string, settings *conf.Settings, role string, limit func(*conf.Settings)) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hangups:
		}
		reloaded, err := conf.Load(path, "node", role, "platform")
		if err != nil {
			klog.ErrorS(err, "settings not reloaded", "path", path)
			continue
		}
		limit(reloaded)
		klog.InfoS("settings reloaded", "path", path, "memory_mb", reloaded.Platform.GetMemoryMb(),
			"needs_restart", !proto.Equal(reloaded.Node, settings.Node) || !proto.Equal(reloaded.Gate, settings.Gate) || !proto.Equal(reloaded.Relay, settings.Relay))
	}
}

// limitMemory sets the memory limit of the Go runtime from that of the process.
// Without a limit of the process it does nothing.
func limitMemory(p *wire.Platform) {
	if mb := p.GetMemoryMb(); mb > 0 {
		debug.SetMemoryLimit(int64(goMemoryShare * float64(mb) * bytesPerMB))
	}
}

// callerResources returns what the process may use for its callers.
func callerResources(settings *conf.Settings) intake.Resources {
	return intake.Resources{
		Name:        "callers",
		MemoryMB:    settings.Platform.GetMemoryMb(),
		BudgetMB:    settings.Gate.GetCallerMemoryMb(),
		Connections: settings.Gate.GetCallerConnections(),
		Descriptors: intake.Descriptors(),
		Stall:       conf.Duration(settings.Gate.GetCallerStall()),
	}
}

// netListen opens a TCP listener.
func netListen(ctx context.Context, address string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(ctx, "tcp", address)
}

// listenAll opens a listener at each address. If one fails, it closes the others.
func listenAll(ctx context.Context, listen func(context.Context, string) (net.Listener, error), addresses ...string) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, address := range addresses {
		listener, err := listen(ctx, address)
		if err != nil {
			for _, open := range listeners {
				_ = open.Close() // the listener was never used
			}
			return nil, fmt.Errorf("listening on %s: %w", address, err)
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

// serveHTTP serves until the server is closed.
func serveHTTP(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serving %s: %w", listener.Addr(), err)
	}
	return nil
}

// metricsAddress returns the address of the metrics page, and false if no port is
// set for it.
func metricsAddress(settings *conf.Settings) (netip.AddrPort, bool) {
	port := settings.Platform.GetMetricsPort()
	if port == 0 {
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(conf.Address(settings.Node.GetRpcAddress()).Addr(), uint16(port)), true
}
