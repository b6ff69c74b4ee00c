package duty

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"catkinpoint/clock"
	"catkinpoint/flow"
	"catkinpoint/graph"
)

// Guards against a gang that lasts and is started without end on a worker on which each of
// its runs fails, with sound workers beside it.
func TestWorkerThatFailsLastingGangIsBanned(t *testing.T) {
	tests := []struct {
		name    string
		failing []int32 // members that are listed as failed in each run
	}{
		{"one member", []int32{0}},
		{"each member in turn", nil},
		{"both members", []int32{0, 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const runs = 6
				spec := gangJob(jobID, 2)
				spec.Steps[0].LongRunning = true
				f := newCountsFixture(t, spec, 1)
				for number := range int64(runs) {
					f.start(0, 0)
					time.Sleep(200 * time.Millisecond)
					failing := test.failing
					if failing == nil {
						failing = []int32{int32(number % 2)}
					}
					for _, index := range failing {
						f.list(0, index, number+1, graph.EndFailed)
					}
					for index := range int32(2) {
						f.list(0, index, number+1, graph.EndGangBroken)
					}
				}
				if h := &f.workers[0].health; clock.Monotonic() >= h.bannedUntil {
					t.Errorf("worker not banned after %d runs failed there, with %d failed tasks", runs, len(h.failed))
				}
			})
		})
	}
}

// Guards against workers that fail everything and stay in use because members of each gang
// fail on several of them at once: jobs that sound workers could run are given up.
func TestWorkersThatFailGangsTogetherCostNoJob(t *testing.T) {
	tests := []struct {
		members, perWorker int32
		workers, bad       int
	}{
		{members: 2, perWorker: 1, workers: 6, bad: 3},
		{members: 8, perWorker: 2, workers: 8, bad: 3},
		{members: 8, perWorker: 4, workers: 6, bad: 4},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%+v", test), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const jobs = 12
				f := newFleet(t, test.workers)
				submitted := 0
				for begin := clock.Monotonic(); clock.Monotonic()-begin < 3*time.Minute; {
					if next := time.Duration(submitted) * 500 * time.Millisecond; submitted < jobs && clock.Monotonic()-begin >= next {
						spec := gangJob(jobNumber(submitted), test.members)
						spec.Steps[0].MaxPerWorker, spec.Steps[0].Accelerators, spec.MaxAttempts = test.perWorker, int64(8/test.perWorker), 3
						f.submit(spec, 2*time.Second)
						submitted++
					}
					f.run(fleetTick)
					f.failTogether(f.workers[test.workers-test.bad:])
				}
				for n := range jobs {
					if g := f.state.jobs[jobNumber(n)].graph; g.Phase != flow.Phase_COMPLETED {
						t.Errorf("job %d: phase %v after %d failed runs", n, g.Phase, g.MaxFailures())
					}
				}
			})
		})
	}
}

// failTogether ends the gangs that have worked for some time on any of the given workers: the
// members on these as failed, at once, and the others as broken.
func (f *fleet) failTogether(bad []*fleetWorker) {
	isBad := map[*fleetWorker]bool{}
	for _, w := range bad {
		isBad[w] = true
	}
	for _, w := range bad {
		for _, r := range w.running {
			if r.worked < 4*fleetTick {
				continue
			}
			for task, other := range f.gangMembers(r, clock.Monotonic()) {
				how := graph.EndGangBroken
				if isBad[other] {
					how = graph.EndFailed
				}
				f.endRun(other, task, how)
			}
		}
	}
}

// Guards against banning all workers at once because of gangs that fail wherever they run:
// nothing else can then be started.
func TestGangsThatFailEverywhereLeaveWorkersInUse(t *testing.T) {
	for _, gangs := range []int{1, 2, 3, 5} {
		t.Run(fmt.Sprint(gangs, " gangs"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 6)
				for n := range gangs {
					spec := gangJob(jobNumber(n), 12)
					spec.Steps[0].MaxPerWorker, spec.MaxAttempts = 2, 4
					f.submit(spec, 6*time.Second)
				}
				for begin := clock.Monotonic(); clock.Monotonic()-begin < time.Minute; {
					f.run(fleetTick)
					f.failTogether(f.workers)
					banned := 0
					for _, w := range f.state.workers {
						if clock.Monotonic() < w.health.bannedUntil {
							banned++
						}
					}
					if banned == len(f.workers) {
						t.Fatalf("all %d sound workers banned after %v", banned, clock.Monotonic()-begin)
					}
				}
			})
		})
	}
}

// Guards against a gang that lasts and is started without end on workers that fail
// everything, as its members fail on several of them in one run, with sound workers beside.
func TestLastingGangLeavesWorkersThatFailTogether(t *testing.T) {
	for _, members := range []int32{4, 8} {
		t.Run(fmt.Sprint(members, " members"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 6)
				spec := gangJob(jobID, members)
				spec.Steps[0].LongRunning, spec.Steps[0].MaxPerWorker = true, members/2
				f.submit(spec, time.Hour)
				f.run(fleetTick)
				var bad []*fleetWorker
				for _, w := range f.workers {
					if len(w.running) > 0 {
						bad = append(bad, w)
					}
				}
				for range time.Minute / fleetTick {
					f.run(fleetTick)
					f.failTogether(bad)
				}
				last := f.state.jobs[jobID].graph.Task(graph.Ref{})
				if len(bad) != 2 || time.Duration(last.Run)*time.Second > time.Minute {
					t.Errorf("%d runs in a minute, the first on %d bad workers", last.Run, len(bad))
				}
			})
		})
	}
}
