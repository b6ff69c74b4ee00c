package place

import (
	"cmp"
	"slices"
	"time"
)

// starving returns the index of the large job that gets the reservation, or
// -1: the one that has it already, else the starving one that goes first by
// score.
func (d *decision) starving(queue []request) int {
	best, least := -1, 0.0
	for i := range queue {
		r := &queue[i]
		if r.rank != otherRank || r.Tasks*r.Accelerators < d.options.GangSize || !d.permitted(r) {
			continue
		}
		if d.heldFor(r) != nil {
			return i
		}
		ratio := d.now.Sub(r.Submitted).Seconds() / r.remaining().Seconds()
		if ratio >= d.options.StarveRatio && (best < 0 || r.score < least) {
			best, least = i, r.score
		}
	}
	return best
}

// heldFor returns the reservation from earlier decisions if it is the job's.
func (d *decision) heldFor(j *request) *Reservation {
	if held := d.state.Reservation; held != nil && held.JobID == j.ID {
		return held
	}
	return nil
}

// leastRun is the number of stop times that a job runs before a starving job
// may preempt it, which bounds the share of time that goes into stopping.
const leastRun = 20

// forStarving allows the preemption of work that is neither urgent nor large
// itself and runs beside the guarantees.
func (d *decision) forStarving(_ *node, t *task) bool {
	return t.Job.Tasks*t.Job.Accelerators < d.options.GangSize && !t.Job.Urgent && d.beyond(t) &&
		d.now.Sub(t.Started) >= leastRun*t.Job.StopTime
}

// reserve holds the workers on which the job can start first.
//
// The start never moves to a later time: running jobs that exceed their
// expected run times would move it on and on, and let in ever more backfill.
func (d *decision) reserve(j *request) {
	seats, at, ok := d.earliest(j)
	if !ok {
		return
	}
	if held := d.heldFor(j); held != nil && held.Start.Before(at) {
		at = held.Start
	}
	res := &Reservation{JobID: j.ID, Workers: d.started(j, seats).Workers, Start: at}
	for _, s := range seats {
		n := &d.nodes[s.node]
		n.reserved = true
		free, _ := d.freeAt(n, at)
		n.spare = free - s.tasks*j.Accelerators
	}
	d.reservedFrom = at
	if held := d.heldFor(j); held == nil || !slices.Equal(held.Workers, res.Workers) || held.Start.Sub(at).Abs() > time.Second {
		d.actions = append(d.actions, Action{Reserve: res})
	}
}

// endsBefore reports whether the job is expected to leave a reserved worker
// in time, or can be stopped when the rest of the worker is free.
func (v *view) endsBefore(j *request) bool {
	if j.Checkpointable && j.Tasks*j.Accelerators < v.gangSize {
		return true
	}
	left := time.Duration(v.slack * float64(j.remaining()))
	return !v.now.Add(left).After(v.reservedFrom)
}

// release is when a running task is expected to end.
func (v *view) release(t *task) time.Time {
	if t.gone {
		return v.now.Add(t.Job.StopTime)
	}
	return t.end
}

// expectedEnd is when a running job ends by its learned run time. A job that
// has run longer is taken to need as long again as it has run: with heavy
// tails the time left grows with the time run.
func expectedEnd(r *Running, now time.Time) time.Time {
	if r.Stopping {
		return now.Add(r.Job.StopTime)
	}
	ran := max(shortest, r.Job.Done+now.Sub(r.Started))
	if left := r.Job.Expected - ran; left > 0 {
		return now.Add(left)
	}
	return now.Add(ran)
}

// freeAt is what the node has free at the given time if no other job starts.
func (v *view) freeAt(n *node, at time.Time) (free, slots int) {
	free, slots = n.free, n.slots
	for _, h := range n.hosted {
		if t := &v.running[h.task]; !v.release(t).After(at) {
			free += h.ranks * t.Job.Accelerators
			slots += h.ranks
		}
	}
	return free, slots
}

// roomAt is how many tasks of the job the node can take at the given time.
func (v *view) roomAt(n *node, j *request, at time.Time) int {
	if n.worker.Probing || !v.canUse(n, j) {
		return 0
	}
	free, slots := v.freeAt(n, at)
	if !j.lent {
		most := n.worker.Accelerators
		for _, p := range n.parts {
			if p.customer != j.customer {
				most -= max(p.held, v.lockedAt(n, p.customer, at))
			}
		}
		free = min(free, most)
	}
	tasks := min(slots, j.Tasks)
	if j.Accelerators > 0 {
		tasks = min(tasks, free/j.Accelerators)
	}
	return max(0, tasks)
}

// lockedAt is what the customer's work still locks on the node at the given time.
func (v *view) lockedAt(n *node, customer int, at time.Time) int {
	sum := 0
	for _, h := range n.hosted {
		if t := &v.running[h.task]; t.customer == customer && !t.lent && v.release(t).After(at) {
			sum += h.ranks * t.Job.Accelerators
		}
	}
	return sum
}

// earliest finds the domain in which the job can start first by the expected
// ends of running work. It keeps the domain of the present reservation unless
// another one is sooner by more than the estimates' error.
func (d *decision) earliest(j *request) (seats []seat, at time.Time, ok bool) {
	domains := [][]int{d.all}
	if j.Tasks == 1 {
		domains = d.domains(SameWorker)
	} else if j.Adjacency != SameDataCentre {
		domains = d.domains(j.Adjacency)
	}
	kept := ""
	if held := d.heldFor(j); held != nil && len(held.Workers) > 0 {
		kept = held.Workers[0]
	}
	bestWait := time.Duration(0)
	for _, domain := range domains {
		s, t, found := d.earliestIn(j, domain)
		if !found {
			continue
		}
		wait := t.Sub(d.now)
		if slices.ContainsFunc(domain, func(i int) bool { return d.nodes[i].worker.Name == kept }) {
			wait /= 2
		}
		if !ok || wait < bestWait {
			seats, at, ok, bestWait = s, t, true, wait
		}
	}
	return seats, at, ok
}

func (d *decision) earliestIn(j *request, domain []int) ([]seat, time.Time, bool) {
	times := []time.Time{d.now}
	for _, i := range domain {
		for _, h := range d.nodes[i].hosted {
			times = append(times, d.release(&d.running[h.task]))
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	tasks := func(at time.Time) int {
		sum := 0
		for _, i := range domain {
			sum += d.roomAt(&d.nodes[i], j, at)
		}
		return sum
	}
	k, _ := slices.BinarySearchFunc(times, j.Tasks, func(at time.Time, need int) int {
		if tasks(at) >= need {
			return 1
		}
		return -1
	})
	if k == len(times) {
		return nil, time.Time{}, false
	}
	at := times[k]
	var seats []seat
	for _, i := range domain {
		if t := d.roomAt(&d.nodes[i], j, at); t > 0 {
			seats = append(seats, seat{i, t})
		}
	}
	slices.SortStableFunc(seats, func(a, b seat) int { return cmp.Compare(b.tasks, a.tasks) })
	return trim(seats, j.Tasks), at, true
}
