package relay

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"catkinpoint/flow"
	"catkinpoint/graph"
)

// fakeWorker keeps the rules of a worker: epochs, run numbers, ends that are
// listed until they are observed.
type fakeWorker struct {
	mu       sync.Mutex
	id       string
	born     int64
	start    time.Time
	epoch    int64
	running  map[string]*flow.Run
	over     map[string]int64 // highest run that was stopped or has ended
	ends     []*flow.End
	deadline time.Duration
	silent   bool
	absent   bool // nothing listens at its address
	// late makes starts unanswered; they are carried out after it.
	late    time.Duration
	refuse  string
	holds   int
	starts  []string
	lastRun int64
}

func newFakeWorker() *fakeWorker {
	return &fakeWorker{id: "w1", born: 100, start: time.Now(), running: map[string]*flow.Run{}, over: map[string]int64{}}
}

var errSilent = errors.New("no answer")

func (w *fakeWorker) enter(call Call) (string, error) {
	if w.absent {
		return "", ErrNoWorker
	}
	if w.silent {
		return "", errSilent
	}
	if call.Worker != w.id {
		return "", ErrOtherWorker
	}
	if call.Epoch < w.epoch {
		return AnswerFenced, nil
	}
	w.epoch = call.Epoch
	w.deadline = max(w.deadline, call.Deadline)
	return "", nil
}

func (w *fakeWorker) Start(_ context.Context, call Call, s *flow.Start) (string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.late > 0 {
		time.AfterFunc(w.late, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			_, _ = w.carryOut(call, s) // nobody waits for the answer
		})
		return "", errSilent
	}
	return w.carryOut(call, s)
}

func (w *fakeWorker) carryOut(call Call, s *flow.Start) (string, error) {
	if answer, err := w.enter(call); err != nil || answer != "" {
		return answer, err
	}
	if w.refuse != "" {
		return w.refuse, nil
	}
	if s.GetRun() <= w.over[s.GetTask()] {
		return graph.RefusedRun, nil
	}
	w.starts = append(w.starts, s.GetTask())
	w.running[s.GetTask()] = &flow.Run{Task: s.GetTask(), Run: s.GetRun()}
	return AnswerStarted, nil
}

func (w *fakeWorker) Stop(_ context.Context, call Call, s *flow.Stop) (string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if answer, err := w.enter(call); err != nil || answer != "" {
		return answer, err
	}
	w.over[s.GetTask()] = max(w.over[s.GetTask()], s.GetRun())
	if r := w.running[s.GetTask()]; r != nil && r.GetRun() == s.GetRun() {
		w.end(s.GetTask(), "stopped")
	}
	return "", nil
}

// read looks at the worker under its lock.
func (w *fakeWorker) read(look func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	look()
}

// end ends what runs; the caller holds the lock.
func (w *fakeWorker) end(task, how string) {
	r := w.running[task]
	delete(w.running, task)
	w.over[task] = max(w.over[task], r.GetRun())
	w.lastRun++
	w.ends = append(w.ends, &flow.End{Number: w.lastRun, Task: task, Run: r.GetRun(), How: how})
}

func (w *fakeWorker) Hold(ctx context.Context, call Call, observed int64, wait time.Duration) (Lists, error) {
	w.mu.Lock()
	answer, err := w.enter(call)
	w.mu.Unlock()
	if errors.Is(err, ErrNoWorker) {
		return Lists{}, err
	}
	if err != nil {
		<-ctx.Done() // a silent worker does not answer
		return Lists{}, err
	}
	if answer != "" {
		return Lists{}, errors.New(answer)
	}
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		w.mu.Lock()
		listed := len(w.ends) > 0 && w.ends[len(w.ends)-1].GetNumber() > observed
		w.mu.Unlock()
		if listed {
			break
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.holds++
	for len(w.ends) > 0 && w.ends[0].GetNumber() <= observed {
		w.ends = w.ends[1:]
	}
	lists := Lists{Clock: time.Since(w.start) + time.Second, Born: w.born}
	for _, r := range w.running {
		lists.Running = append(lists.Running, r)
	}
	lists.Ends = append(lists.Ends, w.ends...)
	return lists, nil
}

// fakeScheduler gives out orders and keeps the last report.
type fakeScheduler struct {
	mu     sync.Mutex
	orders *flow.Orders
	last   *flow.Report
	down   bool
}

func (f *fakeScheduler) attend(ctx context.Context, _ netip.AddrPort, r *flow.Report) (*flow.Orders, error) {
	f.mu.Lock()
	if f.down {
		f.mu.Unlock()
		return nil, errors.New("not the holder")
	}
	f.last = r
	orders := f.orders
	f.mu.Unlock()
	timer := time.NewTimer(100 * time.Millisecond)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-timer.C:
	}
	return orders, nil
}

