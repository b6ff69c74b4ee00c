package place

import (
	"cmp"
	"slices"
	"time"
)

// findStarving returns the index of the large job that may get a reservation, or
// -1: the one that has the reservation already, else the starving one with the
// lowest score.
func (d *decision) findStarving(queue []queuedJob) int {
	best, bestScore := -1, 0.0
	for i := range queue {
		j := &queue[i]
		if j.tier != tierOther || j.Tasks*j.Accelerators < d.options.LargeJobSize || !d.withinLimits(j) {
			continue
		}
		if d.reservationFor(j) != nil {
			return i
		}
		ratio := d.now.Sub(j.Submitted).Seconds() / j.remaining().Seconds()
		if ratio >= d.options.StarvationRatio && (best < 0 || j.score < bestScore) {
			best, bestScore = i, j.score
		}
	}
	return best
}

// reservationFor returns the reservation of an earlier decision if it is for the
// job, else nil.
func (d *decision) reservationFor(j *queuedJob) *Reservation {
	if r := d.state.Reservation; r != nil && r.JobID == j.ID {
		return r
	}
	return nil
}

// minRunPerStopTime is how long a job must have run, in multiples of its stop
// time, before a starving job may preempt it. It bounds the share of time that
// jobs spend stopping.
const minRunPerStopTime = 20

// preemptibleByStarving is a victimFilter for starving jobs. It allows jobs that
// are neither urgent nor large, run beyond their customers' guarantees and have
// run long enough.
func (d *decision) preemptibleByStarving(_ *node, r *runningJob) bool {
	return r.Job.Tasks*r.Job.Accelerators < d.options.LargeJobSize && !r.Job.Urgent && d.exceedsGuarantee(r) &&
		d.now.Sub(r.Started) >= minRunPerStopTime*r.Job.StopTime
}

// reserve reserves the workers on which the job can start first, and returns an
// action if the reservation is new or has changed.
//
// The start never moves to a later time: running jobs that exceed their
// expected run times would postpone it again and again, and each time admit more
// backfill.
func (d *decision) reserve(j *queuedJob) {
	placement, start, ok := d.earliestStart(j)
	if !ok {
		return
	}
	if current := d.reservationFor(j); current != nil && current.Start.Before(start) {
		start = current.Start
	}
	reservation := &Reservation{JobID: j.ID, Workers: d.asRunning(j, placement).Workers, Start: start}
	for _, a := range placement {
		n := &d.nodes[a.node]
		n.reserved = true
		free, _ := d.freeAt(n, start)
		n.spare = free - a.tasks*j.Accelerators
	}
	d.reservationStart = start
	if current := d.reservationFor(j); current == nil || !slices.Equal(current.Workers, reservation.Workers) || current.Start.Sub(start).Abs() > time.Second {
		d.actions = append(d.actions, Action{Reserve: reservation})
	}
}

// mayBackfill reports whether the job may use what is reserved on a worker until
// the reservation starts: it is expected to end by then, or it is small and can
// be checkpointed and stopped once the rest of the reserved room is free.
func (v *view) mayBackfill(j *queuedJob) bool {
	if j.Checkpointable && j.Tasks*j.Accelerators < v.largeJobSize {
		return true
	}
	remaining := time.Duration(v.backfillSlack * float64(j.remaining()))
	return !v.now.Add(remaining).After(v.reservationStart)
}

// releaseTime returns when a running job is expected to release its
// accelerators, by its end or by its preemption in this decision.
func (v *view) releaseTime(r *runningJob) time.Time {
	if r.preempted {
		return v.now.Add(r.Job.StopTime)
	}
	return r.expectedEnd
}

// expectedEnd returns when a running job is expected to end. A job that has
// exceeded its expected run time is assumed to need as long again as it has run:
// run times have a heavy tail, so that the time left grows with the time run.
func expectedEnd(r *Running, now time.Time) time.Time {
	if r.Stopping {
		return now.Add(r.Job.StopTime)
	}
	ran := max(minRunTime, r.Job.CompletedWork+now.Sub(r.Started))
	if left := r.Job.ExpectedRunTime - ran; left > 0 {
		return now.Add(left)
	}
	return now.Add(ran)
}

