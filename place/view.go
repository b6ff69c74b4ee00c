package place

import (
	"math"
	"time"
)

// view is the working copy of a State during one decision.
type view struct {
	state     *State
	now       time.Time
	nodes     []node
	byName    map[string]int
	racks     []rack
	all       []int // indexes of all nodes
	customers map[string]int
	tallies   []tally
	// minReclaim and nextReclaim are the two shortest reclaim times by
	// different customers; a borrower must stop within the shortest one of
	// the others.
	minReclaim  time.Duration
	nextReclaim time.Duration
	minHolder   string
	// shareLeft and shareSlotsLeft limit new work while the data centre returns.
	shareLeft      int
	shareSlotsLeft int
	unmet          bool // a guaranteed shape has no place in the map
	tight          bool // the map misses an assignment that exists
	placed         []Running
	searches       int
	reservedFrom   time.Time
	slack          float64
	gangSize       int
	running        []task
}

// node is one worker with what is left of it.
type node struct {
	worker *Worker
	index  int
	rack   int
	usable bool
	free   int // accelerators
	slots  int
	tasks  int
	// coming and comingSlots are held by stopping work.
	coming      int
	comingSlots int
	parts       []part
	need        int // accelerators that are locked or held
	needSlots   int
	hosted      []hosted
	taken       int // accelerators of the shape that is being mapped
	// reserved limits new work to what ends in time or fits into spare.
	reserved bool
	spare    int
}

// part is the claim of one customer on a node.
type part struct {
	customer    int
	used        int // accelerators by all its work
	locked      int // accelerators by work that cannot be reclaimed in time
	lockedSlots int
	held        int // accelerators of guaranteed shapes mapped to the node
	heldSlots   int
}

// hosted is the share of one running job in a node.
type hosted struct {
	task  int
	ranks int
}

type rack struct {
	nodes []int
	free  int
}

// task is a running job with its properties for this decision.
type task struct {
	*Running
	customer int
	lent     bool
	gone     bool    // preempted in this decision
	loss     float64 // accelerator-seconds that a preemption throws away
	end      time.Time
}

// tally has the totals of one customer.
type tally struct {
	name       string
	usage      int
	quota      int
	weight     float64
	guaranteed int
}

// request is a queued job with its properties for this decision.
type request struct {
	*Job
	customer int
	lent     bool
	rank     rank
	score    float64
}

const noLimit = math.MaxInt / 4

func newView(s *State, now time.Time) *view {
	v := &view{
		state:     s,
		now:       now,
		nodes:     make([]node, len(s.Workers)),
		byName:    make(map[string]int, len(s.Workers)),
		customers: make(map[string]int, len(s.Customers)+8),
	}
	v.addWorkers()
	v.addCustomers()
	v.addRunning()
	v.mapShapes()
	return v
}

func (v *view) addWorkers() {
	rackIndex := make(map[string]int)
	total, slots := 0, 0
	for i := range v.state.Workers {
		w := &v.state.Workers[i]
		r, ok := rackIndex[w.Rack]
		if !ok {
			r = len(v.racks)
			rackIndex[w.Rack] = r
			v.racks = append(v.racks, rack{})
		}
		v.byName[w.Name] = i
		v.all = append(v.all, i)
		v.racks[r].nodes = append(v.racks[r].nodes, i)
		usable := w.Ready && !w.SetAside
		v.nodes[i] = node{worker: w, index: i, rack: r, usable: usable, free: w.Accelerators, slots: w.Slots}
		if usable {
			v.racks[r].free += w.Accelerators
		}
		total += w.Accelerators
		slots += w.Slots
	}
	v.shareLeft, v.shareSlotsLeft = noLimit, noLimit
	if share := v.state.CapacityShare; share < 1 {
		v.shareLeft = int(share * float64(total))
		v.shareSlotsLeft = int(share * float64(slots))
	}
}

func (v *view) addCustomers() {
	for _, c := range v.state.Customers {
		t := &v.tallies[v.customer(c.Name)]
		t.quota = c.Quota
		if c.Weight > 0 {
			t.weight = c.Weight
		}
	}
	v.minReclaim, v.nextReclaim = math.MaxInt64, math.MaxInt64
	for i := range v.state.Guarantees {
		g := &v.state.Guarantees[i]
		v.tallies[v.customer(g.Customer)].guaranteed += g.Accelerators * g.Count
		v.addReclaimTime(g)
	}
}

