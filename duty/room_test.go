package duty

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"catkinpoint/clock"
	"catkinpoint/flow"
	"catkinpoint/graph"
	"catkinpoint/plan"
)

// A worker that does not check its own room must not be brought over it by a start:
// not while runs are being stopped there, nor once its room has shrunk, nor by runs
// that came late or that an earlier holder started.
func TestStartsKeepWithinRoom(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 29))
				f := newFleet(t, 6)
				for _, w := range f.workers {
					w.stopTime = 900 * time.Millisecond
				}
				full := capacity(f.workers[0].report(1).GetWorker())
				for n := range 60 {
					w := f.workers[random.IntN(len(f.workers))]
					switch random.IntN(8) {
					case 0:
						w.setRoom(clock.Monotonic(), plan.Resources{MilliCPU: full.MilliCPU / 4, MemoryMB: full.MemoryMB / 4, Accelerators: full.Accelerators / 4})
					case 1:
						w.setRoom(clock.Monotonic(), full)
					case 2:
						w.startDelay = time.Duration(random.IntN(12)) * time.Second
					case 3:
						w.startDelay = 0
					case 4:
						f.changeHolder()
					}
					spec := simpleJob(fmt.Sprintf("%016x", n+1), int32(1+random.IntN(4)))
					spec.Priority = int32(random.IntN(3))
					spec.Steps[0].Gang = random.IntN(2) == 0
					spec.Steps[0].Accelerators = int64(1 + random.IntN(3))
					f.submit(spec, 3*time.Second)
					f.run(time.Duration(200+random.IntN(800)) * time.Millisecond)
				}
				f.run(20 * time.Second)
				for _, overrun := range f.overruns {
					t.Errorf("over the room: %s", overrun)
				}
			})
		})
	}
}

// A run that the worker lists although it has another place, such as one that started
// late, holds room there until it is stopped.
func TestUnexpectedRunHoldsRoom(t *testing.T) {
	tests := []struct {
		name string
		task string
	}{
		{"of a known job", graph.TaskName(jobID, graph.Ref{})},
		{"of an unknown job", "00000000000000ff.0.0.0"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 1)
				wide := simpleJob(jobID, 1)
				wide.Steps[0].Accelerators = 8
				f.submit(wide, 5*time.Second)
				w := f.workers[0]
				r := w.report(1)
				r.Sequence, r.Running = 1, []*flow.Run{{Task: test.task, Run: 7}}
				f.state.applyReport(f.scheduler, r, make(chan *flow.Orders, 1))
				f.state.placeUnits(f.scheduler, clock.Monotonic())
				if active := f.state.jobs[jobID].graph.Active(); len(active) != 0 {
					t.Errorf("a task was placed beside the unexpected run: %v", active[0])
				}
			})
		})
	}
}

// A relay of an earlier build passes on whatever the worker says.
func TestBadCapacityTakesNoStarts(t *testing.T) {
	for _, accelerators := range []int64{-8, math.MinInt64, math.MaxInt64} {
		t.Run(fmt.Sprint(accelerators), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 1)
				f.submit(simpleJob(jobID, 1), 5*time.Second)
				r := f.workers[0].report(1)
				r.Sequence, r.Worker.Accelerators = 1, accelerators
				f.state.applyReport(f.scheduler, r, make(chan *flow.Orders, 1))
				f.state.placeUnits(f.scheduler, clock.Monotonic())
				if active := f.state.jobs[jobID].graph.Active(); len(active) != 0 {
					t.Errorf("placed %v on a worker with %d accelerators", active[0], accelerators)
				}
			})
		})
	}
}

// A run that was placed but not started yet when its worker's room shrank is taken
// back: the start may be carried out long after.
func TestShrunkRoomTakesBackUnstartedRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		w := f.workers[0]
		w.startDelay = time.Hour
		f.submit(simpleJob(jobID, 6), 5*time.Second)
		f.run(time.Second)
		w.setRoom(clock.Monotonic(), plan.Resources{MilliCPU: 64000, MemoryMB: 262144, Accelerators: 2})
		f.run(time.Second)
		if active := f.state.jobs[jobID].graph.Active(); len(active) > 2 {
			t.Errorf("%d runs are still to start in a room for two", len(active))
		}
	})
}
