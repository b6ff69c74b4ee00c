package duty

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against moving a gang that has not begun: its members make no progress while
// they wait for one that starts late, but their workers are not slow.
func TestIncompleteGangIsNotSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		f.workers[0].startDelay = 3 * time.Second
		var jobs []*fleetJob
		for n := range 2 { // two jobs, as each confirms the slowness that the other shows
			spec := simpleJob(fmt.Sprintf("%016x", n+1), 8)
			spec.Priority, spec.SlackFactor = 0, 1.5
			spec.Steps[0].Gang, spec.Steps[0].MaxPerWorker, spec.Steps[0].EstimateMs = true, 2, 2000
			jobs = append(jobs, f.submit(spec, 2*time.Second))
		}
		f.run(10 * time.Second)
		for _, j := range jobs {
			took, ok := f.elapsed(j)
			if want := 5500 * time.Millisecond; !ok || took > want {
				t.Errorf("job %s: completed %v after %v; want at most %v", j.spec.GetId(), ok, took, want)
			}
		}
		if f.stops != 0 {
			t.Errorf("%d stops; want none", f.stops)
		}
	})
}

// Guards against stopping a run too early because its worker is draining. The run
// must be left to end there if it can, even if it takes longer than declared. If
// the worker goes first, the run, or its whole gang, must restart elsewhere.
// Nothing more may start on the worker.
func TestRunStaysOnDrainingWorker(t *testing.T) {
	tests := []struct {
		name   string
		gang   bool
		took   time.Duration
		leave  time.Duration // from the start of the run to the announced end of the worker
		within time.Duration
	}{
		{name: "ends in time", took: 6 * time.Second, leave: 6300 * time.Millisecond, within: 6200 * time.Millisecond},
		{name: "ends a little later than announced", took: 6 * time.Second, leave: 5900 * time.Millisecond, within: 6200 * time.Millisecond},
		{name: "gang ends a little later than announced", gang: true, took: 6 * time.Second, leave: 5900 * time.Millisecond, within: 6200 * time.Millisecond},
		{name: "cannot end", took: 12 * time.Second, leave: 7 * time.Second, within: 20 * time.Second},
		{name: "gang cannot end", gang: true, took: 12 * time.Second, leave: 7 * time.Second, within: 20 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 8)
				spec := simpleJob(jobID, 1)
				spec.Steps[0].EstimateMs = 3000
				if test.gang {
					spec.Steps[0].Gang, spec.Steps[0].Count, spec.Steps[0].Accelerators = true, 8, 4
				}
				j := f.submit(spec, test.took)
				f.run(5 * time.Second)
				var leaving *fleetWorker
				for _, w := range f.workers {
					if len(w.running) > 0 {
						leaving = w
						w.leavesAt, w.leavesLate = f.startedAt+test.leave, 500*time.Millisecond
						break
					}
				}
				f.run(fleetTick)
				f.submit(simpleJob("00000000000000bb", 8), time.Second)
				before := len(leaving.running)
				f.run(500 * time.Millisecond)
				if len(leaving.running) > before {
					t.Error("a run started on the draining worker")
				}
				f.run(test.within)
				if took, ok := f.elapsed(j); !ok || took > test.within {
					t.Errorf("completed %v after %v; want at most %v", ok, took, test.within)
				}
			})
		})
	}
}

