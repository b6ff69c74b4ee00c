package plan

import "time"

// fit finds workers with enough free resources for all tasks of the unit, one for
// each task. With anywhere set, the unit does not wait for its preferred rack.
func (s *state) fit(r *Request, anywhere bool) ([]int, bool) {
	key := stepOfJob{r.Unit.Job, r.Unit.Tasks[0].Step}
	if s.small.noRoom[key] {
		return nil, false
	}
	for _, failed := range s.noFit {
		if s.atLeastAsHard(r, failed) {
			return nil, false
		}
	}
	found, ok := s.fitInto(r, s.free, anywhere)
	if ok {
		return found, true
	}
	if enough, everywhere := s.roomForSmall(r); !everywhere {
		s.small.noRoom[key] = !enough
		return nil, false
	}
	if len(s.noFit) < maxFailedFits && !anywhere && !s.waitsForRack(r) && len(r.Held) == 0 && !avoidsFailedWorkers(r) && !r.Isolated {
		s.noFit = append(s.noFit, r)
	}
	return nil, false
}

// maxFailedFits bounds the requests of noFit and noVictims: each request is compared with all
// of them.
const maxFailedFits = 64

// atLeastAsHard reports whether r fits nowhere given that failed, for which all
// workers were tried, does not fit. This holds because a decision only takes
// free resources, and clears noFit and noVictims when it drops a reservation.
func (s *state) atLeastAsHard(r, failed *Request) bool {
	rs, fs := r.Unit.Step, failed.Unit.Step
	return len(r.Held) == 0 && r.Need.Covers(failed.Need) && len(r.Unit.Tasks) >= len(failed.Unit.Tasks) && r.Duration >= failed.Duration &&
		s.avoidsSameRacks(r, failed) && s.paceLimit(r) <= s.paceLimit(failed) && (!mayTestWorker(r) || mayTestWorker(failed)) &&
		(!hasWaitedForTrust(r) || hasWaitedForTrust(failed)) && r.Unit.Job.Spec.GetService() == failed.Unit.Job.Spec.GetService() &&
		(fs.GetRequiredLabel() == "" || fs.GetRequiredLabel() == rs.GetRequiredLabel()) &&
		(fs.GetMaxPerWorker() == 0 || fs == rs && r.Unit.Tasks[0].Occurrence == failed.Unit.Tasks[0].Occurrence)
}

// avoidsSameRacks reports whether r avoids every rack that failed avoids.
func (s *state) avoidsSameRacks(r, failed *Request) bool {
	for rack, urgent := range s.urgentRacks {
		if urgent && s.avoidsRack(failed, rack) && !s.avoidsRack(r, rack) {
			return false
		}
	}
	return true
}

// waitsForRack reports whether the unit still waits for its preferred rack: that
// of its data, or any one rack for a gang. It waits at most for the extra run
// time that running elsewhere would cost, and at most for rackMaxWait or, on a
// crowded cluster and outside a guarantee, crowdedRackMaxWait.
func (s *state) waitsForRack(r *Request) bool {
	step := r.Unit.Step
	if step.GetDataRack() == "" && !(step.GetGang() && step.GetSameRack() && step.GetCount() > 1) {
		return false
	}
	limit := rackMaxWait
	if s.crowded && !r.Guaranteed {
		limit = crowdedRackMaxWait
	}
	return r.ReadyFor < min(limit, time.Duration((s.input.RemoteFactor-1)*float64(r.Duration)))
}

// fitInto is like fit, with the given free resources of each worker and without
// the shortcut of noFit.
func (s *state) fitInto(r *Request, free []Resources, anywhere bool) ([]int, bool) {
	step := r.Unit.Step
	waits := !anywhere && s.waitsForRack(r)
	if rack, ok := s.rackIndex[step.GetDataRack()]; ok && step.GetDataRack() != "" {
		if found, ok := s.fitLikePace(r, s.racks[rack], free); ok {
			return found, true
		}
		if waits {
			return nil, false
		}
	}
	if step.GetGang() && step.GetSameRack() && step.GetCount() > 1 {
		if found, ok := s.fitOneRack(r, free); ok {
			return found, true
		}
		if waits && s.fitsEmptyRack(r) {
			return nil, false
		}
	}
	return s.fitLikePace(r, s.allWorkers, free)
}

// fitLikePace is like fitAmong, with workers of like pace for a gang if possible.
func (s *state) fitLikePace(r *Request, workers []int, free []Resources) ([]int, bool) {
	for _, band := range s.paceBands(r) {
		if found, ok := s.fitAmong(r, workers, free, band); ok {
			return found, true
		}
	}
	return nil, false
}

// fitsEmptyRack reports whether the gang would fit on some rack if that were empty.
func (s *state) fitsEmptyRack(r *Request) bool {
	for _, rack := range s.racks {
		capacity := int64(0)
		for _, w := range rack {
			if worker := &s.workers[w]; worker.Usable && worker.Service == r.Unit.Job.Spec.GetService() {
				capacity += worker.Capacity.maxTasks(r.Need)
			}
		}
		if capacity >= int64(len(r.Unit.Tasks)) {
			return true
		}
	}
	return false
}

