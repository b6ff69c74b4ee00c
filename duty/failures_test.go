package duty

import (
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"catkinpoint/flow"
	"catkinpoint/graph"
	"catkinpoint/stand/fakekv"
	"catkinpoint/store"
)

// gangHarness has a gang of two members, each on a worker of its own.
type gangHarness struct {
	*harness
	reports [2]*flow.Report // the last one of each worker
	member  [2]int32        // of the gang, on each worker
	run     int64
}

func newGangHarness(t *testing.T) *gangHarness {
	t.Helper()
	b := &gangHarness{harness: newHarness(t, fakekv.New(), 1)}
	spec := gangJob(jobID, 2)
	spec.Steps[0].MaxPerWorker = 1
	b.scheduler.Apply([]store.Event{storeMessage(t, b.kv, JobKey(jobID), spec)})
	b.reports = [2]*flow.Report{idleReport(1, 0, 1), idleReport(2, 0, 1)}
	return b
}

// start waits until the next run of the gang is ordered, and lists it as running.
func (b *gangHarness) start() {
	b.t.Helper()
	last := b.run
	for range 40 {
		for i, orders := range b.collectOrders(b.reports[:]...) {
			for _, s := range orders.GetStarts() {
				_, ref, err := graph.ParseTask(s.GetTask())
				if err != nil {
					b.t.Fatal(err)
				}
				b.member[i], b.run = ref.Index, s.GetRun()
				b.reports[i].Running = []*flow.Run{{Task: s.GetTask(), Run: s.GetRun()}}
			}
		}
		if b.run > last && len(b.reports[0].GetRunning()) == 1 && len(b.reports[1].GetRunning()) == 1 {
			b.collectOrders(b.reports[:]...)
			return
		}
		time.Sleep(time.Second)
	}
	b.t.Fatalf("run %d of the gang is not ordered after run %d", last+1, last)
}

// end adds the end of the present run to the next report of a worker, and returns that.
func (b *gangHarness) end(worker int, how string) *flow.Report {
	r := b.reports[worker]
	r.Running = nil
	r.Ends = append(r.Ends, &flow.End{
		Number: int64(len(r.Ends) + 1), Task: graph.TaskName(jobID, graph.Ref{Index: b.member[worker]}), Run: b.run, How: how,
	})
	return r
}

// loseWorker reports a worker as gone, so that its run is taken as over, and as back.
func (b *gangHarness) loseWorker(worker int) {
	r := b.reports[worker]
	r.Running, r.Worker = nil, proto.CloneOf(r.GetWorker()) // the scheduler keeps the one before
	r.Worker.Gone = true
	b.collectOrders(r)
	r.Worker = proto.CloneOf(r.GetWorker())
	r.Worker.Gone = false
}

// changeHolder gives the duty to the next holder.
func (b *gangHarness) changeHolder() {
	b.t.Helper()
	b.harness = newHarness(b.t, b.kv, b.claim.Epoch+1)
	for _, r := range b.reports {
		r.Epoch, r.Sequence = 0, 0
		b.report(r)
		r.Epoch = b.claim.Epoch
	}
}

// expectFailures checks the stored failures of each member of the gang.
func (b *gangHarness) expectFailures(when string, want int32, phase flow.Phase) {
	b.t.Helper()
	synctest.Wait()
	work := b.storedProgress(jobID)
	if work.GetPhase() != phase {
		b.t.Errorf("%s: phase %v; want %v", when, work.GetPhase(), phase)
	}
	for _, task := range work.GetTasks() {
		if task.GetFailures() != want {
			b.t.Errorf("%s: %d failures of member %d; want %d", when, task.GetFailures(), task.GetIndex(), want)
		}
	}
}

// Guards against a gang that is given up before its attempts are used up: a run of which
// several members fail is one attempt, however their ends become known.
func TestFailedRunOfGangIsOneAttempt(t *testing.T) {
	tests := []struct {
		name string
		end  func(b *gangHarness)
	}{
		{"ends in one round of reports", func(b *gangHarness) {
			b.end(0, graph.EndFailed)
			b.end(1, graph.EndFailed)
			b.collectOrders(b.reports[:]...)
		}},
		{"the second end after the first is acknowledged", func(b *gangHarness) {
			b.collectOrders(b.end(0, graph.EndFailed))
			b.collectOrders(b.end(1, graph.EndFailed))
		}},
		{"the second end under the next holder", func(b *gangHarness) {
			b.collectOrders(b.end(0, graph.EndFailed))
			b.changeHolder()
			b.end(1, graph.EndFailed)
			b.collectOrders(b.reports[:]...)
		}},
		{"the second end late, as its worker was taken as gone", func(b *gangHarness) {
			b.collectOrders(b.end(0, graph.EndFailed))
			b.loseWorker(1)
			b.collectOrders(b.end(1, graph.EndFailed))
		}},
		{"the first end late, as its worker was taken as gone", func(b *gangHarness) {
			b.loseWorker(0)
			b.collectOrders(b.end(0, graph.EndFailed))
			b.collectOrders(b.end(1, graph.EndFailed))
		}},
		{"both ends late, the workers taken as gone", func(b *gangHarness) {
			b.loseWorker(0)
			b.loseWorker(1)
			b.end(0, graph.EndFailed)
			b.end(1, graph.EndFailed)
			b.collectOrders(b.reports[:]...)
		}},
		{"both ends late and under the next holder", func(b *gangHarness) {
			b.loseWorker(0)
			b.loseWorker(1)
			b.changeHolder()
			b.end(0, graph.EndFailed)
			b.end(1, graph.EndFailed)
			b.collectOrders(b.reports[:]...)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newGangHarness(t)
				const maxAttempts = 3 // of gangJob
				for n := int32(1); n <= maxAttempts; n++ {
					b.start()
					test.end(b)
					phase := flow.Phase_RUNNING
					if n == maxAttempts {
						phase = flow.Phase_FAILED
					}
					if b.expectFailures(test.name, n, phase); t.Failed() {
						return
					}
				}
			})
		})
	}
}
