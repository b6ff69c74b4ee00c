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

// fakeAgent keeps the states of tasks as an agent does; tests change them.
type fakeAgent struct {
	mu       sync.Mutex
	boot     string
	sequence int64
	listener *pipe.Listener
	tasks    map[string]*wire.TaskStatus
	bodies   []string // of all Prepares
	resumes  []int64
	starts   int
	stops    int
	// refuseStart makes every Start end as a refusal.
	refuseStart bool
	// hidden leaves results out of reports, as agents do with large ones.
	hidden bool
	// end, if it is there, tells the state in which a started task ends at once.
	end func(job string) wire.TaskState
	// checkpoint is what a Stop with a checkpoint saves, in milliseconds.
	checkpoint int64
}

func (a *fakeAgent) answer(response *wire.TaskResponse, epoch int64, status *wire.TaskStatus) {
	response.BootId, response.Epoch, response.Status = a.boot, epoch, proto.CloneOf(status)
}

func (a *fakeAgent) task(id string) *wire.TaskStatus {
	if a.tasks[id] == nil {
		a.tasks[id] = &wire.TaskStatus{Attempt: id, State: wire.TaskState_TASK_ABSENT}
	}
	return a.tasks[id]
}

// Prepare implements the agent's call.
func (a *fakeAgent) Prepare(request *wire.PrepareRequest, response *wire.TaskResponse) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	task := a.task(request.GetAttempt())
	if task.State == wire.TaskState_TASK_ABSENT {
		task.State, task.JobId = wire.TaskState_TASK_PREPARED, request.GetJob().GetId()
		a.bodies = append(a.bodies, string(request.GetBody()))
		a.resumes = append(a.resumes, request.GetResumeMs())
	}
	a.answer(response, request.GetEpoch(), task)
	return nil
}

// Start implements the agent's call.
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
		if a.end != nil {
			task.State = a.end(task.JobId)
			task.HasResult = true
		}
	}
	a.answer(response, request.GetEpoch(), task)
	return nil
}

// Stop implements the agent's call.
func (a *fakeAgent) Stop(request *wire.StopRequest, response *wire.TaskResponse) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	task := a.task(request.GetAttempt())
	a.stops++
	switch task.State {
	case wire.TaskState_TASK_RUNNING:
		task.State = wire.TaskState_TASK_STOPPED
		if request.GetCheckpoint() {
			task.CheckpointMs = a.checkpoint
		}
	case wire.TaskState_TASK_ABSENT, wire.TaskState_TASK_PREPARED:
		task.State = wire.TaskState_TASK_REFUSED
	}
	a.answer(response, request.GetEpoch(), task)
	return nil
}

// Query implements the agent's call.
func (a *fakeAgent) Query(request *wire.QueryRequest, response *wire.TaskResponse) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answer(response, request.GetEpoch(), a.task(request.GetAttempt()))
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

// placeAll places each waiting job on the first workers, and preempts on demand.
type placeAll struct {
	mu      sync.Mutex
	preempt bool
	idle    bool
}

func (p *placeAll) set(preempt, idle bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.preempt, p.idle = preempt, idle
}

// Decide implements place.Policy.
func (p *placeAll) Decide(state *place.State, _ time.Time) []place.Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	var actions []place.Action
	for _, r := range state.Running {
		if p.preempt {
			actions = append(actions, place.Action{Preempt: &place.Preempt{JobID: r.Job.ID}})
		}
	}
	for _, j := range state.Queue {
		if p.idle || !state.InService || len(state.Workers) < j.Tasks {
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

// world is a scheduler with fake agents and a store; it runs inside synctest.
type world struct {
	t      *testing.T
	store  *fakekv.Server
	policy *placeAll
	real   place.Policy // used instead, if it is there
	agents []*fakeAgent
	out    bool // the data centre is out of service
	mu     sync.Mutex
	s      *Scheduler
	stop   func()
}

func run(t *testing.T, workers int, f func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, store: fakekv.New(), policy: new(placeAll)}
		for i := range workers {
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+i))
			a := &fakeAgent{boot: "first", listener: pipe.New(addr), tasks: make(map[string]*wire.TaskStatus)}
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
			w.agents = append(w.agents, a)
		}
		w.takeDuty(1)
		defer func() { w.stop() }()
		f(t, w)
	})
}

