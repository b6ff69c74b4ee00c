package place

import (
	"math"
	"sort"
)

// preemptionPlan is a placement that is free once the victims have stopped.
type preemptionPlan struct {
	placement []allocation
	victims   []int   // indexes in view.running
	loss      float64 // accelerator-seconds of work that the preemptions discard
}

// victimFilter reports whether a running job on a node may be preempted.
type victimFilter func(n *node, r *runningJob) bool

// offer is the room for a job on one node once the victims have stopped.
type offer struct {
	allocation allocation
	victims    []int   // indexes in view.running
	loss       float64 // accelerator-seconds of work that the preemptions discard
}

// planPreemption returns the plan whose victims lose the least work, and whether
// there is one. If the job spans several nodes, their choice is greedy.
func (v *view) planPreemption(j *queuedJob, allowed victimFilter) (preemptionPlan, bool) {
	switch {
	case j.Tasks == 1 || j.Adjacency == SameWorker:
		return v.planWorker(j, allowed)
	case j.Adjacency == SameRack:
		best, found := preemptionPlan{loss: math.Inf(1)}, false
		for r := range v.racks {
			p, ok := v.planNodes(j, v.racks[r].nodes, allowed)
			if ok && p.loss < best.loss {
				best, found = p, true
			}
		}
		return best, found
	default:
		return v.planNodes(j, v.allNodes, allowed)
	}
}

// planWorker returns the plan with the least loss on one worker.
func (v *view) planWorker(j *queuedJob, allowed victimFilter) (preemptionPlan, bool) {
	best, found := preemptionPlan{loss: math.Inf(1)}, false
	for i := range v.nodes {
		o := v.offer(&v.nodes[i], j, j.Tasks, allowed)
		if o.allocation.tasks >= j.Tasks && o.loss < best.loss {
			best, found = preemptionPlan{[]allocation{o.allocation}, o.victims, o.loss}, true
		}
	}
	return best, found
}

// planNodes returns a plan on the given nodes, those with the least loss per task
// first.
func (v *view) planNodes(j *queuedJob, domain []int, allowed victimFilter) (preemptionPlan, bool) {
	var offers []offer
	total := 0
	for _, i := range domain {
		if o := v.offer(&v.nodes[i], j, j.Tasks, allowed); o.allocation.tasks > 0 {
			offers = append(offers, o)
			total += o.allocation.tasks
		}
	}
	if total < j.Tasks {
		return preemptionPlan{}, false
	}
	sort.SliceStable(offers, func(a, b int) bool {
		return offers[a].loss*float64(offers[b].allocation.tasks) < offers[b].loss*float64(offers[a].allocation.tasks)
	})
	var p preemptionPlan
	chosen := make(map[int]bool)
	left := j.Tasks
	for _, o := range offers {
		if left < o.allocation.tasks {
			o = v.offer(&v.nodes[o.allocation.node], j, left, allowed)
		}
		o.allocation.tasks = min(o.allocation.tasks, left)
		p.placement = append(p.placement, o.allocation)
		for _, victim := range o.victims {
			if !chosen[victim] {
				chosen[victim] = true
				p.victims = append(p.victims, victim)
				p.loss += v.running[victim].loss
			}
		}
		if left -= o.allocation.tasks; left == 0 {
			break
		}
	}
	return p, left == 0
}

// offer returns room for up to the given number of tasks on the node. It takes
// victims with a low loss per accelerator first, and none if the node has room.
func (v *view) offer(n *node, j *queuedJob, tasks int, allowed victimFilter) offer {
	o := offer{allocation: allocation{node: n.index}}
	if !v.eligible(n, j) || n.worker.Probing {
		return o
	}
	free, slots := n.free+n.releasing, n.freeSlots+n.releasingSlots
	o.allocation.tasks = min(tasks, v.tasksWithin(n, j, free, slots))
	if o.allocation.tasks >= tasks {
		return o
	}
	candidates := make([]hostedJob, 0, len(n.hosted))
	for _, h := range n.hosted {
		if r := &v.running[h.job]; !r.preempted && !r.Stopping && r.Job.Checkpointable && allowed(n, r) {
			candidates = append(candidates, h)
		}
	}
	sort.SliceStable(candidates, func(a, b int) bool {
		x, y := candidates[a], candidates[b]
		return v.lossPerAccelerator(x) < v.lossPerAccelerator(y)
	})
	for _, h := range candidates {
		r := &v.running[h.job]
		free += h.tasks * r.Job.Accelerators
		slots += h.tasks
		o.victims = append(o.victims, h.job)
		o.loss += r.loss
		if o.allocation.tasks = min(tasks, v.tasksWithin(n, j, free, slots)); o.allocation.tasks >= tasks {
			break
		}
	}
	return v.pruneVictims(n, j, o, free, slots)
}

