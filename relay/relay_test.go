package relay

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"catkinpoint/flow"
	"catkinpoint/graph"
)

// fakeWorker behaves as a worker: it rejects low epochs and run numbers, and lists ends
// until they are observed.
type fakeWorker struct {
	mu           sync.Mutex
	id           string
	born         int64
	start        time.Time
	epoch        int64
	running      map[string]*flow.Run
	rejectedUpTo map[string]int64 // by task, the highest run that was stopped or has ended
	ends         []*flow.End
	deadline     time.Duration // end of the task lease, on the worker's clock
	silent       bool          // no call is answered
	notListening bool          // nothing listens at its address
	// startDelay, if not 0, leaves starts without an answer and carries them out after
	// that time.
	startDelay time.Duration
	refusal    string // if not empty, the reason with which starts are rejected
	// stopAnswers are given to the next stops, which are not carried out.
	stopAnswers []Answer
	holdAnswer  Answer // if it is not the zero value, the answer to holds
	holdCount   int
	calls       int
	starts      []string // tasks that were started
	lastEnd     int64    // number of the last end
}

func newFakeWorker() *fakeWorker {
	return &fakeWorker{id: "w1", born: 100, start: time.Now(), running: map[string]*flow.Run{}, rejectedUpTo: map[string]int64{}}
}

var errSilent = errors.New("no answer")

// checkCall applies the epoch and the deadline of a call, unless its answer is that the
// call is not carried out. The caller holds w.mu.
func (w *fakeWorker) checkCall(call Call) Answer {
	w.calls++
	if w.notListening {
		return NotReached(ErrNoWorker)
	}
	if w.silent {
		return Unknown(errSilent)
	}
	if call.Worker != w.id {
		return NotReached(ErrOtherWorker)
	}
	if call.BornMS != 0 && call.BornMS != w.born {
		return NotReached(ErrReplaced)
	}
	if call.Epoch < w.epoch {
		return NothingDone(graph.RefusedStaleEpoch)
	}
	w.epoch = call.Epoch
	w.deadline = max(w.deadline, call.Deadline)
	return Done()
}

// late returns a call that is carried out late, by any process with the id that it names.
func late(call Call) Call {
	call.BornMS = 0
	return call
}

func (w *fakeWorker) Start(_ context.Context, call Call, s *flow.Start) Answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.startDelay > 0 {
		time.AfterFunc(w.startDelay, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.startRun(late(call), s) // nobody waits for the answer
		})
		return Unknown(errSilent)
	}
	return w.startRun(call, s)
}

// startRun carries out a start. The caller holds w.mu.
func (w *fakeWorker) startRun(call Call, s *flow.Start) Answer {
	if answer := w.checkCall(call); answer != Done() {
		return answer
	}
	if w.refusal != "" {
		return NothingDone(w.refusal)
	}
	if s.GetRun() <= w.rejectedUpTo[s.GetTask()] {
		return NothingDone(graph.RefusedStaleRun)
	}
	w.starts = append(w.starts, s.GetTask())
	w.running[s.GetTask()] = &flow.Run{Task: s.GetTask(), Run: s.GetRun()}
	return Done()
}

func (w *fakeWorker) Stop(_ context.Context, call Call, s *flow.Stop) Answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.stopAnswers) > 0 {
		answer := w.stopAnswers[0]
		w.stopAnswers = w.stopAnswers[1:]
		return answer
	}
	if answer := w.checkCall(call); answer != Done() {
		return answer
	}
	w.rejectedUpTo[s.GetTask()] = max(w.rejectedUpTo[s.GetTask()], s.GetRun())
	if r := w.running[s.GetTask()]; r != nil && r.GetRun() == s.GetRun() {
		w.endRun(s.GetTask(), "stopped")
	}
	return Done()
}

