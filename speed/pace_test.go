package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"catkinpoint/flow"
	"catkinpoint/graph"
)

// replayLoad feeds jobs of six tasks each on random workers, two begun a second, whose members
// are listed twice a second. The noise is that of tocynglas-sched-grown: 3% in gangs and 28% in
// other steps. timeOn returns the relative run time on a worker at a time.
func replayLoad(p *Paces, from, length time.Duration, gang func(job int) bool, timeOn func(worker int, at time.Duration) float64) {
	const workers, tick = 30, 500 * time.Millisecond
	r := rand.New(rand.NewPCG(1, uint64(from)))
	type task struct {
		group   Group
		worker  int
		size    float64 // seconds
		done    float64
		stretch Stretch
	}
	var running []*task
	jobs := 0
	for now := from; now < from+length; now += tick {
		g := Group{Job: fmt.Sprint(from, jobs), Gang: gang(jobs)}
		noise, size := 0.28, 2+4*r.Float64()
		if g.Gang {
			noise = 0.03
		}
		for range 6 {
			running = append(running, &task{group: g, worker: r.IntN(workers), size: size * math.Exp(noise*r.NormFloat64())})
		}
		jobs++
		for _, t := range running {
			t.done += tick.Seconds() / t.size / timeOn(t.worker, now)
			elapsed, gained, ok := t.stretch.Listed(now, int32(min(100, 100*t.done)))
			if ok {
				p.Add(Sample{Group: t.group, Worker: placeOf(t.worker), Elapsed: elapsed, Percent: gained, At: now})
			}
		}
		if now%time.Second == 0 {
			p.Fit(now)
		}
	}
}

func placeOf(n int) graph.Place {
	return graph.Place{Worker: fmt.Sprint("w", n), Relay: fmt.Sprintf("r%02d", n), StartUnixMS: 1}
}

func allGangs(int) bool { return true }
func noGangs(int) bool  { return false }

// Guards against workers whose kind is not learned within a few seconds, against paces of
// equal workers, and against passing causes that are taken as lasting ones.
func TestPacesOfWorkers(t *testing.T) {
	uneven := func(w int, _ time.Duration) float64 {
		if w%3 == 0 {
			return 2.4
		}
		return 1
	}
	isEqual := func(_ int, pace float64) bool { return math.Abs(math.Log(pace)) < 0.3 }
	isKind := func(w int, pace float64) bool {
		if uneven(w, 0) == 1 {
			return isEqual(w, pace)
		}
		return pace > 1.4 && pace < 3.2
	}
	tests := []struct {
		name   string
		length time.Duration
		gang   func(int) bool
		timeOn func(int, time.Duration) float64
		ok     func(int, float64) bool
		wrong  int // workers
	}{
		{name: "gangs on two kinds", length: 10 * time.Second, gang: allGangs, timeOn: uneven, ok: isKind, wrong: 1},
		{name: "half of the jobs are gangs", length: 20 * time.Second, gang: func(job int) bool { return job%2 == 0 }, timeOn: uneven, ok: isKind, wrong: 2},
		{name: "other steps on two kinds", length: 40 * time.Second, gang: noGangs, timeOn: uneven, ok: isKind, wrong: 4},
		{name: "equal workers, gangs", length: 40 * time.Second, gang: allGangs, timeOn: func(int, time.Duration) float64 { return 1 }, ok: isEqual},
		{name: "equal workers, other steps", length: 40 * time.Second, gang: noGangs, timeOn: func(int, time.Duration) float64 { return 1 }, ok: isEqual, wrong: 2},
		{name: "slow for 5 s, 12 s ago", length: 37 * time.Second, gang: allGangs, timeOn: func(w int, at time.Duration) float64 {
			if w%6 == 0 && at > 20*time.Second && at < 25*time.Second {
				return 6.5
			}
			return 1
		}, ok: isEqual, wrong: 1},
		{name: "without progress for 1.5 s", length: 25 * time.Second, gang: allGangs, timeOn: func(w int, at time.Duration) float64 {
			if w%6 == 0 && at > 20*time.Second && at <= 21500*time.Millisecond {
				return 1e6
			}
			return 1
		}, ok: isEqual, wrong: 2},
		{name: "a kind that changed 12 s ago", length: 42 * time.Second, gang: allGangs, timeOn: func(w int, at time.Duration) float64 {
			if at < 30*time.Second {
				return 1
			}
			return uneven(w, at)
		}, ok: isKind, wrong: 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := NewPaces()
			replayLoad(p, 0, test.length, test.gang, test.timeOn)
			wrong := ""
			n := 0
			for w := range 30 {
				if pace := p.Pace(placeOf(w), test.length); !test.ok(w, pace) {
					n++
					wrong += fmt.Sprintf(" w%d %.2f", w, pace)
				}
			}
			if n > test.wrong {
				t.Errorf("%d wrong paces:%s", n, wrong)
			}
		})
	}
}