// pruneVictims drops victims that are not needed for the allocation of the
// offer, those with the highest loss per accelerator first.
func (v *view) pruneVictims(n *node, j *queuedJob, o offer, free, slots int) offer {
	for i := len(o.victims) - 1; i >= 0; i-- {
		r := &v.running[o.victims[i]]
		tasks := n.tasksOf(o.victims[i])
		fewerFree, fewerSlots := free-tasks*r.Job.Accelerators, slots-tasks
		if min(o.allocation.tasks, v.tasksWithin(n, j, fewerFree, fewerSlots)) < o.allocation.tasks {
			continue
		}
		free, slots = fewerFree, fewerSlots
		o.loss -= r.loss
		o.victims = append(o.victims[:i:i], o.victims[i+1:]...)
	}
	return o
}

// tasksOf returns how many tasks of the running job are on the node.
func (n *node) tasksOf(job int) int {
	for _, h := range n.hosted {
		if h.job == job {
			return h.tasks
		}
	}
	return 0
}

// lossPerAccelerator returns the loss of the whole job divided by the
// accelerators that its end frees on the node.
func (v *view) lossPerAccelerator(h hostedJob) float64 {
	r := &v.running[h.job]
	return r.loss / float64(h.tasks*max(1, r.Job.Accelerators))
}

// executePlan marks the victims as preempted, claims the placement for the job
// and returns the actions that preempt the victims. The job is placed by a later
// decision, once they have stopped.
func (v *view) executePlan(j *queuedJob, p preemptionPlan, reason string) []Action {
	var actions []Action
	for _, i := range p.victims {
		r := &v.running[i]
		r.preempted = true
		for _, name := range r.Workers {
			if n, ok := v.byName[name]; ok {
				v.nodes[n].releasing += r.Job.Accelerators
				v.nodes[n].releasingSlots++
			}
		}
		actions = append(actions, Action{Preempt: &Preempt{JobID: r.Job.ID, Reason: reason}})
	}
	v.placed = append(v.placed, v.asRunning(j, p.placement))
	for _, a := range p.placement {
		v.allocateReleasing(&v.nodes[a.node], j, a.tasks)
	}
	return actions
}

// allocateReleasing claims room on the node for a job that can't start yet. It
// takes what stopping jobs release first and free capacity for the rest.
func (v *view) allocateReleasing(n *node, j *queuedJob, tasks int) {
	count := tasks * j.Accelerators
	fromReleasing := min(count, n.releasing)
	slotsFromReleasing := min(tasks, n.releasingSlots)
	n.releasing -= fromReleasing
	n.releasingSlots -= slotsFromReleasing
	n.free -= count - fromReleasing
	n.freeSlots -= tasks - slotsFromReleasing
	if !j.borrower {
		n.updateClaim(n.ensureClaim(j.customer), count, tasks, 0, 0)
	}
	n.ensureClaim(j.customer).used += count
	v.totals[j.customer].usage += count
}

// entitled reports whether the job fits what is guaranteed to its customer
// beside what the customer already uses.
func (v *view) entitled(j *queuedJob) bool {
	t := &v.totals[j.customer]
	return j.Accelerators > 0 && t.usage+j.Tasks*j.Accelerators <= t.guaranteed
}

// reclaimableBy returns a filter of the jobs that the customer may preempt to
// reclaim its shapes: borrowers of other customers, on nodes to which shapes of
// the customer are assigned.
func (v *view) reclaimableBy(customer int) victimFilter {
	return func(n *node, r *runningJob) bool {
		return r.borrower && r.customer != customer && n.claimOf(customer).guaranteed > 0
	}
}
