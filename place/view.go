package place

import (
	"math"
	"time"
)

// view is the working copy of a State during one decision. It also counts what
// the actions of the decision use.
type view struct {
	state           *State
	now             time.Time
	nodes           []node         // by index in state.Workers
	byName          map[string]int // index in nodes by worker name
	racks           []rack
	allNodes        []int          // indexes of all nodes
	customerIndexes map[string]int // index in totals by customer name
	totals          []customerTotals
	// minReclaim is the shortest reclaim time of all guarantees, nextReclaim
	// the shortest one of customers other than minReclaimCustomer. A borrower
	// must stop within the shortest reclaim time of the other customers.
	minReclaim         time.Duration
	nextReclaim        time.Duration
	minReclaimCustomer string
	// capacityLeft is how many accelerators new jobs may use while a data
	// centre returns to service, capacitySlotsLeft how many slots.
	capacityLeft      int
	capacitySlotsLeft int
	// shapeUnassigned is set if the greedy assignment has found no nodes for
	// some guaranteed shape.
	shapeUnassigned bool
	// needsSearch is set if an assignment of all shapes exists that the greedy
	// one missed; placements are then checked by search.
	needsSearch bool
	// placed holds the jobs that were placed or had workers claimed for them.
	placed           []Running
	reassignments    int       // searches by fitReassigned
	reservationStart time.Time // for the reserved nodes
	backfillSlack    float64   // Options.BackfillSlack
	largeJobSize     int       // Options.LargeJobSize
	running          []runningJob
}

// node is one worker with its free capacity and the customers' claims to it.
type node struct {
	worker    *Worker
	index     int // in view.nodes
	rack      int // index in view.racks
	usable    bool
	free      int // accelerators
	freeSlots int
	tasks     int
	// releasing is how many accelerators stopping jobs still use, less those
	// claimed for waiting jobs; releasingSlots counts slots likewise. They are
	// not part of free and freeSlots.
	releasing      int
	releasingSlots int
	claims         []claim
	// committed is how many accelerators are pinned or guaranteed: the sum over
	// the claims of the larger of both. committedSlots counts slots likewise.
	committed      int
	committedSlots int
	hosted         []hostedJob
	tentative      int // accelerators chosen for the shape that is being assigned
	// On a reserved node, new jobs must end before the reservation starts or
	// fit into spare, the accelerators that the reservation leaves free.
	reserved bool
	spare    int
}

// claim is what one customer uses of a node and what is guaranteed to it there.
type claim struct {
	customer        int // index in view.totals
	used            int // accelerators used by all its jobs
	pinned          int // accelerators used by jobs that cannot be stopped in time for a reclaim
	pinnedSlots     int
	guaranteed      int // accelerators of its shapes that are assigned to the node
	guaranteedSlots int
}

// hostedJob is the part of a running job on one node.
type hostedJob struct {
	job   int // index in view.running
	tasks int
}

// rack is one rack with the free accelerators of its usable nodes.
type rack struct {
	nodes []int
	free  int
}

// runningJob is a running job with its properties for this decision.
type runningJob struct {
	*Running
	customer    int     // index in view.totals
	borrower    bool    // see view.canBorrow
	preempted   bool    // in this decision
	loss        float64 // accelerator-seconds of work that a preemption discards
	expectedEnd time.Time
}

// customerTotals holds the sums over the data centre, in accelerators, and the
// settings of one customer.
type customerTotals struct {
	name       string
	usage      int
	quota      int // 0 means no limit
	weight     float64
	guaranteed int
}

// queuedJob is a queued job with its properties for this decision.
type queuedJob struct {
	*Job
	customer int  // index in view.totals
	borrower bool // see view.canBorrow
	tier     tier
	score    float64 // see decision.score
}

// noLimit stands for a capacity without a limit.
const noLimit = math.MaxInt / 4

func newView(s *State, now time.Time) *view {
	v := &view{
		state:           s,
		now:             now,
		nodes:           make([]node, len(s.Workers)),
		byName:          make(map[string]int, len(s.Workers)),
		customerIndexes: make(map[string]int, len(s.Customers)+8),
	}
	v.addWorkers()
	v.addCustomers()
	v.addRunning()
	v.assignShapes()
	return v
}

func (v *view) addWorkers() {
	rackIndex := make(map[string]int)
	totalAccelerators, totalSlots := 0, 0
	for i := range v.state.Workers {
		w := &v.state.Workers[i]
		r, ok := rackIndex[w.Rack]
		if !ok {
			r = len(v.racks)
			rackIndex[w.Rack] = r
			v.racks = append(v.racks, rack{})
		}
		v.byName[w.Name] = i
		v.allNodes = append(v.allNodes, i)
		v.racks[r].nodes = append(v.racks[r].nodes, i)
		usable := w.Ready && !w.SetAside
		v.nodes[i] = node{worker: w, index: i, rack: r, usable: usable, free: w.Accelerators, freeSlots: w.Slots}
		if usable {
			v.racks[r].free += w.Accelerators
		}
		totalAccelerators += w.Accelerators
		totalSlots += w.Slots
	}
	v.capacityLeft, v.capacitySlotsLeft = noLimit, noLimit
	if share := v.state.CapacityShare; share < 1 {
		v.capacityLeft = int(share * float64(totalAccelerators))
		v.capacitySlotsLeft = int(share * float64(totalSlots))
	}
}

func (v *view) addCustomers() {
	for _, c := range v.state.Customers {
		t := &v.totals[v.customerIndex(c.Name)]
		t.quota = c.Quota
		if c.Weight > 0 {
			t.weight = c.Weight
		}
	}
	v.minReclaim, v.nextReclaim = math.MaxInt64, math.MaxInt64
	for i := range v.state.Guarantees {
		g := &v.state.Guarantees[i]
		v.totals[v.customerIndex(g.Customer)].guaranteed += g.Accelerators * g.Count
		v.addReclaimTime(g)
	}
}