// freeAt returns the accelerators and slots that are free on the node at the
// given time if no other job starts.
func (v *view) freeAt(n *node, at time.Time) (free, slots int) {
	free, slots = n.free, n.freeSlots
	for _, h := range n.hosted {
		if r := &v.running[h.job]; !v.releaseTime(r).After(at) {
			free += h.tasks * r.Job.Accelerators
			slots += h.tasks
		}
	}
	return free, slots
}

// taskCapacityAt returns how many tasks of the job can start on the node at the
// given time.
func (v *view) taskCapacityAt(n *node, j *queuedJob, at time.Time) int {
	if n.worker.Probing || !v.eligible(n, j) {
		return 0
	}
	free, slots := v.freeAt(n, at)
	if !j.borrower {
		unclaimed := n.worker.Accelerators
		for _, c := range n.claims {
			if c.customer != j.customer {
				unclaimed -= max(c.guaranteed, v.pinnedAt(n, c.customer, at))
			}
		}
		free = min(free, unclaimed)
	}
	tasks := min(slots, j.Tasks)
	if j.Accelerators > 0 {
		tasks = min(tasks, free/j.Accelerators)
	}
	return max(0, tasks)
}

// pinnedAt returns the accelerators of the node that the customer's jobs are
// still expected to pin at the given time.
func (v *view) pinnedAt(n *node, customer int, at time.Time) int {
	sum := 0
	for _, h := range n.hosted {
		if r := &v.running[h.job]; r.customer == customer && !r.borrower && v.releaseTime(r).After(at) {
			sum += h.tasks * r.Job.Accelerators
		}
	}
	return sum
}

// earliestStart returns the placement and the time with which the job can start
// first by the expected ends of running jobs, and whether there is one. It keeps
// the domain of the present reservation unless the wait in another domain is
// less than half, since a smaller difference is within the estimates' error.
func (d *decision) earliestStart(j *queuedJob) (placement []allocation, start time.Time, ok bool) {
	domains := [][]int{d.allNodes}
	if j.Tasks == 1 {
		domains = d.domains(SameWorker)
	} else if j.Adjacency != SameDataCentre {
		domains = d.domains(j.Adjacency)
	}
	reservedWorker := ""
	if current := d.reservationFor(j); current != nil && len(current.Workers) > 0 {
		reservedWorker = current.Workers[0]
	}
	bestWait := time.Duration(0)
	for _, domain := range domains {
		candidate, candidateStart, found := d.earliestStartIn(j, domain)
		if !found {
			continue
		}
		wait := candidateStart.Sub(d.now)
		if slices.ContainsFunc(domain, func(i int) bool { return d.nodes[i].worker.Name == reservedWorker }) {
			wait /= 2
		}
		if !ok || wait < bestWait {
			placement, start, ok, bestWait = candidate, candidateStart, true, wait
		}
	}
	return placement, start, ok
}

// earliestStartIn does the same as earliestStart within one domain. The domain's
// capacity only grows with the expected ends, so that a binary search finds the
// first one with enough.
func (d *decision) earliestStartIn(j *queuedJob, domain []int) ([]allocation, time.Time, bool) {
	times := []time.Time{d.now}
	for _, i := range domain {
		for _, h := range d.nodes[i].hosted {
			times = append(times, d.releaseTime(&d.running[h.job]))
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	capacity := func(at time.Time) int {
		sum := 0
		for _, i := range domain {
			sum += d.taskCapacityAt(&d.nodes[i], j, at)
		}
		return sum
	}
	first, _ := slices.BinarySearchFunc(times, j.Tasks, func(at time.Time, need int) int {
		if capacity(at) >= need {
			return 1
		}
		return -1
	})
	if first == len(times) {
		return nil, time.Time{}, false
	}
	at := times[first]
	var placement []allocation
	for _, i := range domain {
		if t := d.taskCapacityAt(&d.nodes[i], j, at); t > 0 {
			placement = append(placement, allocation{i, t})
		}
	}
	slices.SortStableFunc(placement, func(a, b allocation) int { return cmp.Compare(b.tasks, a.tasks) })
	return trim(placement, j.Tasks), at, true
}
