package speed

import "time"

const (
	// minStretchPercent and minStretchTime are the least progress and time of a sample that
	// is worth more than the rounding of percentages.
	minStretchPercent = 8
	minStretchTime    = 300 * time.Millisecond
	// longStretch is the time after which a sample is taken whatever the progress.
	longStretch = 3 * time.Second
)

// Stretch is the part of a run since the last sample. The zero value is that of a run that
// has not begun.
type Stretch struct {
	begun   bool
	clock   time.Duration
	percent int32
}

// Listed takes the progress of a run in a list of its worker, at a time on the worker's
// clock, and returns the time and the progress of a new sample, or false. A run at 100
// percent may wait for others of its gang, so that it gives no sample.
func (s *Stretch) Listed(clock time.Duration, percent int32) (elapsed time.Duration, gained float64, ok bool) {
	if !s.begun {
		s.begun, s.clock, s.percent = true, clock, percent
		return 0, 0, false
	}
	elapsed, gained = clock-s.clock, float64(percent-s.percent)
	if percent >= 100 || elapsed < minStretchTime || gained < minStretchPercent && elapsed < longStretch {
		return 0, 0, false
	}
	s.clock, s.percent = clock, percent
	return elapsed, gained, true
}