// withLock runs f while it holds w.mu.
func (w *fakeWorker) withLock(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// endRun ends the run of a task. The caller holds w.mu.
func (w *fakeWorker) endRun(task, how string) {
	r := w.running[task]
	delete(w.running, task)
	w.rejectedUpTo[task] = max(w.rejectedUpTo[task], r.GetRun())
	w.lastEnd++
	w.ends = append(w.ends, &flow.End{Number: w.lastEnd, Task: task, Run: r.GetRun(), How: how})
}

func (w *fakeWorker) Hold(ctx context.Context, call Call, observed int64, wait time.Duration) (RunLists, Answer) {
	w.mu.Lock()
	answer := w.checkCall(call)
	if answer == Done() && w.holdAnswer != (Answer{}) {
		answer = w.holdAnswer
	}
	w.mu.Unlock()
	if answer.Effect() == EffectUnknown {
		<-ctx.Done() // a silent worker does not answer
	}
	if answer != Done() {
		return RunLists{}, answer
	}
	for deadline := time.Now().Add(wait); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		w.mu.Lock()
		unobserved := len(w.ends) > 0 && w.ends[len(w.ends)-1].GetNumber() > observed
		w.mu.Unlock()
		if unobserved {
			break
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.notListening {
		return RunLists{}, Unknown(errSilent) // the process ended while the call waited
	}
	w.holdCount++
	for len(w.ends) > 0 && w.ends[0].GetNumber() <= observed {
		w.ends = w.ends[1:]
	}
	lists := RunLists{Clock: time.Since(w.start) + time.Second, Born: w.born}
	for _, r := range w.running {
		lists.Running = append(lists.Running, r)
	}
	lists.Ends = append(lists.Ends, w.ends...)
	return lists, Done()
}

// fakeScheduler answers reports with its orders and keeps the latest report. As the
// scheduler does, it ignores a report that a later one has overtaken.
type fakeScheduler struct {
	mu       sync.Mutex
	orders   *flow.Orders
	received *flow.Report
	down     bool
}

// handleReport answers a report after 100 ms, with the orders as they were before.
func (f *fakeScheduler) handleReport(ctx context.Context, _ netip.AddrPort, r *flow.Report) (*flow.Orders, error) {
	f.mu.Lock()
	if f.down {
		f.mu.Unlock()
		return nil, errors.New("not the holder")
	}
	if r.GetSequence() > f.received.GetSequence() {
		f.received = r
	}
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

// setOrders replaces the orders by ones of the next version, to which edit adds starts,
// stops and the like.
func (f *fakeScheduler) setOrders(edit func(*flow.Orders)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := &flow.Orders{Version: f.orders.GetVersion() + 1, Epoch: f.orders.GetEpoch(), LeaseMs: 9000, PermitMs: 4000, Worker: "w1", WorkerBornMs: 100}
	edit(next)
	f.orders = next
}

func (f *fakeScheduler) lastReport() *flow.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.received
}

// relayFixture is a relay with a fake worker and a fake scheduler.
type relayFixture struct {
	worker    *fakeWorker
	scheduler *fakeScheduler
	relay     *Relay
}

// withRelay runs a test under the clock of synctest, with a relay that has received a
// heartbeat and orders of epoch 5.
func withRelay(t *testing.T, test func(t *testing.T, f *relayFixture)) {
	withIdleRelay(t, func(t *testing.T, f *relayFixture) {
		f.heartbeat(t, 1, false)
		time.Sleep(2 * time.Second)
		test(t, f)
	})
}

// withIdleRelay runs a test under the clock of synctest, with a relay that knows no
// worker yet.
func withIdleRelay(t *testing.T, test func(t *testing.T, f *relayFixture)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &relayFixture{worker: newFakeWorker(), scheduler: &fakeScheduler{}}
		f.scheduler.setOrders(func(o *flow.Orders) { o.Epoch = 5 })
		f.relay = New(Options{
			Name: "r", Worker: f.worker, SendReport: f.scheduler.handleReport,
			FindScheduler: func(context.Context) (netip.AddrPort, error) { return netip.MustParseAddrPort("127.0.0.1:1"), nil },
		})
		done := make(chan struct{})
		go func() {
			defer close(done)
			if err := f.relay.Run(ctx); err != nil {
				t.Errorf("relay: %v", err)
			}
		}()
		test(t, f)
		cancel()
		<-done
		time.Sleep(5 * time.Second) // until pending calls have ended
	})
}

// heartbeat passes a heartbeat of the worker to the relay.
func (f *relayFixture) heartbeat(t *testing.T, sequence int64, draining bool) {
	t.Helper()
	message := Heartbeat{Worker: &flow.Worker{Service: "care", Id: "w1", BornMs: 100, Draining: draining}, Clock: time.Second, Sequence: sequence}
	if err := f.relay.HandleHeartbeat(t.Context(), message); err != nil {
		t.Fatal(err)
	}
}

// orderStart orders the start of one run.
func orderStart(o *flow.Orders) { o.Starts = []*flow.Start{{Task: "a.0.0.0", Run: 1, Spec: "x"}} }

// formatRefusals returns the refusals in a report as "<task>/<reason> " each.
func formatRefusals(r *flow.Report) string {
	text := ""
	for _, refusal := range r.GetRefusals() {
		text += refusal.GetTask() + "/" + refusal.GetReason() + " "
	}
	return text
}

