package duty

import "time"

const (
	// minKnownPercent is the least progress, in percent, from which the remaining
	// time of a run is extrapolated.
	minKnownPercent = 5
	// stallTime is the time without progress after which a run counts as stalled.
	// Workers list their runs twice a second.
	stallTime = 1200 * time.Millisecond
	// stallShare is the same time as a share of the run's expected time, for long
	// runs that progress by less than a percent in stallTime. The longer of the
	// two times applies.
	stallShare = 0.03
)

// listTime is when a worker listed its runs. The list arrived at received on this
// process's clock, so it was taken then or earlier, at workerClock on the worker's
// clock; workerClock is 0 if it is not known.
type listTime struct {
	received, workerClock time.Duration
}

// updateProgress records the progress of a run from a list of its worker. Progress
// counts only once the gang is complete: until then its members wait for each
// other, however fast their workers are. A list without the worker's clock is
// ignored, as its time is not known.
func (r *run) updateProgress(percent int32, gangComplete bool, listed listTime) {
	if listed.workerClock == 0 {
		return
	}
	if r.begunAt == 0 {
		if !gangComplete {
			return
		}
		r.begunAt, r.percentAt = listed.received, listed.received
		r.begunClock, r.percentClock, r.sampleClock = listed.workerClock, listed.workerClock, listed.workerClock
		r.firstPercent, r.percent, r.samplePercent = percent, percent, percent
	}
	r.lastClock = max(r.lastClock, listed.workerClock)
	if percent > r.percent {
		r.percent, r.percentAt, r.percentClock = percent, listed.received, listed.workerClock
	}
}

// stalled reports whether the run has begun and makes no progress. The time is
// measured on the worker's clock, so that delayed reports do not look like a stall.
func (r *run) stalled() bool {
	limit := max(stallTime, time.Duration(stallShare*float64(r.expectedTime)))
	return r.begunAt > 0 && r.percent < 100 && r.lastClock-r.percentClock >= limit
}

// remaining returns the expected time to the end of the run. It is extrapolated
// from the progress of this run if there is enough of it, and is otherwise the
// rest of the expected time. A run that is faster than its gang waits for the others.
func (r *run) remaining(now time.Duration) time.Duration {
	if r.begunAt == 0 {
		return r.expectedTime
	}
	whole := r.ownTime()
	left := time.Duration(float64(whole) * float64(100-r.percent) / 100)
	if gained := r.percent - r.firstPercent; gained >= minKnownPercent {
		took := r.percentClock - r.begunClock
		left = took * time.Duration(100-r.percent) / time.Duration(gained)
		whole = took * time.Duration(100-r.firstPercent) / time.Duration(gained)
	}
	wait := time.Duration(float64(whole) * (r.gangFactor() - 1))
	return max(0, left+wait-(now-r.percentAt))
}

// gangFactor returns how many times as long as the run's own progress takes until the end of
// its gang, which ends with its slowest member.
func (r *run) gangFactor() float64 {
	if r.ownPace <= 0 || r.pace <= r.ownPace {
		return 1
	}
	return r.pace / r.ownPace
}

// typicalTime returns the expected run time on a typical worker.
func (r *run) typicalTime() time.Duration {
	if r.pace <= 0 {
		return r.expectedTime
	}
	return time.Duration(float64(r.expectedTime) / r.pace)
}

// ownTime returns the expected time in which the run makes its own progress, without the
// wait for slower members of its gang.
func (r *run) ownTime() time.Duration {
	if r.ownPace <= 0 {
		return r.expectedTime
	}
	return time.Duration(float64(r.typicalTime()) * r.ownPace)
}
