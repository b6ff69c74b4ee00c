package plan

import (
	"cmp"
	"slices"
	"time"

	"catkinpoint/graph"
)

// group is what a stop ends: a whole gang or one task.
type group struct {
	runs []int // indices of Running
	cost float64
}

// makeRoom finds the cheapest running work whose stop makes room for a unit that
// may stop others, and returns the stops and where the room will be. There are
// no stops if the room is on its way already.
func (s *state) makeRoom(r *Request) (stops []Stop, held []int) {
	if !r.Reclaims && (r.priority() != 0 || r.Slack <= 0) {
		return nil, nil // a stop would not make the unit meet its objective
	}
	free := s.freeAfterStops(r)
	if held := s.stillHeld(r, free); held != nil {
		return nil, held
	}
	s.release(r)
	if found, ok := s.fitInto(r, free, r.Reclaims); ok {
		s.keep(r, found, 0)
		return nil, found
	}
	groups := s.groups(r)
	chosen, found := s.cheapest(r, groups, free)
	if found == nil {
		return nil, nil
	}
	cost := 0.0
	for _, g := range chosen {
		cost += groups[g].cost
	}
	if !r.Reclaims && cost > s.worth(r) {
		return nil, nil
	}
	for _, g := range chosen {
		for _, i := range groups[g].runs {
			run := s.in.Running[i]
			s.stopping[i] = true
			stops = append(stops, Stop{Running: run, For: r.Unit})
		}
	}
	s.keep(r, found, 0)
	return stops, found
}

// stillHeld returns the workers where an earlier decision makes room for the
// unit, if that room is still to be expected.
func (s *state) stillHeld(r *Request, free []Amount) []int {
	var workers []int
	for _, kept := range s.reservations {
		if kept.owner != r {
			continue
		}
		if !free[kept.worker].Covers(kept.need) {
			return nil
		}
		workers = append(workers, kept.worker)
	}
	if workers == nil {
		return nil
	}
	held := make([]int, len(r.Held))
	for i, p := range r.Held {
		held[i] = s.index[p]
	}
	return held
}

// stopShare is the most thrown-away work that a unit outside a guarantee may
// cause, as a share of its own.
const stopShare = 1.5

// worth bounds the core-seconds that may be thrown away for the unit.
func (s *state) worth(r *Request) float64 {
	return stopShare * r.Need.Cores() * r.Duration.Seconds() * float64(len(r.Unit.Tasks))
}

// freeAfterStops is the room once all ordered stops are done, without what
// other units that wait for such room will take.
func (s *state) freeAfterStops(r *Request) []Amount {
	free := slices.Clone(s.free)
	for i := range s.in.Running {
		run := &s.in.Running[i]
		if w, ok := s.index[run.At]; ok && s.stopping[i] {
			free[w] = free[w].Plus(run.Need)
		}
	}
	for _, kept := range s.reservations {
		if kept.from == 0 && kept.owner != r {
			free[kept.worker] = free[kept.worker].Minus(kept.need)
		}
	}
	return free
}

// groups lists the running work that may be stopped for the unit.
func (s *state) groups(r *Request) []group {
	type key struct {
		job        *graph.Job
		occurrence int32
		step       int32
		index      int32
	}
	byKey := map[key]int{}
	var groups []group
	for i := range s.in.Running {
		run := &s.in.Running[i]
		lower := run.Job.Spec.GetPriority() > r.priority()
		if run.Guaranteed || s.stopping[i] || !lower && !r.Reclaims {
			continue
		}
		k := key{run.Job, run.Ref.Occurrence, run.Ref.Step, run.Ref.Index}
		if run.Job.Step(run.Ref).GetGang() {
			k.index = -1
		}
		g, ok := byKey[k]
		if !ok {
			g = len(groups)
			byKey[k] = g
			groups = append(groups, group{})
		}
		groups[g].runs = append(groups[g].runs, i)
		groups[g].cost += s.stopCost(run)
	}
	slices.SortStableFunc(groups, func(a, b group) int { return cmp.Compare(a.cost, b.cost) })
	return groups
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

// spareAfterStop is the slack below which a stopped job is expected to be late.
const spareAfterStop = 2 * time.Second

// cheapest adds groups, cheapest first, until the unit fits, and then spares
// those that were not needed, dearest first. It tries each rack alone as well.
func (s *state) cheapest(r *Request, groups []group, free []Amount) (chosen, found []int) {
	bestCost := 0.0
	consider := func(racks []int) {
		picked, places, cost := s.pick(r, groups, free, racks)
		if places != nil && (found == nil || cost < bestCost) {
			chosen, found, bestCost = picked, places, cost
		}
	}
	if r.Unit.Step.GetGang() && r.Unit.Step.GetSameRack() {
		for _, rack := range sortedKeys(s.racks) {
			consider(s.racks[rack])
		}
		if found != nil {
			return chosen, found
		}
	}
	consider(nil)
	return chosen, found
}

// pick chooses groups so that the unit fits among the given workers; nil means all.
func (s *state) pick(r *Request, groups []group, free []Amount, among []int) (picked, places []int, cost float64) {
	room := slices.Clone(free)
	change := func(g int, sign int64) {
		for _, i := range groups[g].runs {
			run := &s.in.Running[i]
			if w, ok := s.index[run.At]; ok {
				n := run.Need
				room[w] = room[w].Plus(Amount{sign * n.CPU, sign * n.Memory, sign * n.Accelerators})
			}
		}
	}
	for g := range groups {
		if places != nil {
			break
		}
		if !s.touches(groups[g], among) {
			continue
		}
		change(g, 1)
		picked = append(picked, g)
		if found, ok := s.fitAmong(r, among, room); ok {
			places = found
		}
	}
	if places == nil {
		return nil, nil, 0
	}
	for i := len(picked) - 1; i >= 0; i-- {
		change(picked[i], -1)
		if found, ok := s.fitAmong(r, among, room); ok {
			places = found
			picked = slices.Delete(picked, i, i+1)
			continue
		}
		change(picked[i], 1)
	}
	for _, g := range picked {
		cost += groups[g].cost
	}
	return picked, places, cost
}

// touches tells whether a group holds room on one of the given workers.
func (s *state) touches(g group, among []int) bool {
	if among == nil {
		return true
	}
	for _, i := range g.runs {
		if w, ok := s.index[s.in.Running[i].At]; ok && slices.Contains(among, w) {
			return true
		}
	}
	return false
}
