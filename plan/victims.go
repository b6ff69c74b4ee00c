package plan

import "slices"

// cheapestVictims returns the victims to stop for the unit, the workers for its
// tasks and the cost of the stops. A gang that asks for one rack gets the
// cheapest rack, and workers of several racks only if no single rack will do.
// workers is nil if no stops make the unit fit.
func (s *state) cheapestVictims(r *Request, free []Resources) (victims, workers []int, cost float64) {
	s.listVictims()
	if r.Unit.Step.GetMaxPerWorker() > 0 {
		s.countStepTasks(r)
	}
	if r.Unit.Step.GetGang() && r.Unit.Step.GetSameRack() {
		for _, rack := range s.racks {
			v := victimSearch{state: s, request: r, candidateWorkers: rack, assigned: make([]int, 0, len(r.Unit.Tasks))}
			if v.placeAll(free) && (workers == nil || v.totalCost < cost) {
				victims, workers, cost = v.chosenVictims, v.assigned, v.totalCost
			}
		}
		if workers != nil {
			return victims, workers, cost
		}
	}
	v := victimSearch{state: s, request: r, candidateWorkers: s.allWorkers, assigned: make([]int, 0, len(r.Unit.Tasks))}
	if !v.placeAll(free) {
		return nil, nil, 0
	}
	return v.chosenVictims, v.assigned, v.totalCost
}

// victimSearch assigns the tasks of one unit to workers, each to the worker where
// the stops cost least. It is a greedy search and does not always find the
// cheapest victims.
type victimSearch struct {
	*state
	paceLimit        float64 // of the request
	request          *Request
	candidateWorkers []int
	chosenVictims    []int
	assigned         []int // worker of each task placed so far
	totalCost        float64
}

// slot says whether a worker can take one more task of the unit, and which victims
// have to be stopped for it.
type slot struct {
	possible bool
	victims  []int
	stopCost float64 // sum over victims, in core-seconds
}

// placeAll assigns the tasks one after another and reports whether all fit.
func (v *victimSearch) placeAll(free []Resources) bool {
	v.searchNumber++
	v.visits += len(v.candidateWorkers) + len(v.input.Running)
	v.paceLimit = v.state.paceLimit(v.request)
	capacity := int64(0)
	for _, w := range v.candidateWorkers {
		v.simFree[w] = free[w]
		if v.small.left[w] = v.smallRoom(v.request, w); v.eligible(v.request, w) {
			capacity += min(v.maxFree(w).maxTasks(v.request.Need), int64(v.small.left[w]))
		}
	}
	if capacity < int64(len(v.request.Unit.Tasks)) {
		return false
	}
	for _, w := range v.candidateWorkers {
		v.slots[w] = v.slotOn(w)
	}
	for range v.request.Unit.Tasks {
		best := -1
		for _, w := range v.candidateWorkers {
			if v.slots[w].possible && (best < 0 || v.betterSlot(w, best)) {
				best = w
			}
		}
		if best < 0 {
			return false
		}
		v.assign(best)
	}
	return true
}

// maxFree returns the resources that would be free on a worker if every victim that
// the unit may preempt were stopped.
func (v *victimSearch) maxFree(w int) Resources {
	free := v.simFree[w]
	for _, part := range v.victimsOn[w] {
		if v.mayPreempt(part.victim) {
			free = free.Add(part.held)
		}
	}
	return free
}

// mayPreempt reports whether the unit may preempt a victim that is neither stopped
// nor already chosen by this search.
func (v *victimSearch) mayPreempt(g int) bool {
	victim := &v.state.victims[g]
	return !victim.stopped && victim.lastSearch != v.searchNumber && (victim.priority > v.request.priority() || v.request.Guaranteed)
}

// betterSlot reports whether the slot on worker a is better than that on b: first
// by the cost of the stops, then by placementCost.
func (v *victimSearch) betterSlot(a, b int) bool {
	if v.slots[a].stopCost != v.slots[b].stopCost {
		return v.slots[a].stopCost < v.slots[b].stopCost
	}
	return v.state.placementCost(a, v.simFree[a])+v.paceCost(v.request, a) < v.state.placementCost(b, v.simFree[b])+v.paceCost(v.request, b)
}

// assign places one task in the slot on a worker, and updates the slots of all
// workers on which the slot's victims run.
func (v *victimSearch) assign(w int) {
	chosen := v.slots[w]
	changed := []int{w}
	for _, g := range chosen.victims {
		v.state.victims[g].lastSearch = v.searchNumber
		for _, i := range v.state.victims[g].runs {
			if worker, ok := v.workerIndex[v.input.Running[i].Place]; ok {
				v.simFree[worker] = v.simFree[worker].Add(v.input.Running[i].Need)
				changed = append(changed, worker)
			}
		}
	}
	v.simFree[w] = v.simFree[w].Sub(v.request.Need)
	v.stepTasks[w]++
	v.small.left[w]--
	v.chosenVictims = append(v.chosenVictims, chosen.victims...)
	v.assigned = append(v.assigned, w)
	v.totalCost += chosen.stopCost
	slices.Sort(changed)
	for _, worker := range slices.Compact(changed) {
		if slices.Contains(v.candidateWorkers, worker) {
			v.slots[worker] = v.slotOn(worker)
		}
	}
}

// slotOn returns the slot for a task on a worker, with the cheapest victims that
// free enough resources.
func (v *victimSearch) slotOn(w int) slot {
	need := v.request.Need
	limit := v.request.Unit.Step.GetMaxPerWorker()
	if limit > 0 && v.stepTasks[w] >= limit || v.small.left[w] <= 0 || !v.eligible(v.request, w) || v.pace(w) > v.paceLimit || !v.maxFree(w).Covers(need) {
		return slot{}
	}
	free := v.simFree[w]
	var toStop []victimOnWorker
	for _, part := range v.victimsOn[w] {
		if free.Covers(need) {
			break
		}
		if v.mayPreempt(part.victim) {
			toStop = append(toStop, part)
			free = free.Add(part.held)
		}
	}
	// The victims that turn out not to be needed are dropped, the most expensive
	// first.
	found := slot{possible: true}
	for i := len(toStop) - 1; i >= 0; i-- {
		if without := free.Sub(toStop[i].held); without.Covers(need) {
			free = without
			continue
		}
		found.victims = append(found.victims, toStop[i].victim)
		found.stopCost += v.state.victims[toStop[i].victim].stopCost
	}
	if !v.respectsLaterReservations(v.request, w, free) {
		return slot{}
	}
	return found
}
