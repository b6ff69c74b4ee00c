package admit

import "container/heap"

// class sorts a customer's items; urgent ones go first.
type class int

const (
	urgent class = iota
	normal
	classes
)

// node is one waiting item in its customer's list.
type node[T any] struct {
	item       Item[T]
	cost       float64 // accelerator seconds
	flow       *flow[T]
	prev, next *node[T]
}

// list is a doubly linked list, so that removal needs no scan.
type list[T any] struct {
	head, tail *node[T]
	cost       float64
}

func (l *list[T]) pushBack(n *node[T]) {
	n.prev = l.tail
	if l.tail == nil {
		l.head = n
	} else {
		l.tail.next = n
	}
	l.tail = n
	l.cost += n.cost
}

func (l *list[T]) pushFront(n *node[T]) {
	n.next = l.head
	if l.head == nil {
		l.tail = n
	} else {
		l.head.prev = n
	}
	l.head = n
	l.cost += n.cost
}

func (l *list[T]) remove(n *node[T]) {
	if n.prev == nil {
		l.head = n.next
	} else {
		n.prev.next = n.next
	}
	if n.next == nil {
		l.tail = n.prev
	} else {
		n.next.prev = n.prev
	}
	n.prev, n.next = nil, nil
	l.cost -= n.cost
	if l.head == nil {
		l.cost = 0 // drops the rounding error of the sums
	}
}

// flow is the waiting work of one customer.
type flow[T any] struct {
	name   string
	weight float64
	limit  int
	count  int
	// start is the virtual time at which the customer's next item starts.
	start float64
	// turn breaks ties by the order in which customers became active.
	turn  uint64
	lists [classes]list[T]
	// position in the lane of all customers (normal) and of those with urgent
	// items (urgent); -1 when absent.
	position [classes]int
}

func (f *flow[T]) first() class {
	if f.lists[urgent].head != nil {
		return urgent
	}
	return normal
}

func (f *flow[T]) head() *node[T] {
	return f.lists[f.first()].head
}

func (f *flow[T]) cost() float64 {
	return f.lists[urgent].cost + f.lists[normal].cost
}

// lane is a heap of customers by virtual start time.
type lane[T any] struct {
	class class
	flows []*flow[T]
}

func (l *lane[T]) Len() int { return len(l.flows) }

func (l *lane[T]) Less(i, j int) bool {
	a, b := l.flows[i], l.flows[j]
	if a.start != b.start {
		return a.start < b.start
	}
	return a.turn < b.turn
}

func (l *lane[T]) Swap(i, j int) {
	l.flows[i], l.flows[j] = l.flows[j], l.flows[i]
	l.flows[i].position[l.class] = i
	l.flows[j].position[l.class] = j
}

func (l *lane[T]) Push(x any) {
	f := x.(*flow[T])
	f.position[l.class] = len(l.flows)
	l.flows = append(l.flows, f)
}

func (l *lane[T]) Pop() any {
	last := len(l.flows) - 1
	f := l.flows[last]
	l.flows[last] = nil
	l.flows = l.flows[:last]
	f.position[l.class] = -1
	return f
}

// set adds, moves or removes the customer according to its start time.
func (l *lane[T]) set(f *flow[T], present bool) {
	position := f.position[l.class]
	switch {
	case present && position < 0:
		heap.Push(l, f)
	case present:
		heap.Fix(l, position)
	case position >= 0:
		heap.Remove(l, position)
	}
}

// order is start-time fair queueing between customers: the customer with the
// lowest virtual start time goes first, and each served item advances that time
// by cost/weight. Costs are charged when an item is served, not when it
// arrives, so that cancelled items cost their customer nothing.
//
// Urgent items overtake other customers within two bounds. The share counts
// items, so that one large urgent job does not close the lane to the urgent
// work of others. The lead counts cost for each customer, so that a flood of
// urgent work gets no more than the customer's fair share in the long run.
type order[T any] struct {
	all, urgent lane[T]
	now         float64 // virtual time: no active customer starts before it
	latest      float64 // largest start time given out
	credit      float64 // items that may overtake now
	gain        float64 // credit for each item served in its turn
	burst       float64 // largest credit
	lead        float64 // furthest that a customer may be ahead and still overtake
}

// next returns the customer to serve and whether it overtakes others.
func (o *order[T]) next() (f *flow[T], overtakes bool) {
	if len(o.all.flows) == 0 {
		return nil, false
	}
	first := o.all.flows[0]
	if len(o.urgent.flows) == 0 || o.credit < 1 {
		return first, false
	}
	candidate := o.urgent.flows[0]
	if candidate == first || candidate.start > first.start+o.lead {
		return first, false
	}
	return candidate, true
}

// charge accounts for a served item of the customer.
func (o *order[T]) charge(f *flow[T], cost float64, overtakes bool) {
	if overtakes {
		o.credit = max(0, o.credit-1)
	} else {
		o.credit = min(o.burst, o.credit+o.gain)
	}
	o.move(f, cost)
}

// move shifts the customer's start time; credit from earlier time is not kept.
func (o *order[T]) move(f *flow[T], cost float64) {
	f.start = max(f.start+cost/f.weight, o.now)
	o.latest = max(o.latest, f.start)
}

// settle restores both lanes after a change of the customer's lists or start time.
func (o *order[T]) settle(f *flow[T]) {
	o.all.set(f, f.head() != nil)
	o.urgent.set(f, f.lists[urgent].head != nil)
	if len(o.all.flows) > 0 {
		o.now = max(o.now, o.all.flows[0].start)
		return
	}
	// Nobody waits, so nobody was held back: past use is forgotten.
	o.now = max(o.now, o.latest)
}

// clone copies the order with its customers; lists are shared and read-only.
func (o *order[T]) clone() *order[T] {
	c := *o
	flows := make([]flow[T], len(o.all.flows))
	c.all.flows = make([]*flow[T], len(o.all.flows))
	for i, f := range o.all.flows {
		flows[i] = *f
		c.all.flows[i] = &flows[i]
	}
	c.urgent.flows = make([]*flow[T], len(o.urgent.flows))
	for i, f := range o.urgent.flows {
		c.urgent.flows[i] = c.all.flows[f.position[normal]]
	}
	return &c
}

// step serves the next item of a clone, without a change to the lists.
func (o *order[T]) step() *node[T] {
	f, overtakes := o.next()
	if f == nil {
		return nil
	}
	list := &f.lists[f.first()]
	n := list.head
	list.head = n.next
	o.charge(f, n.cost, overtakes)
	o.settle(f)
	return n
}
