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

// searchSteps bounds the search of Reclaimable. Small configurations need a
// few hundred steps; 620 workers with 100 shapes need about 60,000.
const searchSteps = 2_000_000

// Reclaimable returns nil if all guaranteed shapes of the state can be given
// to their customers at once.
//
// It searches an assignment of shapes to workers and racks from the state
// alone. An accelerator serves a shape if it is free on a worker in use, is
// used by the shape's own customer, or is lent to work that stops within the
// guarantee's reclaim time. Shapes wider than a worker consist of whole
// workers and one rest. Each part of a shape on a worker needs one slot.
func Reclaimable(s *State) error {
	return search(s, searchSteps)
}

func search(s *State, limit int) error {
	c := newCheck(s)
	c.limit = limit
	if c.assign(0) {
		return nil
	}
	if c.steps >= limit {
		return Error.New("no assignment of the guaranteed shapes found in %d steps", limit)
	}
	g := c.parts[c.deepest].guarantee
	return Error.New("guarantee %s of %s cannot be met beside the others", g.Name, g.Customer)
}

// check is the search for an assignment.
type check struct {
	workers []supply
	racks   [][]int
	parts   []demand
	chosen  []int // worker of each part
	steps   int
	limit   int
	deepest int
}

// supply is what one worker can give.
type supply struct {
	rack    int
	usable  bool
	free    amount
	used    []use
	demands []*demand
	most    int // accelerators of the worker
}

type amount struct {
	accelerators int
	slots        int
}

// use is the work of one customer on a worker that stops in the same time.
type use struct {
	customer string
	stop     time.Duration
	amount   amount
}

// demand is the part of a shape that one worker serves.
type demand struct {
	guarantee    *Guarantee
	accelerators int
	group        int // parts of one rack shape have the same group
	first        bool
	lead         int // accelerators of the largest part of the shape
}

func newCheck(s *State) *check {
	c := &check{workers: make([]supply, len(s.Workers))}
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
			rack:   r,
			usable: w.Ready && !w.SetAside && !w.Probing,
			free:   amount{w.Accelerators, w.Slots},
			most:   w.Accelerators,
		}
	}
	for i := range s.Running {
		r := &s.Running[i]
		for _, name := range r.Workers {
			if w, ok := byName[name]; ok {
				c.workers[w].add(&r.Job)
			}
		}
	}
	c.addDemands(s)
	return c
}

func (w *supply) add(j *Job) {
	stop := time.Duration(math.MaxInt64)
	if j.Checkpointable {
		stop = j.StopTime
	}
	w.free.accelerators -= j.Accelerators
	w.free.slots--
	for i := range w.used {
		if w.used[i].customer == j.Customer && w.used[i].stop == stop {
			w.used[i].amount.accelerators += j.Accelerators
			w.used[i].amount.slots++
			return
		}
	}
	w.used = append(w.used, use{j.Customer, stop, amount{j.Accelerators, 1}})
}

// addDemands cuts the guarantees into parts, those with the fewest places first.
func (c *check) addDemands(s *State) {
	size := 0
	for i := range c.workers {
		size = max(size, c.workers[i].most)
	}
	group := 0
	for i := range s.Guarantees {
		g := &s.Guarantees[i]
		for range g.Count {
			group++
			left := g.Accelerators
			for first := true; left > 0; first = false {
				chunk := left
				if g.Adjacency != SameWorker && size > 0 {
					chunk = min(left, size)
				}
				d := demand{guarantee: g, accelerators: chunk, lead: min(g.Accelerators, size), first: first}
				if g.Adjacency == SameRack && g.Accelerators > size {
					d.group = group
				}
				c.parts = append(c.parts, d)
				left -= chunk
			}
		}
	}
	sort.SliceStable(c.parts, func(a, b int) bool {
		x, y := &c.parts[a], &c.parts[b]
		switch {
		case (x.group > 0) != (y.group > 0):
			return x.group > 0
		case x.group > 0:
			return x.lead > y.lead
		default:
			return x.accelerators > y.accelerators
		}
	})
	c.chosen = make([]int, len(c.parts))
}

