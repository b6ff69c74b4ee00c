package duty

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"catkinpoint/clock"
	"catkinpoint/graph"
)

// Guards against banning a worker for one failed run of a gang, of which two members were on
// it: one unit has failed there, and one task that fails bans no worker.
func TestOneFailedGangRunBansNoWorker(t *testing.T) {
	for _, longRunning := range []bool{false, true} {
		t.Run(fmt.Sprint("long-running: ", longRunning), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				spec := gangJob(jobID, 2)
				spec.Steps[0].LongRunning = longRunning
				f := newCountsFixture(t, spec, 1)
				f.start(0, 0)
				for index := range int32(2) {
					f.list(0, index, 1, graph.EndFailed)
				}
				if h := &f.workers[0].health; clock.Monotonic() < h.bannedUntil || h.onTrial(clock.Monotonic()) {
					t.Errorf("worker banned after one failed run of a gang, with %d failed tasks", len(h.failed))
				}
			})
		})
	}
}

// Guards against counting each member of a gang that fails in a run as a failure of its own,
// and against acquitting workers that fail everything because members fail on several.
func TestFailedGangRunCountsOnceAgainstWorkers(t *testing.T) {
	first, both := [2]string{graph.EndFailed, graph.EndGangBroken}, [2]string{graph.EndFailed, graph.EndFailed}
	apart, swapped, same := [2]int{0, 1}, [2]int{1, 0}, [2]int{0, 0}
	tests := []struct {
		name    string
		ends    [][2]string // of the two members in each run
		workers [][2]int    // of the two members in each run
		points  [2]int      // that count against each worker
	}{
		{"one member", [][2]string{first}, [][2]int{apart}, [2]int{fullFailure, 0}},
		{"one member, on each worker in turn", [][2]string{first, first}, [][2]int{apart, swapped}, [2]int{0, 0}},
		{"one member, twice on a worker", [][2]string{first, first}, [][2]int{apart, apart}, [2]int{fullFailure, 0}},
		{"both members on one worker", [][2]string{both}, [][2]int{same}, [2]int{fullFailure, 0}},
		{"both members on two workers", [][2]string{both}, [][2]int{apart}, [2]int{sharedFailure, sharedFailure}},
		{"both members on two workers, twice", [][2]string{both, both}, [][2]int{apart, apart}, [2]int{fullFailure, fullFailure}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCountsFixture(t, gangJob(jobID, 2), 2)
				for i, workers := range test.workers {
					f.start(workers[0], workers[1])
					for index, how := range test.ends[i] {
						f.list(workers[index], int32(index), int64(i+1), how)
					}
				}
				for n, w := range f.workers {
					if got := w.health.points(); got != test.points[n] {
						t.Errorf("%d points against worker %d; want %d", got, n, test.points[n])
					}
				}
			})
		})
	}
}

// Guards against banning sound workers because several gangs fail wherever they run, each
// with members that fail together on several workers.
func TestGangsThatFailOnSeveralWorkersBanNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		for n := range 2 {
			spec := gangJob(jobNumber(n), 8)
			spec.Steps[0].MaxPerWorker = 4
			f.submit(spec, 2*time.Second)
		}
		f.run(500 * time.Millisecond)
		// The first member on each worker fails, the others end with it.
		for _, w := range f.workers {
			for task, r := range w.running {
				if r.ref.Index%4 == 0 {
					f.endRun(w, task, graph.EndFailed)
				}
			}
		}
		for _, w := range f.workers {
			for task := range w.running {
				f.endRun(w, task, graph.EndGangBroken)
			}
		}
		f.run(100 * time.Millisecond)
		for _, w := range f.state.workers {
			if clock.Monotonic() < w.health.bannedUntil {
				t.Errorf("%s is banned, with %d failed tasks", w.place.Worker, len(w.health.failed))
			}
		}
	})
}