func (f *fakeScheduler) set(change func(*flow.Orders)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := &flow.Orders{Version: f.orders.GetVersion() + 1, Epoch: f.orders.GetEpoch(), LeaseMs: 9000, PermitMs: 4000, Worker: "w1", WorkerBornMs: 100}
	change(next)
	f.orders = next
}

func (f *fakeScheduler) report() *flow.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.last
}

type relayWorld struct {
	worker    *fakeWorker
	scheduler *fakeScheduler
	relay     *Relay
}

func withRelay(t *testing.T, test func(t *testing.T, w *relayWorld)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := &relayWorld{worker: newFakeWorker(), scheduler: &fakeScheduler{}}
		w.scheduler.set(func(o *flow.Orders) { o.Epoch = 5 })
		w.relay = New(Options{
			Name: "r", Worker: w.worker, Attend: w.scheduler.attend,
			Find: func(context.Context) (netip.AddrPort, error) { return netip.MustParseAddrPort("127.0.0.1:1"), nil },
		})
		done := make(chan struct{})
		go func() {
			defer close(done)
			if err := w.relay.Run(ctx); err != nil {
				t.Errorf("relay: %v", err)
			}
		}()
		w.beat(t, 1, false)
		time.Sleep(2 * time.Second)
		test(t, w)
		cancel()
		<-done
		time.Sleep(5 * time.Second) // calls under way end
	})
}

func (w *relayWorld) beat(t *testing.T, sequence int64, draining bool) {
	t.Helper()
	beat := Beat{Worker: &flow.Worker{Id: "w1", BornMs: 100, Draining: draining}, Clock: time.Second, Sequence: sequence}
	if err := w.relay.Beat(t.Context(), beat); err != nil {
		t.Fatal(err)
	}
}

func oneStart(o *flow.Orders) { o.Starts = []*flow.Start{{Task: "a.0.0.0", Run: 1, Spec: "x"}} }

func refusalsOf(r *flow.Report) string {
	text := ""
	for _, refusal := range r.GetRefusals() {
		text += refusal.GetTask() + "/" + refusal.GetReason() + " "
	}
	return text
}

func TestStartRunsAndEnds(t *testing.T) {
	withRelay(t, func(t *testing.T, w *relayWorld) {
		if r := w.scheduler.report(); !r.GetListed() || r.GetEpoch() != 5 {
			t.Fatalf("not listed under the epoch: %v", r)
		}
		w.scheduler.set(oneStart)
		time.Sleep(time.Second)
		if r := w.scheduler.report(); len(r.GetRunning()) != 1 {
			t.Errorf("running: %v", r.GetRunning())
		}
		w.worker.mu.Lock()
		w.worker.end("a.0.0.0", "done")
		w.worker.mu.Unlock()
		time.Sleep(time.Second)
		if r := w.scheduler.report(); len(r.GetEnds()) != 1 || len(r.GetRunning()) != 0 {
			t.Errorf("report after the end: %v", r)
		}
		// While the end is not stored, the worker is not asked in a loop.
		var before, after int
		w.worker.read(func() { before = w.worker.holds })
		time.Sleep(time.Second)
		w.worker.read(func() { after = w.worker.holds })
		if looks := after - before; looks > 12 {
			t.Errorf("%d looks in a second", looks)
		}
		w.scheduler.set(func(o *flow.Orders) { o.Observed = 1 })
		time.Sleep(time.Second)
		w.worker.read(func() {
			if len(w.worker.ends) != 0 {
				t.Errorf("ends that the worker still lists: %v", w.worker.ends)
			}
		})
	})
}

// A start without an answer is given up by a stop; when it is carried out late,
// the worker rejects it, and only then may the task run elsewhere.
func TestLateStartNeverRuns(t *testing.T) {
	withRelay(t, func(t *testing.T, w *relayWorld) {
		w.worker.read(func() { w.worker.late = 8 * time.Second })
		w.scheduler.set(oneStart)
		time.Sleep(4 * time.Second)
		if got := refusalsOf(w.scheduler.report()); got != "a.0.0.0/unanswered " {
			t.Fatalf("refusals: %q", got)
		}
		time.Sleep(10 * time.Second)
		w.worker.read(func() {
			if len(w.worker.starts) != 0 {
				t.Errorf("late starts were carried out: %v", w.worker.starts)
			}
		})
	})
}