// fitOneRack finds workers for the gang on one rack: that with the least free
// resources, with a penalty for slow workers, and on workers of like pace if possible.
func (s *state) fitOneRack(r *Request, free []Resources) ([]int, bool) {
	for _, band := range s.paceBands(r) {
		if found, ok := s.fitOneRackWithin(r, free, band); ok {
			return found, true
		}
	}
	return nil, false
}

// fitOneRackWithin is like fitOneRack, with workers whose pace is in a band only.
func (s *state) fitOneRackWithin(r *Request, free []Resources, band paceBand) ([]int, bool) {
	var best []int
	bestScore := 0.0
	for _, rack := range s.racks {
		found, ok := s.fitAmong(r, rack, free, band)
		if !ok {
			continue
		}
		score := 0.0
		for _, w := range rack {
			score += free[w].CoreEquivalents()
		}
		for _, w := range found {
			score += slowdownWeight*max(0, s.workers[w].Slowness-1) + s.paceCost(r, w)
		}
		if best == nil || score < bestScore {
			best, bestScore = found, score
		}
	}
	return best, best != nil
}

// slowdownWeight is the number of free cores that weigh as much as a worker on
// which tasks take twice as long.
const slowdownWeight = 64

// fitAmong is like fitInto, with the given workers only, of these those whose pace is in
// a band, and without a preferred rack.
func (s *state) fitAmong(r *Request, workers []int, free []Resources, band paceBand) ([]int, bool) {
	limit := s.paceLimit(r)
	tasks := int64(len(r.Unit.Tasks))
	s.candidates = s.candidates[:0]
	s.visits += len(workers)
	capacity := int64(0)
	for _, w := range workers {
		if s.small.left[w] = s.smallRoom(r, w); s.small.left[w] > 0 && free[w].Covers(r.Need) && s.eligible(r, w) && band.has(s.pace(w)) && s.pace(w) <= limit {
			s.candidates = append(s.candidates, w)
			s.leftover[w] = free[w]
			if capacity < tasks {
				capacity += min(free[w].maxTasks(r.Need), int64(s.small.left[w]))
			}
		}
	}
	if capacity < tasks {
		return nil, false
	}
	s.visits += len(s.candidates) * int(tasks)
	limited := r.Unit.Step.GetMaxPerWorker() > 0
	if limited || r.Isolated {
		s.countStepTasks(r)
	}
	found := make([]int, 0, tasks)
	for range tasks {
		best, bestCost := -1, 0.0
		for _, w := range s.candidates {
			if !s.leftover[w].Covers(r.Need) || s.small.left[w] == 0 || limited && s.stepTasks[w] >= r.Unit.Step.GetMaxPerWorker() {
				continue
			}
			cost := s.placementCost(w, s.leftover[w].Sub(r.Need)) + s.paceCost(r, w)
			if r.Isolated {
				cost = s.exposureCost(w, s.stepTasks[w] > 0)
			}
			if (best < 0 || cost < bestCost) && s.respectsReservations(r, w, s.leftover[w]) {
				best, bestCost = w, cost
			}
		}
		if best < 0 {
			return nil, false
		}
		s.leftover[best] = s.leftover[best].Sub(r.Need)
		s.small.left[best]--
		s.stepTasks[best]++
		found = append(found, best)
	}
	return found, true
}

// countStepTasks sets stepTasks to the number of tasks of the unit's step on each
// worker, with those that this decision starts.
func (s *state) countStepTasks(r *Request) {
	first := r.Unit.Tasks[0]
	for w := range s.workers {
		s.stepTasks[w] = s.started[stepOnWorker{r.Unit.Job, first.Occurrence, first.Step, w}]
	}
	for _, t := range r.Unit.Job.Active() {
		if t.Ref.Step == first.Step && t.Ref.Occurrence == first.Occurrence {
			if w, ok := s.workerIndex[t.Place]; ok {
				s.stepTasks[w]++
			}
		}
	}
}

// eligible reports whether the unit may run on a worker, regardless of the free
// resources there.
func (s *state) eligible(r *Request, w int) bool {
	worker := &s.workers[w]
	label := r.Unit.Step.GetRequiredLabel()
	return worker.Usable && worker.Service == r.Unit.Job.Spec.GetService() &&
		(label == "" || worker.hasLabel(label)) && !s.avoidsRack(r, s.rackOf[w]) && s.allowsDespiteFailures(r, w) && s.keepsApart(r, w)
}

// placementCost ranks workers for a task; lower is better. It grows with the
// resources that are free on the worker after the task's start, with those on
// its rack, and with the worker's slowness.
func (s *state) placementCost(w int, after Resources) float64 {
	return after.CoreEquivalents() + rackWeight*s.rackFree[s.rackOf[w]] + slowdownWeight*max(0, s.workers[w].Slowness-1)
}
