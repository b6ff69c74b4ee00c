package plan

import (
	"cmp"
	"slices"
	"time"
)

// reservation keeps room on a worker from a time on.
type reservation struct {
	owner *Request
	need  Amount
	from  time.Duration
}

// leavesReserved tells whether the reservations on a worker survive a start.
func (s *state) leavesReserved(r *Request, w int, room Amount) bool {
	after := room.Minus(r.Need)
	for _, kept := range s.reserved[w] {
		if kept.owner == r || r.Duration <= kept.from {
			continue
		}
		if !s.freeAt(w, after, kept.from).Covers(kept.need) {
			return false
		}
	}
	return true
}

// leavesLater is leavesReserved for room in which stopped work and what is kept
// from now on are counted already.
func (s *state) leavesLater(r *Request, w int, room Amount) bool {
	after := room.Minus(r.Need)
	for _, kept := range s.reserved[w] {
		if kept.owner == r || kept.from == 0 || r.Duration <= kept.from {
			continue
		}
		later := after
		for _, i := range s.on[w] {
			if !s.stopping[i] && s.remaining(i) <= kept.from {
				later = later.Plus(s.in.Running[i].Need)
			}
		}
		if !later.Covers(kept.need) {
			return false
		}
	}
	return true
}

// freeAt returns the room on a worker at a later time, as far as running work
// is expected to have ended.
func (s *state) freeAt(w int, room Amount, at time.Duration) Amount {
	for _, i := range s.on[w] {
		if s.remaining(i) <= at {
			room = room.Plus(s.in.Running[i].Need)
		}
	}
	return room
}

// byEnd returns the running work by its expected end.
func (s *state) byEnd() []int {
	if s.ending != nil {
		return s.ending
	}
	s.ending = make([]int, len(s.in.Running))
	for i := range s.ending {
		s.ending[i] = i
	}
	slices.SortStableFunc(s.ending, func(a, b int) int { return cmp.Compare(s.remaining(a), s.remaining(b)) })
	return s.ending
}

// reserve keeps the room where the unit fits soonest.
func (s *state) reserve(r *Request) {
	order := s.byEnd()
	free := slices.Clone(s.free)
	for n, i := range order {
		run := &s.in.Running[i]
		w, ok := s.index[run.At]
		if !ok {
			continue
		}
		free[w] = free[w].Plus(run.Need)
		// The fit is tried at a few moments, not after each end.
		if n+1 < len(order) && s.remaining(order[n+1])/reserveStep == s.remaining(i)/reserveStep {
			continue
		}
		if found, ok := s.fitInto(r, free, false); ok {
			s.keep(r, found, s.remaining(i))
			return
		}
	}
}

// keep holds room for a unit on workers, one entry for each worker.
func (s *state) keep(r *Request, workers []int, from time.Duration) {
	byWorker := map[int]Amount{}
	for _, w := range workers {
		byWorker[w] = byWorker[w].Plus(r.Need)
	}
	for w, need := range byWorker {
		s.reserved[w] = append(s.reserved[w], reservation{owner: r, need: need, from: from})
	}
}

// release drops what is kept for a unit.
func (s *state) release(r *Request) {
	dropped := false
	for w, list := range s.reserved {
		if len(list) == 0 {
			continue
		}
		s.reserved[w] = slices.DeleteFunc(list, func(kept reservation) bool { return kept.owner == r })
		dropped = dropped || len(s.reserved[w]) < len(list)
	}
	if dropped {
		s.refused, s.hopeless = nil, nil // others may use the room now
	}
}

// holdEarlier keeps the room that an earlier decision makes for a unit, so that
// no other unit takes it while it becomes free piece by piece.
func (s *state) holdEarlier(r *Request) {
	if len(r.Held) != len(r.Unit.Tasks) {
		return
	}
	workers := make([]int, len(r.Held))
	for i, p := range r.Held {
		w, ok := s.index[p]
		if !ok || !s.workers[w].Usable {
			return
		}
		workers[i] = w
	}
	s.keep(r, workers, 0)
}
