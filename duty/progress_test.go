package duty

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Members of a gang wait for one whose start is carried out late. Their workers
// are not slow, and the gang is left to begin.
func TestGangThatHasNotBegunIsNotSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		f.workers[0].deaf = 3 * time.Second
		var jobs []*fleetJob
		for n := range 2 { // each is slow besides the other
			spec := simpleJob(fmt.Sprintf("%016x", n+1), 8)
			spec.Priority, spec.SlackFactor = 0, 1.5
			spec.Steps[0].Gang, spec.Steps[0].MaxPerWorker, spec.Steps[0].EstimateMs = true, 2, 2000
			jobs = append(jobs, f.submit(spec, 2*time.Second))
		}
		f.play(10 * time.Second)
		for _, j := range jobs {
			took, ok := f.took(j)
			if want := 5500 * time.Millisecond; !ok || took > want {
				t.Errorf("job %s: completed %v after %v; want %v", j.spec.GetId(), ok, took, want)
			}
		}
		if f.stops != 0 {
			t.Errorf("%d stops; want none", f.stops)
		}
	})
}

// A worker leaves under a run. The run is left alone: it ends there if it can,
// though it takes longer than declared, and starts again elsewhere, a gang as a
// whole, once the worker has gone. Nothing more starts on the worker.
func TestRunStaysOnWorkerThatLeaves(t *testing.T) {
	tests := []struct {
		name   string
		gang   bool
		took   time.Duration
		leave  time.Duration // from the start of the run to the announced end
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
				f.play(5 * time.Second)
				var leaves *fleetWorker
				for _, w := range f.workers {
					if len(w.running) > 0 {
						leaves = w
						w.endsAt, w.lingers = f.began+test.leave, 500*time.Millisecond
						break
					}
				}
				f.play(fleetTick)
				f.submit(simpleJob("00000000000000bb", 8), time.Second)
				before := len(leaves.running)
				f.play(500 * time.Millisecond)
				if len(leaves.running) > before {
					t.Error("something started on the worker that leaves")
				}
				f.play(test.within)
				if took, ok := f.took(j); !ok || took > test.within {
					t.Errorf("completed %v after %v; want %v", ok, took, test.within)
				}
			})
		})
	}
}

// Urgent work beside a worker that stands still, is not heard, or works longer
// than declared: it is moved off the first, and the others keep it. Members that
// wait at their end for one that stands still are not held against their workers.
func TestWorkerThatStandsStillIsLeft(t *testing.T) {
	tests := []struct {
		name   string
		gang   bool
		took   time.Duration
		change func(*fleetWorker)
		within time.Duration
		stops  int
		banned int // workers that get nothing for some time
	}{
		{name: "stands still", took: 2 * time.Second, change: func(w *fleetWorker) { w.hangs = true }, within: 5 * time.Second, stops: 1, banned: 1},
		{name: "stands still, gang", gang: true, took: 2 * time.Second, change: func(w *fleetWorker) { w.hangs = true }, within: 5 * time.Second, stops: 4, banned: 1},
		{name: "is not heard", took: 4 * time.Second, change: func(w *fleetWorker) { w.silent = true }, within: 5500 * time.Millisecond},
		{name: "does not answer its relay", took: 4 * time.Second, change: func(w *fleetWorker) { w.mute = true }, within: 5500 * time.Millisecond},
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
				f.play(500 * time.Millisecond)
				for _, w := range f.workers {
					if len(w.running) > 0 {
						test.change(w)
						break
					}
				}
				f.play(2500 * time.Millisecond)
				banned := 0
				for _, w := range f.st.workers {
					if w.health.bannedUntil > 0 {
						banned++
					}
				}
				for _, w := range f.workers {
					w.silent, w.mute = false, false
				}
				f.play(test.within)
				took, ok := f.took(j)
				if !ok || took > test.within {
					t.Errorf("completed %v after %v; want %v", ok, took, test.within)
				}
				if f.stops != test.stops || banned != test.banned {
					t.Errorf("%d stops, %d workers got nothing; want %d and %d", f.stops, banned, test.stops, test.banned)
				}
			})
		})
	}
}

// The remaining time follows the progress made, from when the run began or was
// resumed, and the declared time while there is little of it.
func TestRemainingTimeFollowsProgress(t *testing.T) {
	const declared = 10 * time.Second
	tests := []struct {
		name        string
		first, last int32         // percent
		after       time.Duration // between these two readings
		want        time.Duration
	}{
		{name: "as declared", last: 50, after: 5 * time.Second, want: 5 * time.Second},
		{name: "half as fast", last: 25, after: 5 * time.Second, want: 15 * time.Second},
		{name: "twice as fast", last: 80, after: 4 * time.Second, want: time.Second},
		{name: "resumed at a checkpoint", first: 40, last: 60, after: 4 * time.Second, want: 8 * time.Second},
		{name: "too little to tell", last: 4, after: 5 * time.Second, want: 9600 * time.Millisecond},
		{name: "at its end", last: 100, after: 5 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := &run{expected: declared}
			r.progress(test.first, true, reading{now: time.Second, worker: time.Minute})
			now := time.Second + test.after
			r.progress(test.last, true, reading{now: now, worker: time.Minute + test.after})
			if got := r.remaining(now); got != test.want {
				t.Errorf("remaining time %v; want %v", got, test.want)
			}
		})
	}
}

// A run at its end waits for another member of its gang, which stands still. That
// tells nothing of its own worker's speed.
func TestWaitingAtTheEndIsNoSlowness(t *testing.T) {
	var h health
	j, r := &job{}, &run{expected: 2 * time.Second}
	for tick := range 6 {
		at := time.Duration(tick) * time.Second
		percent := min(100, int32(tick)*50)
		read := reading{now: time.Second + at, worker: time.Minute + at}
		r.progress(percent, true, read)
		h.sample(j, r, read)
	}
	if slowness, jobs := h.besides(nil, 7*time.Second); slowness >= soundBelow || r.slowSamples > 0 {
		t.Errorf("slowness %v by %d jobs after %d slow readings; want none", slowness, jobs, r.slowSamples)
	}
}
