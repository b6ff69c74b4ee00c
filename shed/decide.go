package shed

import (
	"fmt"
	"slices"
	"time"

	"catkinpoint/flow"
	"catkinpoint/graph"
	"catkinpoint/plan"
)

const (
	// usefulFactor is the multiple of the objective after which a result is of no use.
	usefulFactor = plan.LateFactor
	// waitDoubt and timeDoubt are the shares of the forecast wait and of the declared run time
	// that a job takes at least. Declared times are off by a factor of 2 to 3. The wait depends
	// on those of many jobs, which are less off together: in four plays of a burst, of the jobs
	// that were expected to end after 1.5 to 2 times the time of use, and admitted, one in six
	// ended in it.
	waitDoubt = 2.0 / 3
	timeDoubt = 1.0 / 3
	// returnUnit is the unit in which callers are told when to return, and the shortest time: a
	// job that can start sooner is admitted.
	returnUnit = time.Second
	// minAskWait is the wait of a unit from which jobs may be refused: then a job with an
	// objective of a third of a second ends too late.
	minAskWait = 2 * time.Second
)

// Question asks whether a job is to be admitted.
type Question struct {
	Job *flow.Job
	// Steps has one unit of each step of the job, as if it were ready.
	Steps []plan.Request
	// StartsNow is set if the next decision on placement would start the job or make room for
	// it.
	StartsNow bool
}

// Decision is the answer to a Question.
type Decision struct {
	Admitted bool
	// RetryAfter is when the caller should return if the job is not admitted, and Promised
	// whether it is then admitted. New is set if the caller was not told so before.
	RetryAfter    time.Duration
	Promised, New bool
	// Wait is the forecast time until the job starts, and Late by how much it would end after
	// its result is of use.
	Wait, Late time.Duration
	Reason     string
}

// Refusing reports whether the decision on any job might be a refusal, so that gates should
// ask.
func Refusing(l *Load, promises *Promises) bool {
	return promises.Open() > 0 || l.known() && l.longWait(minAskWait)
}

// Decide decides on a job at a time in Unix milliseconds. It adds a promise if it refuses the
// job and promises when it may return.
func Decide(l *Load, q Question, promises *Promises, nowUnixMS int64) Decision {
	if d, ok := promises.Answer(q.Job, nowUnixMS); ok {
		return d
	}
	if q.StartsNow || !l.known() || len(q.Steps) == 0 {
		return Decision{Admitted: true, Reason: "starts now, or no forecast"}
	}
	if slices.ContainsFunc(q.Job.GetSteps(), (*flow.Step).GetLongRunning) {
		return Decision{Admitted: true, Reason: "lasts, so that it is of use whenever it starts"}
	}
	chain := time.Duration(graph.CriticalPathMS(q.Job)) * time.Millisecond
	useful := usefulFactor * time.Duration(graph.ObjectiveMS(q.Job)) * time.Millisecond
	// A job that has not started by then ends too late also by the least that it takes.
	latest := min(Horizon, scaleTime(max(0, useful-scaleTime(chain, timeDoubt)), 1/waitDoubt))
	if latest >= Horizon {
		return Decision{Admitted: true, Reason: "of use for longer than the forecast reaches"}
	}
	found := l.forecast(q, promises, nowUnixMS, latest)
	if found.unknown {
		return Decision{Admitted: true, Reason: "no forecast"}
	}
	earliest := scaleTime(max(0, found.end-chain), waitDoubt) + scaleTime(chain, timeDoubt)
	if found.inTime && (earliest <= useful || found.start < returnUnit) {
		return Decision{Admitted: true, Wait: found.start, Reason: "can be of use"}
	}
	// Who returns at its time is placed before who comes after it, so that it may end earlier.
	back := l.forecast(q, promises, nowUnixMS, keepsPlace)
	d := Decision{RetryAfter: returnTime(back.start), Wait: found.start, Late: found.end - useful}
	d.Reason = fmt.Sprintf("the job would wait for %v or more and end %v after its result is of use", rounded(found.start), rounded(d.Late))
	firm := back.inTime && back.end+d.RetryAfter-back.start <= useful
	switch {
	case !back.inTime:
		d.Reason += fmt.Sprintf("; a new job would find no room in %v", Horizon)
	case !promises.add(promiseOf(q, nowUnixMS, d.RetryAfter, firm)):
		d.RetryAfter = max(d.RetryAfter, promises.lastDue(nowUnixMS))
		d.Reason += "; too many callers are to return before"
	case firm:
		d.Promised, d.New = true, true
		d.Reason += fmt.Sprintf("; it finds room if it returns in %v", rounded(d.RetryAfter))
	default:
		d.New = true
		d.Reason += fmt.Sprintf("; a new job would find room in %v", rounded(d.RetryAfter))
	}
	return d
}

