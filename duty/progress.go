package duty

import "time"

const (
	// knownProgress is the least progress, in percent, from which the time that a
	// run takes is told.
	knownProgress = 5
	// stallTime is how long a run stands still before its worker is taken to do
	// so; workers are read twice a second.
	stallTime = 1200 * time.Millisecond
	// stallShare is the same as a share of the declared time, for work that makes
	// less than a percent in stallTime.
	stallShare = 0.03
)

// reading is when a worker listed its runs: on this process's clock, at most, and
// on the worker's.
type reading struct {
	now, worker time.Duration
}

// progress takes a reading of a run's progress. A gang makes progress from when
// it is complete; until then its members wait, whatever their workers are like. A
// reading without the worker's clock tells nothing.
func (r *run) progress(percent int32, complete bool, read reading) {
	if read.worker == 0 {
		return
	}
	if r.begunAt == 0 {
		if !complete {
			return
		}
		r.begunAt, r.percentAt = read.now, read.now
		r.firstClock, r.percentClock, r.sampleClock = read.worker, read.worker, read.worker
		r.firstPercent, r.percent, r.samplePercent = percent, percent, percent
	}
	r.readClock = max(r.readClock, read.worker)
	if percent > r.percent {
		r.percent, r.percentAt, r.percentClock = percent, read.now, read.worker
	}
}

// stalled tells whether the run stands still.
func (r *run) stalled() bool {
	limit := max(stallTime, time.Duration(stallShare*float64(r.expected)))
	return r.begunAt > 0 && r.percent < 100 && r.readClock-r.percentClock >= limit
}

// remaining returns the expected time to the end of the run: by its progress if
// there is enough of it, and else by the declared time.
func (r *run) remaining(now time.Duration) time.Duration {
	if r.begunAt == 0 {
		return r.expected
	}
	left := time.Duration(float64(r.expected) * float64(100-r.percent) / 100)
	if made := r.percent - r.firstPercent; made >= knownProgress {
		left = (r.percentClock - r.firstClock) * time.Duration(100-r.percent) / time.Duration(made)
	}
	return max(0, left-(now-r.percentAt))
}
