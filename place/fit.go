package place

import (
	"slices"
	"sort"
)

// allocation is a number of tasks of one job on a node. A placement is the list
// of allocations of all tasks of the job.
type allocation struct {
	node  int // in view.nodes
	tasks int
}

// nodeOrder reports whether node a is preferred to node b. Both have room for
// the job.
type nodeOrder func(a, b *node) bool

// eligible reports whether the worker may run the job, whatever is free on it.
func (v *view) eligible(n *node, j *queuedJob) bool {
	if !n.usable || n.worker.Service != j.Service && n.worker.Service != "" && j.Service != "" {
		return false
	}
	if n.worker.Probing && (!j.Idempotent || j.Tasks > 1 || n.tasks > 0) {
		return false
	}
	return !slices.Contains(j.Avoid, n.worker.Name)
}

// taskCapacity returns how many tasks of the job can start on the node now.
func (v *view) taskCapacity(n *node, j *queuedJob) int {
	if n.freeSlots <= 0 || n.free < j.Accelerators || !v.eligible(n, j) {
		return 0
	}
	free := n.free
	if n.reserved && !v.mayBackfill(j) {
		free = min(free, n.spare)
	}
	return v.tasksWithin(n, j, free, n.freeSlots)
}

// tasksWithin returns how many tasks fit the given accelerators and slots of the
// node. Unless the job is a borrower, they take nothing that is guaranteed to
// other customers.
func (v *view) tasksWithin(n *node, j *queuedJob, free, slots int) int {
	if !j.borrower {
		maxAccelerators, maxSlots := n.allowance(j.customer)
		free, slots = min(free, maxAccelerators), min(slots, maxSlots)
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

// withinLimits reports whether the job fits the customer's quota and the
// capacity of a data centre that returns to service.
func (v *view) withinLimits(j *queuedJob) bool {
	count := j.Tasks * j.Accelerators
	t := &v.totals[j.customer]
	if t.quota > 0 && t.usage+count > t.quota {
		return false
	}
	return count <= max(0, v.capacityLeft) && j.Tasks <= max(0, v.capacitySlotsLeft)
}

// fit returns a placement of the whole job that keeps the guarantees, or nil.
func (v *view) fit(j *queuedJob, preferred nodeOrder) []allocation {
	placement := v.findPlacement(j, preferred)
	if placement == nil {
		return v.fitReassigned(j, preferred)
	}
	if !v.keepsGuarantees(j, placement) {
		return nil
	}
	return placement
}

// maxReassignmentWork bounds the searches by fitReassigned in one decision: their
// number, without the last one, times the number of workers. One search takes about
// 10 ms with 620 workers.
const maxReassignmentWork = 1000

// fitReassigned returns a placement that takes nodes to which shapes are
// assigned, if another assignment of the shapes makes that possible, and assigns
// the shapes again beside the job. Otherwise it returns nil.
func (v *view) fitReassigned(j *queuedJob, preferred nodeOrder) []allocation {
	if j.borrower || v.shapeUnassigned && !v.needsSearch || v.reassignments > maxReassignmentWork/max(1, len(v.nodes)) {
		return nil
	}
	unconstrained := *j
	unconstrained.borrower = true
	placement := v.findPlacement(&unconstrained, preferred)
	if placement == nil {
		return nil
	}
	v.reassignments++
	if !v.assignmentExists(v.asRunning(j, placement)) {
		return nil
	}
	v.reassignShapes(j, placement)
	return placement
}

// findPlacement returns a placement of the whole job within its adjacency, or
// nil. It checks the guarantees by the greedy assignment only.
func (v *view) findPlacement(j *queuedJob, preferred nodeOrder) []allocation {
	switch {
	case j.Tasks == 1 || j.Adjacency == SameWorker:
		return v.fitWorker(j, preferred)
	case j.Adjacency == SameRack:
		return v.fitRack(j, preferred)
	default:
		return v.fitNodes(j, nil, preferred)
	}
}

func (v *view) fitWorker(j *queuedJob, preferred nodeOrder) []allocation {
	var best *node
	for i := range v.nodes {
		n := &v.nodes[i]
		if v.taskCapacity(n, j) >= j.Tasks && (best == nil || preferred(n, best)) {
			best = n
		}
	}
	if best == nil {
		return nil
	}
	return []allocation{{best.index, j.Tasks}}
}

// fitRack returns a placement in the rack with the fewest free accelerators that
// has room for the job.
func (v *view) fitRack(j *queuedJob, preferred nodeOrder) []allocation {
	var best []allocation
	bestFree := 0
	for r := range v.racks {
		if best != nil && v.racks[r].free >= bestFree {
			continue
		}
		if placement := v.fitNodes(j, v.racks[r].nodes, preferred); placement != nil {
			best, bestFree = placement, v.racks[r].free
		}
	}
	return best
}

// fitNodes returns a placement on the given nodes, the preferred ones first; nil
// means all nodes.
func (v *view) fitNodes(j *queuedJob, domain []int, preferred nodeOrder) []allocation {
	var placement []allocation
	total := 0
	add := func(i int) {
		if tasks := v.taskCapacity(&v.nodes[i], j); tasks > 0 {
			placement = append(placement, allocation{i, tasks})
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
	sort.SliceStable(placement, func(a, b int) bool {
		return preferred(&v.nodes[placement[a].node], &v.nodes[placement[b].node])
	})
	return trim(placement, j.Tasks)
}

// trim cuts the placement down to the first allocations that hold all tasks.
func trim(placement []allocation, tasks int) []allocation {
	for i := range placement {
		placement[i].tasks = min(placement[i].tasks, tasks)
		tasks -= placement[i].tasks
		if tasks == 0 {
			return placement[:i+1]
		}
	}
	return placement
}

// commit allocates the placement and returns the action that starts the job.
func (v *view) commit(j *queuedJob, placement []allocation) Action {
	started := v.asRunning(j, placement)
	for _, a := range placement {
		v.allocate(&v.nodes[a.node], j, a.tasks)
	}
	v.placed = append(v.placed, started)
	return Action{Place: &Place{JobID: j.ID, Workers: started.Workers}}
}

// firstFit prefers nodes in the order of the state's workers.
func firstFit(a, b *node) bool {
	return a.index < b.index
}

// bestFit prefers probing workers, then the fullest worker, then the fullest
// rack, so that empty workers and racks stay empty for jobs that need them whole.
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