// Guards against urgent runs that stay on a stalled worker, and against moving them
// for other reasons: a run must be moved off a worker on which nothing makes
// progress, but not if its reports are missing, its lists are outdated, or the run
// takes longer than declared. Gang members that are done and wait for a stalled one
// must not count against their workers.
func TestUrgentRunIsMovedOffStalledWorker(t *testing.T) {
	tests := []struct {
		name   string
		gang   bool
		took   time.Duration
		change func(*fleetWorker)
		within time.Duration
		stops  int
		banned int // workers that get no starts for some time
	}{
		{name: "stalled", took: 2 * time.Second, change: func(w *fleetWorker) { w.hangs = true }, within: 5 * time.Second, stops: 1, banned: 1},
		{name: "stalled, gang", gang: true, took: 2 * time.Second, change: func(w *fleetWorker) { w.hangs = true }, within: 5 * time.Second, stops: 4, banned: 1},
		{name: "reports are held back", took: 4 * time.Second, change: func(w *fleetWorker) { w.reportsHeld = true }, within: 5500 * time.Millisecond},
		{name: "does not answer its relay", took: 4 * time.Second, change: func(w *fleetWorker) { w.listsStale = true }, within: 5500 * time.Millisecond},
		{name: "declared time is far too short", took: 2 * time.Minute, change: func(*fleetWorker) {}, within: 3 * time.Minute},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 12)
				spec := simpleJob(jobID, 1)
				spec.Priority = 0
				spec.Steps[0].EstimateMs = 1000
				if test.gang {
					spec.Steps[0].Gang, spec.Steps[0].Count, spec.Steps[0].MaxPerWorker = true, 4, 1
				}
				j := f.submit(spec, test.took)
				f.run(500 * time.Millisecond)
				for _, w := range f.workers {
					if len(w.running) > 0 {
						test.change(w)
						break
					}
				}
				f.run(2500 * time.Millisecond)
				banned := 0
				for _, w := range f.state.workers {
					if w.health.bannedUntil > 0 {
						banned++
					}
				}
				for _, w := range f.workers {
					w.reportsHeld, w.listsStale = false, false
				}
				f.run(test.within)
				took, ok := f.elapsed(j)
				if !ok || took > test.within {
					t.Errorf("completed %v after %v; want at most %v", ok, took, test.within)
				}
				if f.stops != test.stops || banned != test.banned {
					t.Errorf("%d stops, %d workers banned; want %d and %d", f.stops, banned, test.stops, test.banned)
				}
			})
		})
	}
}

// The remaining time must be extrapolated from the progress since the run began or
// was resumed, and follow from the declared time while there is little progress.
func TestRemainingTimeFollowsProgress(t *testing.T) {
	const declared = 10 * time.Second
	tests := []struct {
		name        string
		first, last int32         // percent
		after       time.Duration // between the lists with first and last
		want        time.Duration
	}{
		{name: "as declared", last: 50, after: 5 * time.Second, want: 5 * time.Second},
		{name: "half as fast", last: 25, after: 5 * time.Second, want: 15 * time.Second},
		{name: "twice as fast", last: 80, after: 4 * time.Second, want: time.Second},
		{name: "resumed at a checkpoint", first: 40, last: 60, after: 4 * time.Second, want: 8 * time.Second},
		{name: "too little progress to extrapolate", last: 4, after: 5 * time.Second, want: 9600 * time.Millisecond},
		{name: "at its end", last: 100, after: 5 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := &run{expectedTime: declared}
			r.updateProgress(test.first, true, listTime{received: time.Second, workerClock: time.Minute})
			now := time.Second + test.after
			r.updateProgress(test.last, true, listTime{received: now, workerClock: time.Minute + test.after})
			if got := r.remaining(now); got != test.want {
				t.Errorf("remaining time %v; want %v", got, test.want)
			}
		})
	}
}

// Guards against taking a worker for slow because a run at 100 percent waits there
// for a stalled member of its gang.
func TestFinishedGangMemberIsNotSlow(t *testing.T) {
	var h health
	j, r := &job{}, &run{expectedTime: 2 * time.Second}
	for tick := range 6 {
		elapsed := time.Duration(tick) * time.Second
		percent := min(100, int32(tick)*50)
		read := listTime{received: time.Second + elapsed, workerClock: time.Minute + elapsed}
		r.updateProgress(percent, true, read)
		h.addSample(j, r, read)
	}
	if slowness, jobs := h.slownessOfOthers(nil, 7*time.Second); slowness >= minSlowness || r.slowSamples > 0 {
		t.Errorf("slowness %v by %d jobs after %d slow samples; want none", slowness, jobs, r.slowSamples)
	}
}
