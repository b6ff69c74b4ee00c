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
	// Wait waits until the process has ended. It is called after In is closed.
	Wait func() error
}

// Rig is a test system: a fleet of agents in this process, and an entry that runs
// the scheduler of their data centre in another process.
type Rig struct {
	process          Process
	decoder          *json.Decoder
	entryAddress     netip.AddrPort // at which the entry accepts links
	fleet            *Fleet
	pool             *link.Pool
	calls            sync.WaitGroup  // pending calls that submit jobs
	ctx              context.Context // of all calls
	cancel           context.CancelFunc
	submittedJobs    int
	runningJobs      int    // submitted by Submit
	heapBeforeAgents uint64 // reachable heap bytes of this process before it started agents
	// startCosts holds the wall-clock time and the CPU time of the entry's
	// process, in ms, from the start of the first agent until the scheduler had
	// reports from all agents.
	startCosts [2]float64
}

// readyTimeout limits each wait for the scheduler: for its start, for the reports of
// all agents, and for the start of tasks.
const readyTimeout = 90 * time.Second

// NewRig starts the agents of a rig over the given ramp-up time and waits until the
// scheduler has reports from all of them. Agents that start at the same time also
// send their later reports at the same time. On an error the process is ended.
func NewRig(process Process, workers int, rampUp time.Duration) (*Rig, error) {
	r := &Rig{process: process, decoder: json.NewDecoder(process.Out), pool: link.NewPool(nil)}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.heapBeforeAgents = liveHeap()
	state, err := r.sendCommand(commandState)
	if err == nil {
		r.entryAddress, err = netip.ParseAddrPort(state.Address)
	}
	if err == nil {
		err = r.awaitStatus((*wire.DutyStatus).GetReady)
	}
	if err == nil {
		err = r.startFleet(workers, rampUp)
	}
	if err != nil {
		_ = r.Close() // the error of the start is returned
		return nil, Error.New("starting rig of %d agents: %w", workers, err)
	}
	return r, nil
}

// startFleet starts the agents and sets startCosts.
func (r *Rig) startFleet(workers int, rampUp time.Duration) error {
	before, err := r.sendCommand(commandState)
	if err != nil {
		return err
	}
	start := time.Now()
	if r.fleet, err = newFleet(r.entryAddress, workers, rampUp); err != nil {
		return err
	}
	if err := r.awaitStatus(func(s *wire.DutyStatus) bool { return int(s.GetWorkers()) == workers }); err != nil {
		return err
	}
	elapsed := time.Since(start)
	after, err := r.sendCommand(commandState)
	r.startCosts = [2]float64{microseconds(elapsed) / 1000, microseconds(after.CPU-before.CPU) / 1000}
	return err
}

// Close stops the agents and ends the entry's process.
func (r *Rig) Close() error {
	r.cancel()
	r.pool.Close()
	r.calls.Wait()
	var err error
	if r.fleet != nil {
		err = r.fleet.stop()
	}
	_ = r.process.In.Close() // ServeEntry returns at the end of its input
	if waitErr := r.process.Wait(); err == nil {
		err = waitErr
	}
	return err
}

// sendCommand sends a command to the entry's process and returns its answer.
func (r *Rig) sendCommand(command string) (processState, error) {
	var state processState
	if _, err := fmt.Fprintln(r.process.In, command); err != nil {
		return state, Error.New("sending command to the entry's process: %w", err)
	}
	if err := r.decoder.Decode(&state); err != nil {
		return state, Error.New("reading the answer of the entry's process: %w", err)
	}
	return state, nil
}

// dutyStatus returns the status of the entry's scheduler, or an empty one if the call
// fails or the entry runs no scheduler.
func (r *Rig) dutyStatus() *wire.DutyStatus {
	ctx, cancel := context.WithTimeout(r.ctx, time.Second)
	defer cancel()
	response := new(wire.StatusResponse)
	if err := r.pool.Call(ctx, r.entryAddress, "Entry.Status", &wire.StatusRequest{}, response); err != nil || len(response.GetDuties()) == 0 {
		return &wire.DutyStatus{}
	}
	return response.GetDuties()[0]
}

