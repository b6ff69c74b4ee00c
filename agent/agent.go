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
	// tickPeriod is the resolution of all time limits of tasks.
	tickPeriod = 100 * time.Millisecond
	// clearRetry is the time between two attempts to clear the endpoint.
	clearRetry = 500 * time.Millisecond
)

// Agent is the process beside one endpoint.
type Agent struct {
	opts     Options
	control  *owner.Owner[*state]
	pool     *link.Pool
	server   *link.Server
	endpoint *endpoint
	wake     chan struct{} // asks for a report at once
	traffic  sync.WaitGroup
	stats    stats
	// life ends with Run; tasks started by commands live no longer.
	life context.Context
}

// New returns an agent with a fresh boot id; Run starts it.
func New(opts Options) (*Agent, error) {
	server, err := link.NewServer()
	if err != nil {
		return nil, fmt.Errorf("creating agent: %w", err)
	}
	s := &state{bootID: uuid.NewString(), tasks: make(map[string]*task)}
	a := &Agent{
		opts:     opts,
		control:  owner.New(s),
		pool:     link.NewPool(opts.Dial),
		server:   server,
		endpoint: newEndpoint(opts),
		wake:     make(chan struct{}, 1),
	}
	if err := server.Register("Agent", &commands{agent: a}); err != nil {
		return nil, fmt.Errorf("creating agent: %w", err)
	}
	return a, nil
}

// Run serves on listener until ctx ends; the worker is then left as it is, and
// its tasks end with their leases.
func (a *Agent) Run(ctx context.Context, listener net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	a.life = ctx
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
	a.traffic.Wait()
	a.endpoint.close()
	if err != nil {
		return fmt.Errorf("running agent: %w", err)
	}
	return nil
}

// Drain refuses new work and returns once nothing runs and every outcome is
// with the scheduler, or when ctx ends.
func (a *Agent) Drain(ctx context.Context) error {
	klog.Infof("agent: worker %s drains.", a.opts.Worker)
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		idle := false
		err := a.control.Do(ctx, func(s *state) {
			if !s.draining {
				s.draining, s.drainedFrom = true, time.Now()
				a.reportSoon()
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

// clearEndpoint stops what an earlier agent process left running.
func (a *Agent) clearEndpoint(ctx context.Context) {
	for {
		err := a.endpoint.stopAll(ctx)
		if err == nil {
			break
		}
		klog.Warningf("agent: The endpoint %s could not be cleared: %v.", a.opts.Endpoint, err)
		if !clock.Sleep(ctx, clearRetry) {
			return
		}
	}
	a.control.Post(func(s *state) { s.ready = true })
}

// tickLoop lets time limits pass.
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

// Hold keeps the control goroutine busy until the channel is closed, as a
// paused process would; tests of freezes use it.
func (a *Agent) Hold(until <-chan struct{}) {
	a.control.Post(func(*state) { <-until })
}
