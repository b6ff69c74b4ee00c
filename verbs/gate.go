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
	"catkinpoint/link"
	"catkinpoint/logs"
	"catkinpoint/platform"
	"catkinpoint/wire"
)

// Gate is the verb gate: it takes jobs of steps on the users' platform.
type Gate struct {
	Settings string `arg:"" help:"Settings file with the sections node, gate and platform."`
}

const (
	// memoryShare is the part of the memory limit at which the runtime collects
	// garbage eagerly; the rest is for stacks, buffers and the C library.
	memoryShare = 0.6
	bytesPerMB  = 1 << 20
	// milli is the number of thousandths in a processor.
	milli = 1000
	// serveShare and closeShare are the parts of the drain time after which a
	// leaving gate asks callers to reconnect elsewhere and closes.
	serveShare = 0.45
	closeShare = 0.8
	// headerTime and idleTime bound slow and silent callers.
	headerTime = 3 * time.Second
	idleTime   = 15 * time.Second
)

// Run serves until ctx ends, and then until callers have moved.
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
	listeners, err := listen(settings.Node.GetRpcAddress(), settings.Gate.GetJobAddress(), settings.Gate.GetReadyAddress())
	if err != nil {
		return err
	}
	klog.InfoS("gate: started", "id", settings.Node.GetId(), "data_centre", settings.Node.GetDataCentre())
	callers := &http.Server{Handler: platform.CallerHandler(g), ReadHeaderTimeout: headerTime, IdleTimeout: idleTime}
	ready := &http.Server{Handler: platform.ReadinessHandler(g), ReadHeaderTimeout: headerTime, IdleTimeout: idleTime}
	life, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, life := errgroup.WithContext(life)
	group.Go(func() error { return g.Run(life) })
	group.Go(func() error { return reload(life, v.Settings, settings, "gate") })
	group.Go(func() error { return server.Serve(listeners[0]) })
	group.Go(func() error { return serveHTTP(callers, listeners[1]) })
	group.Go(func() error { return serveHTTP(ready, listeners[2]) })
	group.Go(func() error { return serveMetricsOf(life, settings, "gate") })
	group.Go(func() error {
		defer stop()
		defer func() { _ = listeners[0].Close() }() // ends Serve
		defer server.Close()
		select {
		case <-ctx.Done():
		case <-life.Done():
			return nil
		}
		return leaveGate(life, g, callers, ready, conf.Duration(settings.Gate.GetDrainTime()))
	})
	err = group.Wait()
	klog.InfoS("gate: stopped", "err", err)
	return err
}

// leaveGate lets callers move to other gates before it closes.
func leaveGate(ctx context.Context, g *gate.Gate, callers, ready *http.Server, drain time.Duration) error {
	klog.InfoS("gate: leaving", "drain_ms", drain.Milliseconds())
	start := clock.Monotonic()
	g.Leave()
	callers.SetKeepAlivesEnabled(false)
	clock.Sleep(ctx, time.Duration(serveShare*float64(drain)))
	ctx, cancel := context.WithTimeout(ctx, time.Duration(closeShare*float64(drain))-(clock.Monotonic()-start))
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		return fmt.Errorf("closing to callers: %w", err)
	}
	_ = ready.Close() // the balancer has been told before
	return nil
}

func gateOptions(settings *conf.Settings) gate.Options {
	s := settings.Gate
	return gate.Options{
		Name:         settings.Node.GetId(),
		Address:      conf.Address(settings.Node.GetRpcAddress()),
		Processor:    int64(milli * settings.Platform.GetProcessorShare() * settings.Platform.GetProcessorSpeed()),
		RequestYield: yieldOf,
		KV:           platform.NewStore(conf.Address(settings.Platform.GetStoreAddress())),
		OperatorKeys: platform.OperatorKeys(),
		ClaimTTL:     conf.Duration(s.GetClaimTtl()),
		Settings: duty.Settings{
			TaskLease: conf.Duration(s.GetTaskLease()), ConfigAge: conf.Duration(s.GetConfigAge()),
			StartAge: conf.Duration(s.GetStartAge()), Retention: conf.Duration(s.GetRetention()),
			RemoteFactor: s.GetRemoteFactor(),
		},
	}
}

// yieldOf asks the holder of the duty at an address to give it up.
func yieldOf(ctx context.Context, holder netip.AddrPort, request *flow.YieldRequest) error {
	conn, err := link.Dial(ctx, nil, holder)
	if err != nil {
		return fmt.Errorf("reaching the holder: %w", err)
	}
	defer conn.Close()
	if err := conn.Call(ctx, gate.RPCName+".Yield", request, &flow.YieldResponse{}); err != nil {
		return fmt.Errorf("asking the holder to yield: %w", err)
	}
	return nil
}

// reload reads the settings again on SIGHUP. The memory limit is applied at
// once; addresses and times hold until the next start. Faults leave everything
// as it is.
func reload(ctx context.Context, path string, settings *conf.Settings, role string) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hangups:
		}
		fresh, err := conf.Load(path, "node", role, "platform")
		if err != nil {
			klog.ErrorS(err, "settings not reloaded", "path", path)
			continue
		}
		limitMemory(fresh.Platform)
		klog.InfoS("settings reloaded", "path", path, "memory_mb", fresh.Platform.GetMemoryMb(),
			"needs_restart", !proto.Equal(fresh.Node, settings.Node) || !proto.Equal(fresh.Gate, settings.Gate) || !proto.Equal(fresh.Relay, settings.Relay))
	}
}

// limitMemory makes the runtime keep to the process's limit.
func limitMemory(p *wire.Platform) {
	if mb := p.GetMemoryMb(); mb > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(mb) * bytesPerMB))
	}
}

// listen opens all addresses, or none.
func listen(addresses ...string) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			for _, open := range listeners {
				_ = open.Close() // nothing was served on it
			}
			return nil, fmt.Errorf("listening on %s: %w", address, err)
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

func serveHTTP(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serving %s: %w", listener.Addr(), err)
	}
	return nil
}

// metricsAddress is where the metrics page is served, if anywhere.
func metricsAddress(settings *conf.Settings) (netip.AddrPort, bool) {
	port := settings.Platform.GetMetricsPort()
	if port == 0 {
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(conf.Address(settings.Node.GetRpcAddress()).Addr(), uint16(port)), true
}