// A started run is reported as running and then as ended, and the worker is told to
// forget its end once the scheduler has stored it.
func TestStartRunsAndEnds(t *testing.T) {
	withRelay(t, func(t *testing.T, f *relayFixture) {
		if r := f.scheduler.lastReport(); !r.GetListed() || r.GetEpoch() != 5 {
			t.Fatalf("report is not listed under epoch 5: %v", r)
		}
		f.scheduler.setOrders(orderStart)
		time.Sleep(time.Second)
		if r := f.scheduler.lastReport(); len(r.GetRunning()) != 1 {
			t.Errorf("running: %v; want one run", r.GetRunning())
		}
		f.worker.mu.Lock()
		f.worker.endRun("a.0.0.0", "done")
		f.worker.mu.Unlock()
		time.Sleep(time.Second)
		if r := f.scheduler.lastReport(); len(r.GetEnds()) != 1 || len(r.GetRunning()) != 0 {
			t.Errorf("report after the end: %v; want one end and no run", r)
		}
		// While the end is not stored, the worker answers holds at once. They must not
		// be sent in a busy loop.
		var before, after int
		f.worker.withLock(func() { before = f.worker.holdCount })
		time.Sleep(time.Second)
		f.worker.withLock(func() { after = f.worker.holdCount })
		if holds := after - before; holds > 12 {
			t.Errorf("%d holds in a second; want at most 12", holds)
		}
		f.scheduler.setOrders(func(o *flow.Orders) { o.Observed = 1 })
		time.Sleep(time.Second)
		f.worker.withLock(func() {
			if len(f.worker.ends) != 0 {
				t.Errorf("the worker still lists ends that are stored: %v", f.worker.ends)
			}
		})
	})
}

// A start without an answer is revoked by a stop, so that the worker rejects the start
// if it arrives late. The run must not be reported as refused before the stop is
// answered: the scheduler then starts the task elsewhere, and it could run twice.
func TestLateStartNeverRuns(t *testing.T) {
	withRelay(t, func(t *testing.T, f *relayFixture) {
		f.worker.withLock(func() { f.worker.startDelay = 8 * time.Second })
		f.scheduler.setOrders(orderStart)
		time.Sleep(4 * time.Second)
		if got := formatRefusals(f.scheduler.lastReport()); got != "a.0.0.0/unanswered " {
			t.Fatalf("refusals: %q", got)
		}
		time.Sleep(10 * time.Second)
		f.worker.withLock(func() {
			if len(f.worker.starts) != 0 {
				t.Errorf("late starts were carried out: %v", f.worker.starts)
			}
		})
	})
}

// A start that the worker rejects is reported as refused with the worker's reason.
func TestWorkerRejectionIsReported(t *testing.T) {
	tests := []struct{ reason, want string }{
		{graph.RefusedNoRoom, "a.0.0.0/no_room "},
		{graph.RefusedUnhealthy, "a.0.0.0/unhealthy "},
	}
	for _, test := range tests {
		t.Run(test.reason, func(t *testing.T) {
			withRelay(t, func(t *testing.T, f *relayFixture) {
				f.worker.withLock(func() { f.worker.refusal = test.reason })
				f.scheduler.setOrders(orderStart)
				time.Sleep(2 * time.Second)
				if got := formatRefusals(f.scheduler.lastReport()); got != test.want {
					t.Errorf("refusals: %q; want %q", got, test.want)
				}
			})
		})
	}
}

// A draining worker gets no start. The run is revoked by a stop before it is reported
// as refused, because an earlier process of the relay may have sent the start.
func TestDrainingWorkerGetsNoStart(t *testing.T) {
	withRelay(t, func(t *testing.T, f *relayFixture) {
		f.heartbeat(t, 2, true)
		f.scheduler.setOrders(orderStart)
		time.Sleep(2 * time.Second)
		f.worker.withLock(func() {
			if len(f.worker.starts) != 0 || f.worker.rejectedUpTo["a.0.0.0"] != 1 {
				t.Errorf("starts %v, runs rejected up to %d; want no start, and run 1 rejected", f.worker.starts, f.worker.rejectedUpTo["a.0.0.0"])
			}
		})
		if got := formatRefusals(f.scheduler.lastReport()); got != "a.0.0.0/draining " {
			t.Errorf("refusals: %q; want a.0.0.0 refused as draining", got)
		}
	})
}

