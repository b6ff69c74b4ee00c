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
