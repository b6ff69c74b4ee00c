package plan

import (
	"cmp"
	"math"
	"slices"
	"time"

	"catkinpoint/graph"
)

// minWaitingWork is the least waiting work of a job for its rank, in core-equivalent
// seconds. It applies to jobs of which no run time is declared.
const minWaitingWork = 0.1

// Starvation bound: a unit that has waited for starvationWait, and for starvationFactor
// times as long as its result can be of use, goes before all others without a guarantee.
// Results that are of use to nobody wait this long at most while others come.
const (
	starvationWait   = time.Minute
	starvationFactor = 2
)

// maxShortReservations is maxReservations in a shortage. It is higher because a unit whose
// delay costs much is often a wide gang, which never starts without one. It applies while less
// than half of the capacity is free: reservations wait for runs that may hang, and so many could
// keep each worker from small units while most of its room is free.
const maxShortReservations = 24

// uselessWorkWeight is the weight of the lost work of a job that is of no use any more,
// relative to that of others. It is not 0, as the job must still be run to its end.
const uselessWorkWeight = 0.25

// Shortage says what waits while room is short, for the log.
type Shortage struct {
	// InTime is the number of waiting units that can still meet their objective, Late that
	// of the others whose result can still be of use, and Useless that of the rest.
	InTime, Late, Useless int
	// Backlog is how long all workers need for what runs and for the waiting work that can
	// still be of use.
	Backlog time.Duration
}

// occurrence identifies an occurrence of a job.
type occurrence struct {
	job    *graph.Job
	number int32
}

// costOrder ranks requests in a shortage by what a delay costs their callers. A nil
// *costOrder stands for the order without a shortage.
type costOrder struct {
	shortage *Shortage
	// waiting is the work of an occurrence that has not started, in core-equivalent
	// seconds, and worth what the whole of it is worth; see Worth.
	waiting, worth map[occurrence]float64
	// starving has, for each service, the request that has waited longest of those that
	// exceed the starvation bound and would fit on empty workers.
	starving map[string]*Request
}

// newCostOrder returns the order for the input, or nil if room is not short.
func newCostOrder(in *Input) *costOrder {
	o := &costOrder{shortage: findShortage(in), waiting: map[occurrence]float64{}, worth: map[occurrence]float64{}, starving: map[string]*Request{}}
	if o.shortage == nil {
		return nil
	}
	for i := range in.Requests {
		r := &in.Requests[i]
		key := r.occurrence()
		service := key.job.Spec.GetService()
		if longest := o.starving[service]; starves(r) && (longest == nil || r.ReadyFor > longest.ReadyFor) && fitsEmptyWorkers(in.Workers, r) {
			o.starving[service] = r
		}
		if _, ok := o.waiting[key]; ok {
			continue
		}
		spec := key.job.Spec
		o.worth[key] = Worth(spec.GetPriority(), workOf(key.job.Demand()))
		o.waiting[key] = minWaitingWork + workOf(key.job.WaitingDemand(key.number))
	}
	return o
}

// sharesUrgentRacks reports whether a unit may use the racks that are set aside for urgent
// units: a gang that would be late if it waited until the backlog is done. Only these racks
// have whole workers free in a shortage, so that a gang which stays off them waits past all
// use, while small tasks fit elsewhere too.
func (o *costOrder) sharesUrgentRacks(r *Request) bool {
	return o != nil && r.Unit.Step.GetGang() && r.useful() && r.Slack < o.shortage.Backlog
}

// rank returns what is lost for each core-equivalent second of the waiting work of the
// unit's job if the unit waits for as long as the backlog lasts, rather than starting now.
// What the job has already lost by being late does not count, so that a unit with much
// slack and one that is of no use any more both cost little. As the worth of a job is lost
// until its last task has ended, work that has started does not count against it.
func (o *costOrder) rank(r *Request) float64 {
	key := r.occurrence()
	return o.worth[key] * o.stake(r) / o.waiting[key]
}

// stake returns the share of the job's worth that is at stake. The start of a unit is
// expected within the backlog, with a rate that is the same at each time, so that a share
// of exp(-slack/backlog) of the starts comes too late.
func (o *costOrder) stake(r *Request) float64 {
	if r.Unit.Step.GetLongRunning() {
		return 1 // it earns from its start on
	}
	share := 0.0
	if r.Slack > 0 {
		share += (1 - LateShare) * o.tooLate(r.Slack)
	}
	if r.DeadlineSlack > 0 {
		share += LateShare * o.tooLate(r.DeadlineSlack)
	}
	return share
}

