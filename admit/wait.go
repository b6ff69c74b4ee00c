package admit

import "time"

// EstimateWait estimates the time from now until the item would start if it
// were pushed now. The estimate is a lower bound from a fluid model, in which
// all accelerators work on the items before it from the moment that the next of
// them is free; a refusal based on it is therefore never caused by pessimism.
// The estimate is zero while the number of accelerators is unknown.
func (q *Queue[T]) EstimateWait(now time.Time, item Item[T]) time.Duration {
	return q.estimateWait(now, q.flow(item.Customer), &item)
}

func (q *Queue[T]) estimateWait(now time.Time, f *flow[T], item *Item[T]) time.Duration {
	if q.accelerators <= 0 {
		return 0
	}
	ownBacklog := f.lists[urgent].cost
	if !item.Urgent {
		ownBacklog += f.lists[normal].cost
	}
	virtualStart := max(f.virtualStart, q.order.virtualTime) + ownBacklog/f.weight
	backlog := ownBacklog + q.backlogAhead(f, virtualStart, (*flow[T]).totalCost)
	if item.Urgent && q.order.maxCredit > 0 {
		overtakingBacklog := ownBacklog + q.backlogAhead(f, virtualStart, func(f *flow[T]) float64 { return f.lists[urgent].cost })
		backlog = min(backlog, overtakingBacklog)
	}
	untilFree := max(0, q.nextFreeAt.Sub(now))
	return untilFree + time.Duration(backlog/float64(q.accelerators)*float64(time.Second))
}

// backlogAhead sums the work of other customers that starts before virtualStart,
// in accelerator seconds; backlog returns the work of one customer. The running
// time grows with the number of waiting customers, not of items.
func (q *Queue[T]) backlogAhead(customer *flow[T], virtualStart float64, backlog func(*flow[T]) float64) float64 {
	sum := 0.0
	for _, f := range q.order.all.flows {
		if f != customer && f.virtualStart < virtualStart {
			sum += min(backlog(f), (virtualStart-f.virtualStart)*f.weight)
		}
	}
	return sum
}

// checkDeadline returns a refusal if the item, pushed now, could not end before
// its deadline, and nil otherwise.
func (q *Queue[T]) checkDeadline(now time.Time, f *flow[T], item *Item[T]) *Refusal {
	if item.Deadline.IsZero() {
		return nil
	}
	wait := q.estimateWait(now, f, item)
	slack := item.Deadline.Sub(now) - item.ExpectedRunTime
	if wait <= slack {
		return nil
	}
	refusal := &Refusal{Reason: DeadlineMissed, Customer: item.Customer, Wait: wait}
	if slack >= 0 {
		refusal.RetryAfter = retryAfter(wait - slack)
	}
	return refusal
}

// meanDequeueInterval returns the mean time between two items that leave the
// queue, or zero if the number of accelerators is unknown or the queue is empty.
func (q *Queue[T]) meanDequeueInterval() time.Duration {
	if q.accelerators <= 0 || len(q.nodes) == 0 {
		return 0
	}
	sum := 0.0
	for _, f := range q.order.all.flows {
		sum += f.totalCost()
	}
	meanSeconds := sum / float64(len(q.nodes)) / float64(q.accelerators)
	return time.Duration(meanSeconds * float64(time.Second))
}
