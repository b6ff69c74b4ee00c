package duty

import (
	"context"
	"fmt"
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

// quietOperator has one service and nothing out of service.
type quietOperator struct{ table *route.Table }

func (o quietOperator) Table() *route.Table        { return o.table }
func (o quietOperator) Evacuated(string) bool      { return false }
func (o quietOperator) Age() (time.Duration, bool) { return 0, true }

// bench is a scheduler on a stand-in store.
type bench struct {
	t         *testing.T
	kv        *fakekv.Server
	claim     *Claim
	scheduler *Scheduler
	after     int64
}

var testSettings = Settings{
	TaskLease: 9 * time.Second, ConfigAge: 2500 * time.Millisecond, StartAge: 4500 * time.Millisecond,
	Retention: time.Minute, RemoteFactor: 3,
}

// newBench claims the duty and starts a scheduler that lives until the test ends.
func newBench(t *testing.T, kv *fakekv.Server, epoch int64) *bench {
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
	claim.extend(clock.Steady())
	operator := quietOperator{route.New(1, 1000, nil, []route.Customer{{Name: "c", Guaranteed: 16}}, nil)}
	b := &bench{t: t, kv: kv, claim: claim, scheduler: NewScheduler(testSettings, kv, operator, claim, func() []string { return nil })}
	go b.scheduler.Run(ctx)
	synctest.Wait()
	return b
}

// put stores a message and tells the scheduler.
func put(t *testing.T, kv *fakekv.Server, key string, m proto.Message) store.Event {
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

// work reads a job's stored progress.
func (b *bench) work(id string) *graph.Job {
	b.t.Helper()
	record := &flow.Work{}
	item, err := b.kv.Get(b.t.Context(), WorkKey(id))
	if err != nil {
		b.t.Fatal(err)
	}
	if err := proto.Unmarshal(item.Value, record); err != nil {
		b.t.Fatal(err)
	}
	spec := &flow.Job{}
	if item, err = b.kv.Get(b.t.Context(), JobKey(id)); err != nil {
		b.t.Fatal(err)
	}
	if err := proto.Unmarshal(item.Value, spec); err != nil {
		b.t.Fatal(err)
	}
	return graph.New(spec, record)
}

func (b *bench) attend(r *flow.Report) *flow.Orders {
	b.t.Helper()
	orders, err := b.scheduler.Attend(r)
	if err != nil {
		b.t.Fatal(err)
	}
	return orders
}

// reportOf returns a report of an idle worker beside relay n.
func reportOf(n int, sequence, epoch int64) *flow.Report {
	return &flow.Report{
		Relay: fmt.Sprintf("10.0.0.%d:1", n), RelayBoot: "b", Sequence: sequence, Epoch: epoch, Listed: epoch > 0,
		Worker: &flow.Worker{
			Id: fmt.Sprintf("w%d", n), BornMs: 100, Service: "care", DataCentre: "keila",
			Labels: []string{"a", "r1"}, Cpu: 64000, MemoryMb: 262144, Accelerators: 8,
		},
	}
}

func placeOf(n int) graph.Place {
	return graph.Place{Worker: fmt.Sprintf("w%d", n), Born: 100, Relay: fmt.Sprintf("10.0.0.%d:1", n)}
}

func simpleJob(id string, tasks int32) *flow.Job {
	return &flow.Job{
		Id: id, Queue: "q", Customer: "c", Service: "care", Priority: 1, MaxAttempts: 3, SlackFactor: 3, TargetMs: 1000,
		AcceptedUnixMs: time.Now().UnixMilli(),
		Steps:          []*flow.Step{{Count: tasks, Cpu: 1000, MemoryMb: 1000, Accelerators: 1, EstimateMs: 5000}},
	}
}

const jobID = "00000000000000aa"

// A run that a former holder stored is ordered by nobody until the worker has
// obeyed the new epoch: a list from before may lack a run that starts after it.
func TestAdoptedRunIsNotOrderedBeforeItsWorkerIsListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakekv.New()
		spec := simpleJob(jobID, 1)
		job := graph.New(spec, nil)
		job.Assign(job.Ready(0)[0], []graph.Place{placeOf(1)})
		put(t, kv, JobKey(jobID), spec)
		put(t, kv, WorkKey(jobID), job.Record())
		b := newBench(t, kv, 2)
		if orders := b.attend(reportOf(1, 1, 0)); len(orders.GetStarts()) != 0 {
			t.Errorf("starts before the worker was listed: %v", orders.GetStarts())
		}
		// Listed under the new epoch without the run: it never starts, and the
		// task gets a new run.
		orders := b.attend(reportOf(1, 2, 2))
		for sequence := int64(3); sequence < 6 && len(orders.GetStarts()) == 0; sequence++ {
			next := reportOf(1, sequence, 2)
			next.OrdersVersion = orders.GetVersion()
			orders = b.attend(next)
		}
		if len(orders.GetStarts()) != 1 || orders.GetStarts()[0].GetRun() != 2 {
			t.Errorf("starts after the worker was listed: %v; want run 2", orders.GetStarts())
		}
	})
}
