package duty

import "time"

const (
	// minPercent and minSample are the least progress that a sound worker makes,
	// and the least time, between two readings of a speed.
	minPercent = 4
	minSample  = 400 * time.Millisecond
	// leastShare stands for no progress at all.
	leastShare = 0.004
	// maxSlowness bounds one reading.
	maxSlowness = 20
	// slowRun is the slowness from which a run counts as slow.
	slowRun = 3
	// readingAge is how long a reading of a speed counts.
	readingAge = 5 * time.Second
	// soundBelow is the slowness below which readings are too rough to matter.
	soundBelow = 2
)

// speed is how many times as long as declared a task was taking.
type speed struct {
	slowness float64
	at       time.Duration
}

// sample takes the progress of a job's run. A run at its end may wait for the
// other members of its gang.
func (h *health) sample(j *job, r *run, read reading) {
	took := read.worker - r.sampleClock
	if read.worker == 0 || r.begunAt == 0 || r.percent >= 100 || r.expected <= 0 || took < max(minSample, r.expected*minPercent/100) {
		return
	}
	share := float64(r.percent-r.samplePercent) / 100
	r.sampleClock, r.samplePercent = read.worker, r.percent
	r.slowness = min(maxSlowness, took.Seconds()/(r.expected.Seconds()*max(share, leastShare)))
	if r.slowness < slowRun {
		r.slowSamples = 0
	} else {
		r.slowSamples++
	}
	if h.speeds == nil {
		h.speeds = map[*job]speed{}
	}
	h.speeds[j] = speed{r.slowness, read.now}
}

// besides returns how slow the worker is by the runs of other jobs, and how
// many these are. All of them must agree, so the least slow one counts.
func (h *health) besides(except *job, now time.Duration) (slowness float64, jobs int) {
	for j, r := range h.speeds {
		switch {
		case now-r.at > readingAge:
			delete(h.speeds, j)
		case j != except:
			if jobs == 0 || r.slowness < slowness {
				slowness = r.slowness
			}
			jobs++
		}
	}
	return slowness, jobs
}

// slowness returns how many times as long tasks take on the worker, from two jobs
// or more.
func (h *health) slowness(now time.Duration) float64 {
	slowness, jobs := h.besides(nil, now)
	if jobs < 2 || slowness < soundBelow {
		return 1
	}
	return slowness
}
