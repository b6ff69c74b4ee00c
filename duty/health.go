package duty

import (
	"time"

	"k8s.io/klog/v2"

	"catkinpoint/graph"
)

const (
	// suspectAfter is how many failures in a row, of tasks that have failed
	// nowhere else, make a worker suspect.
	suspectAfter = 2
	// firstBan is how long a suspect worker gets no work; it doubles with each
	// failure after that.
	firstBan = 3 * time.Second
	maxBan   = 30 * time.Second
	// unhealthyBan follows a worker's own word that it is not healthy.
	unhealthyBan = 1500 * time.Millisecond
	// roomBan follows a rejection for want of room.
	roomBan = 400 * time.Millisecond
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

// health is what a worker's runs say of it.
type health struct {
	failures    int
	bannedUntil time.Duration
	ban         time.Duration
	// readings are the last of each job that ran there, which tells a slow
	// worker from a job whose declared time is wrong.
	readings map[*job]reading
}

// reading is how many times as long as declared a task was taking.
type reading struct {
	slowness float64
	at       time.Duration
}

// ended takes the end of a run.
func (h *health) ended(j *job, worker, how string, now time.Duration) {
	switch how {
	case graph.EndDone:
		h.failures, h.ban = 0, 0
	case graph.EndFailed:
		if len(j.failedAt) > 0 && !(len(j.failedAt) == 1 && j.failedAt[worker]) {
			return // the job fails elsewhere too
		}
		h.failures++
		if h.failures >= suspectAfter {
			h.ban = min(maxBan, max(firstBan, 2*h.ban))
			h.bannedUntil = now + h.ban
			klog.InfoS("duty: worker suspect", "worker", worker, "failures", h.failures, "ban_ms", h.ban.Milliseconds())
		}
	}
}

// refused takes a rejected start.
func (h *health) refused(reason string, now time.Duration) {
	ban := unhealthyBan
	switch reason {
	case graph.RefusedRoom:
		ban = roomBan
	case graph.RefusedStopped, graph.RefusedRun, graph.RefusedDraining:
		return
	}
	h.bannedUntil = max(h.bannedUntil, now+ban)
}

// sample takes the progress of a job's run.
func (h *health) sample(j *job, r *run, percent int32, now time.Duration) {
	took := now - r.sampleAt
	if r.expected <= 0 || took < max(minSample, r.expected*minPercent/100) {
		return
	}
	share := float64(percent-r.samplePercent) / 100
	r.sampleAt, r.samplePercent = now, percent
	r.slowness = min(maxSlowness, took.Seconds()/(r.expected.Seconds()*max(share, leastShare)))
	if r.slowness < slowRun {
		r.slowSamples = 0
	} else {
		r.slowSamples++
	}
	if h.readings == nil {
		h.readings = map[*job]reading{}
	}
	h.readings[j] = reading{r.slowness, now}
}

// besides returns how slow the worker is by the runs of other jobs, and how
// many these are. All of them must agree, so the least slow one counts.
func (h *health) besides(except *job, now time.Duration) (slowness float64, jobs int) {
	for j, r := range h.readings {
		switch {
		case now-r.at > readingAge:
			delete(h.readings, j)
		case j != except:
			if jobs == 0 || r.slowness < slowness {
				slowness = r.slowness
			}
			jobs++
		}
	}
	return slowness, jobs
}

// speed returns how many times as long tasks take on the worker, from two jobs
// or more.
func (h *health) speed(now time.Duration) float64 {
	slowness, jobs := h.besides(nil, now)
	if jobs < 2 || slowness < soundBelow {
		return 1
	}
	return slowness
}
