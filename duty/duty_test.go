package duty

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"catkinpoint/clock"
	"catkinpoint/flow"
	"catkinpoint/graph"
	"catkinpoint/route"
	"catkinpoint/stand/fakekv"
	"catkinpoint/store"
)

// staticOperator has a fixed, always fresh configuration and no evacuated data
// centre.
type staticOperator struct{ table *route.Table }

func (o staticOperator) Table() *route.Table        { return o.table }
func (o staticOperator) Evacuated(string) bool      { return false }
func (o staticOperator) Age() (time.Duration, bool) { return 0, true }

// harness is a scheduler on an in-memory store.
type harness struct {
	t         *testing.T
	kv        *fakekv.Server
	claim     *Claim
	scheduler *Scheduler
}

var testSettings = Settings{
	TaskLease: 9 * time.Second, ConfigAge: 2500 * time.Millisecond, StartAge: 4500 * time.Millisecond,
	Retention: time.Minute, RemoteFactor: 3,
}

// newHarness stores a claim of the duty and starts a scheduler that runs until the
// test ends.
func newHarness(t *testing.T, kv *fakekv.Server, epoch int64) *harness {
	t.Helper()
	return newHarnessWith(t, kv, epoch, testSettings)
}

// newHarnessWith is like newHarness, with other settings.
func newHarnessWith(t *testing.T, kv *fakekv.Server, epoch int64, settings Settings) *harness {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	value, err := proto.Marshal(&flow.Claim{Epoch: epoch, Holder: "g"})
	if err != nil {
		t.Fatal(err)
	}
	revision, err := kv.Commit(ctx, store.Txn{Writes: []store.Write{{Key: claimKey, Value: value}}})
	if err != nil {
		t.Fatal(err)
	}
	claim := &Claim{Epoch: epoch, Revision: revision, ttl: time.Hour, lost: make(chan struct{})}
	claim.extend(clock.Monotonic())
	operator := staticOperator{route.New(1, 1000, nil, []route.Customer{{Name: "c", Guaranteed: 16}}, nil)}
	b := &harness{t: t, kv: kv, claim: claim, scheduler: NewScheduler(ctx, settings, kv, operator, claim, func() []string { return nil })}
	go b.scheduler.Run()
	synctest.Wait()
	return b
}

// itemOf returns an item of the store with an encoded message.
func itemOf(tb testing.TB, key string, m proto.Message, revision int64) store.Item {
	tb.Helper()
	value, err := proto.Marshal(m)
	if err != nil {
		tb.Fatal(err)
	}
	return store.Item{Key: key, Value: value, Revision: revision}
}

// storeMessage stores a message and returns the change as an event for
// Scheduler.Apply.
func storeMessage(t *testing.T, kv *fakekv.Server, key string, m proto.Message) store.Event {
	t.Helper()
	value, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	revision, err := kv.Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: key, Value: value}}})
	if err != nil {
		t.Fatal(err)
	}
	return store.Event{Item: store.Item{Key: key, Value: value, Revision: revision}}
}

// report hands a relay's report to the scheduler and returns the orders.
func (b *harness) report(r *flow.Report) *flow.Orders {
	b.t.Helper()
	orders, err := b.scheduler.HandleReport(r)
	if err != nil {
		b.t.Fatal(err)
	}
	return orders
}

// idleReport returns a report of relay n, whose worker runs nothing. The worker's
// lists count as complete unless the epoch is 0.
func idleReport(n int, sequence, epoch int64) *flow.Report {
	return &flow.Report{
		Relay: fmt.Sprintf("10.0.0.%d:1", n), RelayBoot: "b", Sequence: sequence, Epoch: epoch, Listed: epoch > 0,
		ListClockMs: clock.Monotonic().Milliseconds() + 1,
		Worker: &flow.Worker{
			Id: fmt.Sprintf("w%d", n), BornMs: 100, Service: "care", DataCentre: "keila",
			Labels: []string{"a", "r1"}, Cpu: 64000, MemoryMb: 262144, Accelerators: 8,
		},
	}
}

// placeOf returns the place of the worker in idleReport.
func placeOf(n int) graph.Place {
	return graph.Place{Worker: fmt.Sprintf("w%d", n), StartUnixMS: 100, Relay: fmt.Sprintf("10.0.0.%d:1", n)}
}

