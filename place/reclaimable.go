package place

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of the errors of this package.
var Error = errs.Class("place")

// maxReclaimableSteps bounds the search of Reclaimable. Small configurations need
// a few hundred steps; 620 workers with 100 shapes need about 60,000.
const maxReclaimableSteps = 2_000_000

// Reclaimable returns nil if all guaranteed shapes of the state can be provided
// to their customers at the same time. It returns an error if they can't, or if
// the search exceeds maxReclaimableSteps.
//
// It searches for an assignment of shapes to workers and racks from the state
// alone. An accelerator can be assigned to a shape if it is free, is used by
// the shape's own customer, or is borrowed by a job that stops within the
// guarantee's reclaim time. On workers that are not ready, set aside or probing,
// only what the customer itself uses counts. Shapes larger than a worker consist
// of whole workers and a rest. Each part of a shape on a worker needs one slot.
func Reclaimable(s *State) error {
	return findAssignment(s, maxReclaimableSteps)
}

// findAssignment searches for an assignment of all guaranteed shapes in at most
// maxSteps steps. If there is none, the error names the guarantee at which the
// search got stuck.
func findAssignment(s *State, maxSteps int) error {
	c := newAssignmentChecker(s)
	c.maxSteps = maxSteps
	if c.assign(0) {
		return nil
	}
	if c.steps >= maxSteps {
		return Error.New("no assignment of the guaranteed shapes found in %d steps", maxSteps)
	}
	g := c.demands[c.deepest].guarantee
	return Error.New("guarantee %s of %s cannot be met beside the others", g.Name, g.Customer)
}

// assignmentChecker searches for an assignment of shapes to workers by
// backtracking.
type assignmentChecker struct {
	workers       []supply
	racks         [][]int // indexes in workers, by rack
	demands       []demand
	chosenWorkers []int // worker of each demand
	steps         int
	maxSteps      int
	deepest       int // the highest index of a demand that was tried
}

// supply is the capacity of one worker, with what runs on it and the demands
// assigned to it.
type supply struct {
	rack         int  // index in assignmentChecker.racks
	usable       bool // ready, not set aside and not probing
	free         resources
	used         []usage
	demands      []*demand // assigned to the worker
	accelerators int       // free and used ones
}

// resources is an amount of accelerators and slots of a worker.
type resources struct {
	accelerators int
	slots        int
}

// usage is what the jobs of one customer with the same stop time use on a
// worker.
type usage struct {
	customer  string
	stopTime  time.Duration // the largest Duration if the jobs can't be checkpointed
	resources resources
}

// demand is the part of a guaranteed shape that is assigned to one worker, like
// shapeChunk in the greedy assignment.
type demand struct {
	guarantee    *Guarantee
	accelerators int
	group        int  // the same for the parts of one rack shape larger than a worker, else 0
	first        bool // the first part of its shape, which may take any rack
	largestChunk int  // accelerators of the largest part of the shape
}

func newAssignmentChecker(s *State) *assignmentChecker {
	c := &assignmentChecker{workers: make([]supply, len(s.Workers))}
	rackIndex := make(map[string]int)
	byName := make(map[string]int)
	for i, w := range s.Workers {
		r, ok := rackIndex[w.Rack]
		if !ok {
			r = len(c.racks)
			rackIndex[w.Rack] = r
			c.racks = append(c.racks, nil)
		}
		c.racks[r] = append(c.racks[r], i)
		byName[w.Name] = i
		c.workers[i] = supply{
			rack:         r,
			usable:       w.Ready && !w.SetAside && !w.Probing,
			free:         resources{w.Accelerators, w.Slots},
			accelerators: w.Accelerators,
		}
	}
	for i := range s.Running {
		r := &s.Running[i]
		for _, name := range r.Workers {
			if w, ok := byName[name]; ok {
				c.workers[w].addTask(&r.Job)
			}
		}
	}
	c.addDemands(s)
	return c
}

// addTask subtracts a task of the job from the free resources and adds it to the
// usage of the customer.
func (w *supply) addTask(j *Job) {
	stopTime := time.Duration(math.MaxInt64)
	if j.Checkpointable {
		stopTime = j.StopTime
	}
	w.free.accelerators -= j.Accelerators
	w.free.slots--
	for i := range w.used {
		if w.used[i].customer == j.Customer && w.used[i].stopTime == stopTime {
			w.used[i].resources.accelerators += j.Accelerators
			w.used[i].resources.slots++
			return
		}
	}
	w.used = append(w.used, usage{j.Customer, stopTime, resources{j.Accelerators, 1}})
}

