package blame

import (
	"math"
	"time"

	"catkinpoint/flow"
)

const (
	// YoungAge is the age up to which the start of a run is taken to explain a crash.
	YoungAge = 400 * time.Millisecond
	// sameTime is the difference of two ages up to which neither of two starts
	// explains a crash better than the other.
	sameTime = 150 * time.Millisecond
)

// UnknownAge is the age of a run of which it is not known when it started.
const UnknownAge = time.Duration(-1)

// Run is a run that was on a worker when the worker crashed. K identifies its job.
type Run[K comparable] struct {
	Job K
	// Age is the time from the start of the run to the crash, or UnknownAge.
	Age time.Duration
	// Earlier are the ages, which may be UnknownAge, at which runs of the same unit
	// were on other workers that crashed, without those that had another cause.
	Earlier []time.Duration
}

// Verdict is what a crash says about the runs on the worker.
type Verdict struct {
	// Suspicions has the suspicion of each run.
	Suspicions []flow.Suspicion
	// Explained reports whether the start of a run, or an earlier crash, explains
	// this one. Other crashes at the same time as one that nothing explains are
	// likely to have the same outside cause.
	Explained bool
}

// Judge returns what a crash says about the runs that were on the worker. The last
// start explains it best, above all one that did so before, and then a run that was on
// another worker which crashed after a similar time. Of several such runs those count
// that did so most often, and all others are bystanders. If there is no such run, any
// may be the cause. The runs of one job count as one cause.
func Judge[K comparable](runs []Run[K]) Verdict {
	youngest := youngestAge(runs)
	kinds := []func(Run[K]) bool{
		func(r Run[K]) bool { return r.young() && r.repeats() > 0 },
		func(r Run[K]) bool { return r.young() && r.Age <= youngest+sameTime },
		func(r Run[K]) bool { return r.repeats() > 0 },
	}
	for _, isKind := range kinds {
		most := 0
		for _, r := range runs {
			if isKind(r) {
				most = max(most, r.repeats())
			}
		}
		isCause := func(r Run[K]) bool { return isKind(r) && r.repeats() == most }
		if jobs := countJobs(runs, isCause); jobs > 0 {
			found := flow.Suspicion_PROBABLE
			if jobs > 1 {
				found = flow.Suspicion_POSSIBLE
			}
			return Verdict{Suspicions: assign(runs, isCause, found), Explained: true}
		}
	}
	return Verdict{Suspicions: assign(runs, func(Run[K]) bool { return true }, flow.Suspicion_POSSIBLE)}
}

// assign gives the suspicion to the runs that are a cause; the others are bystanders.
func assign[K comparable](runs []Run[K], isCause func(Run[K]) bool, suspicion flow.Suspicion) []flow.Suspicion {
	list := make([]flow.Suspicion, len(runs))
	for i, r := range runs {
		list[i] = flow.Suspicion_BYSTANDER
		if isCause(r) {
			list[i] = suspicion
		}
	}
	return list
}

// youngestAge returns the least known age of the runs.
func youngestAge[K comparable](runs []Run[K]) time.Duration {
	youngest := time.Duration(math.MaxInt64 - sameTime)
	for _, r := range runs {
		if r.Age != UnknownAge {
			youngest = min(youngest, r.Age)
		}
	}
	return youngest
}

func countJobs[K comparable](runs []Run[K], match func(Run[K]) bool) int {
	jobs := map[K]bool{}
	for _, r := range runs {
		if match(r) {
			jobs[r.Job] = true
		}
	}
	return len(jobs)
}

func (r Run[K]) young() bool { return r.Age != UnknownAge && r.Age <= YoungAge }

// repeats returns how many earlier workers crashed when the unit had been on them for
// a similar time.
func (r Run[K]) repeats() int {
	n := 0
	for _, earlier := range r.Earlier {
		if SimilarAges(r.Age, earlier) {
			n++
		}
	}
	return n
}

// SimilarAges reports whether two ages differ by at most YoungAge or a quarter. The
// same fault of a task shows after about the same time.
func SimilarAges(a, b time.Duration) bool {
	if a == UnknownAge || b == UnknownAge {
		return false
	}
	low, high := min(a, b), max(a, b)
	return high-low <= YoungAge || 4*high <= 5*low
}

// Probation is how long a suspect that crashed workers at the given ages must run to
// count as harmless on its present worker.
func Probation(ages []time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, age := range ages {
		longest = max(longest, age)
	}
	return min(max(minProbation, 2*longest), maxProbation)
}

const (
	minProbation = time.Second
	maxProbation = 10 * time.Second
)
