package place

import (
	"slices"
	"sort"
)

// shape is one guaranteed shape, cut into chunks that fill whole workers.
type shape struct {
	guarantee *Guarantee
	customer  int
}

// mapShapes assigns every guaranteed shape to nodes and books it as held.
//
// Whole workers and the strictest adjacency go first because they have the
// fewest places.
func (v *view) mapShapes() {
	var shapes []shape
	for i := range v.state.Guarantees {
		g := &v.state.Guarantees[i]
		for range g.Count {
			shapes = append(shapes, shape{g, v.customer(g.Customer)})
		}
	}
	sort.SliceStable(shapes, func(a, b int) bool {
		x, y := shapes[a].guarantee, shapes[b].guarantee
		if x.Accelerators != y.Accelerators {
			return x.Accelerators > y.Accelerators
		}
		return x.Adjacency < y.Adjacency
	})
	v.unmet = false
	for _, sh := range shapes {
		if !v.mapShape(sh) {
			v.unmet = true
		}
	}
	// The greedy map can miss an assignment that exists; placements are then
	// checked by search.
	v.tight = v.unmet && v.keeps()
}

// remap maps the shapes again as if the job ran on the seats.
func (v *view) remap(j *request, seats []seat) {
	for i := range v.nodes {
		n := &v.nodes[i]
		for k := range n.parts {
			p := &n.parts[k]
			n.update(p, 0, 0, -p.held, -p.heldSlots)
		}
	}
	lock := func(sign int) {
		for _, s := range seats {
			n := &v.nodes[s.node]
			p := n.part(j.customer)
			count := sign * s.tasks * j.Accelerators
			n.free -= count
			p.used += count
			n.update(p, count, sign*s.tasks, 0, 0)
		}
	}
	lock(1)
	v.mapShapes()
	lock(-1)
	// The search has found an assignment with the job.
	v.tight = v.unmet
}

// mapSteps bounds the search of one placement that the greedy map cannot
// decide to a few milliseconds.
const mapSteps = 20_000

// keeps reports whether an assignment of the shapes is known with the given
// jobs running beside the running and placed ones.
func (v *view) keeps(extra ...Running) bool {
	s := *v.state
	s.Running = slices.Concat(v.state.Running, v.placed, extra)
	return search(&s, mapSteps) == nil
}

// guarded reports whether the job may take the seats: always for lent work
// and when the greedy map holds every shape.
func (v *view) guarded(j *request, seats []seat) bool {
	return j.lent || !v.tight || v.keeps(v.started(j, seats))
}

// started is the job as it runs on the seats.
func (v *view) started(j *request, seats []seat) Running {
	workers := make([]string, 0, j.Tasks)
	for _, s := range seats {
		for range s.tasks {
			workers = append(workers, v.nodes[s.node].worker.Name)
		}
	}
	return Running{Job: *j.Job, Workers: workers, Started: v.now}
}

func (v *view) mapShape(sh shape) bool {
	if sh.guarantee.Adjacency != SameRack {
		picks, _, ok := v.chunks(sh, v.all)
		v.hold(sh, picks, ok)
		return ok
	}
	var best []pick
	found, bestCost := false, 0
	for r := range v.racks {
		picks, cost, ok := v.chunks(sh, v.racks[r].nodes)
		if ok && (!found || cost < bestCost) {
			found, best, bestCost = true, picks, cost
		}
	}
	v.hold(sh, best, found)
	return found
}

// pick is one chunk of a shape on a node.
type pick struct {
	node         int
	accelerators int
}

func (v *view) hold(sh shape, picks []pick, ok bool) {
	if !ok {
		return
	}
	for _, p := range picks {
		n := &v.nodes[p.node]
		n.update(n.part(sh.customer), 0, 0, p.accelerators, 1)
	}
}

// chunks finds nodes of one domain for a shape and returns the accelerators
// that others would have to give back.
func (v *view) chunks(sh shape, domain []int) (picks []pick, cost int, ok bool) {
	size := 0
	for _, i := range domain {
		size = max(size, v.nodes[i].worker.Accelerators)
	}
	left := sh.guarantee.Accelerators
	if size == 0 || sh.guarantee.Adjacency == SameWorker && left > size {
		return nil, 0, false
	}
	defer func() {
		for _, p := range picks {
			v.nodes[p.node].taken = 0
		}
	}()
	for left > 0 {
		chunk := min(left, size)
		best, bestCost := -1, 0
		for _, i := range domain {
			c, fits := v.nodes[i].holdCost(sh.customer, chunk)
			if fits && (best < 0 || c < bestCost) {
				best, bestCost = i, c
			}
		}
		if best < 0 {
			return picks, 0, false
		}
		v.nodes[best].taken += chunk
		picks = append(picks, pick{best, chunk})
		cost += bestCost
		left -= chunk
	}
	return picks, cost, true
}

// holdCost reports whether the node can hold a chunk for the customer beside
// what is already taken, and the cost of holding it there: accelerators that
// lent work would give back weigh most, then the room left over.
func (n *node) holdCost(customer, chunk int) (cost int, ok bool) {
	p, taken := n.find(customer), n.taken
	extra := 1
	if taken > 0 {
		extra = 2
	}
	if !n.usable || n.worker.Probing {
		return 0, p.locked-p.held-taken >= chunk && p.lockedSlots-p.heldSlots >= extra
	}
	slots := n.needSlots - max(p.lockedSlots, p.heldSlots) + max(p.lockedSlots, p.heldSlots+extra)
	slack := n.worker.Accelerators - n.need + max(p.locked, p.held) - max(p.locked, p.held+taken+chunk)
	if slack < 0 || slots > n.worker.Slots {
		return 0, false
	}
	own := max(0, p.used-p.held-taken)
	missing := max(0, chunk-own-max(0, n.free+n.coming))
	return missing*lentCost + slack, true
}

// lentCost makes one accelerator that is lent out weigh more than any room
// left over on a worker.
const lentCost = 1024
