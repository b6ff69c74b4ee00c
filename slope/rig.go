package slope

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"time"

	"catkinpoint/link"
	"catkinpoint/wire"
)

// Process is a started process that runs ServeEntry.
type Process struct {
	In  io.WriteCloser
	Out io.Reader
	// Wait waits for the end of the process, after In was closed.
	Wait func() error
}

// Rig is a fleet of agents in this process and an entry with the scheduler in
// another.
type Rig struct {
	process Process
	decoder *json.Decoder
	entry   netip.AddrPort
	fleet   *Fleet
	pool    *link.Pool
	calls   sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
	jobs    int // submitted
	running int
	ownHeap uint64 // of this process before the agents
	// startBurst is the time and the CPU time of the entry's process, in ms, from
	// the start of the agents until all were heard.
	startBurst [2]float64
}

// readyTimeout bounds the start of a rig and the start of its tasks.
const readyTimeout = 90 * time.Second

// NewRig starts the agents of a rig within the given time and waits until the
// scheduler has them all. Agents that start at once also report at once later.
func NewRig(process Process, workers int, spread time.Duration) (*Rig, error) {
	r := &Rig{process: process, decoder: json.NewDecoder(process.Out), pool: link.NewPool(nil)}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.ownHeap = liveHeap()
	state, err := r.ask(commandState)
	if err == nil {
		r.entry, err = netip.ParseAddrPort(state.Address)
	}
	if err == nil {
		err = r.await((*wire.DutyStatus).GetReady)
	}
	if err == nil {
		err = r.startFleet(workers, spread)
	}
	if err != nil {
		_ = r.Close() // the first error counts
		return nil, Error.New("starting rig of %d agents: %w", workers, err)
	}
	return r, nil
}

func (r *Rig) startFleet(workers int, spread time.Duration) error {
	before, err := r.ask(commandState)
	if err != nil {
		return err
	}
	began := time.Now()
	if r.fleet, err = newFleet(r.entry, workers, spread); err != nil {
		return err
	}
	if err := r.await(func(s *wire.DutyStatus) bool { return int(s.GetWorkers()) == workers }); err != nil {
		return err
	}
	took := time.Since(began)
	after, err := r.ask(commandState)
	r.startBurst = [2]float64{us(took) / 1000, us(after.CPU-before.CPU) / 1000}
	return err
}

// Close ends the agents and the process.
func (r *Rig) Close() error {
	r.cancel()
	r.pool.Close()
	r.calls.Wait()
	var err error
	if r.fleet != nil {
		err = r.fleet.stop()
	}
	_ = r.process.In.Close() // asks the process to end
	if waitErr := r.process.Wait(); err == nil {
		err = waitErr
	}
	return err
}

func (r *Rig) ask(command string) (processState, error) {
	var state processState
	if _, err := fmt.Fprintln(r.process.In, command); err != nil {
		return state, Error.New("asking the entry's process: %w", err)
	}
	if err := r.decoder.Decode(&state); err != nil {
		return state, Error.New("reading the answer of the entry's process: %w", err)
	}
	return state, nil
}

// status asks the entry for the status of the duty.
func (r *Rig) status() *wire.DutyStatus {
	ctx, cancel := context.WithTimeout(r.ctx, time.Second)
	defer cancel()
	response := new(wire.StatusResponse)
	if err := r.pool.Call(ctx, r.entry, "Entry.Status", &wire.StatusRequest{}, response); err != nil || len(response.GetDuties()) == 0 {
		return &wire.DutyStatus{}
	}
	return response.GetDuties()[0]
}

// await waits until the status of the duty is as wanted.
func (r *Rig) await(wanted func(*wire.DutyStatus) bool) error {
	began := time.Now()
	for {
		s := r.status()
		if wanted(s) {
			return nil
		}
		if time.Since(began) > readyTimeout {
			return Error.New("the scheduler has %d workers and %d running jobs after %s", s.GetWorkers(), s.GetRunning(), readyTimeout)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Submit starts jobs of the given tasks and waits until all run.
func (r *Rig) Submit(jobs, tasks, accelerators int) error {
	for range jobs {
		r.submit(tasks, accelerators)
	}
	r.running += jobs
	return r.await(func(s *wire.DutyStatus) bool { return int(s.GetRunning()) == r.running })
}

// submitWaiting submits gangs that need every worker whole, and waits until all wait.
func (r *Rig) submitWaiting(jobs int) error {
	for range jobs {
		r.submit(len(r.fleet.traffic), sampleAccelerators)
	}
	return r.await(func(s *wire.DutyStatus) bool { return int(s.GetQueued()) == jobs })
}

// submit sends a job whose tasks never end; Close breaks the call off.
func (r *Rig) submit(tasks, accelerators int) {
	request := &wire.SubmitRequest{DataCentre: fleetDataCentre, Job: &wire.Job{
		Id: id("job", r.jobs), Customer: team(r.jobs % sampleTeams), JobClass: "training-large", Service: fleetService,
		Tasks: int32(tasks), Accelerators: int32(accelerators), Adjacency: "data_centre",
		Idempotent: true, Checkpointable: true, ExpectedRunMs: sampleRunMS, StopMs: 5000, SubmittedUnixMs: time.Now().UnixMilli(),
	}}
	r.jobs++
	r.calls.Go(func() {
		_ = r.pool.Call(r.ctx, r.entry, "Sched.Submit", request, new(wire.SubmitResponse)) // never answered
	})
}

// sample is what a rig used in one period.
type sample struct {
	period  time.Duration
	entry   time.Duration // CPU time of the entry's process
	agents  time.Duration // CPU time of this process
	state   processState  // at the end
	reads   int64         // of the store
	writes  int64
	counts  []TrafficCount // of each agent
	ownHeap uint64         // grown in this process
}

// measure watches a rig for a period.
func (r *Rig) measure(period time.Duration) (sample, error) {
	own, err := readProcess(false)
	if err != nil {
		return sample{}, err
	}
	before, err := r.ask(commandState)
	if err != nil {
		return sample{}, err
	}
	counts, began := r.fleet.counts(), time.Now()
	time.Sleep(period)
	s := sample{period: time.Since(began), counts: r.fleet.counts()}
	after, err := r.ask(commandState)
	if err != nil {
		return sample{}, err
	}
	ownAfter, err := readProcess(true)
	if err != nil {
		return sample{}, err
	}
	if s.state, err = r.ask(commandHeap); err != nil {
		return sample{}, err
	}
	s.entry, s.agents, s.ownHeap = after.CPU-before.CPU, ownAfter.CPU-own.CPU, ownAfter.Heap-r.ownHeap
	s.reads, s.writes = after.Reads-before.Reads, after.Writes-before.Writes
	for i := range s.counts {
		s.counts[i] = s.counts[i].minus(counts[i])
	}
	return s, nil
}

// total adds the counts of all agents.
func (s sample) total() TrafficCount {
	var t TrafficCount
	for _, c := range s.counts {
		t.In, t.Out, t.Writes, t.Reads = t.In+c.In, t.Out+c.Out, t.Writes+c.Writes, t.Reads+c.Reads
	}
	return t
}

// busiest is the agent that receives the most bytes, which is the leader of a
// single gang; of two agents, a member sends about as much as the leader.
func (s sample) busiest() TrafficCount {
	var most TrafficCount
	for _, c := range s.counts {
		if c.In > most.In {
			most = c
		}
	}
	return most
}
