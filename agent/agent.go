package agent

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"catkinpoint/clock"
	"catkinpoint/link"
	"catkinpoint/owner"
)

const (
	// tickPeriod is the time between two checks of the time limits of tasks.
	tickPeriod = 100 * time.Millisecond
	// clearRetryDelay is the time between two attempts to stop the tasks that an
	// earlier agent process left at the endpoint.
	clearRetryDelay = 500 * time.Millisecond
)

// Agent runs the tasks of one worker at its endpoint.
type Agent struct {
	opts            Options
	control         *owner.Owner[*state] // runs functions on the control goroutine
	pool            *link.Pool
	server          *link.Server
	endpoint        *endpointClient
	reportRequested chan struct{}  // holds a value if a report was requested
	background      sync.WaitGroup // goroutines that make calls for tasks
	stats           stats
	// runCtx ends with Run, and with it the background goroutines.
	runCtx context.Context
}

// New returns an agent with a fresh boot id; Run starts it.
func New(opts Options) (*Agent, error) {
	server, err := link.NewServer()
	if err != nil {
		return nil, fmt.Errorf("creating agent: %w", err)
	}
	s := &state{bootID: uuid.NewString(), tasks: make(map[string]*task)}
	a := &Agent{
		opts:            opts,
		control:         owner.New(s),
		pool:            link.NewPool(opts.Dial),
		server:          server,
		endpoint:        newEndpointClient(opts),
		reportRequested: make(chan struct{}, 1),
	}
	if err := server.Register("Agent", &commands{agent: a}); err != nil {
		return nil, fmt.Errorf("creating agent: %w", err)
	}
	return a, nil
}

// Run serves on listener until ctx ends. It does not stop tasks that are still
// running then; the endpoint stops them when their leases expire.
func (a *Agent) Run(ctx context.Context, listener net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	a.runCtx = ctx
	group.Go(func() error {
		a.control.Run(ctx, func(*state) {}, owner.IgnorePanic)
		return nil
	})
	group.Go(func() error { return a.server.Serve(listener) })
	group.Go(func() error {
		a.clearEndpoint(ctx)
		a.reportLoop(ctx)
		return nil
	})
	group.Go(func() error {
		a.tickLoop(ctx)
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		_ = listener.Close() // ends Serve
		a.server.Close()
		a.pool.Close()
		return nil
	})
	klog.Infof("agent: worker %s serves at %s.", a.opts.Worker, a.opts.Address)
	err := group.Wait()
	a.background.Wait()
	a.endpoint.close()
	if err != nil {
		return fmt.Errorf("running agent: %w", err)
	}
	return nil
}

// Drain refuses new tasks and returns nil once none runs and the scheduler has
// recorded every outcome. It returns an error if ctx ends first.
func (a *Agent) Drain(ctx context.Context) error {
	klog.Infof("agent: worker %s drains.", a.opts.Worker)
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		idle := false
		err := a.control.Do(ctx, func(s *state) {
			if !s.draining {
				s.draining, s.drainStarted = true, time.Now()
				a.requestReport()
			}
			idle = s.idle()
		})
		if err != nil {
			return fmt.Errorf("draining: %w", err)
		}
		if idle {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("draining: %w", ctx.Err())
		case <-ticker.C:
		}
	}
}

// clearEndpoint stops the tasks that an earlier agent process left running,
// retrying until it succeeds or ctx ends, and then marks the worker as ready.
func (a *Agent) clearEndpoint(ctx context.Context) {
	for {
		err := a.endpoint.stopAll(ctx)
		if err == nil {
			break
		}
		klog.Warningf("agent: Earlier tasks at endpoint %s could not be stopped: %v.", a.opts.Endpoint, err)
		if !clock.Sleep(ctx, clearRetryDelay) {
			return
		}
	}
	a.control.Post(func(s *state) { s.ready = true })
}

// tickLoop checks the time limits of tasks every tickPeriod until ctx ends.
func (a *Agent) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			a.control.Post(func(s *state) { a.tick(s, time.Now()) })
		}
	}
}

// BlockControl blocks the control goroutine until the channel is closed. Tests simulate
// a paused process with it.
func (a *Agent) BlockControl(until <-chan struct{}) {
	a.control.Post(func(*state) { <-until })
}
