package duty

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"catkinpoint/flow"
	"catkinpoint/graph"
	"catkinpoint/stand/fakekv"
	"catkinpoint/store"
)

// largeSpecJob returns a job of tasks with the longest spec, as many of which fit on a worker
// as need not be bounded by number.
func largeSpecJob(id string, tasks int32, gang bool) *flow.Job {
	spec := bulkJob(id, tasks, 0)
	spec.Spec = strings.Repeat("x", graph.MaxSpecBytes)
	spec.Steps[0].Cpu, spec.Steps[0].Gang = 250, gang
	return spec
}

// Guards against orders that hold the specs of all tasks that were placed on a worker: they
// exceeded the memory of its relay, again after each start of it.
func TestOrdersOfManyStartsAreBounded(t *testing.T) {
	for _, gang := range []bool{false, true} {
		t.Run(fmt.Sprintf("gang=%t", gang), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const tasks, limit = 250, 256 << 10
				b := newHarness(t, fakekv.New(), 1)
				b.report(idleReport(1, 1, 0))
				b.report(idleReport(1, 2, 1))
				b.scheduler.Apply([]store.Event{storeMessage(t, b.kv, JobKey(jobID), largeSpecJob(jobID, tasks, gang))})
				started, version := map[string]bool{}, int64(0)
				for sequence := int64(3); len(started) < tasks && sequence < 200; sequence++ {
					r := idleReport(1, sequence, 1)
					r.OrdersVersion = version
					if sequence%20 == 0 {
						r.RelayBoot, r.OrdersVersion = fmt.Sprint("boot", sequence), 0 // the relay starts again
					} else if sequence > 20 {
						r.RelayBoot = fmt.Sprint("boot", sequence/20*20)
					}
					for name := range started {
						r.Running = append(r.Running, &flow.Run{Task: name, Run: 1, Percent: 1})
					}
					orders := b.report(r)
					if size := proto.Size(orders); size > limit {
						t.Fatalf("orders of %d bytes; want at most %d", size, limit)
					}
					version = orders.GetVersion()
					for i, s := range orders.GetStarts() {
						if i < 8 { // as many as a relay starts at a time
							started[s.GetTask()] = true
						}
					}
				}
				if len(started) != tasks {
					t.Errorf("%d of %d tasks are started", len(started), tasks)
				}
			})
		})
	}
}

// Guards against starts that are sent whole in each answer until they are confirmed, which
// took all of the network of a gate, and against one that a relay lacks and never gets.
func TestKnownStartsAreNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, fakekv.New(), 1)
		b.report(idleReport(1, 1, 0))
		b.report(idleReport(1, 2, 1))
		b.scheduler.Apply([]store.Event{storeMessage(t, b.kv, JobKey(jobID), largeSpecJob(jobID, 3, false))})
		steps := []struct {
			name    string
			boot    string
			version func(last int64) int64
			whole   bool
		}{
			{"first", "b", func(int64) int64 { return 0 }, true},
			{"not received", "b", func(int64) int64 { return 0 }, true},
			{"received", "b", func(last int64) int64 { return last }, false},
			{"received long ago", "b", func(last int64) int64 { return last }, false},
			{"lacking", "b", func(int64) int64 { return 0 }, true},
			{"received again", "b", func(last int64) int64 { return last }, false},
			{"relay started again", "c", func(int64) int64 { return 0 }, true},
		}
		last := int64(0)
		time.Sleep(time.Second)
		for i, step := range steps {
			r := idleReport(1, int64(i+3), 1)
			r.RelayBoot, r.KeepsStarts, r.OrdersVersion = step.boot, true, step.version(last)
			orders := b.report(r)
			last = orders.GetVersion()
			if len(orders.GetStarts()) != 3 {
				t.Fatalf("%s: %d starts; want 3", step.name, len(orders.GetStarts()))
			}
			for _, s := range orders.GetStarts() {
				if s.GetKnown() == step.whole || (s.GetSpec() != "") != step.whole {
					t.Errorf("%s: start is known: %t, with a spec of %d bytes", step.name, s.GetKnown(), len(s.GetSpec()))
				}
			}
		}
	})
}

// Guards against a legal gang that is wider than the bounds on small runs and never starts.
func TestWidestGangRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, fakekv.New(), 1)
		workers := newBulkWorkers(t, 2, time.Second)
		spec := bulkJob(jobID, graph.MaxTasks, 0)
		spec.Steps[0].Gang = true
		b.scheduler.Apply([]store.Event{storeMessage(t, b.kv, JobKey(jobID), spec)})
		if !b.runUntilDone(workers, time.Minute, jobID) {
			t.Errorf("the job is %v", b.headOf(jobID).GetPhase())
		}
	})
}
