package place

import (
	"slices"
	"sort"
)

// seat is a number of tasks of one job on a node.
type seat struct {
	node  int
	tasks int
}

// order compares two nodes that both have room; it reports whether a is preferred.
type order func(a, b *node) bool

// canUse reports whether the worker may run the job at all.
func (v *view) canUse(n *node, j *request) bool {
	if !n.usable || n.worker.Service != j.Service && n.worker.Service != "" && j.Service != "" {
		return false
	}
	if n.worker.Probing && (!j.Idempotent || j.Tasks > 1 || n.tasks > 0) {
		return false
	}
	return !slices.Contains(j.Avoid, n.worker.Name)
}

// room is how many tasks of the job the node can take now.
func (v *view) room(n *node, j *request) int {
	if n.slots <= 0 || n.free < j.Accelerators || !v.canUse(n, j) {
		return 0
	}
	free := n.free
	if n.reserved && !v.endsBefore(j) {
		free = min(free, n.spare)
	}
	return v.limit(n, j, free, n.slots)
}

// limit is how many tasks fit the given accelerators and slots of the node
// without taking what is guaranteed to other customers.
func (v *view) limit(n *node, j *request, free, slots int) int {
	if !j.lent {
		accelerators, most := n.allowance(j.customer)
		free, slots = min(free, accelerators), min(slots, most)
	}
	tasks := min(slots, j.Tasks)
	if n.worker.Probing {
		tasks = min(tasks, 1)
	}
	if j.Accelerators > 0 {
		tasks = min(tasks, free/j.Accelerators)
	}
	return max(0, tasks)
}

// permitted reports whether quota and returning capacity allow the job now.
func (v *view) permitted(j *request) bool {
	count := j.Tasks * j.Accelerators
	t := &v.tallies[j.customer]
	if t.quota > 0 && t.usage+count > t.quota {
		return false
	}
	return count <= max(0, v.shareLeft) && j.Tasks <= max(0, v.shareSlotsLeft)
}

// fit finds seats for the whole job, or none.
func (v *view) fit(j *request, before order) []seat {
	seats := v.seats(j, before)
	if seats == nil {
		return v.fitBeside(j, before)
	}
	if !v.guarded(j, seats) {
		return nil
	}
	return seats
}

// mapWork bounds the searches in one decision for another map of the
// guaranteed shapes by their number times the workers; one search takes about
// 10 ms with 620 workers.
const mapWork = 1000

// fitBeside finds seats that the present map of shapes forbids although
// another map allows them, and maps the shapes again around the job.
func (v *view) fitBeside(j *request, before order) []seat {
	if j.lent || v.unmet && !v.tight || v.searches > mapWork/max(1, len(v.nodes)) {
		return nil
	}
	free := *j
	free.lent = true
	seats := v.seats(&free, before)
	if seats == nil {
		return nil
	}
	v.searches++
	if !v.keeps(v.started(j, seats)) {
		return nil
	}
	v.remap(j, seats)
	return seats
}

func (v *view) seats(j *request, before order) []seat {
	switch {
	case j.Tasks == 1 || j.Adjacency == SameWorker:
		return v.fitWorker(j, before)
	case j.Adjacency == SameRack:
		return v.fitRack(j, before)
	default:
		return v.fitNodes(j, nil, before)
	}
}

func (v *view) fitWorker(j *request, before order) []seat {
	var best *node
	for i := range v.nodes {
		n := &v.nodes[i]
		if v.room(n, j) >= j.Tasks && (best == nil || before(n, best)) {
			best = n
		}
	}
	if best == nil {
		return nil
	}
	return []seat{{best.index, j.Tasks}}
}

// fitRack takes the rack with the least room left over.
func (v *view) fitRack(j *request, before order) []seat {
	var best []seat
	bestFree := 0
	for r := range v.racks {
		if best != nil && v.racks[r].free >= bestFree {
			continue
		}
		if seats := v.fitNodes(j, v.racks[r].nodes, before); seats != nil {
			best, bestFree = seats, v.racks[r].free
		}
	}
	return best
}

// fitNodes spreads the job over the given nodes; nil means all nodes.
func (v *view) fitNodes(j *request, domain []int, before order) []seat {
	var seats []seat
	total := 0
	add := func(i int) {
		if tasks := v.room(&v.nodes[i], j); tasks > 0 {
			seats = append(seats, seat{i, tasks})
			total += tasks
		}
	}
	if domain == nil {
		for i := range v.nodes {
			add(i)
		}
	} else {
		for _, i := range domain {
			add(i)
		}
	}
	if total < j.Tasks {
		return nil
	}
	sort.SliceStable(seats, func(a, b int) bool {
		return before(&v.nodes[seats[a].node], &v.nodes[seats[b].node])
	})
	return trim(seats, j.Tasks)
}

// trim keeps the first seats that hold all tasks.
func trim(seats []seat, tasks int) []seat {
	for i := range seats {
		seats[i].tasks = min(seats[i].tasks, tasks)
		tasks -= seats[i].tasks
		if tasks == 0 {
			return seats[:i+1]
		}
	}
	return seats
}

// book places the job on its seats and returns the action.
func (v *view) book(j *request, seats []seat) Action {
	started := v.started(j, seats)
	for _, s := range seats {
		v.take(&v.nodes[s.node], j, s.tasks)
	}
	v.placed = append(v.placed, started)
	return Action{Place: &Place{JobID: j.ID, Workers: started.Workers}}
}

// firstFit prefers workers in the order of the state.
func firstFit(a, b *node) bool {
	return a.index < b.index
}

// bestFit prefers probing workers, then the fullest worker, then the fullest
// rack, so that whole workers and racks stay whole.
func (v *view) bestFit(a, b *node) bool {
	if a.worker.Probing != b.worker.Probing {
		return a.worker.Probing
	}
	if a.free != b.free {
		return a.free < b.free
	}
	if x, y := v.racks[a.rack].free, v.racks[b.rack].free; x != y {
		return x < y
	}
	return a.index < b.index
}
