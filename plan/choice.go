package plan

import "slices"

// cheapest chooses groups whose stop makes the unit fit. A gang for one rack
// looks at each rack alone first.
func (s *state) cheapest(r *Request, free []Amount) (chosen, found []int, cost float64) {
	s.listGroups()
	if r.Unit.Step.GetMaxPerWorker() > 0 {
		s.countUsed(r)
	}
	if r.Unit.Step.GetGang() && r.Unit.Step.GetSameRack() {
		for _, members := range s.racks {
			c := choice{state: s, r: r, among: members, found: make([]int, 0, len(r.Unit.Tasks))}
			if c.run(free) && (found == nil || c.cost < cost) {
				chosen, found, cost = c.groups, c.found, c.cost
			}
		}
		if found != nil {
			return chosen, found, cost
		}
	}
	c := choice{state: s, r: r, among: s.all, found: make([]int, 0, len(r.Unit.Tasks))}
	if !c.run(free) {
		return nil, nil, 0
	}
	return c.groups, c.found, c.cost
}

// choice is a search for places for the tasks of one unit, each where the least
// work has to be stopped.
type choice struct {
	*state
	r      *Request
	among  []int
	groups []int
	found  []int
	cost   float64
}

// slot is how one more task gets room on a worker.
type slot struct {
	possible bool
	groups   []int
	cost     float64
}

// run places the tasks one after another and tells whether all found room.
func (c *choice) run(free []Amount) bool {
	c.search++
	possible := int64(0)
	for _, w := range c.among {
		c.room[w] = free[w]
		if c.suits(c.r, w) {
			possible += c.most(w).holds(c.r.Need)
		}
	}
	if possible < int64(len(c.r.Unit.Tasks)) {
		return false
	}
	for _, w := range c.among {
		c.slots[w] = c.slotOn(w)
	}
	for range c.r.Unit.Tasks {
		best := -1
		for _, w := range c.among {
			if c.slots[w].possible && (best < 0 || c.cheaper(w, best)) {
				best = w
			}
		}
		if best < 0 {
			return false
		}
		c.place(best)
	}
	return true
}

// most is the room on a worker if all that the unit may stop were stopped.
func (c *choice) most(w int) Amount {
	room := c.room[w]
	for _, on := range c.groupsOn[w] {
		if c.mayStop(on.group) {
			room = room.Plus(on.need)
		}
	}
	return room
}

// mayStop tells whether a group may be stopped for the unit and is not yet.
func (c *choice) mayStop(g int) bool {
	group := &c.state.groups[g]
	return !group.stopped && group.picked != c.search && (group.priority > c.r.priority() || c.r.Reclaims)
}

// cheaper compares the slots of two workers: by the work that is stopped, and
// then by how well the task fills the worker.
func (c *choice) cheaper(a, b int) bool {
	if c.slots[a].cost != c.slots[b].cost {
		return c.slots[a].cost < c.slots[b].cost
	}
	return c.state.cost(a, c.room[a]) < c.state.cost(b, c.room[b])
}

// place gives one task the slot of a worker.
func (c *choice) place(w int) {
	taken := c.slots[w]
	touched := []int{w}
	for _, g := range taken.groups {
		c.state.groups[g].picked = c.search
		for _, i := range c.state.groups[g].runs {
			if at, ok := c.index[c.in.Running[i].At]; ok {
				c.room[at] = c.room[at].Plus(c.in.Running[i].Need)
				touched = append(touched, at)
			}
		}
	}
	c.room[w] = c.room[w].Minus(c.r.Need)
	c.used[w]++
	c.groups = append(c.groups, taken.groups...)
	c.found = append(c.found, w)
	c.cost += taken.cost
	slices.Sort(touched)
	for _, at := range slices.Compact(touched) {
		if slices.Contains(c.among, at) {
			c.slots[at] = c.slotOn(at)
		}
	}
}

// slotOn finds the cheapest groups whose stop makes room for a task on a worker.
func (c *choice) slotOn(w int) slot {
	need := c.r.Need
	most := c.r.Unit.Step.GetMaxPerWorker()
	if most > 0 && c.used[w] >= most || !c.suits(c.r, w) || !c.most(w).Covers(need) {
		return slot{}
	}
	room := c.room[w]
	var stops []groupOn
	for _, on := range c.groupsOn[w] {
		if room.Covers(need) {
			break
		}
		if c.mayStop(on.group) {
			stops = append(stops, on)
			room = room.Plus(on.need)
		}
	}
	// The dearest go first from those that turn out not to be needed.
	found := slot{possible: true}
	for i := len(stops) - 1; i >= 0; i-- {
		if without := room.Minus(stops[i].need); without.Covers(need) {
			room = without
			continue
		}
		found.groups = append(found.groups, stops[i].group)
		found.cost += c.state.groups[stops[i].group].cost
	}
	if !c.leavesLater(c.r, w, room) {
		return slot{}
	}
	return found
}