// assign places the parts from index i on.
func (c *check) assign(i int) bool {
	if i == len(c.parts) {
		return true
	}
	c.deepest = max(c.deepest, i)
	d := &c.parts[i]
	domain := len(c.workers)
	var rack []int
	if d.group > 0 && !d.first {
		rack = c.racks[c.workers[c.chosen[i-1]].rack]
		domain = len(rack)
	}
	var failed []int
	for k := c.start(i, rack); k < domain; k++ {
		w := k
		if rack != nil {
			w = rack[k]
		}
		if c.steps++; c.steps >= c.limit {
			return false
		}
		if c.repeats(d, w, failed) || !c.workers[w].push(d) {
			continue
		}
		c.chosen[i] = w
		if c.assign(i + 1) {
			return true
		}
		c.workers[w].pop()
		failed = append(failed, w)
	}
	return false
}

// start skips workers before the one of an equal part, since exchanging the
// two parts gives the same assignment.
func (c *check) start(i int, rack []int) int {
	if i == 0 {
		return 0
	}
	d, before := &c.parts[i], &c.parts[i-1]
	if before.guarantee != d.guarantee || before.accelerators != d.accelerators || before.group != d.group {
		return 0
	}
	if rack != nil {
		return slices.Index(rack, c.chosen[i-1])
	}
	return c.chosen[i-1]
}

// repeats reports whether the part failed on an equal worker already. Equal
// workers of different racks differ for shapes wider than a worker.
func (c *check) repeats(d *demand, w int, failed []int) bool {
	for _, f := range failed {
		if (d.group == 0 || c.workers[f].rack == c.workers[w].rack) && c.workers[f].equal(&c.workers[w]) {
			return true
		}
	}
	return false
}

// equal reports whether two workers can give the same.
func (w *supply) equal(o *supply) bool {
	return w.usable == o.usable && w.free == o.free && slices.Equal(w.used, o.used) &&
		slices.EqualFunc(w.demands, o.demands, func(a, b *demand) bool {
			return a.guarantee == b.guarantee && a.accelerators == b.accelerators
		})
}

// push adds the demand if the worker can then serve all its demands.
func (w *supply) push(d *demand) bool {
	w.demands = append(w.demands, d)
	if w.serves() {
		return true
	}
	w.pop()
	return false
}

func (w *supply) pop() {
	w.demands = w.demands[:len(w.demands)-1]
}

// serves applies Hall's condition: every subset of the holders on the worker
// finds as much as it needs among what any of its members can use.
func (w *supply) serves() bool {
	var holders []*Guarantee
	var needs []amount
	for _, d := range w.demands {
		at := -1
		for i, g := range holders {
			if g == d.guarantee {
				at = i
			}
		}
		if at < 0 {
			at = len(holders)
			holders = append(holders, d.guarantee)
			needs = append(needs, amount{})
		}
		needs[at].accelerators += d.accelerators
		needs[at].slots++
	}
	for subset := 1; subset < 1<<len(holders); subset++ {
		var need, have amount
		for i := range holders {
			if subset&(1<<i) != 0 {
				need.accelerators += needs[i].accelerators
				need.slots += needs[i].slots
			}
		}
		if w.usable {
			have = w.free
		}
		for _, u := range w.used {
			if w.anyCanUse(holders, subset, u) {
				have.accelerators += u.amount.accelerators
				have.slots += u.amount.slots
			}
		}
		if have.accelerators < need.accelerators || have.slots < need.slots {
			return false
		}
	}
	return true
}

func (w *supply) anyCanUse(holders []*Guarantee, subset int, u use) bool {
	for i, g := range holders {
		if subset&(1<<i) == 0 {
			continue
		}
		if g.Customer == u.customer || w.usable && u.stop <= g.ReclaimWithin {
			return true
		}
	}
	return false
}
