package admit

import "container/heap"

// class is the priority of an item among the items of its customer; urgent
// items are served first.
type class int

const (
	urgent class = iota
	normal
	classCount
)

// node is a waiting item in the list of its customer and class.
type node[T any] struct {
	item       Item[T]
	cost       float64 // accelerator seconds
	flow       *flow[T]
	prev, next *node[T]
}

// list is a doubly linked list of items, so that removal needs no scan.
type list[T any] struct {
	head, tail *node[T]
	cost       float64 // sum over the items, in accelerator seconds
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
		l.cost = 0 // discards the accumulated rounding error
	}
}

// flow is the queue of one customer, a flow in the terms of fair queueing.
type flow[T any] struct {
	name      string
	weight    float64
	limit     int // maximum number of waiting items
	itemCount int
	// virtualStart is the virtual time at which the customer's next item starts.
	virtualStart float64
	// activation is the sequence number of the push that made the customer
	// active; it breaks ties between equal start times.
	activation uint64
	lists      [classCount]list[T]
	// heapIndex is the position in the heap of all waiting customers (normal)
	// and in that of customers with urgent items (urgent); -1 when absent.
	heapIndex [classCount]int
}

func (f *flow[T]) nextClass() class {
	if f.lists[urgent].head != nil {
		return urgent
	}
	return normal
}

// nextNode returns the item that is served next, or nil if none waits.
func (f *flow[T]) nextNode() *node[T] {
	return f.lists[f.nextClass()].head
}

func (f *flow[T]) totalCost() float64 {
	return f.lists[urgent].cost + f.lists[normal].cost
}

// flowHeap is a heap.Interface of customers, ordered by virtual start time.
type flowHeap[T any] struct {
	class class // selects the entry of flow.heapIndex that belongs to this heap
	flows []*flow[T]
}

func (h *flowHeap[T]) Len() int { return len(h.flows) }

func (h *flowHeap[T]) Less(i, j int) bool {
	a, b := h.flows[i], h.flows[j]
	if a.virtualStart != b.virtualStart {
		return a.virtualStart < b.virtualStart
	}
	return a.activation < b.activation
}

func (h *flowHeap[T]) Swap(i, j int) {
	h.flows[i], h.flows[j] = h.flows[j], h.flows[i]
	h.flows[i].heapIndex[h.class] = i
	h.flows[j].heapIndex[h.class] = j
}

func (h *flowHeap[T]) Push(x any) {
	f := x.(*flow[T])
	f.heapIndex[h.class] = len(h.flows)
	h.flows = append(h.flows, f)
}

func (h *flowHeap[T]) Pop() any {
	last := len(h.flows) - 1
	f := h.flows[last]
	h.flows[last] = nil
	h.flows = h.flows[:last]
	f.heapIndex[h.class] = -1
	return f
}

// update restores the heap after a change of the customer's start time or of
// whether it is to be present.
func (h *flowHeap[T]) update(f *flow[T], present bool) {
	position := f.heapIndex[h.class]
	switch {
	case present && position < 0:
		heap.Push(h, f)
	case present:
		heap.Fix(h, position)
	case position >= 0:
		heap.Remove(h, position)
	}
}

// fairOrder implements start-time fair queueing between customers: the customer
// with the lowest virtual start time is served first, and each served item
// advances that time by cost/weight. Costs are charged when an item is served,
// not when it arrives, so that cancelled items cost their customer nothing.
//
// Urgent items overtake the items of other customers within two limits, which
// QueueOptions set. UrgentShare counts items, so that one large urgent job does
// not use up the allowance of other customers' urgent work. UrgentLead counts
// cost for each customer, so that a customer with a flood of urgent work gets
// no more than its fair share in the long run.
type fairOrder[T any] struct {
	all, urgent     flowHeap[T] // customers with any items, and with urgent ones
	virtualTime     float64     // no waiting customer has an earlier start time
	maxVirtualStart float64     // largest start time assigned so far
	overtakeCredit  float64     // number of items that may overtake now
	creditPerItem   float64     // credit gained by each item served in its turn
	maxCredit       float64     // upper limit of overtakeCredit
	maxLead         float64     // lead, in virtual time, up to which a customer may overtake
}

// next returns the customer to serve, or nil if none waits, and whether it
// overtakes others.
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

// charge accounts for a served item of the customer; cost is in accelerator seconds.
func (o *fairOrder[T]) charge(f *flow[T], cost float64, overtakes bool) {
	if overtakes {
		o.overtakeCredit = max(0, o.overtakeCredit-1)
	} else {
		o.overtakeCredit = min(o.maxCredit, o.overtakeCredit+o.creditPerItem)
	}
	o.advanceStart(f, cost)
}

// advanceStart moves the customer's start time by cost, which may be negative,
// but never before the virtual time: a customer cannot save up unused share.
func (o *fairOrder[T]) advanceStart(f *flow[T], cost float64) {
	f.virtualStart = max(f.virtualStart+cost/f.weight, o.virtualTime)
	o.maxVirtualStart = max(o.maxVirtualStart, f.virtualStart)
}

// updateHeaps restores both heaps and the virtual time after a change of the
// customer's lists or start time.
func (o *fairOrder[T]) updateHeaps(f *flow[T]) {
	o.all.update(f, f.nextNode() != nil)
	o.urgent.update(f, f.lists[urgent].head != nil)
	if len(o.all.flows) > 0 {
		o.virtualTime = max(o.virtualTime, o.all.flows[0].virtualStart)
		return
	}
	// No customer waits, so past use delayed nobody. Passing every start time
	// assigned so far lets all customers start equal again.
	o.virtualTime = max(o.virtualTime, o.maxVirtualStart)
}

// clone copies the order and its customers for simulateNext; the nodes of the
// lists are shared and must not be changed.
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

// simulateNext serves the next item of a clone and returns it, or nil at the
// end. The queue that was cloned does not change.
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
