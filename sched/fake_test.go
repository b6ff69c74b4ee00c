package sched

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"catkinpoint/decl"
	"catkinpoint/link"
	"catkinpoint/permit"
	"catkinpoint/place"
	"catkinpoint/stand/fakekv"
	"catkinpoint/stand/pipe"
	"catkinpoint/store"
	"catkinpoint/wire"
)

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// fakeAgent implements the RPCs of an agent and keeps the states of its tasks,
// which tests change.
type fakeAgent struct {
	mu       sync.Mutex
	bootID   string
	sequence int64
	listener *pipe.Listener
	tasks    map[string]*wire.TaskStatus
	settled  []string // ids in the answer to the last report of the tasks that it may forget
	bodies   []string // of the prepared tasks, in order
	resumes  []int64  // ResumeMs of the prepared tasks, in order
	starts   int      // tasks started
	stops    int      // calls of Stop
	// refuseStart makes every Start refuse its task.
	refuseStart bool
	// hideResults leaves results out of reports, as agents do with large ones.
	hideResults bool
	// endState, if set, makes a task end as soon as it starts, in the returned state.
	endState func(job string) wire.TaskState
	// checkpointMs is the work that a Stop with a checkpoint saves, in milliseconds.
	checkpointMs int64
}

func (a *fakeAgent) fillResponse(response *wire.TaskResponse, epoch int64, status *wire.TaskStatus) {
	response.BootId, response.Epoch, response.Status = a.bootID, epoch, proto.CloneOf(status)
}

func (a *fakeAgent) task(id string) *wire.TaskStatus {
	if a.tasks[id] == nil {
		a.tasks[id] = &wire.TaskStatus{Attempt: id, State: wire.TaskState_TASK_ABSENT}
	}
	return a.tasks[id]
}

// Prepare implements Agent.Prepare.
func (a *fakeAgent) Prepare(request *wire.PrepareRequest, response *wire.TaskResponse) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	task := a.task(request.GetAttempt())
	if task.State == wire.TaskState_TASK_ABSENT {
		task.State, task.JobId = wire.TaskState_TASK_PREPARED, request.GetJob().GetId()
		a.bodies = append(a.bodies, string(request.GetBody()))
		a.resumes = append(a.resumes, request.GetResumeMs())
	}
	a.fillResponse(response, request.GetEpoch(), task)
	return nil
}

// Start implements Agent.Start.
func (a *fakeAgent) Start(request *wire.StartRequest, response *wire.TaskResponse) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	task := a.task(request.GetAttempt())
	switch {
	case task.State == wire.TaskState_TASK_ABSENT || a.refuseStart:
		task.State = wire.TaskState_TASK_REFUSED
	case task.State == wire.TaskState_TASK_PREPARED:
		task.State, task.Started = wire.TaskState_TASK_RUNNING, true
		a.starts++
		if a.endState != nil {
			task.State = a.endState(task.JobId)
			task.HasResult = true
		}
	}
	a.fillResponse(response, request.GetEpoch(), task)
	return nil
}

// Stop implements Agent.Stop.
func (a *fakeAgent) Stop(request *wire.StopRequest, response *wire.TaskResponse) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	task := a.task(request.GetAttempt())
	a.stops++
	switch task.State {
	case wire.TaskState_TASK_RUNNING:
		task.State = wire.TaskState_TASK_STOPPED
		if request.GetCheckpoint() {
			task.CheckpointMs = a.checkpointMs
		}
	case wire.TaskState_TASK_ABSENT, wire.TaskState_TASK_PREPARED:
		task.State = wire.TaskState_TASK_REFUSED
	}
	a.fillResponse(response, request.GetEpoch(), task)
	return nil
}

// Query implements Agent.Query.
func (a *fakeAgent) Query(request *wire.QueryRequest, response *wire.TaskResponse) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fillResponse(response, request.GetEpoch(), a.task(request.GetAttempt()))
	return nil
}

