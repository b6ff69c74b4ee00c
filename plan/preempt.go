package plan

import (
	"cmp"
	"slices"
	"time"

	"catkinpoint/graph"
)

const (
	// maxStopCostRatio is the highest cost of the stops for a unit outside a
	// guarantee, divided by the unit's own work; see maxStopCost.
	maxStopCostRatio = 1.5
	// minSlackAfterStop is the slack below which a job with a stopped run is
	// expected to miss its objective.
	minSlackAfterStop = 2 * time.Second
	// urgentStopCost is the additional cost of stopping an urgent run, which only
	// guaranteed units do, as a multiple of the run's whole work.
	urgentStopCost = 4
	// stopDelay is the time from the order of a stop until a unit can start on the
	// freed resources.
	stopDelay = 500 * time.Millisecond
)

// victim is a whole gang or a single task that may be preempted.
type victim struct {
	runs     []int // indices of Input.Running
	priority int32
	stopCost float64 // in core-seconds, the sum over runs
	stopped  bool    // this decision stops it
	// lastSearch is the number of the last victimSearch that chose the victim.
	lastSearch int
}

// victimOnWorker is a victim, by index, and the resources it holds on one worker.
type victimOnWorker struct {
	victim int
	held   Resources
}

// preempt chooses the cheapest victims for a unit that does not fit, and holds
// their resources for it. It returns the runs to stop and the workers, one for
// each task, on which the unit can start once they have ended. There are no stops
// if those ordered earlier free enough. A unit whose hold is still valid keeps
// it. Otherwise both results are nil if the unit may not preempt, or if there are
// no victims or they cost too much.
func (s *state) preempt(r *Request) (stops []Stop, held []int) {
	mayPreempt := r.mayPreempt()
	if !mayPreempt && len(r.Held) == 0 {
		return nil, nil // not urgent, or would miss its objective even with a stop
	}
	if s.visits > maxVisits && len(r.Held) == 0 {
		return nil, nil
	}
	s.visits += len(s.workers) + len(s.input.Running)
	free := s.freeAfterStops(r)
	if held := s.validHold(r, free); held != nil || !mayPreempt {
		return nil, held
	}
	s.releaseReservations(r)
	if workers, ok := s.fitInto(r, free, r.Guaranteed && !s.waitsForRack(r)); ok {
		s.addReservations(r, workers, 0)
		return nil, workers
	}
	for _, failed := range s.noVictims {
		if s.atLeastAsHard(r, failed) && (failed.Guaranteed || !r.Guaranteed) {
			return nil, nil
		}
	}
	victims, workers, cost := s.cheapestVictims(r, free)
	if workers == nil && len(r.Held) == 0 && len(s.noVictims) < maxFailedFits {
		s.noVictims = append(s.noVictims, r)
	}
	if workers == nil || !r.Guaranteed && cost > s.maxStopCost(r) {
		return nil, nil
	}
	for _, g := range victims {
		s.victims[g].stopped = true
		for _, i := range s.victims[g].runs {
			s.stopping[i] = true
			stops = append(stops, Stop{Running: s.input.Running[i], Preemptor: r.Unit})
		}
	}
	if len(victims) > 0 {
		s.sortedRuns = nil
	}
	s.addReservations(r, workers, 0)
	return stops, workers
}

// mayPreempt reports whether runs may be stopped for the unit.
func (r *Request) mayPreempt() bool {
	return !r.Isolated && (r.Guaranteed || r.priority() == 0 && r.Slack > stopDelay)
}

// validHold returns the workers of the unit's hold if the resources on them will
// be free once all ordered stops have ended, and nil otherwise. free is the result
// of freeAfterStops.
func (s *state) validHold(r *Request, free []Resources) []int {
	hasHold := false
	for w, list := range s.reserved {
		for _, res := range list {
			if res.owner != r {
				continue
			}
			if !free[w].Covers(res.need) {
				return nil
			}
			hasHold = true
		}
	}
	if !hasHold {
		return nil
	}
	held := make([]int, len(r.Held))
	for i, p := range r.Held {
		held[i] = s.workerIndex[p]
	}
	return held
}