// awaitStatus waits until the scheduler's status fulfils the condition. It fails after
// readyTimeout.
func (r *Rig) awaitStatus(condition func(*wire.DutyStatus) bool) error {
	start := time.Now()
	for {
		status := r.dutyStatus()
		if condition(status) {
			return nil
		}
		if time.Since(start) > readyTimeout {
			return Error.New("the scheduler has %d workers and %d running jobs after %s", status.GetWorkers(), status.GetRunning(), readyTimeout)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Submit submits jobs, each of the given number of tasks with the given number of
// accelerators per task, and waits until all run.
func (r *Rig) Submit(jobs, tasks, accelerators int) error {
	for range jobs {
		r.submit(tasks, accelerators)
	}
	r.runningJobs += jobs
	return r.awaitStatus(func(s *wire.DutyStatus) bool { return int(s.GetRunning()) == r.runningJobs })
}

// submitWaiting submits jobs that need all accelerators of all workers, and waits until
// all are queued.
func (r *Rig) submitWaiting(jobs int) error {
	for range jobs {
		r.submit(len(r.fleet.traffic), acceleratorsPerWorker)
	}
	return r.awaitStatus(func(s *wire.DutyStatus) bool { return int(s.GetQueued()) == jobs })
}

// submit submits one job. Its tasks never end, so the call lasts until Close cancels
// it.
func (r *Rig) submit(tasks, accelerators int) {
	request := &wire.SubmitRequest{DataCentre: fleetDataCentre, Job: &wire.Job{
		Id: sampleUUID("job", r.submittedJobs), Customer: customerName(r.submittedJobs % customerCount), JobClass: "training-large", Service: fleetService,
		Tasks: int32(tasks), Accelerators: int32(accelerators), Adjacency: "data_centre",
		Idempotent: true, Checkpointable: true, ExpectedRunMs: sampleRunMS, StopMs: 5000, SubmittedUnixMs: time.Now().UnixMilli(),
	}}
	r.submittedJobs++
	r.calls.Go(func() {
		_ = r.pool.Call(r.ctx, r.entryAddress, "Sched.Submit", request, new(wire.SubmitResponse)) // cancelled by Close
	})
}

// rigUsage holds the resources that a rig used in one period.
type rigUsage struct {
	period      time.Duration
	entryCPU    time.Duration // CPU time of the entry's process
	agentsCPU   time.Duration // CPU time of this process
	entryState  processState  // at the end, with the heap
	storeReads  int64         // calls of the entry
	storeWrites int64
	traffic     []TrafficCounts // of each agent
	agentsHeap  uint64          // growth of this process since before the agents, bytes
}

// measureUsage waits for the period and returns what the rig used in it.
func (r *Rig) measureUsage(period time.Duration) (rigUsage, error) {
	ownBefore, err := readProcessState(false)
	if err != nil {
		return rigUsage{}, err
	}
	before, err := r.sendCommand(commandState)
	if err != nil {
		return rigUsage{}, err
	}
	trafficBefore, start := r.fleet.trafficCounts(), time.Now()
	time.Sleep(period)
	usage := rigUsage{period: time.Since(start), traffic: r.fleet.trafficCounts()}
	after, err := r.sendCommand(commandState)
	if err != nil {
		return rigUsage{}, err
	}
	ownAfter, err := readProcessState(true)
	if err != nil {
		return rigUsage{}, err
	}
	if usage.entryState, err = r.sendCommand(commandHeap); err != nil {
		return rigUsage{}, err
	}
	usage.entryCPU, usage.agentsCPU, usage.agentsHeap = after.CPU-before.CPU, ownAfter.CPU-ownBefore.CPU, ownAfter.Heap-r.heapBeforeAgents
	usage.storeReads, usage.storeWrites = after.Reads-before.Reads, after.Writes-before.Writes
	for i := range usage.traffic {
		usage.traffic[i] = usage.traffic[i].minus(trafficBefore[i])
	}
	return usage, nil
}

// totalTraffic returns the sum of the counts of all agents.
func (u rigUsage) totalTraffic() TrafficCounts {
	var total TrafficCounts
	for _, c := range u.traffic {
		total.BytesIn, total.BytesOut, total.Writes, total.Reads = total.BytesIn+c.BytesIn, total.BytesOut+c.BytesOut, total.Writes+c.Writes, total.Reads+c.Reads
	}
	return total
}

// busiestAgent returns the counts of the agent that received the most bytes. While a
// single gang runs, that is its leader. Sent bytes would not tell: in a gang of
// two, the other member sends about as much as the leader.
func (u rigUsage) busiestAgent() TrafficCounts {
	var busiest TrafficCounts
	for _, c := range u.traffic {
		if c.BytesIn > busiest.BytesIn {
			busiest = c
		}
	}
	return busiest
}
