package admit

import "container/heap"

// class sorts a customer's items; urgent ones go first.
type class int

const (
	urgent class = iota
	normal
	classCount
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
	items  int
	// virtualStart is the virtual time at which the customer's next item starts.
	virtualStart float64
	// activation breaks ties by the order in which customers became active.
	activation uint64
	lists      [classCount]list[T]
	// heapIndex in the lane of all customers (normal) and of those with urgent
	// items (urgent); -1 when absent.
	heapIndex [classCount]int
}

func (f *flow[T]) nextClass() class {
	if f.lists[urgent].head != nil {
		return urgent
	}
	return normal
}

func (f *flow[T]) nextNode() *node[T] {
	return f.lists[f.nextClass()].head
}

func (f *flow[T]) totalCost() float64 {
	return f.lists[urgent].cost + f.lists[normal].cost
}

// flowHeap is a heap of customers by virtual start time.
type flowHeap[T any] struct {
	class class
	flows []*flow[T]
}

func (l *flowHeap[T]) Len() int { return len(l.flows) }

func (l *flowHeap[T]) Less(i, j int) bool {
	a, b := l.flows[i], l.flows[j]
	if a.virtualStart != b.virtualStart {
		return a.virtualStart < b.virtualStart
	}
	return a.activation < b.activation
}

func (l *flowHeap[T]) Swap(i, j int) {
	l.flows[i], l.flows[j] = l.flows[j], l.flows[i]
	l.flows[i].heapIndex[l.class] = i
	l.flows[j].heapIndex[l.class] = j
}

func (l *flowHeap[T]) Push(x any) {
	f := x.(*flow[T])
	f.heapIndex[l.class] = len(l.flows)
	l.flows = append(l.flows, f)
}

func (l *flowHeap[T]) Pop() any {
	last := len(l.flows) - 1
	f := l.flows[last]
	l.flows[last] = nil
	l.flows = l.flows[:last]
	f.heapIndex[l.class] = -1
	return f
}

// update adds, moves or removes the customer according to its start time.
func (l *flowHeap[T]) update(f *flow[T], present bool) {
	position := f.heapIndex[l.class]
	switch {
	case present && position < 0:
		heap.Push(l, f)
	case present:
		heap.Fix(l, position)
	case position >= 0:
		heap.Remove(l, position)
	}
}

// fairOrder is start-time fair queueing between customers: the customer with the
// lowest virtual start time goes first, and each served item advances that time
// by cost/weight. Costs are charged when an item is served, not when it
// arrives, so that cancelled items cost their customer nothing.
//
// Urgent items overtake other customers within two bounds. The share counts
// items, so that one large urgent job does not close the lane to the urgent
// work of others. The lead counts cost for each customer, so that a flood of
// urgent work gets no more than the customer's fair share in the long run.
type fairOrder[T any] struct {
	all, urgent     flowHeap[T]
	virtualTime     float64 // virtual time: no active customer starts before it
	maxVirtualStart float64 // largest start time given out
	overtakeCredit  float64 // items that may overtake now
	creditPerItem   float64 // credit for each item served in its turn
	maxCredit       float64 // largest credit
	maxLead         float64 // furthest that a customer may be ahead and still overtake
}

// next returns the customer to serve and whether it overtakes others.
func (o *fairOrder[T]) next() (f *flow[T], overtakes bool) {
	if len(o.all.flows) == 0 {
		return nil, false
	}
	first := o.all.flows[0]
	if len(o.urgent.flows) == 0 || o.overtakeCredit < 1 {
		return first, false
	}
	candidate := o.urgent.flows[0]
	if candidate == first || candidate.virtualStart > first.virtualStart+o.maxLead {
		return first, false
	}
	return candidate, true
}

// charge accounts for a served item of the customer.
func (o *fairOrder[T]) charge(f *flow[T], cost float64, overtakes bool) {
	if overtakes {
		o.overtakeCredit = max(0, o.overtakeCredit-1)
	} else {
		o.overtakeCredit = min(o.maxCredit, o.overtakeCredit+o.creditPerItem)
	}
	o.advanceStart(f, cost)
}

// advanceStart shifts the customer's start time; credit from earlier time is not kept.
func (o *fairOrder[T]) advanceStart(f *flow[T], cost float64) {
	f.virtualStart = max(f.virtualStart+cost/f.weight, o.virtualTime)
	o.maxVirtualStart = max(o.maxVirtualStart, f.virtualStart)
}

// updateHeaps restores both lanes after a change of the customer's lists or start time.
func (o *fairOrder[T]) updateHeaps(f *flow[T]) {
	o.all.update(f, f.nextNode() != nil)
	o.urgent.update(f, f.lists[urgent].head != nil)
	if len(o.all.flows) > 0 {
		o.virtualTime = max(o.virtualTime, o.all.flows[0].virtualStart)
		return
	}
	// Nobody waits, so nobody was held back: past use is forgotten.
	o.virtualTime = max(o.virtualTime, o.maxVirtualStart)
}

// clone copies the order with its customers; lists are shared and read-only.
func (o *fairOrder[T]) clone() *fairOrder[T] {
	c := *o
	flows := make([]flow[T], len(o.all.flows))
	c.all.flows = make([]*flow[T], len(o.all.flows))
	for i, f := range o.all.flows {
		flows[i] = *f
		c.all.flows[i] = &flows[i]
	}
	c.urgent.flows = make([]*flow[T], len(o.urgent.flows))
	for i, f := range o.urgent.flows {
		c.urgent.flows[i] = c.all.flows[f.heapIndex[normal]]
	}
	return &c
}

// simulateNext serves the next item of a clone, without a change to the lists.
func (o *fairOrder[T]) simulateNext() *node[T] {
	f, overtakes := o.next()
	if f == nil {
		return nil
	}
	list := &f.lists[f.nextClass()]
	n := list.head
	list.head = n.next
	o.charge(f, n.cost, overtakes)
	o.updateHeaps(f)
	return n
}
