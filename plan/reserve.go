package plan

import (
	"cmp"
	"slices"
	"time"
)

// reservation sets resources of a worker aside for a unit.
type reservation struct {
	owner *Request
	need  Resources
	// from is the time from now at which the owner is expected to start. It is 0 for
	// a hold: resources that are being freed by stopping runs.
	from time.Duration
}

// respectsReservations reports whether every reservation on a worker can still be
// met if a task of the unit starts there, with the given free resources. A task that
// ends before a reservation begins does not affect it.
func (s *state) respectsReservations(r *Request, w int, free Resources) bool {
	freeAfter := free.Sub(r.Need)
	for _, res := range s.reserved[w] {
		if res.owner == r || s.durationOn(r, w) <= res.from {
			continue
		}
		if !s.freeAt(w, freeAfter, res.from).Covers(res.need) {
			return false
		}
	}
	return true
}

// respectsLaterReservations is like respectsReservations for free resources that
// already include those of the runs being stopped and exclude the holds.
func (s *state) respectsLaterReservations(r *Request, w int, free Resources) bool {
	freeAfter := free.Sub(r.Need)
	for _, res := range s.reserved[w] {
		if res.owner == r || res.from == 0 || s.durationOn(r, w) <= res.from {
			continue
		}
		later := freeAfter
		for _, i := range s.runsOn[w] {
			if !s.stopping[i] && s.remaining(i) <= res.from {
				later = later.Add(s.input.Running[i].Need)
			}
		}
		if !later.Covers(res.need) {
			return false
		}
	}
	return true
}

// freeAt returns the free resources of a worker at a later time: those given and
// those of the runs that are expected to have ended by then.
func (s *state) freeAt(w int, free Resources, at time.Duration) Resources {
	for _, i := range s.runsOn[w] {
		if s.remaining(i) <= at {
			free = free.Add(s.input.Running[i].Need)
		}
	}
	return free
}

// runsByEnd returns the runs in the order of their expected ends.
func (s *state) runsByEnd() []int {
	if s.sortedRuns != nil {
		return s.sortedRuns
	}
	s.sortedRuns = make([]int, len(s.input.Running))
	for i := range s.sortedRuns {
		s.sortedRuns[i] = i
	}
	slices.SortStableFunc(s.sortedRuns, func(a, b int) int { return cmp.Compare(s.remaining(a), s.remaining(b)) })
	return s.sortedRuns
}

// reserveEarliest reserves resources for the unit at the earliest time at which it
// is expected to fit. It reserves nothing if the unit never fits.
func (s *state) reserveEarliest(r *Request) {
	if workers, from, ok := s.earliestFit(r); ok {
		s.addReservations(r, workers, from)
	}
}

// earliestFit returns the workers on which the unit is expected to fit first, one for each
// task, and the time until then.
func (s *state) earliestFit(r *Request) (workers []int, from time.Duration, ok bool) {
	order := s.runsByEnd()
	free := slices.Clone(s.free)
	for n, i := range order {
		run := &s.input.Running[i]
		w, ok := s.workerIndex[run.Place]
		if !ok {
			continue
		}
		free[w] = free[w].Add(run.Need)
		// To save time, the unit is fitted once for each reservationStep and not
		// after the end of each run.
		if n+1 < len(order) && s.remaining(order[n+1])/reservationStep == s.remaining(i)/reservationStep {
			continue
		}
		if s.visits > maxVisits {
			break
		}
		if found, ok := s.fitInto(r, free, false); ok {
			return found, s.remaining(i), true
		}
	}
	return nil, 0, false
}

// addReservations reserves resources for a unit, whose tasks are to run on the given
// workers. Tasks on the same worker share a reservation.
func (s *state) addReservations(r *Request, workers []int, from time.Duration) {
	byWorker := map[int]Resources{}
	for _, w := range workers {
		byWorker[w] = byWorker[w].Add(r.Need)
	}
	for w, need := range byWorker {
		s.reserved[w] = append(s.reserved[w], reservation{owner: r, need: need, from: from})
	}
}

// releaseReservations drops the reservations of a unit.
func (s *state) releaseReservations(r *Request) {
	dropped := false
	for w, list := range s.reserved {
		if len(list) == 0 {
			continue
		}
		s.reserved[w] = slices.DeleteFunc(list, func(res reservation) bool { return res.owner == r })
		dropped = dropped || len(s.reserved[w]) < len(list)
	}
	if dropped {
		s.noFit, s.noVictims = nil, nil // other units may use the resources now
	}
}

// restoreHold reserves the resources that earlier decisions are freeing for a unit,
// so that no other unit takes them while they become free one run at a time. It
// reserves nothing if one of the workers has gone or is no longer usable.
func (s *state) restoreHold(r *Request) {
	if len(r.Held) != len(r.Unit.Tasks) {
		return
	}
	workers := make([]int, len(r.Held))
	for i, p := range r.Held {
		w, ok := s.workerIndex[p]
		if !ok || !s.workers[w].Usable {
			return
		}
		workers[i] = w
	}
	s.addReservations(r, workers, 0)
}