// simpleJob returns a job with one step of independent tasks that take an accelerator
// each.
func simpleJob(id string, tasks int32) *flow.Job {
	return &flow.Job{
		Id: id, Queue: "q", Customer: "c", Service: "care", Priority: 1, MaxAttempts: 3, SlackFactor: 3, TargetMs: 1000,
		AcceptedUnixMs: time.Now().UnixMilli(),
		Steps:          []*flow.Step{{Count: tasks, Cpu: 1000, MemoryMb: 1000, Accelerators: 1, EstimateMs: 5000}},
	}
}

const jobID = "00000000000000aa"

// Guards against reports that wait for ever: the claim may end while the scheduler still
// reads the records.
func TestReportEndsWithClaimThatEndsWhileLoading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		kv := fakekv.New()
		kv.SetFaults(fakekv.AllCallers, fakekv.Faults{Down: true})
		s := NewScheduler(ctx, testSettings, kv, staticOperator{}, &Claim{Epoch: 1, lost: make(chan struct{})}, func() []string { return nil })
		go s.Run()
		answered := make(chan error, 1)
		go func() {
			_, err := s.HandleReport(idleReport(1, 1, 0))
			answered <- err
		}()
		time.Sleep(2 * time.Second)
		cancel()
		time.Sleep(2 * time.Second)
		select {
		case err := <-answered:
			if err == nil {
				t.Error("the report was answered with orders")
			}
		default:
			t.Fatal("the report still waits 2 s after the claim has ended")
		}
	})
}

// Guards against starting a task twice after a change of the holder. A run that the
// previous holder stored must not be ordered until the worker has listed its runs
// under the new epoch: an earlier list may lack a run that started after it.
func TestNoStartsBeforeWorkerIsReconciled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakekv.New()
		spec := simpleJob(jobID, 1)
		job := graph.New(spec, nil)
		job.Assign(job.Ready(0)[0], []graph.Place{placeOf(1)})
		storeMessage(t, kv, JobKey(jobID), spec)
		storeMessage(t, kv, ProgressKey(jobID), job.Record())
		b := newHarness(t, kv, 2)
		if orders := b.report(idleReport(1, 1, 0)); len(orders.GetStarts()) != 0 {
			t.Errorf("starts before the worker listed its runs: %v", orders.GetStarts())
		}
		// The list under the new epoch lacks the run, so it can never start, and
		// the task gets a new run.
		orders := b.report(idleReport(1, 2, 2))
		for sequence := int64(3); sequence < 6 && len(orders.GetStarts()) == 0; sequence++ {
			next := idleReport(1, sequence, 2)
			next.OrdersVersion = orders.GetVersion()
			orders = b.report(next)
		}
		if len(orders.GetStarts()) != 1 || orders.GetStarts()[0].GetRun() != 2 {
			t.Errorf("starts after the worker listed its runs: %v; want run 2", orders.GetStarts())
		}
	})
}

// storedProgress reads a job's progress record from the store.
func (b *harness) storedProgress(id string) *flow.Work {
	b.t.Helper()
	record := &flow.Work{}
	item, err := b.kv.Get(b.t.Context(), ProgressKey(id))
	if err != nil {
		b.t.Fatal(err)
	}
	if err := proto.Unmarshal(item.Value, record); err != nil {
		b.t.Fatal(err)
	}
	return record
}

// startJob submits a job, reports until it is started, and returns the orders with
// the start and the next sequence number for a report.
func startJob(t *testing.T, b *harness, spec *flow.Job) (*flow.Orders, int64) {
	t.Helper()
	b.scheduler.Apply([]store.Event{storeMessage(t, b.kv, JobKey(spec.GetId()), spec)})
	orders := b.report(idleReport(1, 1, b.claim.Epoch))
	sequence := int64(2)
	for ; sequence < 6 && len(orders.GetStarts()) == 0; sequence++ {
		next := idleReport(1, sequence, b.claim.Epoch)
		next.OrdersVersion = orders.GetVersion()
		orders = b.report(next)
	}
	if len(orders.GetStarts()) == 0 {
		t.Fatal("the job was not started")
	}
	return orders, sequence
}

