package duty

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"catkinpoint/clock"
	"catkinpoint/graph"
)

// lastingFixture has a job with eight tasks that last, two on each of four workers.
type lastingFixture struct {
	state   *state
	job     *job
	workers []*worker
}

func newLastingFixture(t *testing.T) *lastingFixture {
	t.Helper()
	spec := simpleJob(jobID, 8)
	spec.Steps[0].LongRunning = true
	f := &lastingFixture{state: newState(clock.Monotonic())}
	f.state.addJob(jobID, itemOf(t, JobKey(jobID), spec, 1))
	f.job = f.state.jobs[jobID]
	for n := range 4 {
		f.workers = append(f.workers, &worker{relay: fmt.Sprint("r", n), place: placeOf(n + 1)})
	}
	return f
}

// startAll starts all tasks that do not run, and has them begin at once.
func (f *lastingFixture) startAll() {
	for _, unit := range f.job.graph.Ready(0) {
		ref := unit.Tasks[0]
		number := f.job.graph.Assign(unit, []graph.Place{f.workers[ref.Index/2].place})
		f.job.runs[ref] = &run{run: number, stored: true, begunAt: clock.Monotonic()}
	}
}

// fail has the tasks on the given workers fail, one after the other.
func (f *lastingFixture) fail(workers ...int) {
	for _, n := range workers {
		for _, index := range []int32{int32(2 * n), int32(2*n + 1)} {
			ref := graph.Ref{Index: index}
			f.state.recordOutcome(f.workers[n], f.job, ref, 1, graph.EndFailed, clock.Monotonic())
			f.job.graph.End(ref, f.job.graph.Task(ref).Run, graph.EndFailed, "")
			delete(f.job.runs, ref)
		}
	}
}

// Tasks that last and fail wherever they run had all their workers banned, each time for
// longer, so that the job had no run for many seconds after they had stopped failing. A
// worker on which alone they fail must be banned.
func TestFailuresOfLastingTasks(t *testing.T) {
	tests := []struct {
		name    string
		failing []int // workers on which the tasks fail
		banned  []bool
	}{
		{"everywhere", []int{0, 1, 2, 3}, []bool{false, false, false, false}},
		{"on one worker", []int{0}, []bool{true, false, false, false}},
		{"on two workers", []int{1, 2}, []bool{false, true, true, false}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLastingFixture(t)
				f.startAll()
				time.Sleep(5 * time.Second)
				for range 15 {
					f.fail(test.failing...)
					f.startAll()
					time.Sleep(time.Second)
				}
				f.fail(test.failing...)
				for n, w := range f.workers {
					if banned := clock.Monotonic() < w.health.bannedUntil; banned != test.banned[n] {
						t.Errorf("worker %d banned: %v; want %v", n, banned, test.banned[n])
					}
				}
			})
		})
	}
}

// A run that lasts never ends as done. One that is at work for some time must end the
// trial of its worker.
func TestLastingRunEndsTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLastingFixture(t)
		f.startAll()
		w := f.workers[0]
		w.health.banStalled("w1", clock.Monotonic())
		time.Sleep(initialBan + lastingProof)
		r := runningReport(f.job.graph, 1, 1).GetRunning()[0]
		if !f.state.applyRunning(nil, w, r, listTime{received: clock.Monotonic(), workerClock: time.Hour}) {
			t.Fatalf("run %v is not the worker's", r)
		}
		if w.health.onTrial(clock.Monotonic()) {
			t.Error("the worker is on trial although a run that lasts works there")
		}
	})
}
