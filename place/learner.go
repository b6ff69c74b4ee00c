package place

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramUnit is the resolution of learned run times.
	histogramUnit = 10 * time.Millisecond
	// histogramMax is the run time to which longer ones are cut.
	histogramMax = 60 * 24 * time.Hour
	// histogramDigits is the number of significant digits. It is 1 because the
	// estimate needs no more than 10% precision and a histogram then takes about
	// 5 KB.
	histogramDigits = 1
	// windowJobs is the number of run times in a histogram. When the current one
	// is full, it replaces the previous one, so that the estimate rests on one to
	// two windows of the latest run times.
	windowJobs = 200
	// minJobs is the number of ended jobs below which the declared run time is
	// used.
	minJobs = 5
	// estimatePercentile selects the median. Unlike a mean, it does not depend on
	// the few jobs that run far longer than the rest.
	estimatePercentile = 50
)

// Learner estimates run times of job classes from the jobs that ended.
type Learner struct {
	classes map[string]*classRunTimes
}

// classRunTimes holds the latest run times of one job class.
type classRunTimes struct {
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	estimate time.Duration // 0 while fewer than minJobs have ended
}

// NewLearner returns a Learner without any run times.
func NewLearner() *Learner {
	return &Learner{classes: make(map[string]*classRunTimes)}
}

// RecordRunTime records the run time of a job of the class that has ended.
func (l *Learner) RecordRunTime(class string, runTime time.Duration) {
	c, ok := l.classes[class]
	if !ok {
		c = &classRunTimes{current: newHistogram(), previous: newHistogram()}
		l.classes[class] = c
	}
	if c.current.TotalCount() >= windowJobs {
		c.current, c.previous = c.previous, c.current
		c.current.Reset()
	}
	runTime = max(histogramUnit, min(runTime, histogramMax))
	// The value is inside the range of the histogram, so that recording it can't
	// fail.
	_ = c.current.RecordValue(int64(runTime / histogramUnit))
	c.estimate = c.median()
}

// ExpectedRunTime returns the median of the class's latest run times, or the
// declared run time while fewer than minJobs of its jobs have ended.
func (l *Learner) ExpectedRunTime(class string, declared time.Duration) time.Duration {
	if c, ok := l.classes[class]; ok && c.estimate > 0 {
		return c.estimate
	}
	return declared
}

// median returns the median of both windows, or 0 if it rests on fewer than
// minJobs jobs.
func (c *classRunTimes) median() time.Duration {
	if c.current.TotalCount()+c.previous.TotalCount() < minJobs {
		return 0
	}
	if c.previous.TotalCount() == 0 {
		return time.Duration(c.current.ValueAtQuantile(estimatePercentile)) * histogramUnit
	}
	merged := newHistogram()
	merged.Merge(c.current)
	merged.Merge(c.previous)
	return time.Duration(merged.ValueAtQuantile(estimatePercentile)) * histogramUnit
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(histogramMax/histogramUnit), histogramDigits)
}
