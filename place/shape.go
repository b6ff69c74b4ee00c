package place

import (
	"slices"
	"sort"
)

// shape is one shape of a guarantee. One that is larger than a worker is cut
// into chunks, each of a whole worker except the last, which is the rest.
type shape struct {
	guarantee *Guarantee
	customer  int
}

// assignShapes assigns every guaranteed shape to nodes and adds it to the
// claims on them. It is greedy: no assigned shape is moved for a later one.
//
// The largest shapes and, among equal ones, those with the strictest adjacency
// go first because they fit on the fewest nodes.
func (v *view) assignShapes() {
	var shapes []shape
	for i := range v.state.Guarantees {
		g := &v.state.Guarantees[i]
		for range g.Count {
			shapes = append(shapes, shape{g, v.customerIndex(g.Customer)})
		}
	}
	sort.SliceStable(shapes, func(a, b int) bool {
		x, y := shapes[a].guarantee, shapes[b].guarantee
		if x.Accelerators != y.Accelerators {
			return x.Accelerators > y.Accelerators
		}
		return x.Adjacency < y.Adjacency
	})
	v.shapeUnassigned = false
	for _, sh := range shapes {
		if !v.assignShape(sh) {
			v.shapeUnassigned = true
		}
	}
	// The greedy assignment can miss an assignment that exists; placements are
	// then checked by search.
	v.needsSearch = v.shapeUnassigned && v.assignmentExists()
}

// reassignShapes assigns the shapes again as if the job ran on the nodes of the
// placement.
func (v *view) reassignShapes(j *queuedJob, placement []allocation) {
	for i := range v.nodes {
		n := &v.nodes[i]
		for k := range n.claims {
			c := &n.claims[k]
			n.updateClaim(c, 0, 0, -c.guaranteed, -c.guaranteedSlots)
		}
	}
	addPinned := func(sign int) {
		for _, a := range placement {
			n := &v.nodes[a.node]
			c := n.ensureClaim(j.customer)
			count := sign * a.tasks * j.Accelerators
			n.free -= count
			c.used += count
			n.updateClaim(c, count, sign*a.tasks, 0, 0)
		}
	}
	addPinned(1)
	v.assignShapes()
	addPinned(-1)
	// The search of fitReassigned has found an assignment beside the job, so
	// that one exists if the greedy one lacks a shape.
	v.needsSearch = v.shapeUnassigned
}

// maxAssignmentSteps bounds the search that decides on a placement where the
// greedy assignment can't. It takes a few milliseconds at most.
const maxAssignmentSteps = 20_000

// assignmentExists reports whether a search finds an assignment of all shapes
// while the given jobs run beside the running and placed ones. It is false if
// the search exceeds maxAssignmentSteps.
func (v *view) assignmentExists(extra ...Running) bool {
	s := *v.state
	s.Running = slices.Concat(v.state.Running, v.placed, extra)
	return findAssignment(&s, maxAssignmentSteps) == nil
}

// keepsGuarantees reports whether the job may take the nodes of the placement
// without making an assignment of the shapes impossible. A borrower always may,
// and so may any job that fits beside the greedy assignment, unless that missed
// an assignment that exists; then a search decides.
func (v *view) keepsGuarantees(j *queuedJob, placement []allocation) bool {
	return j.borrower || !v.needsSearch || v.assignmentExists(v.asRunning(j, placement))
}

// asRunning returns the job as it will run on the nodes of the placement.
func (v *view) asRunning(j *queuedJob, placement []allocation) Running {
	workers := make([]string, 0, j.Tasks)
	for _, a := range placement {
		for range a.tasks {
			workers = append(workers, v.nodes[a.node].worker.Name)
		}
	}
	return Running{Job: *j.Job, Workers: workers, Started: v.now}
}

// assignShape assigns the shape to the nodes with the least cost, for a rack
// shape in the rack with the least, and reports whether it found any.
func (v *view) assignShape(sh shape) bool {
	if sh.guarantee.Adjacency != SameRack {
		chunks, _, ok := v.findChunks(sh, v.allNodes)
		v.assignChunks(sh, chunks, ok)
		return ok
	}
	var best []shapeChunk
	found, bestCost := false, 0
	for r := range v.racks {
		chunks, cost, ok := v.findChunks(sh, v.racks[r].nodes)
		if ok && (!found || cost < bestCost) {
			found, best, bestCost = true, chunks, cost
		}
	}
	v.assignChunks(sh, best, found)
	return found
}

// shapeChunk is the part of a shape that is assigned to one node.
type shapeChunk struct {
	node         int
	accelerators int
}

// assignChunks adds the chunks to the customer's claims if ok.
func (v *view) assignChunks(sh shape, chunks []shapeChunk, ok bool) {
	if !ok {
		return
	}
	for _, c := range chunks {
		n := &v.nodes[c.node]
		n.updateClaim(n.ensureClaim(sh.customer), 0, 0, c.accelerators, 1)
	}
}

// findChunks finds nodes of one domain for a shape, those with the least
// chunkCost first, and returns the sum of the costs.
func (v *view) findChunks(sh shape, domain []int) (chunks []shapeChunk, cost int, ok bool) {
	largestWorker := 0
	for _, i := range domain {
		largestWorker = max(largestWorker, v.nodes[i].worker.Accelerators)
	}
	left := sh.guarantee.Accelerators
	if largestWorker == 0 || sh.guarantee.Adjacency == SameWorker && left > largestWorker {
		return nil, 0, false
	}
	defer func() {
		for _, c := range chunks {
			v.nodes[c.node].tentative = 0
		}
	}()
	for left > 0 {
		chunk := min(left, largestWorker)
		best, bestCost := -1, 0
		for _, i := range domain {
			c, fits := v.nodes[i].chunkCost(sh.customer, chunk)
			if fits && (best < 0 || c < bestCost) {
				best, bestCost = i, c
			}
		}
		if best < 0 {
			return chunks, 0, false
		}
		v.nodes[best].tentative += chunk
		chunks = append(chunks, shapeChunk{best, chunk})
		cost += bestCost
		left -= chunk
	}
	return chunks, cost, true
}

// chunkCost reports whether a chunk of a shape of the customer can be assigned
// to the node beside the chunks already assigned, and at which cost. Accelerators
// that would have to be reclaimed from borrowers weigh most, then those that
// would remain uncommitted.
func (n *node) chunkCost(customer, chunk int) (cost int, ok bool) {
	c, tentative := n.claimOf(customer), n.tentative
	chunkSlots := 1
	if tentative > 0 {
		chunkSlots = 2
	}
	if !n.usable || n.worker.Probing {
		return 0, c.pinned-c.guaranteed-tentative >= chunk && c.pinnedSlots-c.guaranteedSlots >= chunkSlots
	}
	slots := n.committedSlots - max(c.pinnedSlots, c.guaranteedSlots) + max(c.pinnedSlots, c.guaranteedSlots+chunkSlots)
	leftover := n.worker.Accelerators - n.committed + max(c.pinned, c.guaranteed) - max(c.pinned, c.guaranteed+tentative+chunk)
	if leftover < 0 || slots > n.worker.Slots {
		return 0, false
	}
	ownUse := max(0, c.used-c.guaranteed-tentative)
	missing := max(0, chunk-ownUse-max(0, n.free+n.releasing))
	return missing*borrowedCost + leftover, true
}

// borrowedCost is the cost of one borrowed accelerator. It is above the number
// of accelerators of a worker, so that it outweighs all uncommitted ones.
const borrowedCost = 1024
