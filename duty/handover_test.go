package duty

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"catkinpoint/flow"
	"catkinpoint/graph"
	"catkinpoint/stand/fakekv"
	"catkinpoint/store"
)

// storeJob stores a job and its progress as an earlier holder left them.
func storeJob(t *testing.T, kv *fakekv.Server, job *graph.Job) {
	t.Helper()
	storeMessage(t, kv, JobKey(job.Spec.GetId()), job.Spec)
	storeMessage(t, kv, ProgressKey(job.Spec.GetId()), job.Record())
}

// assignAll starts a run of each ready unit of a job on worker 1.
func assignAll(job *graph.Job, started bool) {
	for _, unit := range job.Ready(time.Now().UnixMilli()) {
		places := make([]graph.Place, len(unit.Tasks))
		for i := range places {
			places[i] = placeOf(1)
		}
		run := job.Assign(unit, places)
		for _, ref := range unit.Tasks {
			if started {
				job.MarkStarted(ref, run)
			}
		}
	}
}

// runningReport returns a report of relay 1 whose worker runs the active tasks of a job.
func runningReport(job *graph.Job, sequence, epoch int64) *flow.Report {
	r := idleReport(1, sequence, epoch)
	for _, t := range job.Active() {
		r.Running = append(r.Running, &flow.Run{Task: graph.TaskName(job.Spec.GetId(), t.Ref), Run: t.Run})
	}
	return r
}

// collectOrders reports from the given workers until there are no new orders, and returns
// the orders of each.
func (b *harness) collectOrders(reports ...*flow.Report) []*flow.Orders {
	b.t.Helper()
	last := make([]*flow.Orders, len(reports))
	for range 4 {
		for i, r := range reports {
			r.Sequence++
			r.OrdersVersion = last[i].GetVersion()
			last[i] = b.report(r)
		}
	}
	return last
}

// stopNames returns the tasks of the ordered stops, sorted.
func stopNames(orders *flow.Orders) []string {
	var names []string
	for _, s := range orders.GetStops() {
		names = append(names, s.GetTask())
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// A stop that was ordered and not carried out when the duty moved was forgotten, and the
// task of a cancelled job ran on.
func TestStopsSurviveHandover(t *testing.T) {
	first, second := graph.TaskName(jobID, graph.Ref{}), graph.TaskName(jobID, graph.Ref{Index: 1})
	tests := []struct {
		name string
		job  func(t *testing.T, kv *fakekv.Server) *graph.Job
		want []string
	}{
		{"none of a job that runs", func(*testing.T, *fakekv.Server) *graph.Job {
			job := graph.New(gangJob(jobID, 2), nil)
			assignAll(job, true)
			return job
		}, nil},
		{"of a job that is stored as cancelled", func(t *testing.T, kv *fakekv.Server) *graph.Job {
			job := graph.New(simpleJob(jobID, 2), nil)
			assignAll(job, true)
			storeMessage(t, kv, CancelKey(jobID), &flow.Cancellation{})
			job.Cancelled = true
			job.Advance(time.Now().UnixMilli())
			return job
		}, []string{first, second}},
		{"of a job whose cancellation alone is stored", func(t *testing.T, kv *fakekv.Server) *graph.Job {
			job := graph.New(simpleJob(jobID, 2), nil)
			assignAll(job, true)
			storeMessage(t, kv, CancelKey(jobID), &flow.Cancellation{})
			return job
		}, []string{first, second}},
		{"of a failed job", func(*testing.T, *fakekv.Server) *graph.Job {
			spec := simpleJob(jobID, 2)
			spec.MaxAttempts = 1
			job := graph.New(spec, nil)
			assignAll(job, true)
			job.End(graph.Ref{}, 1, graph.EndFailed, "")
			job.Advance(time.Now().UnixMilli())
			return job
		}, []string{second}},
		{"of a broken gang", func(*testing.T, *fakekv.Server) *graph.Job {
			job := graph.New(gangJob(jobID, 2), nil)
			assignAll(job, true)
			job.End(graph.Ref{}, 1, graph.EndFailed, "")
			return job
		}, []string{second}},
		{"of runs that were assigned to an earlier process of the worker", func(*testing.T, *fakekv.Server) *graph.Job {
			job := graph.New(simpleJob(jobID, 1), nil)
			earlier := placeOf(1)
			earlier.StartUnixMS = 50
			job.Assign(job.Ready(0)[0], []graph.Place{earlier})
			return job
		}, []string{first}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := fakekv.New()
				job := test.job(t, kv)
				storeJob(t, kv, job)
				b := newHarness(t, kv, 2)
				b.report(idleReport(1, 1, 0))
				if got := stopNames(b.collectOrders(runningReport(job, 1, 2))[0]); !slices.Equal(got, test.want) {
					t.Errorf("stops of the next holder: %v; want %v", got, test.want)
				}
			})
		})
	}
}