// addReclaimTime updates minReclaim and nextReclaim by the guarantee.
func (v *view) addReclaimTime(g *Guarantee) {
	switch {
	case g.ReclaimWithin < v.minReclaim:
		if g.Customer != v.minReclaimCustomer {
			v.nextReclaim = v.minReclaim
		}
		v.minReclaim, v.minReclaimCustomer = g.ReclaimWithin, g.Customer
	case g.Customer != v.minReclaimCustomer:
		v.nextReclaim = min(v.nextReclaim, g.ReclaimWithin)
	}
}

// customerIndex returns the index of the customer in totals, and adds the
// customer if it is new.
func (v *view) customerIndex(name string) int {
	i, ok := v.customerIndexes[name]
	if !ok {
		i = len(v.totals)
		v.customerIndexes[name] = i
		v.totals = append(v.totals, customerTotals{name: name, weight: 1})
	}
	return i
}

// canBorrow reports whether the job may use accelerators that are guaranteed to
// other customers: it can be checkpointed and stopped within the reclaim times
// of all of them.
func (v *view) canBorrow(j *Job) bool {
	limit := v.minReclaim
	if j.Customer == v.minReclaimCustomer {
		limit = v.nextReclaim
	}
	return j.Checkpointable && j.StopTime <= limit
}

func (v *view) newQueuedJob(j *Job) queuedJob {
	return queuedJob{Job: j, customer: v.customerIndex(j.Customer), borrower: v.canBorrow(j)}
}

func (v *view) addRunning() {
	v.running = make([]runningJob, len(v.state.Running))
	for i := range v.state.Running {
		r := &v.state.Running[i]
		j := &v.running[i]
		*j = runningJob{Running: r, customer: v.customerIndex(r.Job.Customer), borrower: v.canBorrow(&r.Job)}
		j.loss = lostWork(r, v.now)
		j.expectedEnd = expectedEnd(r, v.now)
		for _, name := range r.Workers {
			if n, ok := v.byName[name]; ok {
				v.addTask(&v.nodes[n], j, i)
			}
		}
	}
}

// addTask allocates one task of the running job on the node. The index is that of
// the job in v.running.
func (v *view) addTask(n *node, r *runningJob, index int) {
	j := queuedJob{Job: &r.Job, customer: r.customer, borrower: r.borrower}
	v.allocate(n, &j, 1)
	if r.Stopping {
		n.releasing += r.Job.Accelerators
		n.releasingSlots++
	}
	if last := len(n.hosted) - 1; last >= 0 && n.hosted[last].job == index {
		n.hosted[last].tasks++
		return
	}
	n.hosted = append(n.hosted, hostedJob{job: index, tasks: 1})
}

// lostWork returns the work in accelerator-seconds that a preemption discards:
// the run time beyond CheckpointedWork and the time of the stop.
func lostWork(r *Running, now time.Time) float64 {
	unsaved := max(0, now.Sub(r.Started)-r.CheckpointedWork)
	return (unsaved + r.Job.StopTime).Seconds() * float64(r.Job.Tasks*max(1, r.Job.Accelerators))
}

// allocate subtracts tasks of a job from the free capacity of a node and adds
// them to the usage of the job's customer.
func (v *view) allocate(n *node, j *queuedJob, tasks int) {
	count := tasks * j.Accelerators
	n.free -= count
	n.freeSlots -= tasks
	n.tasks += tasks
	if n.reserved && !v.mayBackfill(j) {
		n.spare -= count
	}
	if n.usable {
		v.racks[n.rack].free -= count
	}
	v.capacityLeft -= count
	v.capacitySlotsLeft -= tasks
	v.totals[j.customer].usage += count
	c := n.ensureClaim(j.customer)
	c.used += count
	if j.borrower {
		return
	}
	n.updateClaim(c, count, tasks, 0, 0)
}

// ensureClaim returns the claim of a customer on the node, and adds it if there
// is none.
func (n *node) ensureClaim(customer int) *claim {
	for i := range n.claims {
		if n.claims[i].customer == customer {
			return &n.claims[i]
		}
	}
	n.claims = append(n.claims, claim{customer: customer})
	return &n.claims[len(n.claims)-1]
}

// claimOf returns a copy of the claim of a customer on the node, without adding
// one.
func (n *node) claimOf(customer int) claim {
	for _, c := range n.claims {
		if c.customer == customer {
			return c
		}
	}
	return claim{}
}

// updateClaim adds the given amounts to the claim and updates the committed
// sums of the node.
func (n *node) updateClaim(c *claim, pinned, pinnedSlots, guaranteed, guaranteedSlots int) {
	n.committed -= max(c.pinned, c.guaranteed)
	n.committedSlots -= max(c.pinnedSlots, c.guaranteedSlots)
	c.pinned += pinned
	c.pinnedSlots += pinnedSlots
	c.guaranteed += guaranteed
	c.guaranteedSlots += guaranteedSlots
	n.committed += max(c.pinned, c.guaranteed)
	n.committedSlots += max(c.pinnedSlots, c.guaranteedSlots)
}

// allowance returns how many more accelerators and slots of the node may be
// pinned by the customer without taking what is guaranteed to others.
func (n *node) allowance(customer int) (accelerators, slots int) {
	c := n.claimOf(customer)
	accelerators = n.worker.Accelerators - n.committed + max(0, c.guaranteed-c.pinned)
	slots = n.worker.Slots - n.committedSlots + max(0, c.guaranteedSlots-c.pinnedSlots)
	return max(0, accelerators), max(0, slots)
}