// Guards against losing the end of a run if the holder fails: it must be
// acknowledged to the worker only after it was stored.
func TestEndIsStoredBeforeItIsAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakekv.New()
		b := newHarness(t, kv, 1)
		orders, sequence := startJob(t, b, simpleJob(jobID, 1))
		kv.SetFaults(fakekv.AllCallers, fakekv.Faults{Down: true})
		ended := idleReport(1, sequence, 1)
		ended.Ends = []*flow.End{{Number: 1, Task: orders.GetStarts()[0].GetTask(), Run: 1, How: graph.EndDone}}
		ended.OrdersVersion = orders.GetVersion()
		if got := b.report(ended); got.GetObserved() != 0 {
			t.Errorf("end %d acknowledged while the store is down; want none", got.GetObserved())
		}
		kv.SetFaults(fakekv.AllCallers, fakekv.Faults{})
		time.Sleep(time.Second)
		ended.Sequence++
		if got := b.report(ended); got.GetObserved() != 1 {
			t.Errorf("end %d acknowledged after the store returned; want 1", got.GetObserved())
		}
		if got := b.storedProgress(jobID).GetPhase(); got != flow.Phase_COMPLETED {
			t.Errorf("stored phase %v", got)
		}
	})
}

// Guards against starting a job that is cancelled while its start is being written:
// the write requires that no cancellation is stored.
func TestCancelledJobIsNotStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakekv.New()
		b := newHarness(t, kv, 1)
		spec := simpleJob(jobID, 1)
		storeMessage(t, kv, CancelKey(jobID), &flow.Cancellation{})
		b.scheduler.Apply([]store.Event{storeMessage(t, kv, JobKey(jobID), spec)})
		for sequence := int64(1); sequence < 6; sequence++ {
			if orders := b.report(idleReport(1, sequence, 1)); len(orders.GetStarts()) > 0 {
				t.Fatalf("starts of a cancelled job: %v", orders.GetStarts())
			}
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		if got := b.storedProgress(jobID).GetPhase(); got != flow.Phase_CANCELLED {
			t.Errorf("stored phase %v", got)
		}
	})
}

// Guards against two active schedulers: a holder whose claim was replaced must write
// no progress, order no starts and not keep retrying its write.
func TestSupersededHolderWritesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakekv.New()
		b := newHarness(t, kv, 1)
		if _, err := kv.Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: claimKey, Value: []byte("other")}}}); err != nil {
			t.Fatal(err)
		}
		b.scheduler.Apply([]store.Event{storeMessage(t, kv, JobKey(jobID), simpleJob(jobID, 1))})
		for sequence := int64(1); sequence < 6; sequence++ {
			orders, err := b.scheduler.HandleReport(idleReport(1, sequence, 1))
			if len(orders.GetStarts()) > 0 || err != nil && !errors.Is(err, ErrNotHolder) {
				t.Fatalf("orders of a superseded holder: %v, %v", orders, err)
			}
			time.Sleep(200 * time.Millisecond)
		}
		if _, err := kv.Get(t.Context(), ProgressKey(jobID)); err == nil {
			t.Error("a superseded holder stored progress")
		}
		if calls := kv.Counts(fakekv.AllCallers).Writes; calls > 20 {
			t.Errorf("%d writes; the superseded holder keeps retrying", calls)
		}
	})
}

// Guards against two runs of a task at once: the task gets a new run only after its
// worker has reported, was replaced on its machine, or must have let the task lease
// expire even with a slow clock.
func TestRunOfUnreachableWorkerEndsAfterItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakekv.New()
		b := newHarness(t, kv, 1)
		startJob(t, b, simpleJob(jobID, 1))
		time.Sleep(9 * time.Second)
		if task := b.storedProgress(jobID).GetTasks()[0]; task.GetWorker() == "" {
			t.Error("the run was ended before its lease expired")
		}
		time.Sleep(2 * time.Second)
		if task := b.storedProgress(jobID).GetTasks()[0]; task.GetWorker() != "" {
			t.Error("the run was not ended after its lease expired")
		}
	})
}

// A worker with a new id in the place of another ends the runs of the earlier one.
func TestReplacedWorkerProcessEndsRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakekv.New()
		b := newHarness(t, kv, 1)
		_, sequence := startJob(t, b, simpleJob(jobID, 1))
		newer := idleReport(1, sequence, 1)
		newer.Worker.Id, newer.Worker.BornMs = "w9", 200
		b.report(newer)
		time.Sleep(time.Second)
		if task := b.storedProgress(jobID).GetTasks()[0]; task.GetRun() != 2 || task.GetWorker() != "w9" {
			t.Errorf("task after its worker was replaced: %v; want run 2 on w9", task)
		}
	})
}

func TestEndedJobsAreRemovedAfterTheRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakekv.New()
		job := graph.New(simpleJob(jobID, 1), nil)
		job.Cancelled = true
		job.Advance(time.Now().UnixMilli())
		storeMessage(t, kv, JobKey(jobID), job.Spec)
		storeMessage(t, kv, ProgressKey(jobID), job.Record())
		newHarness(t, kv, 1)
		time.Sleep(testSettings.Retention - sweepPeriod)
		if _, err := kv.Get(t.Context(), JobKey(jobID)); err != nil {
			t.Errorf("the job was removed before its retention ended: %v", err)
		}
		time.Sleep(3 * sweepPeriod)
		if _, err := kv.Get(t.Context(), JobKey(jobID)); err == nil {
			t.Error("the job was not removed after its retention")
		}
	})
}

// Guards against rejecting jobs because some workers are cut off for a while: a
// worker counts for groupsMemory after its last report, and a new scheduler returns
// no groups, as its workers have not reported yet.
func TestRoomsKeepWorkersThatMayReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, fakekv.New(), 1)
		b.report(idleReport(1, 1, 1))
		b.report(idleReport(2, 1, 1))
		if groups := b.scheduler.WorkerGroups(); groups != nil {
			t.Errorf("groups of a new scheduler: %v", groups)
		}
		time.Sleep(groupsSettleTime)
		b.report(idleReport(1, 2, 1))
		if groups := b.scheduler.WorkerGroups(); len(groups) != 1 || groups[0].GetWorkers() != 2 {
			t.Errorf("groups: %v; want one group of two workers", groups)
		}
		time.Sleep(groupsMemory - groupsSettleTime)
		b.report(idleReport(1, 3, 1))
		time.Sleep(2 * planPeriod)
		if groups := b.scheduler.WorkerGroups(); len(groups) != 1 || groups[0].GetWorkers() != 1 {
			t.Errorf("groups after groupsMemory: %v; want one worker", groups)
		}
	})
}

// Guards against delaying guaranteed work by a handover: the duty is not yielded to
// a larger gate while such work waits to be placed, and is yielded after that.
func TestHolderDoesNotYieldWhileGuaranteedWorkWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, fakekv.New(), 1)
		spec := simpleJob(jobID, 1)
		spec.Priority = 0
		b.scheduler.Apply([]store.Event{storeMessage(t, b.kv, JobKey(jobID), spec)})
		time.Sleep(planPeriod)
		if err := b.scheduler.Yield(1); !errors.Is(err, ErrGuaranteedWorkWaiting) {
			t.Errorf("yield while guaranteed work waits: %v", err)
		}
		for sequence := int64(1); sequence < 4; sequence++ {
			b.report(idleReport(1, sequence, 1))
		}
		time.Sleep(2 * planPeriod)
		if err := b.scheduler.Yield(1); err != nil {
			t.Errorf("yield after its start: %v", err)
		}
	})
}

// panickingOperator panics in Age while panicking is set.
type panickingOperator struct {
	staticOperator
	panicking *atomic.Bool
}

func (o panickingOperator) Age() (time.Duration, bool) {
	if o.panicking.Load() {
		panic("an unexpected fault")
	}
	return o.staticOperator.Age()
}

// Guards against orders from an inconsistent state: a panic in a placement decision
// must end the claim, so that nothing more is ordered under it and the duty is
// vacant, but not the process, which can claim again after failureBackoff.
func TestPanicInDecisionReleasesClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		kv, panicking := fakekv.New(), &atomic.Bool{}
		operator := panickingOperator{staticOperator{route.New(1, 1000, nil, nil, nil)}, panicking}
		vacant, claims := make(chan struct{}), make(chan *Claim, 2)
		c := &Candidate{KV: kv, Name: "g", TTL: 1500 * time.Millisecond, Vacant: vacant, Serve: func(ctx context.Context, claim *Claim) {
			claims <- claim
			NewScheduler(ctx, testSettings, kv, operator, claim, func() []string { return nil }).Run()
		}}
		done := make(chan struct{})
		go func() {
			defer close(done)
			c.Run(ctx)
		}()
		vacant <- struct{}{}
		first := <-claims
		time.Sleep(time.Second)
		panicking.Store(true)
		storeMessage(t, kv, JobKey(jobID), simpleJob(jobID, 1))
		time.Sleep(time.Second)
		if first.Valid() {
			t.Error("the claim is valid after a panic in a decision")
		}
		if _, err := ReadClaim(t.Context(), kv); !errors.Is(err, store.ErrNotFound) {
			t.Errorf("claim in the store after the panic: %v; want ErrNotFound", err)
		}
		panicking.Store(false)
		time.Sleep(failureBackoff)
		vacant <- struct{}{}
		time.Sleep(time.Second)
		select {
		case second := <-claims:
			if !second.Valid() {
				t.Error("the second claim is not valid")
			}
		default:
			t.Error("no second claim after failureBackoff")
		}
		cancel()
		<-done
	})
}