// finish ends all running tasks in the given state.
func (a *fakeAgent) finish(state wire.TaskState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, task := range a.tasks {
		if task.State == wire.TaskState_TASK_RUNNING {
			task.State = state
			task.HasResult, task.Result = state == wire.TaskState_TASK_DONE, []byte("result of "+task.JobId)
		}
	}
}

// fakePolicy places each waiting job on the first workers. With preemptAll it also
// preempts every running job, and with placeNone it places none.
type fakePolicy struct {
	mu         sync.Mutex
	preemptAll bool
	placeNone  bool
}

func (p *fakePolicy) set(preemptAll, placeNone bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.preemptAll, p.placeNone = preemptAll, placeNone
}

// Decide implements place.Policy.
func (p *fakePolicy) Decide(state *place.State, _ time.Time) []place.Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	var actions []place.Action
	for _, r := range state.Running {
		if p.preemptAll {
			actions = append(actions, place.Action{Preempt: &place.Preempt{JobID: r.Job.ID}})
		}
	}
	for _, j := range state.Queue {
		if p.placeNone || !state.InService || len(state.Workers) < j.Tasks {
			continue
		}
		var names []string
		for _, w := range state.Workers[:j.Tasks] {
			names = append(names, w.Name)
		}
		actions = append(actions, place.Action{Place: &place.Place{JobID: j.ID, Workers: names}})
	}
	return actions
}

// harness runs a scheduler with fake agents and a fake store in a synctest bubble.
type harness struct {
	t              *testing.T
	store          *fakekv.Server
	policy         *fakePolicy
	policyOverride place.Policy // if set, takeDuty uses it instead of policy
	agents         []*fakeAgent
	outOfService   bool // guarded by mu: the permit says that the data centre is out of service
	mu             sync.Mutex
	scheduler      *Scheduler
	stop           func()
}

// withScheduler calls f, in a synctest bubble, with a harness whose scheduler has
// epoch 1 and has received reports from the given number of workers.
func withScheduler(t *testing.T, workers int, f func(t *testing.T, h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := &harness{t: t, store: fakekv.New(), policy: new(fakePolicy)}
		for i := range workers {
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+i))
			a := &fakeAgent{bootID: "first", listener: pipe.New(addr), tasks: make(map[string]*wire.TaskStatus)}
			server, err := link.NewServer()
			if err != nil {
				t.Fatal(err)
			}
			if err := server.Register("Agent", a); err != nil {
				t.Fatal(err)
			}
			go server.Serve(a.listener)
			defer server.Close()
			defer a.listener.Close()
			h.agents = append(h.agents, a)
		}
		h.takeDuty(1)
		defer func() { h.stop() }()
		f(t, h)
	})
}

// takeDuty replaces the scheduler by one with the given epoch, as after a takeover,
// and waits until it may place jobs.
func (h *harness) takeDuty(epoch int64) {
	if h.stop != nil {
		h.stop()
	}
	pool := link.NewPool(func(ctx context.Context, network, addr string) (net.Conn, error) {
		addrPort := netip.MustParseAddrPort(addr)
		return h.agents[addrPort.Port()-1000].listener.Dial(ctx, network, addr)
	})
	policy := place.Policy(h.policy)
	if h.policyOverride != nil {
		policy = h.policyOverride
	}
	h.scheduler = New(Options{
		DataCentre: "dc", Epoch: epoch, Holder: "entry", Store: h.store, Pool: pool, Policy: policy,
		Config: func() *decl.Set { return new(decl.Set) },
		Permit: func() permit.Permit {
			h.mu.Lock()
			defer h.mu.Unlock()
			return permit.Permit{DataCentre: "dc", InService: !h.outOfService, Version: 1, ReadAt: time.Now()}
		},
	})
	ctx, cancel := context.WithCancel(h.t.Context())
	ended := make(chan struct{})
	scheduler := h.scheduler
	go func() {
		defer close(ended)
		scheduler.Run(ctx)
	}()
	h.stop = func() {
		cancel()
		<-ended
		pool.Close()
		h.stop = nil
	}
	h.advance(2 * time.Second)
}

