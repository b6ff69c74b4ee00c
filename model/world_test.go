package model

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"catkinpoint/duty"
	"catkinpoint/flow"
	"catkinpoint/graph"
	"catkinpoint/relay"
	"catkinpoint/stand/fakekv"
	"catkinpoint/store"
)

const (
	gateCount    = 3
	machineCount = 5
	// machineRoom is the number of tasks for which a worker has room.
	machineRoom = 4
	// heartbeatPeriod is the time between two heartbeats of a worker.
	heartbeatPeriod = 500 * time.Millisecond
	// minSubmitPeriod and maxSubmitPeriod limit the time between two jobs, which a seed draws.
	minSubmitPeriod = 500 * time.Millisecond
	maxSubmitPeriod = 2500 * time.Millisecond
)

// world is all of one run of the model. mu guards the state of the workers, the random
// numbers, the record and the jobs; the network has a lock of its own.
type world struct {
	mu       sync.Mutex
	t        *testing.T
	seed     uint64
	rng      *rand.Rand
	enabled  map[faultKind]bool
	rec      *record
	machines []*machine
	relays   []*relayHost
	gates    []*gateHost
	net      *network
	kv       *fakekv.Server
	jobs     map[string]*flow.Job
	gangs    map[string]*gang
	// gangFailures are, by unit, the failures of its next runs of which all members begin.
	gangFailures map[string][]gangFailure
	cancelled    map[string]bool       // jobs that a caller has cancelled
	outcomes     map[string]flow.Phase // of the jobs that have ended
	// losingAnswers is the number of faults for which the store loses answers to writes.
	losingAnswers int
	// losingWrites is the same for writes of progress that are lost.
	losingWrites int
}

// newWorld starts gates, relays and workers that run until ctx ends.
func newWorld(ctx context.Context, t *testing.T, seed uint64, enabled map[faultKind]bool) *world {
	w := &world{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), enabled: enabled, rec: newRecord(), kv: fakekv.New(), net: newNetwork(),
		jobs: map[string]*flow.Job{}, gangs: map[string]*gang{},
		gangFailures: map[string][]gangFailure{}, cancelled: map[string]bool{}, outcomes: map[string]flow.Phase{},
	}
	w.kv.SetInterceptor(w.interceptStore)
	if _, err := w.kv.WithCaller("operator").Commit(ctx, store.Txn{Writes: []store.Write{{Key: "op/config", Value: []byte("1")}}}); err != nil {
		t.Fatalf("writing the configuration: %v", err)
	}
	for i := range gateCount {
		w.gates = append(w.gates, &gateHost{w: w, index: i})
	}
	for i := range machineCount {
		m := &machine{w: w, index: i}
		m.boot(true)
		w.machines = append(w.machines, m)
		w.relays = append(w.relays, &relayHost{w: w, index: i, machine: m})
	}
	for _, g := range w.gates {
		g.start(ctx)
	}
	for _, h := range w.relays {
		h.start(ctx)
		go h.machine.sendHeartbeats(ctx, h)
	}
	return w
}

// draw returns a random number below n.
func (w *world) draw(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.IntN(n)
}

// drawTime returns a random time from low to high.
func (w *world) drawTime(low, high time.Duration) time.Duration {
	return low + time.Duration(w.draw(int(high-low)))
}

// sendHeartbeats sends the heartbeats of the worker's processes to the relay.
func (m *machine) sendHeartbeats(ctx context.Context, h *relayHost) {
	sequence := int64(0)
	var last *process
	for sleep(ctx, heartbeatPeriod) {
		m.w.mu.Lock()
		p := m.proc
		if p == nil || m.muted > 0 {
			m.w.mu.Unlock()
			continue
		}
		if p != last {
			last, sequence = p, 0
		}
		sequence++
		heartbeat := relay.Heartbeat{Worker: m.info(p), Clock: p.clock().Truncate(time.Millisecond), Sequence: sequence}
		late := time.Duration(0)
		if m.lateHeartbeats > 0 && m.w.rng.IntN(2) == 0 {
			late = time.Duration(m.w.rng.IntN(9000)) * time.Millisecond
		}
		m.w.mu.Unlock()
		go func() {
			if !sleep(ctx, late) {
				return
			}
			callCtx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			if r := h.present(); r != nil {
				_ = r.HandleHeartbeat(callCtx, heartbeat) // a rejected heartbeat needs no answer
			}
		}()
	}
}

// info returns what a process says of itself. The caller holds the lock.
func (m *machine) info(p *process) *flow.Worker {
	info := &flow.Worker{
		Id: p.id, BornMs: p.born, Service: "care", DataCentre: "keila", Labels: []string{"a", "r1"},
		Cpu: 1000 * machineRoom, MemoryMb: 1000 * machineRoom, Accelerators: machineRoom, Draining: p.draining,
	}
	if p.draining {
		info.RemainingMs = max(0, time.Until(p.leavesAt).Milliseconds())
	}
	return info
}

// submitJobs submits jobs for a time. The first one is due after a time in which all
// workers are idle.
func (w *world) submitJobs(ctx context.Context, idle, length time.Duration) {
	sleep(ctx, idle)
	period := w.drawTime(minSubmitPeriod, maxSubmitPeriod)
	for number := 1; length > 0 && sleep(ctx, period); number++ {
		length -= period
		job := w.newJob(fmt.Sprintf("%016x", number))
		w.storeRecord(ctx, duty.JobKey(job.GetId()), job)
	}
}

