package place

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// learnUnit is the resolution of learned run times.
	learnUnit = 10 * time.Millisecond
	// learnLongest is the longest run time that is told apart from longer ones.
	learnLongest = 60 * 24 * time.Hour
	// learnDigits is 1 because the estimate needs no more than 10% precision
	// and a histogram then takes about 5 KB.
	learnDigits = 1
	// learnWindow is the number of jobs after which old run times start to
	// leave; two windows are kept.
	learnWindow = 200
	// learnLeast is the number of ended jobs below which the declared run
	// time is used.
	learnLeast = 5
	// learnQuantile is the median: unlike a mean it is not moved by the few
	// jobs that run far longer than the rest.
	learnQuantile = 50
)

// Learner estimates run times of job classes from the jobs that ended.
type Learner struct {
	classes map[string]*sample
}

type sample struct {
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	estimate time.Duration
}

// NewLearner returns a Learner that has seen no job.
func NewLearner() *Learner {
	return &Learner{classes: make(map[string]*sample)}
}

// Ended records that a job of the class finished after running for ran.
func (l *Learner) Ended(class string, ran time.Duration) {
	s, ok := l.classes[class]
	if !ok {
		s = &sample{current: newHistogram(), previous: newHistogram()}
		l.classes[class] = s
	}
	if s.current.TotalCount() >= learnWindow {
		s.current, s.previous = s.previous, s.current
		s.current.Reset()
	}
	ran = max(learnUnit, min(ran, learnLongest))
	// The value is inside the range of the histogram, so that recording cannot fail.
	_ = s.current.RecordValue(int64(ran / learnUnit))
	s.estimate = s.median()
}

// Expected returns the learned run time of the class, or the declared one
// while too few of its jobs have ended.
func (l *Learner) Expected(class string, declared time.Duration) time.Duration {
	if s, ok := l.classes[class]; ok && s.estimate > 0 {
		return s.estimate
	}
	return declared
}

func (s *sample) median() time.Duration {
	if s.current.TotalCount()+s.previous.TotalCount() < learnLeast {
		return 0
	}
	if s.previous.TotalCount() == 0 {
		return time.Duration(s.current.ValueAtQuantile(learnQuantile)) * learnUnit
	}
	both := newHistogram()
	both.Merge(s.current)
	both.Merge(s.previous)
	return time.Duration(both.ValueAtQuantile(learnQuantile)) * learnUnit
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(learnLongest/learnUnit), learnDigits)
}