// While the scheduler cannot be reached, the lease is not extended beyond what the last
// orders allowed, although the worker answers.
func TestLeaseIsNotExtendedWithoutScheduler(t *testing.T) {
	withRelay(t, func(t *testing.T, f *relayFixture) {
		f.scheduler.setOrders(orderStart)
		time.Sleep(time.Second)
		f.scheduler.mu.Lock()
		f.scheduler.down = true
		f.scheduler.mu.Unlock()
		stoppedAt := time.Since(f.worker.start) + time.Second // on the worker's clock
		time.Sleep(15 * time.Second)
		f.worker.withLock(func() {
			if f.worker.deadline > stoppedAt+9*time.Second {
				t.Errorf("the lease was extended to %v after the scheduler stopped; want at most 9s", f.worker.deadline-stoppedAt)
			}
		})
	})
}

// A worker that does not answer is reported as gone once its lease has certainly
// expired. Before that its runs may go on, and must not be started elsewhere.
func TestSilentWorkerIsGoneAfterLeaseExpires(t *testing.T) {
	withRelay(t, func(t *testing.T, f *relayFixture) {
		f.scheduler.setOrders(orderStart)
		time.Sleep(time.Second)
		f.worker.mu.Lock()
		f.worker.silent = true
		f.worker.mu.Unlock()
		time.Sleep(6 * time.Second)
		if f.scheduler.lastReport().GetWorker().GetGone() {
			t.Error("reported as gone while the lease may be valid")
		}
		time.Sleep(6 * time.Second)
		if !f.scheduler.lastReport().GetWorker().GetGone() {
			t.Error("not reported as gone after the lease has expired")
		}
	})
}

// A heartbeat of an earlier process of the worker that arrives late must not replace
// the present process.
func TestLateHeartbeatOfEarlierProcessIsIgnored(t *testing.T) {
	withRelay(t, func(t *testing.T, f *relayFixture) {
		old := Heartbeat{Worker: &flow.Worker{Service: "care", Id: "w0", BornMs: 50}, Sequence: 99}
		if err := f.relay.HandleHeartbeat(t.Context(), old); !errors.Is(err, ErrForeignHeartbeat) {
			t.Errorf("late heartbeat: %v; want ErrForeignHeartbeat", err)
		}
		time.Sleep(time.Second)
		if got := f.scheduler.lastReport().GetWorker().GetId(); got != "w1" {
			t.Errorf("worker %q; want w1", got)
		}
	})
}

// A worker whose address refuses connections has ended, and its runs with it. It is
// reported as gone before its lease expires, and as alive again after a heartbeat.
func TestWorkerWithoutListenerIsGone(t *testing.T) {
	withRelay(t, func(t *testing.T, f *relayFixture) {
		f.scheduler.setOrders(orderStart)
		time.Sleep(time.Second)
		f.worker.mu.Lock()
		f.worker.notListening = true
		f.worker.mu.Unlock()
		time.Sleep(time.Second)
		if !f.scheduler.lastReport().GetWorker().GetGone() {
			t.Error("not reported as gone a second after its end")
		}
		f.worker.mu.Lock()
		f.worker.notListening = false
		f.worker.mu.Unlock()
		f.heartbeat(t, 2, false)
		time.Sleep(time.Second)
		if f.scheduler.lastReport().GetWorker().GetGone() {
			t.Error("reported as gone after a heartbeat")
		}
	})
}

// One refused connection does not prove that the worker has ended: its process may not
// listen yet.
func TestOneRefusedConnectionIsNotGone(t *testing.T) {
	withRelay(t, func(t *testing.T, f *relayFixture) {
		f.scheduler.setOrders(orderStart)
		time.Sleep(time.Second)
		for range 5 {
			f.worker.mu.Lock()
			f.worker.notListening = true
			f.worker.mu.Unlock()
			time.Sleep(connRefusedDelay - 10*time.Millisecond)
			f.worker.mu.Lock()
			f.worker.notListening = false
			f.worker.mu.Unlock()
			time.Sleep(time.Second)
			if f.scheduler.lastReport().GetWorker().GetGone() {
				t.Fatal("reported as gone after one refused connection")
			}
		}
	})
}

// notCarriedOut are answers after which the worker has done nothing, or may have.
var notCarriedOut = []Answer{
	NothingDone(graph.RefusedUnhealthy), NothingDone(graph.RefusedInvalid), NothingDone(graph.RefusedNoRoom),
	NotReached(ErrOtherWorker), Unknown(errSilent),
	{},
}