// Guards against estimates that outlive the worker's process or what they are worth, and
// against a handover that loses them.
func TestPacesAreKeptAndForgotten(t *testing.T) {
	p := NewPaces()
	replayLoad(p, 0, 20*time.Second, allGangs, func(w int, _ time.Duration) float64 { return 1 + 1.4*float64(1-min(1, w%3)) })
	next := NewPaces()
	next.Restore(p.Record(20*time.Second), time.Second)
	for w := range 30 {
		if before, after := p.Pace(placeOf(w), 20*time.Second), next.Pace(placeOf(w), time.Second); math.Abs(before-after) > 1e-9 {
			t.Errorf("pace of worker %d is %.2f before and %.2f after a handover", w, before, after)
		}
	}
	if pace := next.Pace(placeOf(0), time.Hour); pace != 1 {
		t.Errorf("pace is %.2f after an hour without evidence; want 1", pace)
	}
	next.Forget(placeOf(0))
	restarted := placeOf(0)
	restarted.StartUnixMS++
	if a, b := next.Pace(placeOf(0), time.Second), next.Pace(restarted, time.Second); a != 1 || b != 1 {
		t.Errorf("paces of a worker that restarted are %.2f and %.2f; want 1", a, b)
	}
}

// Guards against estimates of workers without samples that move again with each fit of a window
// (new workers shift the median while others are idle).
func TestPacesWithoutSamplesStay(t *testing.T) {
	p := NewPaces()
	var list []*flow.WorkerPace
	for w, logTime := range []float64{-0.5, -0.5, -0.5, 0, 0.5, 0.5} {
		place := placeOf(w)
		list = append(list, &flow.WorkerPace{Relay: place.Relay, Worker: place.Worker, BornMs: place.StartUnixMS, LogTime: logTime, Weight: 10})
	}
	p.Restore(list, 0)
	for second := range time.Duration(5) {
		now := (second + 1) * time.Second
		for _, w := range []int{0, 1, 2, 6, 7} {
			p.Add(Sample{Group: Group{Job: "j", Gang: true}, Worker: placeOf(w), Elapsed: time.Second, Percent: 20, At: now})
		}
		p.Fit(now)
	}
	for w, want := range map[int]float64{3: math.Exp(0.5), 4: math.Exp(1), 5: math.Exp(1)} {
		if pace := p.Pace(placeOf(w), 5*time.Second); math.Abs(math.Log(pace/want)) > 0.05 {
			t.Errorf("pace of worker %d without samples is %.2f; want %.2f", w, pace, want)
		}
	}
}

// Guards against a fit whose cost and evidence grow with the length of a stretch, and a time
// that overflows (a clock that jumps by years, or a run that is not listed for long).
func TestLongStretches(t *testing.T) {
	p := NewPaces()
	for w, elapsed := range []time.Duration{time.Second, 10 * time.Hour, math.MaxInt64} {
		p.Add(Sample{Group: Group{Job: "j"}, Worker: placeOf(w), Elapsed: elapsed, Percent: float64(20 - 10*w), At: time.Minute})
	}
	f := p.newFitting(time.Minute)
	for _, w := range f.workers {
		if w.seconds > maxWeight+1 {
			t.Errorf("the sample of %v counts as %.0f s of evidence", w.place, w.seconds)
		}
	}
	if len(f.workers) < 2 {
		t.Errorf("%d workers are fitted", len(f.workers))
	}
	p = NewPaces()
	p.Add(Sample{Group: Group{Job: "j"}, Worker: placeOf(0), Elapsed: math.MaxInt64, Percent: 8, At: time.Minute})
	for _, g := range p.GroupTimes(time.Minute) {
		if g.Took <= 0 {
			t.Errorf("the time of the group is %v", g.Took)
		}
	}
}

// Guards against a faded estimate that a little new evidence brings back, and against
// estimates of workers that have gone and are kept for ever.
func TestFadedPacesEnd(t *testing.T) {
	gone := graph.Place{Relay: "gone", Worker: "w"}
	p := NewPaces()
	p.Restore([]*flow.WorkerPace{
		{Relay: placeOf(0).Relay, Worker: placeOf(0).Worker, BornMs: placeOf(0).StartUnixMS, LogTime: 0.9, Weight: 20},
		{Relay: gone.Relay, Worker: gone.Worker, LogTime: 0.9, Weight: 20},
	}, 0)
	for second := range 8 * time.Second / time.Second {
		now := 2*time.Hour + second*time.Second
		for w := range 4 {
			p.Add(Sample{Group: Group{Job: "j", Gang: true}, Worker: placeOf(w), Elapsed: time.Second, Percent: 20, At: now})
		}
		p.Fit(now)
		if pace := p.Pace(placeOf(0), now); pace != 1 {
			t.Errorf("pace is %.2f after two hours without evidence and %d s of that of an equal worker; want 1", pace, second+1)
		}
	}
	if _, kept := p.present[gone]; kept || len(p.prior) != 4 {
		t.Errorf("%d estimates are kept; want those of 4 workers", len(p.prior))
	}
}

// The largest fit: 5,600 workers and a full window of samples.
func BenchmarkFit(b *testing.B) {
	p := NewPaces()
	for i := range maxSamples {
		p.Add(Sample{
			Group: Group{Job: fmt.Sprintf("%016x", i/13)}, Worker: placeOf(i % 5600), Elapsed: time.Second,
			Percent: float64(10 + i%10), At: time.Duration(i%6) * time.Second,
		})
	}
	b.ReportAllocs()
	for b.Loop() {
		p.changed = true
		p.Fit(time.Second)
		p.GroupTimes(time.Second)
	}
}