// storeRecord stores a record, as a gate does for a caller.
func (w *world) storeRecord(ctx context.Context, key string, m proto.Message) {
	value, err := proto.Marshal(m)
	if err != nil {
		w.t.Errorf("encoding %s: %v", key, err)
		return
	}
	go func() {
		for {
			callCtx, cancel := context.WithTimeout(ctx, time.Second)
			_, err := w.kv.WithCaller("caller").Commit(callCtx, store.Txn{Conditions: []store.Condition{{Key: key}}, Writes: []store.Write{{Key: key, Value: value}}})
			cancel()
			var conflict *store.ConflictError
			if err == nil || asConflict(err, &conflict) || !sleep(ctx, time.Second) {
				return
			}
		}
	}()
}

// newJob draws a job of one or two steps of single tasks or gangs.
func (w *world) newJob(id string) *flow.Job {
	w.mu.Lock()
	defer w.mu.Unlock()
	job := &flow.Job{
		Id: id, Queue: "q", Customer: "c", Service: "care", Priority: int32(w.rng.IntN(2)), MaxAttempts: 50, SlackFactor: 3, TargetMs: 1000,
		AcceptedUnixMs: time.Now().UnixMilli(), Spec: "spec " + id,
	}
	for i := range 1 + w.rng.IntN(2) {
		step := &flow.Step{Count: int32(1 + w.rng.IntN(3)), Cpu: 1000, MemoryMb: 1000, Accelerators: 1}
		step.Gang, step.Checkpointing = w.enabled[faultGangs] && w.rng.IntN(3) == 0, w.rng.IntN(3) == 0
		if i > 0 {
			step.After = []int32{int32(i - 1)}
		}
		step.EstimateMs = int64(500 + w.rng.IntN(5000))
		if w.rng.IntN(3) == 0 { // longer than a task lease
			step.EstimateMs = int64(6000 + w.rng.IntN(14000))
		}
		job.Steps = append(job.Steps, step)
	}
	if w.enabled[faultGangFailures] {
		w.drawFailures(job)
	}
	w.jobs[id] = job
	return job
}

// stepOf returns the step of a task and its name, which ends before the task's index.
func (w *world) stepOf(task string) (*flow.Step, graph.Ref, string) {
	id, ref, err := graph.ParseTask(task)
	if err != nil || w.jobs[id] == nil {
		w.t.Errorf("start of a task that no caller submitted: %q, %v", task, err)
		return &flow.Step{Count: 1}, graph.Ref{}, id
	}
	return w.jobs[id].GetSteps()[ref.Step], ref, id
}

// isCheckpointing reports whether a task saves checkpoints.
func (w *world) isCheckpointing(task string) bool {
	step, _, _ := w.stepOf(task)
	return step.GetCheckpointing()
}

// gangOf returns the gang of a run, or nil.
func (w *world) gangOf(task string, run int64) *gang {
	step, ref, id := w.stepOf(task)
	if !step.GetGang() {
		return nil
	}
	key := fmt.Sprintf("%s/%d", w.unitOf(task), run)
	if g := w.gangs[key]; g != nil {
		return g
	}
	g := &gang{present: map[string]*taskRun{}}
	for i := range step.GetCount() {
		g.tasks = append(g.tasks, graph.TaskName(id, graph.Ref{Occurrence: ref.Occurrence, Step: ref.Step, Index: i}))
	}
	g.workTime, _ = w.lengthOf(g.tasks[0], run)
	w.gangs[key] = g
	return g
}

// unitOf returns the name of what runs and fails as one: the task or its gang.
func (w *world) unitOf(task string) string {
	step, ref, id := w.stepOf(task)
	if !step.GetGang() {
		return task
	}
	return gangName(id, ref)
}

func gangName(id string, ref graph.Ref) string {
	return fmt.Sprintf("%s.%d.%d", id, ref.Occurrence, ref.Step)
}

// lengthOf returns how long a run works, and whether it then fails. It depends only on
// the task and the run.
func (w *world) lengthOf(task string, run int64) (time.Duration, bool) {
	step, _, _ := w.stepOf(task)
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%d", task, run)
	rng := rand.New(rand.NewPCG(h.Sum64(), 3))
	length := time.Duration(float64(step.GetEstimateMs())*(0.5+rng.Float64())) * time.Millisecond
	drawn := step.GetGang() && w.enabled[faultGangFailures] // its failures are those of gangFailures
	return length, w.enabled[faultTasks] && !drawn && rng.IntN(12) == 0
}

// openJobs returns the jobs that are not stored as ended. It records the phase of the
// others, as their progress is removed some time after their end.
func (w *world) openJobs(ctx context.Context) []string {
	var open, ids []string
	w.mu.Lock()
	for id := range w.jobs {
		ids = append(ids, id)
	}
	w.mu.Unlock()
	for _, id := range ids {
		phase := w.storedPhase(ctx, id)
		ended := phase != flow.Phase_QUEUED && phase != flow.Phase_RUNNING
		w.mu.Lock()
		before, known := w.outcomes[id]
		switch {
		case known && phase != flow.Phase_QUEUED && phase != before:
			w.rec.violate(ruleLost, id, "the job is stored as %v, after it was stored as %v", phase, before)
		case ended:
			w.outcomes[id] = phase
		case !known:
			open = append(open, id)
		}
		w.mu.Unlock()
	}
	slices.Sort(open)
	return open
}

// storedPhase returns the phase of a job, as it is stored. A job of which nothing is stored
// is queued.
func (w *world) storedPhase(ctx context.Context, id string) flow.Phase {
	work := &flow.Work{}
	item, err := w.kv.WithCaller("check").Get(ctx, duty.ProgressKey(id))
	if err == nil {
		err = proto.Unmarshal(item.Value, work)
	}
	if err != nil {
		return flow.Phase_QUEUED
	}
	return work.GetPhase()
}
