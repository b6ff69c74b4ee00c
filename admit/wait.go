package admit

import "time"

// Wait estimates the time from now until an item of this kind would start if
// it were pushed now. The estimate is a lower bound of a fluid model: all
// accelerators work on the items before it from the moment the next of them is
// free. A refusal by it is therefore not caused by pessimism. Without a known
// service it is zero.
func (q *Queue[T]) Wait(now time.Time, item Item[T]) time.Duration {
	return q.wait(now, q.flow(item.Customer), &item)
}

func (q *Queue[T]) wait(now time.Time, f *flow[T], item *Item[T]) time.Duration {
	if q.accelerators <= 0 {
		return 0
	}
	own := f.lists[urgent].cost
	if !item.Urgent {
		own += f.lists[normal].cost
	}
	start := max(f.start, q.order.now) + own/f.weight
	ahead := own + q.ahead(f, start, (*flow[T]).cost)
	if item.Urgent && q.order.burst > 0 {
		overtaking := own + q.ahead(f, start, func(f *flow[T]) float64 { return f.lists[urgent].cost })
		ahead = min(ahead, overtaking)
	}
	free := max(0, q.freeAt.Sub(now))
	return free + time.Duration(ahead/float64(q.accelerators)*float64(time.Second))
}

// ahead sums the work of other customers that starts before the virtual time.
// Its time grows with the customers that wait, not with the items.
func (q *Queue[T]) ahead(own *flow[T], start float64, backlog func(*flow[T]) float64) float64 {
	sum := 0.0
	for _, f := range q.order.all.flows {
		if f != own && f.start < start {
			sum += min(backlog(f), (start-f.start)*f.weight)
		}
	}
	return sum
}

func (q *Queue[T]) checkDeadline(now time.Time, f *flow[T], item *Item[T]) *Refusal {
	if item.Deadline.IsZero() {
		return nil
	}
	wait := q.wait(now, f, item)
	slack := item.Deadline.Sub(now) - item.Expected
	if wait <= slack {
		return nil
	}
	refusal := &Refusal{Reason: DeadlineMissed, Customer: item.Customer, Wait: wait}
	if slack >= 0 {
		refusal.RetryAfter = retryAfter(wait - slack)
	}
	return refusal
}

// turnover is the mean time between two items that leave the queue.
func (q *Queue[T]) turnover() time.Duration {
	if q.accelerators <= 0 || len(q.nodes) == 0 {
		return 0
	}
	sum := 0.0
	for _, f := range q.order.all.flows {
		sum += f.cost()
	}
	mean := sum / float64(len(q.nodes)) / float64(q.accelerators)
	return time.Duration(mean * float64(time.Second))
}