func (v *view) addReclaimTime(g *Guarantee) {
	switch {
	case g.ReclaimWithin < v.minReclaim:
		if g.Customer != v.minHolder {
			v.nextReclaim = v.minReclaim
		}
		v.minReclaim, v.minHolder = g.ReclaimWithin, g.Customer
	case g.Customer != v.minHolder:
		v.nextReclaim = min(v.nextReclaim, g.ReclaimWithin)
	}
}

// customer returns the index of a customer, which it adds when it is new.
func (v *view) customer(name string) int {
	i, ok := v.customers[name]
	if !ok {
		i = len(v.tallies)
		v.customers[name] = i
		v.tallies = append(v.tallies, tally{name: name, weight: 1})
	}
	return i
}

// lendable reports whether the job may use what is guaranteed to others.
func (v *view) lendable(j *Job) bool {
	limit := v.minReclaim
	if j.Customer == v.minHolder {
		limit = v.nextReclaim
	}
	return j.Checkpointable && j.StopTime <= limit
}

func (v *view) request(j *Job) request {
	return request{Job: j, customer: v.customer(j.Customer), lent: v.lendable(j)}
}

func (v *view) addRunning() {
	v.running = make([]task, len(v.state.Running))
	for i := range v.state.Running {
		r := &v.state.Running[i]
		t := &v.running[i]
		*t = task{Running: r, customer: v.customer(r.Job.Customer), lent: v.lendable(&r.Job)}
		t.loss = lostWork(r, v.now)
		t.end = expectedEnd(r, v.now)
		for _, name := range r.Workers {
			if n, ok := v.byName[name]; ok {
				v.addRank(&v.nodes[n], t, i)
			}
		}
	}
}

func (v *view) addRank(n *node, t *task, index int) {
	req := request{Job: &t.Job, customer: t.customer, lent: t.lent}
	v.take(n, &req, 1)
	if t.Stopping {
		n.coming += t.Job.Accelerators
		n.comingSlots++
	}
	if last := len(n.hosted) - 1; last >= 0 && n.hosted[last].task == index {
		n.hosted[last].ranks++
		return
	}
	n.hosted = append(n.hosted, hosted{task: index, ranks: 1})
}

// lostWork is the work in accelerator-seconds that a preemption throws away.
func lostWork(r *Running, now time.Time) float64 {
	since := max(0, now.Sub(r.Started)-r.Checkpointed)
	return (since + r.Job.StopTime).Seconds() * float64(r.Job.Tasks*max(1, r.Job.Accelerators))
}

// take books tasks of a job on a node.
func (v *view) take(n *node, j *request, tasks int) {
	count := tasks * j.Accelerators
	n.free -= count
	n.slots -= tasks
	n.tasks += tasks
	if n.reserved && !v.endsBefore(j) {
		n.spare -= count
	}
	if n.usable {
		v.racks[n.rack].free -= count
	}
	v.shareLeft -= count
	v.shareSlotsLeft -= tasks
	v.tallies[j.customer].usage += count
	p := n.part(j.customer)
	p.used += count
	if j.lent {
		return
	}
	n.update(p, count, tasks, 0, 0)
}

// part returns the claim of a customer on the node.
func (n *node) part(customer int) *part {
	for i := range n.parts {
		if n.parts[i].customer == customer {
			return &n.parts[i]
		}
	}
	n.parts = append(n.parts, part{customer: customer})
	return &n.parts[len(n.parts)-1]
}

// find returns the claim of a customer on the node without adding it.
func (n *node) find(customer int) part {
	for _, p := range n.parts {
		if p.customer == customer {
			return p
		}
	}
	return part{}
}

// update changes the claim and keeps the sums of the node.
func (n *node) update(p *part, locked, lockedSlots, held, heldSlots int) {
	n.need -= max(p.locked, p.held)
	n.needSlots -= max(p.lockedSlots, p.heldSlots)
	p.locked += locked
	p.lockedSlots += lockedSlots
	p.held += held
	p.heldSlots += heldSlots
	n.need += max(p.locked, p.held)
	n.needSlots += max(p.lockedSlots, p.heldSlots)
}

// allowance is how many accelerators and slots a customer may lock on the
// node without taking what is guaranteed to others.
func (n *node) allowance(customer int) (accelerators, slots int) {
	p := n.find(customer)
	accelerators = n.worker.Accelerators - n.need + max(0, p.held-p.locked)
	slots = n.worker.Slots - n.needSlots + max(0, p.heldSlots-p.lockedSlots)
	return max(0, accelerators), max(0, slots)
}
