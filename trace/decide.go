package trace

import (
	"fmt"
	"slices"
	"time"

	"catkinpoint/place"
)

// route queues the job at the nearest data centre in service that has room
// for it beside what it runs and queues, else at the least loaded one.
func (r *replay) route(it *item) {
	it.version++
	it.phase, it.site = waiting, nil
	need := float64(it.Tasks * it.Accelerators)
	var best *site
	var bestScore float64
	for i, s := range r.sites {
		if !s.state.InService || it.refusals[s] {
			continue
		}
		load := (s.load() + need) / float64(s.Workers*s.Accelerators)
		score := load + 10
		if load <= 1 {
			score = float64(i) / 100
			if s.Region != it.Region {
				score++
			}
		}
		if best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	if best == nil {
		if len(it.refusals) == len(r.sites) {
			r.finish(it, refused)
		}
		return
	}
	it.phase, it.site = queued, best
	if it.Submitted == r.now {
		it.held = best.fitsGuarantee(it)
	}
	r.enqueue(best, r.job(it))
}

// fitsGuarantee reports whether the job fits what its customer's guarantees
// in the data centre leave beside what the customer runs and queues.
func (s *site) fitsGuarantee(it *item) bool {
	left := -it.Tasks * it.Accelerators
	for _, g := range s.Guarantees {
		if g.Customer == it.Customer {
			left += g.Accelerators * g.Count
		}
	}
	for i := range s.state.Running {
		if j := &s.state.Running[i].Job; j.Customer == it.Customer {
			left -= j.Tasks * j.Accelerators
		}
	}
	for i := range s.state.Queue {
		if j := &s.state.Queue[i]; j.Customer == it.Customer {
			left -= j.Tasks * j.Accelerators
		}
	}
	return left >= 0
}

// load is the number of accelerators that the site's jobs hold or ask for.
func (s *site) load() float64 {
	sum := 0
	for i := range s.state.Running {
		j := &s.state.Running[i].Job
		sum += j.Tasks * j.Accelerators
	}
	for i := range s.state.Queue {
		sum += s.state.Queue[i].Tasks * s.state.Queue[i].Accelerators
	}
	return float64(sum)
}

func (r *replay) enqueue(s *site, j place.Job) {
	at, _ := slices.BinarySearchFunc(s.state.Queue, j, func(a, b place.Job) int {
		if c := a.Submitted.Compare(b.Submitted); c != 0 {
			return c
		}
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	s.state.Queue = slices.Insert(s.state.Queue, at, j)
	s.dirty = true
}

// job is what the policy sees of an item.
func (r *replay) job(it *item) place.Job {
	c := it.class
	return place.Job{
		ID: it.ID, Customer: it.Customer, Class: c.Name, Tasks: it.Tasks, Accelerators: it.Accelerators,
		Adjacency: c.Adjacency, Idempotent: c.Idempotent, Checkpointable: c.Checkpointable, Urgent: c.Urgent,
		StopTime: c.StopTime, ExpectedRunTime: r.learner.ExpectedRunTime(c.Name, c.Declared), CompletedWork: it.kept,
		Submitted: epoch.Add(it.Submitted), Avoid: r.health.FailedWorkers(it.ID),
	}
}

// decide asks the policy about a site where something changed.
func (r *replay) decide(s *site) error {
	if !s.dirty {
		return nil
	}
	s.dirty = false
	r.refresh(s)
	before := place.Reclaimable(&s.state)
	for _, a := range r.policy.Decide(&s.state, epoch.Add(r.now)) {
		if err := r.apply(s, a); err != nil {
			return err
		}
	}
	if before == nil {
		if err := place.Reclaimable(&s.state); err != nil {
			return err
		}
	}
	if len(s.state.Queue) > 0 && s.state.InService && !s.ticker {
		s.ticker = true
		r.push(event{at: r.now + tickEvery, kind: tickEvent, site: s})
	}
	return nil
}

// refresh brings what agents report up to date.
func (r *replay) refresh(s *site) {
	for i := range s.state.Workers {
		w := &s.state.Workers[i]
		w.SetAside, w.Probing = r.health.Status(w.Name, epoch.Add(r.now))
	}
	for i := range s.state.Running {
		run := &s.state.Running[i]
		it := r.items[run.Job.ID]
		run.CheckpointedWork = it.checkpointed(r.ran(it))
	}
	for i := range s.state.Queue {
		j := &s.state.Queue[i]
		j.ExpectedRunTime = r.learner.ExpectedRunTime(j.Class, r.items[j.ID].class.Declared)
	}
}

// checkpointed is the part of a run that the last periodic checkpoint keeps.
func (it *item) checkpointed(ran time.Duration) time.Duration {
	if !it.class.Checkpointable || it.class.CheckpointEvery <= 0 {
		return 0
	}
	return ran.Truncate(it.class.CheckpointEvery)
}

func (r *replay) apply(s *site, a place.Action) error {
	switch {
	case a.Place != nil:
		return r.place(s, a.Place)
	case a.Preempt != nil:
		return r.preempt(s, a.Preempt)
	case a.Refuse != nil:
		it := r.items[a.Refuse.JobID]
		r.dequeue(it)
		it.refusals[s] = true
		r.route(it)
	case a.Reserve != nil:
		s.state.Reservation = a.Reserve
	}
	return nil
}

func (r *replay) place(s *site, p *place.Place) error {
	it := r.items[p.JobID]
	if it == nil || it.phase != queued || it.site != s {
		return fmt.Errorf("job %s is placed but not queued", p.JobID)
	}
	j := r.dequeue(it)
	s.state.Running = append(s.state.Running, place.Running{Job: j, Workers: p.Workers, Started: epoch.Add(r.now)})
	if err := s.check(); err != nil {
		return err
	}
	it.version++
	it.phase, it.began = running, r.now
	if !it.started {
		it.started, it.first = true, r.now
	}
	if it.Faulty || slices.ContainsFunc(p.Workers, r.broken) {
		r.push(event{at: r.now + failAfter, kind: failEvent, item: it, version: it.version})
		return nil
	}
	r.push(event{at: r.now + it.RunTime - it.kept, kind: endEvent, item: it, version: it.version})
	return nil
}

// preempt keeps the work until the last periodic checkpoint; the final
// checkpoint is taken as lost, so that the figures are on the safe side.
func (r *replay) preempt(s *site, p *place.Preempt) error {
	it := r.items[p.JobID]
	if it == nil || it.phase != running || it.site != s || !it.class.Checkpointable {
		return fmt.Errorf("job %s cannot be preempted", p.JobID)
	}
	for i := range s.state.Running {
		if s.state.Running[i].Job.ID == it.ID {
			s.state.Running[i].Stopping = true
		}
	}
	ran := r.ran(it)
	kept := it.checkpointed(ran)
	r.meter.preempted(it, ran-kept+it.Stop, r.now)
	it.kept += kept
	it.version++
	it.phase = stopping
	r.push(event{at: r.now + it.Stop, kind: stoppedEvent, item: it, version: it.version})
	return nil
}

// check reports a worker that holds more than it has.
func (s *site) check() error {
	used, slots := s.used()
	for i := range s.state.Workers {
		w := &s.state.Workers[i]
		if used[w.Name] > w.Accelerators || slots[w.Name] > w.Slots {
			return fmt.Errorf("worker %s holds %d accelerators and %d tasks", w.Name, used[w.Name], slots[w.Name])
		}
	}
	return nil
}

func (s *site) used() (accelerators, slots map[string]int) {
	accelerators, slots = make(map[string]int), make(map[string]int)
	for i := range s.state.Running {
		for _, w := range s.state.Running[i].Workers {
			accelerators[w] += s.state.Running[i].Job.Accelerators
			slots[w]++
		}
	}
	return accelerators, slots
}
