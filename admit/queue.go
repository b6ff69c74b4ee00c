package admit

import (
	"iter"
	"time"
)

// Defaults of QueueOptions.
const (
	DefaultLimit         = 2000
	DefaultCustomerLimit = 200
	DefaultMinCost       = 100 * time.Millisecond
	DefaultUrgentShare   = 0.5
	DefaultUrgentBurst   = 8
	DefaultUrgentLead    = 10 * time.Minute
)

// maxUrgentShare leaves at least a tenth of the served items to the fair order.
const maxUrgentShare = 0.9

// QueueOptions are the limits of a Queue; zero values mean the defaults.
type QueueOptions struct {
	// Limit is the maximum number of waiting items.
	Limit int
	// CustomerLimit is the maximum number of waiting items of a customer
	// without a limit of its own.
	CustomerLimit int
	// MinCost is the minimum cost of an item, as time on one accelerator.
	MinCost time.Duration
	// UrgentShare is the largest fraction of items, up to 0.9, that are served
	// before their turn because they are urgent; a negative value means none.
	UrgentShare float64
	// UrgentBurst is the maximum number of urgent items that are served before
	// their turn in a row.
	UrgentBurst int
	// UrgentLead limits how far urgent items may put a customer of weight 1
	// ahead of the fair order, as time on all accelerators.
	UrgentLead time.Duration
}

func (o QueueOptions) withDefaults() QueueOptions {
	setDefault(&o.Limit, DefaultLimit)
	setDefault(&o.CustomerLimit, DefaultCustomerLimit)
	setDefault(&o.MinCost, DefaultMinCost)
	setDefault(&o.UrgentShare, DefaultUrgentShare)
	setDefault(&o.UrgentBurst, DefaultUrgentBurst)
	setDefault(&o.UrgentLead, DefaultUrgentLead)
	return o
}

func setDefault[V int | float64 | time.Duration](v *V, defaultValue V) {
	if *v == 0 {
		*v = defaultValue
	}
}

// Item is one waiting job.
type Item[T any] struct {
	ID              string
	Customer        string
	Accelerators    int           // total of all tasks
	ExpectedRunTime time.Duration // learned from ended jobs or else declared
	Urgent          bool
	Deadline        time.Time // when the job must have ended; zero means none
	Value           T
}

// Customer holds the admission settings of one customer.
type Customer struct {
	Name   string
	Weight float64 // share relative to other customers; 0 or less means 1
	Limit  int     // maximum number of items or requests at once; 0 or less means the default
}

// Queue holds the waiting jobs of one data centre in weighted fair order
// between customers. It is not safe for concurrent use.
type Queue[T any] struct {
	options      QueueOptions
	nodes        map[string]*node[T] // by item id
	flows        map[string]*flow[T] // by customer
	order        fairOrder[T]
	activations  uint64 // how often an idle customer became active
	accelerators int
	nextFreeAt   time.Time // when the next accelerator is expected to be free
}

// NewQueue returns an empty queue.
func NewQueue[T any](options QueueOptions) *Queue[T] {
	options = options.withDefaults()
	q := &Queue[T]{
		options: options,
		nodes:   make(map[string]*node[T]),
		flows:   make(map[string]*flow[T]),
	}
	q.order.all.class = normal
	q.order.urgent.class = urgent
	if options.UrgentShare > 0 {
		share := min(options.UrgentShare, maxUrgentShare)
		q.order.creditPerItem = share / (1 - share)
		q.order.maxCredit = float64(options.UrgentBurst)
		q.order.overtakeCredit = q.order.maxCredit
	}
	q.SetCapacity(0, time.Time{})
	return q
}

// SetCustomers replaces the settings of all customers; customers that are not
// listed get the defaults.
func (q *Queue[T]) SetCustomers(customers []Customer) {
	for name, f := range q.flows {
		f.weight, f.limit = 1, q.options.CustomerLimit
		if f.itemCount == 0 && f.virtualStart <= q.order.virtualTime {
			delete(q.flows, name)
		}
	}
	for _, c := range customers {
		f := q.flow(c.Name)
		q.flows[c.Name] = f
		if c.Weight > 0 {
			f.weight = c.Weight
		}
		if c.Limit > 0 {
			f.limit = c.Limit
		}
	}
}

// SetCapacity sets how many accelerators serve the queue and when the next of
// them is expected to be free. Without accelerators no wait is estimated.
func (q *Queue[T]) SetCapacity(accelerators int, freeAt time.Time) {
	q.accelerators, q.nextFreeAt = accelerators, freeAt
	q.order.maxLead = q.options.UrgentLead.Seconds() * float64(max(1, accelerators))
}

// Push admits an item. It returns a *Refusal if a limit is reached or the
// item's deadline cannot be met, and ErrDuplicate if the id is queued already.
func (q *Queue[T]) Push(now time.Time, item Item[T]) error {
	if _, ok := q.nodes[item.ID]; ok {
		return ErrDuplicate
	}
	f := q.flow(item.Customer)
	reason := checkLimits(f.itemCount, f.limit, len(q.nodes), q.options.Limit, len(q.order.all.flows))
	if reason != 0 {
		return &Refusal{Reason: reason, Customer: item.Customer, RetryAfter: retryAfter(q.meanDequeueInterval())}
	}
	if refusal := q.checkDeadline(now, f, &item); refusal != nil {
		return refusal
	}
	q.add(f, item, (*list[T]).pushBack)
	return nil
}

