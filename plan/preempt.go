package plan

import (
	"cmp"
	"slices"

	"catkinpoint/graph"
)

// group is what a stop ends: a whole gang or one task.
type group struct {
	runs []int // indices of Running
	cost float64
}

// victims finds the cheapest running work whose stop makes room for a unit that
// may stop others. It also tells whether room for the unit is already on its
// way, which is then kept for it.
func (s *state) victims(r *Request) (stops []Running, waits bool) {
	if r.priority() != 0 && !r.Reclaims {
		return nil, false
	}
	free := s.freeAfterStops()
	if found, ok := s.fitInto(r, free, r.Reclaims); ok {
		s.keep(found, r.Need, 0)
		return nil, true
	}
	groups := s.groups(r)
	chosen, found := s.cheapest(r, groups, free)
	if found == nil {
		return nil, false
	}
	cost := 0.0
	for _, g := range chosen {
		cost += groups[g].cost
	}
	if !r.Reclaims && cost > s.worth(r) {
		return nil, false
	}
	for _, g := range chosen {
		for _, i := range groups[g].runs {
			run := s.in.Running[i]
			s.stopping[runKey{run.Job, run.Ref}] = true
			stops = append(stops, run)
		}
	}
	s.keep(found, r.Need, 0)
	return stops, true
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
func (s *state) freeAfterStops() []Amount {
	free := make([]Amount, len(s.workers))
	for i := range s.workers {
		free[i] = s.workers[i].Free
	}
	for i := range s.in.Running {
		r := &s.in.Running[i]
		if w, ok := s.index[r.At]; ok && s.stopping[runKey{r.Job, r.Ref}] {
			free[w] = free[w].Plus(r.Need)
		}
	}
	for _, kept := range s.reservations {
		if kept.from == 0 {
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
		if run.Guaranteed || s.stopping[runKey{run.Job, run.Ref}] || !lower && !r.Reclaims {
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
		groups[g].cost += run.Need.Cores() * run.Unsaved.Seconds()
	}
	slices.SortStableFunc(groups, func(a, b group) int { return cmp.Compare(a.cost, b.cost) })
	return groups
}

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