// Answer returns the decision on a job whose caller returns before or at the time promised to
// it, which takes no forecast, and false for any other job.
func (p *Promises) Answer(job *flow.Job, nowUnixMS int64) (Decision, bool) {
	switch returning, left := p.take(job, nowUnixMS); returning {
	case returnsInTime:
		return Decision{Admitted: true, Promised: true, Reason: "returned at the promised time"}, true
	case returnsEarly:
		return Decision{RetryAfter: left, Wait: left, Reason: fmt.Sprintf("returned before the promised time, room is expected in %v", rounded(left))}, true
	}
	return Decision{}, false
}

// expectation is when a job starts and ends, at the earliest if not all of it starts in the time
// that was asked for. Both are unknown if the forecast would take too long.
type expectation struct {
	start, end      time.Duration
	inTime, unknown bool
}

// keepsPlace asks for the forecast of a job that returns at a promised time: nobody who comes
// later is placed before it unless more urgent. It reaches to the horizon.
const keepsPlace time.Duration = -1

// forecast returns when a job is expected to start and end, if it starts until a time or
// keepsPlace.
func (l *Load) forecast(q Question, promises *Promises, nowUnixMS int64, until time.Duration) expectation {
	priority := q.Job.GetPriority()
	ahead := l.ahead(&q.Steps[0])
	groups := l.arrivals(func(other int32) bool { return other < priority }, 0)
	groups = append(groups, groupsOf(l.Waiting[:ahead])...)
	groups = append(groups, promises.before(q.Job, nowUnixMS, until != keepsPlace)...)
	first := len(groups)
	groups = append(groups, jobGroups(q.Steps, first)...)
	end := len(groups)
	if until == keepsPlace {
		until = Horizon
		for i := range groups[first:end] {
			groups[first+i].slack, groups[first+i].deadline = Horizon, Horizon
		}
	} else {
		groups = append(groups, groupsOf(l.Waiting[ahead:])...)
		groups = append(groups, l.arrivals(func(other int32) bool { return other == priority }, len(groups))...)
	}
	s := newSimulation(l, groups)
	e := expectation{inTime: s.run(first, end, until), unknown: s.checks > maxChecks, start: until}
	e.end = until + time.Duration(graph.CriticalPathMS(q.Job))*time.Millisecond
	if !e.inTime {
		return e
	}
	e.end = 0
	for _, g := range s.groups[first:end] {
		e.start, e.end = min(e.start, g.start), max(e.end, g.end)
	}
	return e
}

// arrivals returns the jobs that are expected to come, of the priorities for which that is
// asked, as groups the first of which gets the number first.
func (l *Load) arrivals(wanted func(priority int32) bool, first int) []group {
	var groups []group
	for _, a := range l.Arrivals {
		if len(a.Steps) == 0 || !wanted(a.Steps[0].Unit.Job.Spec.GetPriority()) {
			continue
		}
		steps := jobGroups(a.Steps, first+len(groups))
		for i := range steps {
			steps[i].notBefore = a.Age
			steps[i].slack += a.Age
			steps[i].deadline += a.Age
		}
		groups = append(groups, steps...)
	}
	return groups
}

// jobGroups returns the steps of a job as groups, the first of which gets the number first.
func jobGroups(units []plan.Request, first int) []group {
	groups := make([]group, len(units))
	for i := range units {
		groups[i] = groupOf(&units[i])
		groups[i].units = unitsOf(&units[i])
		for _, earlier := range units[i].Unit.Step.GetAfter() {
			groups[i].after = append(groups[i].after, first+int(earlier))
		}
	}
	return groups
}

// unitsOf returns the number of units of the step of a unit.
func unitsOf(r *plan.Request) int {
	if r.Unit.Step.GetGang() {
		return 1
	}
	return int(r.Unit.Step.GetCount())
}

// returnTime returns the time to return in for a job that can start at a time.
func returnTime(start time.Duration) time.Duration {
	return max(returnUnit, (start + returnUnit - 1).Truncate(returnUnit))
}

func scaleTime(t time.Duration, by float64) time.Duration {
	return time.Duration(by * float64(t))
}

// rounded returns a time for a caller to read.
func rounded(t time.Duration) time.Duration { return t.Round(100 * time.Millisecond) }
