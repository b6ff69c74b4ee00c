package verbs

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"catkinpoint/agent"
	"catkinpoint/conf"
	"catkinpoint/meter"
	"catkinpoint/wire"
)

// Agent is the verb agent: it runs the agent beside an endpoint.
type Agent struct {
	Settings     string        `arg:"" type:"existingfile" help:"Settings file with the sections node and agent."`
	DrainTimeout time.Duration `default:"24h" help:"Longest wait for running tasks after SIGTERM."`
}

// Run serves until ctx ends. It then drains the worker, for at most DrainTimeout,
// and returns.
func (v *Agent) Run(ctx context.Context) error {
	settings, err := conf.Load(v.Settings, "node", "agent")
	if err != nil {
		return fmt.Errorf("loading settings: %w", err)
	}
	opts := agent.FromSettings(settings.Node, settings.Agent)
	a, err := agent.New(opts)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", opts.Address.String())
	if err != nil {
		return fmt.Errorf("listening for RPC connections: %w", err)
	}
	defer klog.Flush()
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serveCtx := errgroup.WithContext(serveCtx)
	group.Go(func() error { return a.Run(serveCtx, listener) })
	group.Go(func() error { return serveAgentMetrics(serveCtx, settings.Node, opts.Worker, a) })
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
		case <-serveCtx.Done():
			return nil
		}
		drainCtx, cancel := context.WithTimeout(serveCtx, v.DrainTimeout)
		defer cancel()
		return a.Drain(drainCtx)
	})
	return group.Wait()
}

// serveAgentMetrics serves the agent's metrics page until ctx ends. It does nothing
// if the settings have no address for it.
func serveAgentMetrics(ctx context.Context, node *wire.Node, worker string, a *agent.Agent) error {
	if node.GetHttpAddress() == "" {
		return nil
	}
	page, err := meter.New("agent", worker)
	if err != nil {
		return fmt.Errorf("starting metrics: %w", err)
	}
	if err := a.RegisterMetrics(page); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", page.Handler())
	server := &http.Server{Addr: node.GetHttpAddress(), Handler: mux, ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // scrapes in progress are aborted
	defer stop()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serving metrics: %w", err)
	}
	return nil
}
