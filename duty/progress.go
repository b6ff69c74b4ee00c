package duty

import "time"

// knownProgress is the least progress, in percent, from which the time that a
// run takes is told.
const knownProgress = 5

// progress takes a reading of a run's progress. A gang makes progress from when
// it is complete; until then its members wait, whatever their workers are like.
func (r *run) progress(percent int32, complete bool, now time.Duration) {
	if r.begunAt == 0 {
		if !complete {
			return
		}
		r.begunAt, r.percentAt, r.sampleAt = now, now, now
		r.firstPercent, r.percent, r.samplePercent = percent, percent, percent
	}
	if percent > r.percent {
		r.percent, r.percentAt = percent, now
	}
}

// remaining returns the expected time to the end of the run: by its progress if
// there is enough of it, and else by the declared time.
func (r *run) remaining(now time.Duration) time.Duration {
	if r.begunAt == 0 {
		return r.expected
	}
	left := time.Duration(float64(r.expected) * float64(100-r.percent) / 100)
	if made := r.percent - r.firstPercent; made >= knownProgress {
		left = (r.percentAt - r.begunAt) * time.Duration(100-r.percent) / time.Duration(made)
	}
	return max(0, left-(now-r.percentAt))
}
