package duty

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"catkinpoint/graph"
)

// Guards against jobs that exhaust their attempts on workers on which every run
// fails, and against bans of healthy workers because of tasks that fail wherever
// they run: jobs with a faulty task must fail, all others must complete, and healthy
// workers must not be banned.
func TestJobsEndCorrectlyDespiteFailingWorkers(t *testing.T) {
	tests := []struct {
		name    string
		failing int // workers on which every run fails, of 12
		gang    bool
		faulty  bool // every third job has a task that always fails
	}{
		{name: "one worker", failing: 1},
		{name: "a quarter of the workers", failing: 3},
		{name: "a quarter of the workers, gangs", failing: 3, gang: true},
		{name: "a quarter of the workers, faulty jobs", failing: 3, faulty: true},
		{name: "faulty jobs alone", faulty: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 12)
				for n := range test.failing {
					f.workers[4*n].fails = true
				}
				var jobs []*fleetJob
				for n := range 24 {
					spec := simpleJob(fmt.Sprintf("%016x", n+1), 40)
					if test.gang {
						spec.Steps[0].Gang, spec.Steps[0].Count, spec.Steps[0].Accelerators = true, 6, 4
					}
					spec.Steps[0].EstimateMs = 2000
					j := f.submit(spec, 2*time.Second)
					if test.faulty && n%3 == 0 {
						j.faultyTask = 0
					}
					jobs = append(jobs, j)
					f.run(700 * time.Millisecond)
				}
				f.run(30 * time.Second)
				for n, j := range jobs {
					if _, ok := f.elapsed(j); ok != (j.faultyTask < 0) {
						t.Errorf("job %d: completed %v, faulty task %d", n, ok, j.faultyTask)
					}
				}
				for _, w := range f.state.workers {
					if fails := f.workers[workerNumber(w.place.Worker)-1].fails; !fails && w.health.bannedUntil > 0 {
						t.Errorf("%s: banned for some time, though it is sound", w.place.Worker)
					}
				}
			})
		})
	}
}

// workerNumber returns the number in a worker id of idleReport.
func workerNumber(id string) (n int) {
	_, _ = fmt.Sscanf(id, "w%d", &n)
	return n
}

// Guards against banning workers for faulty tasks: if two tasks that failed on a
// worker also fail on a healthy one, the tasks are at fault, and the ban of the first
// worker is lifted at once.
func TestFailureOnHealthyWorkerClearsFirstWorker(t *testing.T) {
	tests := []struct {
		name      string
		elsewhere bool // the tasks fail on a healthy worker too
		banned    bool
	}{
		{name: "failed nowhere else", banned: true},
		{name: "failed on a sound worker too", elsewhere: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			st := newState(0)
			first, second := &worker{place: placeOf(1)}, &worker{place: placeOf(2)}
			j := &job{graph: graph.New(simpleJob(jobID, 4), nil), failedOn: map[graph.Ref][]*worker{}}
			now := time.Second
			for index := range int32(2) {
				st.recordOutcome(first, j, graph.Ref{Index: index}, 1, graph.EndFailed, now)
			}
			if now >= first.health.bannedUntil || !first.health.onTrial(now) {
				t.Fatal("two tasks failed in a row, and the worker is not banned")
			}
			for index := range int32(2) {
				if test.elsewhere {
					st.recordOutcome(second, j, graph.Ref{Index: index}, 1, graph.EndFailed, now)
				}
			}
			if banned := now < first.health.bannedUntil; banned != test.banned || first.health.unreliable(now) != test.banned {
				t.Errorf("banned %v, unreliable %v; want %v", banned, first.health.unreliable(now), test.banned)
			}
			if second.health.unreliable(now) {
				t.Error("the failures of faulty tasks count against the second worker")
			}
		})
	}
}

// Guards against many failed runs on a worker whose ban has ended: while other tasks
// wait for resources, it must get one task at a time until one succeeds there.
func TestWorkerOnTrialGetsOneTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		failing := f.workers[0]
		failing.fails = true
		for n := range 12 {
			f.submit(simpleJob(fmt.Sprintf("%016x", n+1), 40), 2*time.Second)
		}
		f.run(time.Second)
		known := f.state.byPlace[placeOf(failing.number)]
		if known.health.bannedUntil == 0 {
			t.Fatal("the worker was not banned")
		}
		tried := false
		for range 200 {
			f.run(fleetTick)
			if len(failing.running) > 1 {
				t.Fatalf("%d tasks run on a worker on trial", len(failing.running))
			}
			tried = tried || len(failing.running) == 1
		}
		if !tried {
			t.Error("the worker got no task in 10 s")
		}
	})
}

// Guards against sound workers that stay idle after all of them have failed for a while, as
// when a service that the tasks need was down: each was banned by itself, for up to 24 s, and
// then waited for a single task that had not failed, which need not exist.
func TestWorkersThatFailedTogetherAreUsedSoonAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12)
		setAll := func(fails bool) {
			for _, w := range f.workers {
				w.fails = fails
			}
		}
		setAll(true)
		for n := range 40 {
			f.submit(simpleJob(fmt.Sprintf("%016x", n+1), 40), 2*time.Second)
			f.run(700 * time.Millisecond)
		}
		setAll(false)
		spec := simpleJob(fmt.Sprintf("%016x", 99), 40)
		spec.Steps[0].Gang, spec.Steps[0].Count, spec.Steps[0].Accelerators = true, 6, 4
		gang := f.submit(spec, 2*time.Second)
		f.run(initialBan + 10*time.Second)
		if took, ok := f.elapsed(gang); !ok {
			t.Errorf("a gang is not completed 13 s after the workers were sound again (%v)", took)
		}
	})
}