// Guards against orders from a holder that was paused until its claim expired: it
// must give no orders, which would extend task leases, until a renewal succeeds.
func TestPausedHolderGivesNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, fakekv.New(), 1)
		startJob(t, b, simpleJob(jobID, 1))
		b.claim.ttl = 1500 * time.Millisecond
		b.claim.validUntil.Store(0)
		b.claim.extend(clock.Monotonic())
		next := idleReport(2, 1, 1)
		if _, err := b.scheduler.HandleReport(next); err != nil {
			t.Fatalf("report while the claim is valid: %v", err)
		}
		time.Sleep(5 * time.Second)
		next.Sequence++
		if orders, err := b.scheduler.HandleReport(next); !errors.Is(err, ErrNotHolder) {
			t.Errorf("report after the pause: %v, %v; want ErrNotHolder", orders, err)
		}
		b.claim.extend(clock.Monotonic()) // a renewal succeeds after all
		next.Sequence++
		if _, err := b.scheduler.HandleReport(next); err != nil {
			t.Errorf("report after the renewal: %v", err)
		}
	})
}

// Guards against the stop of an unexpected run that is ordered only when the long poll
// ends, because the worker had another unexpected run in its last list.
func TestReplacedUnexpectedRunIsStoppedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, fakekv.New(), 1)
		version := int64(0)
		for n, task := range []string{"00000000000000c1.0.0.0", "00000000000000c2.0.0.0"} {
			r := idleReport(1, int64(n+1), 1)
			r.OrdersVersion, r.Running = version, []*flow.Run{{Task: task, Run: 1}}
			start := time.Now()
			orders := b.report(r)
			version = orders.GetVersion()
			if took := time.Since(start); len(orders.GetStops()) != 1 || orders.GetStops()[0].GetTask() != task || took > 0 {
				t.Errorf("after %v: stops %v; want that of %s at once", took, orders.GetStops(), task)
			}
		}
	})
}

// Reports are sent side by side and may overtake each other. An overtaken report must
// not bring back what it says of the worker or of its runs.
func TestOvertakenReportChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, fakekv.New(), 1)
		b.report(idleReport(1, 1, 1))
		shrunk := idleReport(1, 3, 1)
		shrunk.Worker.Cpu = 500
		b.report(shrunk)
		b.report(idleReport(1, 2, 1))
		err := b.scheduler.stateOwner.Do(t.Context(), func(st *state) {
			if got := st.workers[shrunk.GetRelay()].info.GetCpu(); got != 500 {
				t.Errorf("processor %d after an overtaken report; want 500", got)
			}
		})
		if err != nil {
			t.Fatal(err)
		}
	})
}

// Gates count the jobs that have not begun by the stored phase. It must follow the first
// start, not the assignment of a run.
func TestStoredPhaseFollowsFirstStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, fakekv.New(), 1)
		orders, sequence := startJob(t, b, simpleJob(jobID, 1))
		time.Sleep(time.Second)
		if got := b.storedProgress(jobID).GetPhase(); got != flow.Phase_QUEUED {
			t.Errorf("stored phase of a job with a run that has not started: %v; want QUEUED", got)
		}
		started := idleReport(1, sequence, 1)
		started.OrdersVersion = orders.GetVersion()
		started.Running = []*flow.Run{{Task: orders.GetStarts()[0].GetTask(), Run: 1}}
		b.report(started)
		time.Sleep(time.Second)
		if got := b.storedProgress(jobID).GetPhase(); got != flow.Phase_RUNNING {
			t.Errorf("stored phase of a job that has begun: %v; want RUNNING", got)
		}
	})
}
