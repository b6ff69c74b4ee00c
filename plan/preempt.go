package plan

import (
	"cmp"
	"slices"
	"time"

	"catkinpoint/graph"
)

const (
	// stopShare is the most thrown-away work that a unit outside a guarantee may
	// cause, as a share of its own.
	stopShare = 1.5
	// spareAfterStop is the slack below which a stopped job is expected to be late.
	spareAfterStop = 2 * time.Second
	// stopLead is the time from the order of a stop to the start in its room.
	stopLead = 500 * time.Millisecond
)

// group is what a stop ends: a whole gang or one task.
type group struct {
	runs     []int // indices of Running
	priority int32
	cost     float64
	stopped  bool
	// picked is the search that chose the group last.
	picked int
}

// groupOn is what a group holds on one worker.
type groupOn struct {
	group int
	need  Amount
}

// makeRoom finds the cheapest running work whose stop makes room for a unit that
// may stop others, and returns the stops and where the room will be. There are
// no stops if the room is on its way already.
func (s *state) makeRoom(r *Request) (stops []Stop, held []int) {
	mayStop := r.Reclaims || r.priority() == 0 && r.Slack > stopLead
	if !mayStop && len(r.Held) == 0 {
		return nil, nil // a stop would not make the unit meet its objective
	}
	free := s.freeAfterStops(r)
	if held := s.stillHeld(r, free); held != nil || !mayStop {
		return nil, held
	}
	s.release(r)
	if found, ok := s.fitInto(r, free, r.Reclaims && !s.patient(r)); ok {
		s.keep(r, found, 0)
		return nil, found
	}
	for _, f := range s.hopeless {
		if s.tighter(r, f) && (f.Reclaims || !r.Reclaims) {
			return nil, nil
		}
	}
	chosen, found, cost := s.cheapest(r, free)
	if found == nil && len(r.Held) == 0 {
		s.hopeless = append(s.hopeless, r)
	}
	if found == nil || !r.Reclaims && cost > s.worth(r) {
		return nil, nil
	}
	for _, g := range chosen {
		s.groups[g].stopped = true
		for _, i := range s.groups[g].runs {
			s.stopping[i] = true
			stops = append(stops, Stop{Running: s.in.Running[i], For: r.Unit})
		}
	}
	if len(chosen) > 0 {
		s.ending = nil
	}
	s.keep(r, found, 0)
	return stops, found
}

// stillHeld returns the workers where an earlier decision makes room for the
// unit, if that room is still to be expected.
func (s *state) stillHeld(r *Request, free []Amount) []int {
	keeps := false
	for w, list := range s.reserved {
		for _, kept := range list {
			if kept.owner != r {
				continue
			}
			if !free[w].Covers(kept.need) {
				return nil
			}
			keeps = true
		}
	}
	if !keeps {
		return nil
	}
	held := make([]int, len(r.Held))
	for i, p := range r.Held {
		held[i] = s.index[p]
	}
	return held
}

// worth bounds the core-seconds that may be thrown away for the unit.
func (s *state) worth(r *Request) float64 {
	return stopShare * r.Need.Cores() * r.Duration.Seconds() * float64(len(r.Unit.Tasks))
}

// freeAfterStops is the room once all ordered stops are done, without what
// other units that wait for such room will take. It is valid until the next call.
func (s *state) freeAfterStops(r *Request) []Amount {
	free := s.after
	copy(free, s.free)
	for w, list := range s.on {
		for _, i := range list {
			if s.stopping[i] {
				free[w] = free[w].Plus(s.in.Running[i].Need)
			}
		}
	}
	for w, list := range s.reserved {
		for _, kept := range list {
			if kept.from == 0 && kept.owner != r {
				free[w] = free[w].Minus(kept.need)
			}
		}
	}
	return free
}

// listGroups lists the running work that may be stopped for some unit.
func (s *state) listGroups() {
	if s.groupsOn != nil {
		return
	}
	type key struct {
		job        *graph.Job
		occurrence int32
		step       int32
		index      int32
	}
	byKey := map[key]int{}
	for i := range s.in.Running {
		run := &s.in.Running[i]
		if run.Guaranteed || s.stopping[i] {
			continue
		}
		k := key{run.Job, run.Ref.Occurrence, run.Ref.Step, run.Ref.Index}
		if run.Job.Step(run.Ref).GetGang() {
			k.index = -1
		}
		g, ok := byKey[k]
		if !ok {
			g = len(s.groups)
			byKey[k] = g
			s.groups = append(s.groups, group{priority: run.Job.Spec.GetPriority()})
		}
		s.groups[g].runs = append(s.groups[g].runs, i)
		s.groups[g].cost += s.stopCost(run)
	}
	s.groupsOn = make([][]groupOn, len(s.workers))
	for g := range s.groups {
		for _, i := range s.groups[g].runs {
			w, ok := s.index[s.in.Running[i].At]
			if !ok {
				continue
			}
			need := s.in.Running[i].Need
			if list := s.groupsOn[w]; len(list) > 0 && list[len(list)-1].group == g {
				list[len(list)-1].need = list[len(list)-1].need.Plus(need)
				continue
			}
			s.groupsOn[w] = append(s.groupsOn[w], groupOn{g, need})
		}
	}
	for _, list := range s.groupsOn {
		slices.SortStableFunc(list, func(a, b groupOn) int { return cmp.Compare(s.groups[a.group].cost, s.groups[b.group].cost) })
	}
	s.room, s.slots = make([]Amount, len(s.workers)), make([]slot, len(s.workers))
}

// stopCost is what a stop costs, in core-seconds: the work that it throws away,
// and all of the run's if its job then misses an objective that it would meet.
func (s *state) stopCost(run *Running) float64 {
	cost := run.Need.Cores() * run.Unsaved.Seconds()
	if run.Spare < spareAfterStop && run.Spare+run.Unsaved > 0 {
		cost += run.Need.Cores() * run.Expected.Seconds()
	}
	return cost
}