// Requeue puts back an item that was taken and did not finish, before its
// customer's other items of the same urgency. The item is admitted above the
// limits, because refusing it would lose an accepted job; the excess is at most
// the number of running jobs. The charge of Take is kept; AdjustCharge refunds
// the unused part. The error is ErrDuplicate if the id is queued already.
func (q *Queue[T]) Requeue(item Item[T]) error {
	if _, ok := q.nodes[item.ID]; ok {
		return ErrDuplicate
	}
	q.add(q.flow(item.Customer), item, (*list[T]).pushFront)
	return nil
}

// Pop removes the first item of the fair order and charges its customer. It
// returns false if the queue is empty.
func (q *Queue[T]) Pop() (Item[T], bool) {
	f, overtakes := q.order.next()
	if f == nil {
		return Item[T]{}, false
	}
	return q.serve(f.nextNode(), overtakes), true
}

// Take removes an item that is about to run, in or out of the fair order, and
// charges its customer. It returns false if the item is not queued.
func (q *Queue[T]) Take(id string) (Item[T], bool) {
	n, ok := q.nodes[id]
	if !ok {
		return Item[T]{}, false
	}
	overtakes := n.item.Urgent && n.flow != q.order.all.flows[0]
	return q.serve(n, overtakes), true
}

// Remove removes an item that will not run and charges nothing. It returns false
// if the item is not queued. Its time does not depend on the number of items.
func (q *Queue[T]) Remove(id string) (Item[T], bool) {
	n, ok := q.nodes[id]
	if !ok {
		return Item[T]{}, false
	}
	q.unlink(n)
	q.order.updateHeaps(n.flow)
	return n.item, true
}

// AdjustCharge charges a customer for accelerators that it used longer than
// expected (or, if difference is negative, shorter), so that a wrong expected
// run time does not gain it a larger share.
func (q *Queue[T]) AdjustCharge(customer string, accelerators int, difference time.Duration) {
	f, ok := q.flows[customer]
	if !ok {
		return
	}
	q.order.advanceStart(f, difference.Seconds()*float64(max(1, accelerators)))
	q.order.updateHeaps(f)
}

// All iterates over the items in the order in which Pop would return them. The
// queue must not change during the iteration. A full pass over n items takes
// O(n log customers).
func (q *Queue[T]) All() iter.Seq[Item[T]] {
	return func(yield func(Item[T]) bool) {
		simulated := q.order.clone()
		for n := simulated.simulateNext(); n != nil; n = simulated.simulateNext() {
			if !yield(n.item) {
				return
			}
		}
	}
}

// Get returns a waiting item, or false if the id is not queued.
func (q *Queue[T]) Get(id string) (Item[T], bool) {
	n, ok := q.nodes[id]
	if !ok {
		return Item[T]{}, false
	}
	return n.item, true
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int {
	return len(q.nodes)
}

// CustomerLen returns the number of waiting items of one customer.
func (q *Queue[T]) CustomerLen(customer string) int {
	if f, ok := q.flows[customer]; ok {
		return f.itemCount
	}
	return 0
}

// flow returns the queue of a customer. A new one is not stored in q.flows; add
// and SetCustomers do that.
func (q *Queue[T]) flow(customer string) *flow[T] {
	if f, ok := q.flows[customer]; ok {
		return f
	}
	return &flow[T]{
		name:      customer,
		weight:    1,
		limit:     q.options.CustomerLimit,
		heapIndex: [classCount]int{-1, -1},
	}
}

func (q *Queue[T]) add(f *flow[T], item Item[T], insert func(*list[T], *node[T])) {
	q.flows[f.name] = f
	if f.itemCount == 0 {
		q.activations++
		f.activation = q.activations
		f.virtualStart = max(f.virtualStart, q.order.virtualTime)
	}
	n := &node[T]{item: item, cost: q.cost(&item), flow: f}
	q.nodes[item.ID] = n
	f.itemCount++
	insert(&f.lists[classOf(&item)], n)
	q.order.updateHeaps(f)
}

func (q *Queue[T]) serve(n *node[T], overtakes bool) Item[T] {
	q.unlink(n)
	q.order.charge(n.flow, n.cost, overtakes)
	q.order.updateHeaps(n.flow)
	return n.item
}

func (q *Queue[T]) unlink(n *node[T]) {
	delete(q.nodes, n.item.ID)
	n.flow.itemCount--
	n.flow.lists[classOf(&n.item)].remove(n)
}

// cost returns the expected accelerator seconds of an item, at least MinCost.
func (q *Queue[T]) cost(item *Item[T]) float64 {
	acceleratorSeconds := item.ExpectedRunTime.Seconds() * float64(max(1, item.Accelerators))
	return max(acceleratorSeconds, q.options.MinCost.Seconds())
}

func classOf[T any](item *Item[T]) class {
	if item.Urgent {
		return urgent
	}
	return normal
}
