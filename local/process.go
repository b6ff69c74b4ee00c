package local

import (
	"context"
	"fmt"

	"catkinpoint/agent"
	"catkinpoint/entry"
	"catkinpoint/stand/fakeep"
)

// Process is one part of a running system.
type Process struct {
	Name string
	// One of these is set.
	Entry    *entry.Entry
	Agent    *agent.Agent
	Endpoint *fakeep.Endpoint

	options agent.Options
	cancel  context.CancelFunc
	done    chan struct{}
}

// EndpointOf names the process of a worker's endpoint; that of its agent has
// the worker's name.
func EndpointOf(worker string) string { return "endpoint-" + worker }

// Process returns the latest run of a part, or nil. Entries are named entry-0,
// entry-1 and so on, agents after their workers.
func (s *System) Process(name string) *Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.processes[name]
}

// run starts a part that ends with ctx or with its own Stop.
func (s *System) run(ctx context.Context, p *Process, serve func(ctx context.Context) error) {
	ctx, p.cancel = context.WithCancel(ctx)
	p.done = make(chan struct{})
	s.mu.Lock()
	s.processes[p.Name] = p
	s.mu.Unlock()
	s.group.Go(func() error {
		defer close(p.done)
		return serve(ctx)
	})
}

// Stop asks the process to end, as SIGTERM does for an entry; the closed
// channel tells that it has.
func (p *Process) Stop() <-chan struct{} {
	p.cancel()
	return p.done
}

// Drain ends an agent gracefully, as SIGTERM does.
func (p *Process) Drain(ctx context.Context) error {
	if err := p.Agent.Drain(ctx); err != nil {
		return fmt.Errorf("draining %s: %w", p.Name, err)
	}
	<-p.Stop()
	return nil
}

func (s *System) startAgent(ctx context.Context, o agent.Options) error {
	network := s.net(o.Worker)
	listener, addr, err := network.Listen()
	if err != nil {
		return err
	}
	o.Address, o.Dial = addr, network.Dial
	a, err := agent.New(o)
	if err != nil {
		return fmt.Errorf("starting agent: %w", err)
	}
	p := &Process{Name: o.Worker, Agent: a, options: o}
	s.run(ctx, p, func(ctx context.Context) error { return a.Run(ctx, listener) })
	return nil
}

// RestartAgent starts the agent of a worker anew, without memory of its earlier run.
func (s *System) RestartAgent(worker string) error {
	old := s.Process(worker)
	if old == nil || old.Agent == nil {
		return Error.New("no agent is named %s", worker)
	}
	old.cancel()
	return s.startAgent(s.life, old.options)
}