// advance lets the time d pass while every agent reports every 100 ms.
func (h *harness) advance(d time.Duration) {
	const step = 100 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
		h.reportAll()
	}
	synctest.Wait()
}

// reportAll sends one report of every agent to the scheduler.
func (h *harness) reportAll() {
	for i, a := range h.agents {
		a.mu.Lock()
		a.sequence++
		report := &wire.Report{
			Worker: fmt.Sprintf("w%d", i), BootId: a.bootID, Address: a.listener.Addr().String(), DataCentre: "dc",
			Accelerators: 8, Slots: 8, Epoch: h.scheduler.opts.Epoch, Sequence: a.sequence,
		}
		for _, task := range a.tasks {
			if task.State != wire.TaskState_TASK_ABSENT {
				status := proto.CloneOf(task)
				if a.hideResults {
					status.HasResult, status.Result = false, nil
				}
				report.Tasks = append(report.Tasks, status)
			}
		}
		a.mu.Unlock()
		response, err := h.scheduler.Report(h.t.Context(), report)
		if err != nil {
			h.t.Fatal(err)
		}
		a.settled = response.GetSettled()
	}
}

// submit submits a job in the background and returns the response, which is filled
// in once the scheduler has answered.
func (h *harness) submit(job *wire.Job, revision int64, record *wire.JobRecord) *wire.SubmitResponse {
	h.t.Helper()
	answer := new(wire.SubmitResponse)
	request := &wire.SubmitRequest{Job: job, Body: []byte("body"), RecordRevision: revision, Record: record}
	scheduler := h.scheduler
	go func() {
		response, err := scheduler.Submit(context.Background(), request)
		if err == nil {
			proto.Merge(answer, response)
		}
	}()
	synctest.Wait()
	return answer
}

// writeAccepted writes the record of an accepted job as an entry does, and returns
// its revision and the record.
func (h *harness) writeAccepted(job *wire.Job) (int64, *wire.JobRecord) {
	h.t.Helper()
	record := &wire.JobRecord{Job: job, Phase: wire.JobRecord_ACCEPTED, AcceptedBy: "boot", BodyParts: 1}
	return h.writeRecord(record, 0), record
}

func (h *harness) writeRecord(record *wire.JobRecord, revision int64) int64 {
	h.t.Helper()
	data, err := proto.Marshal(record)
	if err != nil {
		h.t.Fatal(err)
	}
	newRevision, err := h.store.Put(h.t.Context(), RecordKey(record.GetJob().GetId()), data, revision, 0)
	if err != nil {
		h.t.Fatal(err)
	}
	return newRevision
}

func (h *harness) readRecord(id string) (*wire.JobRecord, store.Item) {
	h.t.Helper()
	item, err := h.store.Get(h.t.Context(), RecordKey(id))
	if err != nil {
		h.t.Fatal(err)
	}
	record := new(wire.JobRecord)
	if err := proto.Unmarshal(item.Value, record); err != nil {
		h.t.Fatal(err)
	}
	return record, item
}

func nonIdempotentJob(tasks int32) *wire.Job {
	return &wire.Job{Id: "job", Customer: "c", Tasks: tasks, Accelerators: 1, Checkpointable: true}
}

func idempotentJob() *wire.Job {
	j := nonIdempotentJob(1)
	j.Idempotent = true
	return j
}

// Name implements place.Policy.
func (p *fakePolicy) Name() string { return "place all" }

// submitUnplaceable submits a job that is never placed: the policy is asked only
// while a job waits.
func (h *harness) submitUnplaceable() {
	h.t.Helper()
	h.submit(&wire.Job{Id: "waiting", Customer: "c", Tasks: 99}, 0, nil)
}
