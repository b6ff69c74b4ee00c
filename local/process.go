package local

import (
	"context"
	"fmt"

	"catkinpoint/agent"
	"catkinpoint/entry"
	"catkinpoint/stand/fakeep"
)

// Process is an entry, an agent or an endpoint of a running system.
type Process struct {
	Name string
	// Exactly one of Entry, Agent and Endpoint is set.
	Entry    *entry.Entry
	Agent    *agent.Agent
	Endpoint *fakeep.Endpoint

	options agent.Options // of an agent
	cancel  context.CancelFunc
	done    chan struct{} // closed when the process has ended
}

// EndpointProcessName returns the name of the process of a worker's endpoint. The
// process of its agent has the name of the worker.
func EndpointProcessName(worker string) string { return "endpoint-" + worker }

// Process returns the process that was last started under a name, or nil if there
// is none. Entries are named entry-0, entry-1 and so on, agents after their
// workers, and endpoints as EndpointProcessName returns.
func (s *System) Process(name string) *Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.processes[name]
}

// startProcess runs serve in the background, with a context that ends with ctx or
// when p is stopped.
func (s *System) startProcess(ctx context.Context, p *Process, serve func(ctx context.Context) error) {
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

// Stop ends the context of the process, as SIGTERM does for an entry. The returned
// channel is closed when the process has ended.
func (p *Process) Stop() <-chan struct{} {
	p.cancel()
	return p.done
}

// Drain drains the process's agent and then stops it, as SIGTERM does. If the drain
// fails, the agent keeps running and refuses new tasks.
func (p *Process) Drain(ctx context.Context) error {
	if err := p.Agent.Drain(ctx); err != nil {
		return fmt.Errorf("draining %s: %w", p.Name, err)
	}
	<-p.Stop()
	return nil
}

// startAgent starts an agent on a network of its own and sets the options that
// depend on it.
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
	s.startProcess(ctx, p, func(ctx context.Context) error { return a.Run(ctx, listener) })
	return nil
}

// RestartAgent stops the agent of a worker and starts a new one, which has none of
// the old one's state. It does not wait until the old one has ended.
func (s *System) RestartAgent(worker string) error {
	old := s.Process(worker)
	if old == nil || old.Agent == nil {
		return Error.New("no agent is named %s", worker)
	}
	old.cancel()
	return s.startAgent(s.ctx, old.options)
}