// tooLate returns the share of waiting units that start only after the given slack.
func (o *costOrder) tooLate(slack time.Duration) float64 {
	return math.Exp(-max(slack, 0).Seconds() / o.shortage.Backlog.Seconds())
}

// stopCost returns the cost of stopping a run in a shortage, in core-equivalent seconds: the
// work that is lost, and the work of the whole run for the share of the job's worth that
// is lost because the run waits anew. Compared with a run of priority 1, it weighs as much
// more or less as the worth of its job does by priority; an urgent run, which only
// guaranteed units stop, as much as without a shortage. The lost work of a job that is of
// no use any more weighs little: it is only done later.
func (o *costOrder) stopCost(run *Running) float64 {
	lost := run.Need.CoreEquivalents() * run.Unsaved.Seconds()
	share := 0.0
	useful := run.SlackAfterStop + (LateFactor-1)*time.Duration(run.Job.ObjectiveMS())*time.Millisecond
	if run.SlackAfterStop+run.Unsaved > 0 {
		share += (1 - LateShare) * o.tooLate(run.SlackAfterStop)
	}
	if useful+run.Unsaved > 0 {
		share += LateShare * o.tooLate(useful)
	}
	if run.Job.Step(run.Ref).GetLongRunning() {
		share = 1 // of use until it ends; see stake
	}
	if share == 0 {
		return uselessWorkWeight * lost
	}
	weight := math.Pow(priorityRatio, 1-float64(run.Job.Spec.GetPriority()))
	if run.Job.Spec.GetPriority() == 0 {
		weight = 1 + urgentStopCost
	}
	return lost + weight*share*run.Need.CoreEquivalents()*run.ExpectedDuration.Seconds()
}

// class returns the precedence of a request, the lowest first: guaranteed units, the
// starving unit of each service, urgent ones whose result can still be of use, and all others.
func (o *costOrder) class(r *Request) int {
	switch {
	case r.Guaranteed:
		return 0
	case o.isStarving(r):
		return 1
	case r.priority() == 0 && r.useful():
		return 2
	}
	return 3
}

// sort orders requests by class, guaranteed units by compareRequests and the others by
// rank.
func (o *costOrder) sort(requests []Request) {
	type ranked struct {
		Request
		class int
		rank  float64
	}
	list := make([]ranked, len(requests))
	for i, r := range requests {
		list[i] = ranked{Request: r, class: o.class(&r)}
		if !r.Guaranteed {
			list[i].rank = o.rank(&r)
		}
	}
	slices.SortStableFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(b.rank, a.rank), compareRequests(a.Request, b.Request))
	})
	for i := range list {
		requests[i] = list[i].Request
	}
}

// reservationLimit returns for how many units that do not fit a decision may reserve room.
func (s *state) reservationLimit() int {
	if s.order != nil && s.busy {
		return maxShortReservations
	}
	return maxReservations
}

// mayReserve reports whether a unit that does not fit may keep room from others.
func (o *costOrder) mayReserve(r *Request) bool { return r.useful() || o.isStarving(r) }

func (o *costOrder) isStarving(r *Request) bool {
	starving := o.starving[r.Unit.Job.Spec.GetService()]
	return starving != nil && sameUnit(starving.Unit, r.Unit)
}

func (r *Request) occurrence() occurrence {
	return occurrence{r.Unit.Job, r.Unit.Tasks[0].Occurrence}
}

// useful reports whether the unit's result can still be of use to its caller.
func (r *Request) useful() bool { return r.DeadlineSlack > 0 || r.Unit.Step.GetLongRunning() }

// starves reports whether the unit exceeds the starvation bound.
func starves(r *Request) bool {
	useful := LateFactor * time.Duration(r.Unit.Job.ObjectiveMS()) * time.Millisecond
	return r.ReadyFor > max(starvationWait, starvationFactor*useful)
}

// fitsEmptyWorkers reports whether the unit would fit if no run held room on the workers that
// are usable now. A unit that does not must not keep its turn from others.
func fitsEmptyWorkers(workers []Worker, r *Request) bool {
	step, tasks := r.Unit.Step, int64(0)
	for i := range workers {
		w := &workers[i]
		label := step.GetRequiredLabel()
		if !w.Usable || w.Service != r.Unit.Job.Spec.GetService() || label != "" && !w.hasLabel(label) {
			continue
		}
		fit := w.Capacity.maxTasks(r.Need)
		if limit := int64(step.GetMaxPerWorker()); limit > 0 {
			fit = min(fit, limit)
		}
		tasks += fit
	}
	return tasks >= int64(len(r.Unit.Tasks))
}