// A stop that is not carried out must be sent again, and the run not be reported as
// refused before: its start, which had no answer, was carried out late beside the next
// run of the task.
func TestRefusedStopIsNotCarriedOut(t *testing.T) {
	for _, answer := range notCarriedOut {
		t.Run(answer.String(), func(t *testing.T) {
			withRelay(t, func(t *testing.T, f *relayFixture) {
				f.worker.withLock(func() { f.worker.startDelay, f.worker.stopAnswers = 8*time.Second, []Answer{answer, answer} })
				f.scheduler.setOrders(orderStart)
				time.Sleep(4 * time.Second)
				if got := formatRefusals(f.scheduler.lastReport()); got != "a.0.0.0/unanswered " {
					t.Errorf("refusals: %q; want the start given up", got)
				}
				time.Sleep(10 * time.Second)
				f.worker.withLock(func() {
					if len(f.worker.starts) != 0 {
						t.Errorf("late starts were carried out: %v", f.worker.starts)
					}
				})
			})
		})
	}
}

// A stop of a task that runs, such as that of a cancelled job, must be sent until the
// worker carries it out: after one refusal the task ran on.
func TestRefusedStopOfRunningTaskIsSentAgain(t *testing.T) {
	for _, answer := range notCarriedOut {
		t.Run(answer.String(), func(t *testing.T) {
			withRelay(t, func(t *testing.T, f *relayFixture) {
				f.scheduler.setOrders(orderStart)
				time.Sleep(time.Second)
				f.worker.withLock(func() { f.worker.stopAnswers = []Answer{answer, answer} })
				f.scheduler.setOrders(func(o *flow.Orders) { o.Stops = []*flow.Stop{{Task: "a.0.0.0", Run: 1}} })
				time.Sleep(2 * time.Second)
				if r := f.scheduler.lastReport(); len(r.GetRunning()) != 0 || len(r.GetEnds()) != 1 {
					t.Errorf("running %v, ends %v 2 s after the stop was ordered; want one end", r.GetRunning(), r.GetEnds())
				}
			})
		})
	}
}

// A worker that has received a higher epoch rejects all calls of this one: they must
// not be repeated, and must be made again under the next epoch.
func TestFencedEpochMakesNoMoreCalls(t *testing.T) {
	withRelay(t, func(t *testing.T, f *relayFixture) {
		f.scheduler.setOrders(orderStart)
		time.Sleep(time.Second)
		f.worker.withLock(func() { f.worker.epoch = 6 })
		f.scheduler.setOrders(func(o *flow.Orders) { o.Stops = []*flow.Stop{{Task: "a.0.0.0", Run: 1}} })
		time.Sleep(time.Second)
		var before, after int
		f.worker.withLock(func() { before = f.worker.calls })
		time.Sleep(5 * time.Second)
		f.worker.withLock(func() { after = f.worker.calls })
		if after != before {
			t.Errorf("%d calls in 5 s under an epoch that the worker rejects; want none", after-before)
		}
		f.scheduler.setOrders(func(o *flow.Orders) { o.Epoch, o.Stops = 7, []*flow.Stop{{Task: "a.0.0.0", Run: 1}} })
		time.Sleep(3 * time.Second)
		f.worker.withLock(func() {
			if len(f.worker.running) != 0 {
				t.Errorf("running under the next epoch: %v; want the run stopped", f.worker.running)
			}
		})
	})
}

// A start that is given up when the scheduler changes has no stop any more. It must not
// be carried out late under the next epoch, which the worker has received by then.
func TestGivenUpStartNeverRunsUnderNextEpoch(t *testing.T) {
	withRelay(t, func(t *testing.T, f *relayFixture) {
		f.worker.withLock(func() {
			f.worker.startDelay = 8 * time.Second
			f.worker.stopAnswers = slices.Repeat([]Answer{NothingDone(graph.RefusedUnhealthy)}, 100)
		})
		f.scheduler.setOrders(orderStart)
		time.Sleep(2 * time.Second)
		f.scheduler.setOrders(func(o *flow.Orders) { o.Epoch = 6 })
		time.Sleep(time.Second)
		if r := f.scheduler.lastReport(); r.GetEpoch() != 6 || !r.GetListed() || len(r.GetRunning()) != 0 {
			t.Errorf("report under the next epoch: %v; want complete lists without a run", r)
		}
		time.Sleep(10 * time.Second)
		f.worker.withLock(func() {
			if len(f.worker.starts) != 0 {
				t.Errorf("starts of the earlier epoch were carried out: %v", f.worker.starts)
			}
		})
	})
}