// addDemands cuts the guaranteed shapes into parts and sorts these so that those
// that fit on the fewest workers come first.
func (c *assignmentChecker) addDemands(s *State) {
	largestWorker := 0
	for i := range c.workers {
		largestWorker = max(largestWorker, c.workers[i].accelerators)
	}
	group := 0
	for i := range s.Guarantees {
		g := &s.Guarantees[i]
		for range g.Count {
			group++
			left := g.Accelerators
			for first := true; left > 0; first = false {
				part := left
				if g.Adjacency != SameWorker && largestWorker > 0 {
					part = min(left, largestWorker)
				}
				d := demand{guarantee: g, accelerators: part, largestChunk: min(g.Accelerators, largestWorker), first: first}
				if g.Adjacency == SameRack && g.Accelerators > largestWorker {
					d.group = group
				}
				c.demands = append(c.demands, d)
				left -= part
			}
		}
	}
	sort.SliceStable(c.demands, func(a, b int) bool {
		x, y := &c.demands[a], &c.demands[b]
		switch {
		case (x.group > 0) != (y.group > 0):
			return x.group > 0
		case x.group > 0:
			return x.largestChunk > y.largestChunk
		default:
			return x.accelerators > y.accelerators
		}
	})
	c.chosenWorkers = make([]int, len(c.demands))
}

// assign assigns the demands from index i on to workers, and reports whether it
// found workers for all.
func (c *assignmentChecker) assign(i int) bool {
	if i == len(c.demands) {
		return true
	}
	c.deepest = max(c.deepest, i)
	d := &c.demands[i]
	candidates := len(c.workers)
	var rack []int
	if d.group > 0 && !d.first {
		rack = c.racks[c.workers[c.chosenWorkers[i-1]].rack]
		candidates = len(rack)
	}
	var failed []int
	for k := c.firstCandidate(i, rack); k < candidates; k++ {
		w := k
		if rack != nil {
			w = rack[k]
		}
		if c.steps++; c.steps >= c.maxSteps {
			return false
		}
		if c.failedOnEquivalent(d, w, failed) || !c.workers[w].addDemand(d) {
			continue
		}
		c.chosenWorkers[i] = w
		if c.assign(i + 1) {
			return true
		}
		c.workers[w].removeDemand()
		failed = append(failed, w)
	}
	return false
}

// firstCandidate returns the index from which assign tries workers for demand i.
// It skips the workers before the one of an equal previous demand, since
// exchanging the two would give the same assignment.
func (c *assignmentChecker) firstCandidate(i int, rack []int) int {
	if i == 0 {
		return 0
	}
	d, previous := &c.demands[i], &c.demands[i-1]
	if previous.guarantee != d.guarantee || previous.accelerators != d.accelerators || previous.group != d.group {
		return 0
	}
	if rack != nil {
		return slices.Index(rack, c.chosenWorkers[i-1])
	}
	return c.chosenWorkers[i-1]
}

// failedOnEquivalent reports whether the demand has failed on an equivalent worker
// already. For rack shapes larger than a worker, workers of different racks are
// not equivalent.
func (c *assignmentChecker) failedOnEquivalent(d *demand, w int, failed []int) bool {
	for _, f := range failed {
		if (d.group == 0 || c.workers[f].rack == c.workers[w].rack) && c.workers[f].equivalent(&c.workers[w]) {
			return true
		}
	}
	return false
}

// equivalent reports whether two workers can satisfy the same further demands.
func (w *supply) equivalent(other *supply) bool {
	return w.usable == other.usable && w.free == other.free && slices.Equal(w.used, other.used) &&
		slices.EqualFunc(w.demands, other.demands, func(a, b *demand) bool {
			return a.guarantee == b.guarantee && a.accelerators == b.accelerators
		})
}

// addDemand adds the demand if the worker can then satisfy all its demands, and
// reports whether it did.
func (w *supply) addDemand(d *demand) bool {
	w.demands = append(w.demands, d)
	if w.satisfiable() {
		return true
	}
	w.removeDemand()
	return false
}

// removeDemand removes the demand that was added last.
func (w *supply) removeDemand() {
	w.demands = w.demands[:len(w.demands)-1]
}

// satisfiable reports whether the worker satisfies its demands. It applies Hall's
// condition: every subset of the guarantees with demands needs at most what its
// members can use together.
func (w *supply) satisfiable() bool {
	var guarantees []*Guarantee
	var needs []resources
	for _, d := range w.demands {
		index := -1
		for i, g := range guarantees {
			if g == d.guarantee {
				index = i
			}
		}
		if index < 0 {
			index = len(guarantees)
			guarantees = append(guarantees, d.guarantee)
			needs = append(needs, resources{})
		}
		needs[index].accelerators += d.accelerators
		needs[index].slots++
	}
	for subset := 1; subset < 1<<len(guarantees); subset++ {
		var need, available resources
		for i := range guarantees {
			if subset&(1<<i) != 0 {
				need.accelerators += needs[i].accelerators
				need.slots += needs[i].slots
			}
		}
		if w.usable {
			available = w.free
		}
		for _, u := range w.used {
			if w.anyCanUse(guarantees, subset, u) {
				available.accelerators += u.resources.accelerators
				available.slots += u.resources.slots
			}
		}
		if available.accelerators < need.accelerators || available.slots < need.slots {
			return false
		}
	}
	return true
}

// anyCanUse reports whether any guarantee of the subset, a bit set of indexes,
// can use what the jobs use now.
func (w *supply) anyCanUse(guarantees []*Guarantee, subset int, u usage) bool {
	for i, g := range guarantees {
		if subset&(1<<i) == 0 {
			continue
		}
		if g.Customer == u.customer || w.usable && u.stopTime <= g.ReclaimWithin {
			return true
		}
	}
	return false
}