// reserveApart is like reserveEarliest, without the resources that are reserved for other
// units at any time. In a shortage several gangs wait for the same workers, and with
// reservations that overlap in time only the first of them would get its room. It reports
// whether it reserved any.
func (s *state) reserveApart(r *Request) bool {
	free, reserved := s.free, s.reserved
	s.free, s.reserved = slices.Clone(free), make([][]reservation, len(reserved))
	for w, list := range reserved {
		for _, res := range list {
			s.free[w] = s.free[w].Sub(res.need)
		}
	}
	s.reserveEarliest(r)
	found := false
	for w, list := range s.reserved {
		reserved[w] = append(reserved[w], list...)
		found = found || len(list) > 0
	}
	s.free, s.reserved = free, reserved
	return found
}

// findShortage reports what waits if the backlog of a service's workers is longer than the
// time that its waiting units have left to meet their objectives, and nil if it is not: for
// half of the waiting work of the lower priorities that can still be of use. Then much of
// it ends late even if nothing is lost by packing, and going by deadline makes one job after
// another late. It is half of the work and not the mean time, as a few jobs have minutes
// left. Urgent units add to the backlog only: short bursts of them are served by stops.
func findShortage(in *Input) *Shortage {
	// Work is in seconds of all workers of the service.
	type waiting struct{ work, timeLeft float64 }
	type load struct {
		backlog float64
		lower   []waiting // units of lower priorities; one that is late has no time left
	}
	capacity := map[string]Resources{}
	serviceOf := map[graph.Place]string{}
	for i := range in.Workers {
		w := &in.Workers[i]
		if w.Usable {
			capacity[w.Service] = capacity[w.Service].Add(w.Capacity)
			serviceOf[w.Place] = w.Service
		}
	}
	loads := map[string]load{}
	for i := range in.Running {
		run := &in.Running[i]
		if service, ok := serviceOf[run.Place]; ok && !run.Stopping {
			l := loads[service]
			l.backlog += run.Need.shareOf(capacity[service]) * max(run.Remaining, minRemaining).Seconds()
			loads[service] = l
		}
	}
	found := &Shortage{}
	for i := range in.Requests {
		r := &in.Requests[i]
		switch {
		case !r.useful():
			found.Useless++
			continue
		case r.Slack > 0:
			found.InTime++
		default:
			found.Late++
		}
		service := r.Unit.Job.Spec.GetService()
		if capacity[service] == (Resources{}) {
			continue // no worker takes a start, in any order
		}
		l := loads[service]
		work := r.Need.shareOf(capacity[service]) * r.Duration.Seconds() * float64(len(r.Unit.Tasks))
		l.backlog += work
		if r.priority() > 0 {
			left := 0.0
			if r.Slack > 0 {
				left = (r.Slack + r.Duration).Seconds()
			}
			l.lower = append(l.lower, waiting{work, left})
		}
		loads[service] = l
	}
	short := false
	for _, l := range loads {
		late, all := 0.0, 0.0
		for _, w := range l.lower {
			all += w.work
			if w.timeLeft < l.backlog {
				late += w.work
			}
		}
		short = short || late > 0 && late >= all/2
		found.Backlog = max(found.Backlog, time.Duration(min(l.backlog, maxBacklog.Seconds())*float64(time.Second)))
	}
	if !short {
		return nil
	}
	return found
}

// maxBacklog bounds Shortage.Backlog, which has no limit if hardly any worker is usable.
const maxBacklog = time.Hour

// shareOf returns the largest share that a takes of any resource of total, and 1 if total
// lacks one of them.
func (a Resources) shareOf(total Resources) float64 {
	share := 0.0
	for _, pair := range [][2]int64{{a.MilliCPU, total.MilliCPU}, {a.MemoryMB, total.MemoryMB}, {a.Accelerators, total.Accelerators}} {
		switch {
		case pair[0] <= 0:
		case pair[1] <= 0:
			return 1
		default:
			share = max(share, float64(pair[0])/float64(pair[1]))
		}
	}
	return min(share, 1)
}