func TestRejectedStartIsRefused(t *testing.T) {
	tests := []struct{ reason, want string }{
		{graph.RefusedRoom, "a.0.0.0/no_room "},
		{graph.RefusedUnhealthy, "a.0.0.0/unhealthy "},
	}
	for _, test := range tests {
		t.Run(test.reason, func(t *testing.T) {
			withRelay(t, func(t *testing.T, w *relayWorld) {
				w.worker.read(func() { w.worker.refuse = test.reason })
				w.scheduler.set(oneStart)
				time.Sleep(2 * time.Second)
				if got := refusalsOf(w.scheduler.report()); got != test.want {
					t.Errorf("refusals: %q; want %q", got, test.want)
				}
			})
		})
	}
}

// A draining worker gets no start, and the run is made impossible before it is
// refused: an earlier process of the relay may have sent it.
func TestDrainingWorkerGetsNoStart(t *testing.T) {
	withRelay(t, func(t *testing.T, w *relayWorld) {
		w.beat(t, 2, true)
		w.scheduler.set(oneStart)
		time.Sleep(2 * time.Second)
		w.worker.read(func() {
			if len(w.worker.starts) != 0 || w.worker.over["a.0.0.0"] != 1 {
				t.Errorf("starts %v, run rejected up to %d", w.worker.starts, w.worker.over["a.0.0.0"])
			}
		})
		if got := refusalsOf(w.scheduler.report()); got != "a.0.0.0/draining " {
			t.Errorf("refusals: %q", got)
		}
	})
}

// Without a scheduler the lease is not extended beyond what it allowed.
func TestLeaseEndsWithoutScheduler(t *testing.T) {
	withRelay(t, func(t *testing.T, w *relayWorld) {
		w.scheduler.set(oneStart)
		time.Sleep(time.Second)
		w.scheduler.mu.Lock()
		w.scheduler.down = true
		w.scheduler.mu.Unlock()
		cut := time.Since(w.worker.start) + time.Second // on the worker's clock
		time.Sleep(15 * time.Second)
		w.worker.read(func() {
			if w.worker.deadline > cut+9*time.Second {
				t.Errorf("the lease was extended to %v after the cut", w.worker.deadline-cut)
			}
		})
	})
}

// A worker that does not answer is reported as gone once its lease has surely
// run out, and not before.
func TestSilentWorkerIsGoneAfterItsLease(t *testing.T) {
	withRelay(t, func(t *testing.T, w *relayWorld) {
		w.scheduler.set(oneStart)
		time.Sleep(time.Second)
		w.worker.mu.Lock()
		w.worker.silent = true
		w.worker.mu.Unlock()
		time.Sleep(6 * time.Second)
		if w.scheduler.report().GetWorker().GetGone() {
			t.Error("gone while the lease may hold")
		}
		time.Sleep(6 * time.Second)
		if !w.scheduler.report().GetWorker().GetGone() {
			t.Error("not gone after the lease")
		}
	})
}

// A heartbeat of an earlier process that arrives late changes nothing.
func TestLateHeartbeatOfEarlierProcess(t *testing.T) {
	withRelay(t, func(t *testing.T, w *relayWorld) {
		old := Beat{Worker: &flow.Worker{Id: "w0", BornMs: 50}, Sequence: 99}
		if err := w.relay.Beat(t.Context(), old); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if got := w.scheduler.report().GetWorker().GetId(); got != "w1" {
			t.Errorf("worker %q; want w1", got)
		}
	})
}

// A worker at whose address nothing listens has ended, and with it what it ran;
// its lease need not run out. One refused connection proves nothing, and a
// heartbeat after that shows that it lives.
func TestWorkerWithoutListenerIsGone(t *testing.T) {
	withRelay(t, func(t *testing.T, w *relayWorld) {
		w.scheduler.set(oneStart)
		time.Sleep(time.Second)
		w.worker.mu.Lock()
		w.worker.absent = true
		w.worker.mu.Unlock()
		time.Sleep(time.Second)
		if !w.scheduler.report().GetWorker().GetGone() {
			t.Error("not gone a second after its end")
		}
		w.worker.mu.Lock()
		w.worker.absent = false
		w.worker.mu.Unlock()
		w.beat(t, 2, false)
		time.Sleep(time.Second)
		if w.scheduler.report().GetWorker().GetGone() {
			t.Error("gone after a heartbeat")
		}
	})
}

func TestOneRefusedConnectionIsNoEnd(t *testing.T) {
	withRelay(t, func(t *testing.T, w *relayWorld) {
		w.scheduler.set(oneStart)
		time.Sleep(time.Second)
		for range 5 {
			w.worker.mu.Lock()
			w.worker.absent = true
			w.worker.mu.Unlock()
			time.Sleep(absentPause - 10*time.Millisecond)
			w.worker.mu.Lock()
			w.worker.absent = false
			w.worker.mu.Unlock()
			time.Sleep(time.Second)
			if w.scheduler.report().GetWorker().GetGone() {
				t.Fatal("gone after one refused connection")
			}
		}
	})
}
