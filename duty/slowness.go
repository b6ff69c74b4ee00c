package duty

import "time"

const (
	// Two samples of a run are at least minSampleTime apart, and at least as long
	// as a healthy worker takes for minSamplePercent of the run.
	minSamplePercent = 4
	minSampleTime    = 400 * time.Millisecond
	// minProgressShare is the least progress, as a share of the run, that a sample
	// assumes. It stands for no progress at all.
	minProgressShare = 0.004
	// maxSlowness is the upper bound of a sample.
	maxSlowness = 20
	// slowThreshold is the slowness from which a sample counts as slow.
	slowThreshold = 3
	// maxSampleAge is how long a sample counts.
	maxSampleAge = 5 * time.Second
	// minSlowness is the least slowness of a worker that is taken into account;
	// samples are too rough to tell a smaller one from 1.
	minSlowness = 2
)

// slownessSample is a measurement of a run's speed between two lists of a worker.
type slownessSample struct {
	slowness float64       // how many times as long as expected the run takes
	at       time.Duration // on this process's clock
}

// addSample measures the slowness of a job's run since its last sample, if that
// is long enough ago. It skips a run at 100 percent, which may be waiting for the
// other members of its gang.
func (h *health) addSample(j *job, r *run, listed listTime) {
	elapsed := listed.workerClock - r.sampleClock
	expected := r.ownTime()
	if listed.workerClock == 0 || r.begunAt == 0 || r.percent >= 100 || expected <= 0 || elapsed < max(minSampleTime, expected*minSamplePercent/100) {
		return
	}
	share := float64(r.percent-r.samplePercent) / 100
	r.sampleClock, r.samplePercent = listed.workerClock, r.percent
	r.slowness = min(maxSlowness, elapsed.Seconds()/(expected.Seconds()*max(share, minProgressShare)))
	if r.slowness < slowThreshold {
		r.slowSamples = 0
	} else {
		r.slowSamples++
	}
	if h.samples == nil {
		h.samples = map[*job]slownessSample{}
	}
	h.samples[j] = slownessSample{r.slowness, listed.received}
}

// slownessOfOthers returns how slow the worker is, measured by the runs of all
// jobs but one, and the number of these jobs. It returns the smallest of their
// samples, so that a worker counts as slow only if all of them agree.
func (h *health) slownessOfOthers(except *job, now time.Duration) (slowness float64, jobs int) {
	for j, sample := range h.samples {
		switch {
		case now-sample.at > maxSampleAge:
			delete(h.samples, j)
		case j != except:
			if jobs == 0 || sample.slowness < slowness {
				slowness = sample.slowness
			}
			jobs++
		}
	}
	return slowness, jobs
}

// slowness returns how many times as long as expected tasks take on the worker.
// It returns 1 unless at least two jobs show a slowness of minSlowness or more.
func (h *health) slowness(now time.Duration) float64 {
	slowness, jobs := h.slownessOfOthers(nil, now)
	if jobs < 2 || slowness < minSlowness {
		return 1
	}
	return slowness
}