// takeDuty replaces the scheduler by one with the given epoch, as after a takeover.
func (w *world) takeDuty(epoch int64) {
	if w.stop != nil {
		w.stop()
	}
	pool := link.NewPool(func(ctx context.Context, network, addr string) (net.Conn, error) {
		at := netip.MustParseAddrPort(addr)
		return w.agents[at.Port()-1000].listener.Dial(ctx, network, addr)
	})
	policy := place.Policy(w.policy)
	if w.real != nil {
		policy = w.real
	}
	w.s = New(Options{
		DataCentre: "dc", Epoch: epoch, Holder: "entry", Store: w.store, Pool: pool, Policy: policy,
		Config: func() *decl.Set { return new(decl.Set) },
		Permit: func() permit.Permit {
			w.mu.Lock()
			defer w.mu.Unlock()
			return permit.Permit{DataCentre: "dc", InService: !w.out, Version: 1, ReadAt: time.Now()}
		},
	})
	ctx, cancel := context.WithCancel(w.t.Context())
	ended := make(chan struct{})
	scheduler := w.s
	go func() {
		defer close(ended)
		scheduler.Run(ctx)
	}()
	w.stop = func() {
		cancel()
		<-ended
		pool.Close()
		w.stop = nil
	}
	w.wait(2 * time.Second)
}

// wait lets time pass while every agent reports.
func (w *world) wait(d time.Duration) {
	const step = 100 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
		w.reportAll()
	}
	synctest.Wait()
}

func (w *world) reportAll() {
	for i, a := range w.agents {
		a.mu.Lock()
		a.sequence++
		report := &wire.Report{
			Worker: fmt.Sprintf("w%d", i), BootId: a.boot, Address: a.listener.Addr().String(), DataCentre: "dc",
			Accelerators: 8, Slots: 8, Epoch: w.s.opts.Epoch, Sequence: a.sequence,
		}
		for _, task := range a.tasks {
			if task.State != wire.TaskState_TASK_ABSENT {
				status := proto.CloneOf(task)
				if a.hidden {
					status.HasResult, status.Result = false, nil
				}
				report.Tasks = append(report.Tasks, status)
			}
		}
		a.mu.Unlock()
		if _, err := w.s.Report(w.t.Context(), report); err != nil {
			w.t.Fatal(err)
		}
	}
}

// submit sends a job in the background and returns where its answer appears.
func (w *world) submit(job *wire.Job, revision int64, record *wire.JobRecord) *wire.SubmitResponse {
	w.t.Helper()
	answer := new(wire.SubmitResponse)
	request := &wire.SubmitRequest{Job: job, Body: []byte("body"), RecordRevision: revision, Record: record}
	scheduler := w.s
	go func() {
		response, err := scheduler.Submit(context.Background(), request)
		if err == nil {
			proto.Merge(answer, response)
		}
	}()
	synctest.Wait()
	return answer
}

// accept writes the record of an accepted job as an entry does.
func (w *world) accept(job *wire.Job) (int64, *wire.JobRecord) {
	w.t.Helper()
	record := &wire.JobRecord{Job: job, Phase: wire.JobRecord_ACCEPTED, AcceptedBy: "boot", BodyParts: 1}
	return w.write(record, 0), record
}

func (w *world) write(record *wire.JobRecord, revision int64) int64 {
	w.t.Helper()
	data, err := proto.Marshal(record)
	if err != nil {
		w.t.Fatal(err)
	}
	next, err := w.store.Put(w.t.Context(), RecordKey(record.GetJob().GetId()), data, revision, 0)
	if err != nil {
		w.t.Fatal(err)
	}
	return next
}

func (w *world) record(id string) (*wire.JobRecord, store.Item) {
	w.t.Helper()
	item, err := w.store.Get(w.t.Context(), RecordKey(id))
	if err != nil {
		w.t.Fatal(err)
	}
	record := new(wire.JobRecord)
	if err := proto.Unmarshal(item.Value, record); err != nil {
		w.t.Fatal(err)
	}
	return record, item
}

func onceJob(tasks int32) *wire.Job {
	return &wire.Job{Id: "job", Customer: "c", Tasks: tasks, Accelerators: 1, Checkpointable: true}
}

func idempotentJob() *wire.Job {
	j := onceJob(1)
	j.Idempotent = true
	return j
}

// Name implements place.Policy.
func (p *placeAll) Name() string { return "place all" }

// waitingJob submits a job that is never placed, so that the policy is asked.
func (w *world) waitingJob() {
	w.t.Helper()
	w.submit(&wire.Job{Id: "waiting", Customer: "c", Tasks: 99}, 0, nil)
}
