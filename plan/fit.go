package plan

import "time"

// fit finds workers for all tasks of the unit, one for each, in the room that
// is free now. With anywhere set, the unit does not wait for its rack.
func (s *state) fit(r *Request, anywhere bool) ([]int, bool) {
	for _, f := range s.refused {
		if s.tighter(r, f) {
			return nil, false
		}
	}
	found, ok := s.fitInto(r, s.free, anywhere)
	if !ok && !anywhere && !s.patient(r) && len(r.Held) == 0 && !wary(r) {
		s.refused = append(s.refused, r)
	}
	return found, ok
}

// tighter tells whether r fits nowhere if f, which looked at all workers, does
// not: room is only taken while requests are looked at.
func (s *state) tighter(r, f *Request) bool {
	rs, fs := r.Unit.Step, f.Unit.Step
	return len(r.Held) == 0 && r.Need.Covers(f.Need) && len(r.Unit.Tasks) >= len(f.Unit.Tasks) && r.Duration >= f.Duration &&
		s.leavesNoLess(r, f) && (!mayTry(r) || mayTry(f)) && r.Unit.Job.Spec.GetService() == f.Unit.Job.Spec.GetService() &&
		(fs.GetRequiredLabel() == "" || fs.GetRequiredLabel() == rs.GetRequiredLabel()) &&
		(fs.GetMaxPerWorker() == 0 || fs == rs && r.Unit.Tasks[0].Occurrence == f.Unit.Tasks[0].Occurrence)
}

// leavesNoLess tells whether r leaves each rack to urgent units that f leaves.
func (s *state) leavesNoLess(r, f *Request) bool {
	for rack, kept := range s.kept {
		if kept && s.leaves(f, rack) && !s.leaves(r, rack) {
			return false
		}
	}
	return true
}

// patient tells whether the unit still waits for room on the right rack. It does
// for as long as it would gain by it, as its work takes longer on any other.
func (s *state) patient(r *Request) bool {
	step := r.Unit.Step
	if step.GetDataRack() == "" && !(step.GetGang() && step.GetSameRack() && step.GetCount() > 1) {
		return false
	}
	limit := rackPatience
	if s.crowded && !r.Reclaims {
		limit = crowdedPatience
	}
	return r.Ready < min(limit, time.Duration((s.in.RemoteFactor-1)*float64(r.Duration)))
}

// fitInto is fit with the given room on each worker.
func (s *state) fitInto(r *Request, free []Amount, anywhere bool) ([]int, bool) {
	step := r.Unit.Step
	patient := !anywhere && s.patient(r)
	if rack, ok := s.rackIndex[step.GetDataRack()]; ok && step.GetDataRack() != "" {
		if found, ok := s.fitAmong(r, s.racks[rack], free); ok {
			return found, true
		}
		if patient {
			return nil, false
		}
	}
	if step.GetGang() && step.GetSameRack() && step.GetCount() > 1 {
		if found, ok := s.fitOneRack(r, free); ok {
			return found, true
		}
		if patient && s.rackCouldHold(r) {
			return nil, false
		}
	}
	return s.fitAmong(r, s.all, free)
}

// rackCouldHold tells whether some rack would hold the gang if it were empty.
func (s *state) rackCouldHold(r *Request) bool {
	for _, members := range s.racks {
		fits := int64(0)
		for _, w := range members {
			if worker := &s.workers[w]; worker.Usable && worker.Service == r.Unit.Job.Spec.GetService() {
				fits += worker.Capacity.holds(r.Need)
			}
		}
		if fits >= int64(len(r.Unit.Tasks)) {
			return true
		}
	}
	return false
}

// fitOneRack finds the rack that the gang fills best.
func (s *state) fitOneRack(r *Request, free []Amount) ([]int, bool) {
	var best []int
	bestLeft := 0.0
	for _, members := range s.racks {
		found, ok := s.fitAmong(r, members, free)
		if !ok {
			continue
		}
		left := 0.0
		for _, w := range members {
			left += free[w].Cores()
		}
		for _, w := range found {
			left += slowCost * max(0, s.workers[w].Slowness-1)
		}
		if best == nil || left < bestLeft {
			best, bestLeft = found, left
		}
	}
	return best, best != nil
}

// slowCost is how many cores left over count as much as a worker that takes
// twice as long.
const slowCost = 64

// fitAmong finds workers among the given ones.
func (s *state) fitAmong(r *Request, among []int, free []Amount) ([]int, bool) {
	tasks := int64(len(r.Unit.Tasks))
	s.fits = s.fits[:0]
	room := int64(0)
	for _, w := range among {
		if free[w].Covers(r.Need) && s.suits(r, w) {
			s.fits = append(s.fits, w)
			s.left[w] = free[w]
			if room < tasks {
				room += free[w].holds(r.Need)
			}
		}
	}
	if room < tasks {
		return nil, false
	}
	limited := r.Unit.Step.GetMaxPerWorker() > 0
	if limited {
		s.countUsed(r)
	}
	found := make([]int, 0, tasks)
	for range tasks {
		best, bestCost := -1, 0.0
		for _, w := range s.fits {
			if !s.left[w].Covers(r.Need) || limited && s.used[w] >= r.Unit.Step.GetMaxPerWorker() {
				continue
			}
			cost := s.cost(w, s.left[w].Minus(r.Need))
			if (best < 0 || cost < bestCost) && s.leavesReserved(r, w, s.left[w]) {
				best, bestCost = w, cost
			}
		}
		if best < 0 {
			return nil, false
		}
		s.left[best] = s.left[best].Minus(r.Need)
		s.used[best]++
		found = append(found, best)
	}
	return found, true
}

// countUsed counts the tasks of the unit's step that hold each worker.
func (s *state) countUsed(r *Request) {
	first := r.Unit.Tasks[0]
	for w := range s.workers {
		s.used[w] = s.started[stepOn{r.Unit.Job, first.Occurrence, first.Step, w}]
	}
	for _, t := range r.Unit.Job.Active() {
		if t.Ref.Step == first.Step && t.Ref.Occurrence == first.Occurrence {
			if w, ok := s.index[t.Place]; ok {
				s.used[w]++
			}
		}
	}
}

// suits tells whether the unit may run on a worker, whatever room there is.
func (s *state) suits(r *Request, w int) bool {
	worker := &s.workers[w]
	label := r.Unit.Step.GetRequiredLabel()
	return worker.Usable && worker.Service == r.Unit.Job.Spec.GetService() &&
		(label == "" || worker.hasLabel(label)) && !s.leaves(r, s.rackOf[w]) && s.trusts(r, w)
}

// cost is low for workers that the task fills well and for fast ones.
func (s *state) cost(w int, after Amount) float64 {
	return after.Cores() + rackWeight*s.rackRoom[s.rackOf[w]] + slowCost*max(0, s.workers[w].Slowness-1)
}