// maxStopCost returns the highest acceptable cost of the stops for a unit outside
// a guarantee, in core-seconds.
func (s *state) maxStopCost(r *Request) float64 {
	return maxStopCostRatio * r.Need.CoreEquivalents() * r.Duration.Seconds() * float64(len(r.Unit.Tasks))
}

// freeAfterStops returns the free resources of each worker once all stopped runs
// have ended, less the holds of other units. The slice is valid until the next
// call.
func (s *state) freeAfterStops(r *Request) []Resources {
	free := s.freeAfter
	copy(free, s.free)
	for w, list := range s.runsOn {
		for _, i := range list {
			if s.stopping[i] {
				free[w] = free[w].Add(s.input.Running[i].Need)
			}
		}
	}
	for w, list := range s.reserved {
		for _, res := range list {
			if res.from == 0 && res.owner != r {
				free[w] = free[w].Sub(res.need)
			}
		}
	}
	return free
}

// listVictims sets victims and victimsOn, and makes the scratch space of a
// victimSearch. Guaranteed runs and runs that are being stopped are left out.
func (s *state) listVictims() {
	if s.victimsOn != nil {
		return
	}
	type key struct {
		job        *graph.Job
		occurrence int32
		step       int32
		index      int32
	}
	byKey := map[key]int{}
	for i := range s.input.Running {
		run := &s.input.Running[i]
		if run.Guaranteed || s.stopping[i] {
			continue
		}
		k := key{run.Job, run.Ref.Occurrence, run.Ref.Step, run.Ref.Index}
		if run.Job.Step(run.Ref).GetGang() {
			k.index = -1
		}
		g, ok := byKey[k]
		if !ok {
			g = len(s.victims)
			byKey[k] = g
			s.victims = append(s.victims, victim{priority: run.Job.Spec.GetPriority()})
		}
		s.victims[g].runs = append(s.victims[g].runs, i)
		s.victims[g].stopCost += s.stopCost(run)
	}
	s.victimsOn = make([][]victimOnWorker, len(s.workers))
	for g := range s.victims {
		for _, i := range s.victims[g].runs {
			w, ok := s.workerIndex[s.input.Running[i].Place]
			if !ok {
				continue
			}
			need := s.input.Running[i].Need
			if list := s.victimsOn[w]; len(list) > 0 && list[len(list)-1].victim == g {
				list[len(list)-1].held = list[len(list)-1].held.Add(need)
				continue
			}
			s.victimsOn[w] = append(s.victimsOn[w], victimOnWorker{g, need})
		}
	}
	for _, list := range s.victimsOn {
		slices.SortStableFunc(list, func(a, b victimOnWorker) int {
			return cmp.Compare(s.victims[a.victim].stopCost, s.victims[b.victim].stopCost)
		})
	}
	s.simFree, s.slots = make([]Resources, len(s.workers)), make([]slot, len(s.workers))
}

// stopCost returns the cost of stopping a run, in core-seconds: the work that is
// lost and, if the job would miss its objective only because of the stop, the
// work of the whole run in addition. An urgent run costs urgentStopCost more.
func (s *state) stopCost(run *Running) float64 {
	if s.order != nil {
		return s.order.stopCost(run)
	}
	cost := run.Need.CoreEquivalents() * run.Unsaved.Seconds()
	if run.SlackAfterStop < minSlackAfterStop && run.SlackAfterStop+run.Unsaved > 0 {
		cost += run.Need.CoreEquivalents() * run.ExpectedDuration.Seconds()
	}
	if run.Job.Spec.GetPriority() == 0 {
		cost += urgentStopCost * run.Need.CoreEquivalents() * run.ExpectedDuration.Seconds()
	}
	return cost
}