// A stop in favour of guaranteed work is not stored. The next holder must decide on it
// again, or the work would wait for the end of the run.
func TestStopForOtherWorkIsDecidedAgainAfterHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakekv.New()
		spec := simpleJob(jobID, 1)
		spec.Steps[0].Accelerators, spec.Steps[0].EstimateMs = 8, 60000
		job := graph.New(spec, nil)
		assignAll(job, true)
		storeJob(t, kv, job)
		urgent := simpleJob("00000000000000bb", 1)
		urgent.Priority, urgent.Steps[0].Accelerators = 0, 8
		storeMessage(t, kv, JobKey(urgent.GetId()), urgent)
		b := newHarness(t, kv, 2)
		b.report(idleReport(1, 1, 0))
		if got := stopNames(b.collectOrders(runningReport(job, 1, 2))[0]); len(got) != 1 {
			t.Errorf("stops: %v; want the run in the way of guaranteed work", got)
		}
	})
}

// A start that was given up must not be ordered by the next holder: the worker has no
// room for it any more, drains, or the relay has given it up without an answer. Once the
// worker lists its runs under the new epoch without it, the task is free again.
func TestGivenUpStartIsNotOrderedAfterHandover(t *testing.T) {
	tests := []struct {
		name string
		edit func(r *flow.Report)
	}{
		{"no answer to the start", func(*flow.Report) {}},
		{"room has shrunk", func(r *flow.Report) { r.Worker.Cpu = 500 }},
		{"worker drains", func(r *flow.Report) { r.Worker.Draining = true }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := fakekv.New()
				job := graph.New(simpleJob(jobID, 1), nil)
				assignAll(job, false)
				storeJob(t, kv, job)
				b := newHarness(t, kv, 2)
				usable := test.name == "no answer to the start"
				given, other := idleReport(1, 1, 0), idleReport(2, 1, 2)
				test.edit(given)
				b.report(given)
				given.Epoch, given.Listed = 2, true
				orders := b.collectOrders(given, other)
				for _, s := range orders[0].GetStarts() {
					if s.GetRun() == 1 || !usable {
						t.Errorf("start of run %d on the worker that gave run 1 up", s.GetRun())
					}
				}
				if task := b.storedProgress(jobID).GetTasks()[0]; task.GetRun() != 2 {
					t.Errorf("task after the handover: %v; want run 2", task)
				}
			})
		})
	}
}

// evacuatingOperator has one data centre evacuated.
type evacuatingOperator struct{ staticOperator }

func (evacuatingOperator) Evacuated(dataCentre string) bool { return dataCentre == "keila" }

// A drain of a worker and an evacuation are known to the next holder from the worker's
// report and from the operator's orders: nothing may start there.
func TestDrainsSurviveHandover(t *testing.T) {
	tests := []struct {
		name     string
		operator Operator
		draining bool
	}{
		{"worker drains", staticOperator{}, true},
		{"data centre is evacuated", evacuatingOperator{}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := fakekv.New()
				storeMessage(t, kv, JobKey(jobID), simpleJob(jobID, 1))
				b := newHarness(t, kv, 2)
				table := b.scheduler.operator.Table()
				if _, ok := test.operator.(evacuatingOperator); ok {
					b.scheduler.operator = evacuatingOperator{staticOperator{table}}
				}
				r := idleReport(1, 1, 2)
				r.Worker.Draining = test.draining
				if orders := b.collectOrders(r)[0]; len(orders.GetStarts()) != 0 || orders.GetPermitMs() != 0 && !test.draining {
					t.Errorf("starts %v, permit of %d ms", orders.GetStarts(), orders.GetPermitMs())
				}
			})
		})
	}
}

// A job whose progress record cannot be decoded was started from the beginning by the
// next holder, beside its runs.
func TestJobWithUnreadableProgressIsNotStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakekv.New()
		storeMessage(t, kv, JobKey(jobID), simpleJob(jobID, 1))
		if _, err := kv.Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: ProgressKey(jobID), Value: []byte("\xff")}}}); err != nil {
			t.Fatal(err)
		}
		b := newHarness(t, kv, 2)
		if orders := b.collectOrders(idleReport(1, 1, 2))[0]; len(orders.GetStarts()) != 0 {
			t.Errorf("starts of a job whose progress is not known: %v", orders.GetStarts())
		}
	})
}
