package place

import (
	"math"
	"sort"
)

// plan is a set of seats that are free once the victims have stopped.
type plan struct {
	seats   []seat
	victims []int // indexes of running tasks
	loss    float64
}

// allow reports whether a running task on a node may be preempted.
type allow func(n *node, t *task) bool

// offer is what one node can give to a job.
type offer struct {
	seat    seat
	victims []int
	loss    float64
}

// planPreempt finds the seats whose victims lose the least work.
func (v *view) planPreempt(j *request, may allow) (plan, bool) {
	switch {
	case j.Tasks == 1 || j.Adjacency == SameWorker:
		return v.planWorker(j, may)
	case j.Adjacency == SameRack:
		best, found := plan{loss: math.Inf(1)}, false
		for r := range v.racks {
			p, ok := v.planNodes(j, v.racks[r].nodes, may)
			if ok && p.loss < best.loss {
				best, found = p, true
			}
		}
		return best, found
	default:
		return v.planNodes(j, v.all, may)
	}
}

func (v *view) planWorker(j *request, may allow) (plan, bool) {
	best, found := plan{loss: math.Inf(1)}, false
	for i := range v.nodes {
		o := v.offer(&v.nodes[i], j, j.Tasks, may)
		if o.seat.tasks >= j.Tasks && o.loss < best.loss {
			best, found = plan{[]seat{o.seat}, o.victims, o.loss}, true
		}
	}
	return best, found
}

func (v *view) planNodes(j *request, domain []int, may allow) (plan, bool) {
	var offers []offer
	total := 0
	for _, i := range domain {
		if o := v.offer(&v.nodes[i], j, j.Tasks, may); o.seat.tasks > 0 {
			offers = append(offers, o)
			total += o.seat.tasks
		}
	}
	if total < j.Tasks {
		return plan{}, false
	}
	sort.SliceStable(offers, func(a, b int) bool {
		return offers[a].loss*float64(offers[b].seat.tasks) < offers[b].loss*float64(offers[a].seat.tasks)
	})
	var p plan
	chosen := make(map[int]bool)
	left := j.Tasks
	for _, o := range offers {
		if left < o.seat.tasks {
			o = v.offer(&v.nodes[o.seat.node], j, left, may)
		}
		o.seat.tasks = min(o.seat.tasks, left)
		p.seats = append(p.seats, o.seat)
		for _, t := range o.victims {
			if !chosen[t] {
				chosen[t] = true
				p.victims = append(p.victims, t)
				p.loss += v.running[t].loss
			}
		}
		if left -= o.seat.tasks; left == 0 {
			break
		}
	}
	return p, left == 0
}

// offer frees room for up to the given tasks on the node with the least loss.
func (v *view) offer(n *node, j *request, tasks int, may allow) offer {
	o := offer{seat: seat{node: n.index}}
	if !v.canUse(n, j) || n.worker.Probing {
		return o
	}
	free, slots := n.free+n.coming, n.slots+n.comingSlots
	o.seat.tasks = min(tasks, v.limit(n, j, free, slots))
	if o.seat.tasks >= tasks {
		return o
	}
	candidates := make([]hosted, 0, len(n.hosted))
	for _, h := range n.hosted {
		if t := &v.running[h.task]; !t.gone && !t.Stopping && t.Job.Checkpointable && may(n, t) {
			candidates = append(candidates, h)
		}
	}
	sort.SliceStable(candidates, func(a, b int) bool {
		x, y := candidates[a], candidates[b]
		return v.lossPerRank(x) < v.lossPerRank(y)
	})
	for _, h := range candidates {
		t := &v.running[h.task]
		free += h.ranks * t.Job.Accelerators
		slots += h.ranks
		o.victims = append(o.victims, h.task)
		o.loss += t.loss
		if o.seat.tasks = min(tasks, v.limit(n, j, free, slots)); o.seat.tasks >= tasks {
			break
		}
	}
	return v.prune(n, j, o, free, slots)
}

// prune drops victims that are not needed for the seats of the offer, the
// most costly first.
func (v *view) prune(n *node, j *request, o offer, free, slots int) offer {
	for i := len(o.victims) - 1; i >= 0; i-- {
		t := &v.running[o.victims[i]]
		ranks := n.ranks(o.victims[i])
		f, s := free-ranks*t.Job.Accelerators, slots-ranks
		if min(o.seat.tasks, v.limit(n, j, f, s)) < o.seat.tasks {
			continue
		}
		free, slots = f, s
		o.loss -= t.loss
		o.victims = append(o.victims[:i:i], o.victims[i+1:]...)
	}
	return o
}

func (n *node) ranks(task int) int {
	for _, h := range n.hosted {
		if h.task == task {
			return h.ranks
		}
	}
	return 0
}

func (v *view) lossPerRank(h hosted) float64 {
	t := &v.running[h.task]
	return t.loss / float64(h.ranks*max(1, t.Job.Accelerators))
}

// execute marks the victims as stopping, claims the seats for the job and
// returns the preemptions.
func (v *view) execute(j *request, p plan, reason string) []Action {
	var actions []Action
	for _, i := range p.victims {
		t := &v.running[i]
		t.gone = true
		for _, name := range t.Workers {
			if n, ok := v.byName[name]; ok {
				v.nodes[n].coming += t.Job.Accelerators
				v.nodes[n].comingSlots++
			}
		}
		actions = append(actions, Action{Preempt: &Preempt{JobID: t.Job.ID, Reason: reason}})
	}
	v.placed = append(v.placed, v.started(j, p.seats))
	for _, s := range p.seats {
		v.claim(&v.nodes[s.node], j, s.tasks)
	}
	return actions
}

// claim keeps room on the node for a job that cannot start yet.
func (v *view) claim(n *node, j *request, tasks int) {
	count := tasks * j.Accelerators
	late := min(count, n.coming)
	lateSlots := min(tasks, n.comingSlots)
	n.coming -= late
	n.comingSlots -= lateSlots
	n.free -= count - late
	n.slots -= tasks - lateSlots
	if !j.lent {
		n.update(n.part(j.customer), count, tasks, 0, 0)
	}
	n.part(j.customer).used += count
	v.tallies[j.customer].usage += count
}

// entitled reports whether the job fits what is guaranteed to its customer
// beside what the customer already uses.
func (v *view) entitled(j *request) bool {
	t := &v.tallies[j.customer]
	return j.Accelerators > 0 && t.usage+j.Tasks*j.Accelerators <= t.guaranteed
}

// lentTo reports whether the task borrows what the node holds for the customer.
func (v *view) lentTo(customer int) allow {
	return func(n *node, t *task) bool {
		return t.lent && t.customer != customer && n.find(customer).held > 0
	}
}
