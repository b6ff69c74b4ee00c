package duty

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"catkinpoint/clock"
)

// Guards against gangs that work on for nothing after the worker of one member has said that
// it leaves, and against stops of work that ends in time or that lasts.
func TestUnitsOnLeavingWorkerAreStopped(t *testing.T) {
	tests := []struct {
		name         string
		on           bool
		notice       time.Duration
		checkpointed bool
		lasting      bool
		unseen       bool          // the progress of the runs is not known after the notice
		stopsBefore  time.Duration // of the time of the notice; 0 if there are no stops
	}{
		{name: "gang that needs much longer", on: true, notice: 2 * time.Second, stopsBefore: 2 * time.Second},
		{name: "gang that ends in time", on: true, notice: 7 * time.Second},
		{name: "gang with checkpoints", on: true, notice: 2 * time.Second, checkpointed: true, stopsBefore: 1200 * time.Millisecond},
		{name: "gang that lasts", on: true, notice: 2 * time.Second, lasting: true},
		{name: "switched off", notice: 2 * time.Second},
		// The next holder took runs of which it had seen no progress for ones that had not begun.
		{name: "gang that ends in time, progress not seen", on: true, notice: 7 * time.Second, unseen: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 12)
				f.scheduler.settings.SaveLeavingWork = test.on
				spec := simpleJob(fmt.Sprintf("%016x", 1), 4)
				spec.Steps[0].Gang, spec.Steps[0].Accelerators, spec.Steps[0].EstimateMs = true, 8, 10000
				spec.Steps[0].Checkpointing, spec.Steps[0].LongRunning = test.checkpointed, test.lasting
				j := f.submit(spec, 10*time.Second)
				f.run(5 * time.Second)
				var leaver *fleetWorker
				for _, w := range f.workers {
					if len(w.running) > 0 {
						leaver = w
					}
				}
				leaver.leavesAt, leaver.leavesLate = f.startedAt+5*time.Second+test.notice, 400*time.Millisecond
				if test.unseen {
					f.run(fleetTick)
					for _, r := range f.state.jobs[spec.GetId()].runs {
						*r = run{run: r.run, stored: true, knownSince: r.knownSince, expectedTime: r.expectedTime}
					}
					f.state.saveLeavingWork(clock.Monotonic())
				}
				first := time.Duration(0) // time left at the first stop
				for left := test.notice; left > 0 && first == 0; left -= fleetTick {
					f.run(fleetTick)
					if f.stops > 0 {
						first = left
					}
				}
				if (first - test.stopsBefore).Abs() > 2*fleetTick {
					t.Errorf("stopped %v before the end of the notice; want %v", first, test.stopsBefore)
				}
				f.run(20 * time.Second)
				if _, ok := f.elapsed(j); !ok && !test.lasting {
					t.Error("the gang has not completed")
				}
			})
		})
	}
}
