package trace

import (
	"fmt"
	"slices"
	"time"

	"catkinpoint/place"
)

// route queues the job in a data centre that is in service and has not refused
// it. It prefers those that have capacity for the job beside their running and
// queued jobs: first those in the caller's region, then by their order in the
// trace. If none has, it takes the one with the lowest load. A job that every
// data centre has refused ends as refused; one that no data centre can take
// now stays unrouted until one returns to service.
func (r *replay) route(job *jobState) {
	job.runVersion++
	job.phase, job.dataCentre = phaseUnrouted, nil
	need := float64(job.Tasks * job.Accelerators)
	var best *dataCentreState
	var bestScore float64
	for i, dc := range r.dataCentres {
		if !dc.placement.InService || job.refusedBy[dc] {
			continue
		}
		load := (dc.demand() + need) / float64(dc.Workers*dc.AcceleratorsPerWorker)
		score := load + 10
		if load <= 1 {
			score = float64(i) / 100
			if dc.Region != job.Region {
				score++
			}
		}
		if best == nil || score < bestScore {
			best, bestScore = dc, score
		}
	}
	if best == nil {
		if len(job.refusedBy) == len(r.dataCentres) {
			r.endJob(job, phaseRefused)
		}
		return
	}
	job.phase, job.dataCentre = phaseQueued, best
	if job.Submitted == r.now {
		job.withinGuarantee = best.fitsUnusedGuarantee(job)
	}
	r.enqueue(best, r.placementJob(job))
}

// fitsUnusedGuarantee reports whether the job fits in the part of its customer's
// guarantees in the data centre that the customer's running and queued jobs
// leave unused.
func (dc *dataCentreState) fitsUnusedGuarantee(job *jobState) bool {
	unused := -job.Tasks * job.Accelerators
	for _, g := range dc.Guarantees {
		if g.Customer == job.Customer {
			unused += g.Accelerators * g.Count
		}
	}
	for i := range dc.placement.Running {
		if j := &dc.placement.Running[i].Job; j.Customer == job.Customer {
			unused -= j.Tasks * j.Accelerators
		}
	}
	for i := range dc.placement.Queue {
		if j := &dc.placement.Queue[i]; j.Customer == job.Customer {
			unused -= j.Tasks * j.Accelerators
		}
	}
	return unused >= 0
}

// demand returns the number of accelerators that running jobs hold and queued
// jobs request.
func (dc *dataCentreState) demand() float64 {
	sum := 0
	for i := range dc.placement.Running {
		j := &dc.placement.Running[i].Job
		sum += j.Tasks * j.Accelerators
	}
	for i := range dc.placement.Queue {
		sum += dc.placement.Queue[i].Tasks * dc.placement.Queue[i].Accelerators
	}
	return float64(sum)
}

// enqueue inserts the job into the queue, which is ordered by submission time and
// then by ID.
func (r *replay) enqueue(dc *dataCentreState, j place.Job) {
	index, _ := slices.BinarySearchFunc(dc.placement.Queue, j, func(a, b place.Job) int {
		if c := a.Submitted.Compare(b.Submitted); c != 0 {
			return c
		}
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	dc.placement.Queue = slices.Insert(dc.placement.Queue, index, j)
	dc.needsDecision = true
}

// placementJob returns the job in the form that the policy takes.
func (r *replay) placementJob(job *jobState) place.Job {
	c := job.class
	return place.Job{
		ID: job.ID, Customer: job.Customer, Class: c.Name, Tasks: job.Tasks, Accelerators: job.Accelerators,
		Adjacency: c.Adjacency, Idempotent: c.Idempotent, Checkpointable: c.Checkpointable, Urgent: c.Urgent,
		StopTime: c.StopTime, ExpectedRunTime: r.learner.ExpectedRunTime(c.Name, c.ExpectedRunTime), CompletedWork: job.checkpointedWork,
		Submitted: epoch.Add(job.Submitted), Avoid: r.health.FailedWorkers(job.ID),
	}
}

// decide calls the policy for a data centre that has changed since its last
// decision, applies the actions, and schedules a tick if jobs remain queued. It
// fails if an action is invalid or if the actions break a guarantee that held
// before them.
func (r *replay) decide(dc *dataCentreState) error {
	if !dc.needsDecision {
		return nil
	}
	dc.needsDecision = false
	r.refreshReports(dc)
	errBefore := place.Reclaimable(&dc.placement)
	for _, action := range r.policy.Decide(&dc.placement, epoch.Add(r.now)) {
		if err := r.apply(dc, action); err != nil {
			return err
		}
	}
	if errBefore == nil {
		if err := place.Reclaimable(&dc.placement); err != nil {
			return err
		}
	}
	if len(dc.placement.Queue) > 0 && dc.placement.InService && !dc.tickPending {
		dc.tickPending = true
		r.push(event{due: r.now + tickInterval, kind: tickEvent, dataCentre: dc})
	}
	return nil
}

// refreshReports updates what a scheduler would know from the reports of agents:
// the health of workers, the last checkpoint of running jobs, and the expected
// run times learned from earlier jobs.
func (r *replay) refreshReports(dc *dataCentreState) {
	for i := range dc.placement.Workers {
		w := &dc.placement.Workers[i]
		w.SetAside, w.Probing = r.health.Status(w.Name, epoch.Add(r.now))
	}
	for i := range dc.placement.Running {
		run := &dc.placement.Running[i]
		job := r.jobs[run.Job.ID]
		run.CheckpointedWork = job.checkpointedPart(r.elapsedRun(job))
	}
	for i := range dc.placement.Queue {
		j := &dc.placement.Queue[i]
		j.ExpectedRunTime = r.learner.ExpectedRunTime(j.Class, r.jobs[j.ID].class.ExpectedRunTime)
	}
}

// checkpointedPart returns the part of a run of the given length that its last
// periodic checkpoint covers.
func (job *jobState) checkpointedPart(ran time.Duration) time.Duration {
	if !job.class.Checkpointable || job.class.CheckpointInterval <= 0 {
		return 0
	}
	return ran.Truncate(job.class.CheckpointInterval)
}

// apply carries out one action of the policy.
func (r *replay) apply(dc *dataCentreState, action place.Action) error {
	switch {
	case action.Place != nil:
		return r.startJob(dc, action.Place)
	case action.Preempt != nil:
		return r.preempt(dc, action.Preempt)
	case action.Refuse != nil:
		job := r.jobs[action.Refuse.JobID]
		r.dequeue(job)
		job.refusedBy[dc] = true
		r.route(job)
	case action.Reserve != nil:
		dc.placement.Reservation = action.Reserve
	}
	return nil
}

// startJob moves a queued job to its workers and schedules the end or the failure
// of the run.
func (r *replay) startJob(dc *dataCentreState, p *place.Place) error {
	job := r.jobs[p.JobID]
	if job == nil || job.phase != phaseQueued || job.dataCentre != dc {
		return fmt.Errorf("job %s is placed but not queued in the data centre", p.JobID)
	}
	j := r.dequeue(job)
	dc.placement.Running = append(dc.placement.Running, place.Running{Job: j, Workers: p.Workers, Started: epoch.Add(r.now)})
	if err := dc.checkCapacity(); err != nil {
		return err
	}
	job.runVersion++
	job.phase, job.runStarted = phaseRunning, r.now
	if !job.started {
		job.started, job.firstStarted = true, r.now
	}
	if job.Faulty || slices.ContainsFunc(p.Workers, r.workerFails) {
		r.push(event{due: r.now + failureDelay, kind: failEvent, job: job, runVersion: job.runVersion})
		return nil
	}
	r.push(event{due: r.now + job.RunTime - job.checkpointedWork, kind: endEvent, job: job, runVersion: job.runVersion})
	return nil
}

// preempt stops a running job. Only the work up to the last periodic checkpoint
// is kept: the replay assumes that the final checkpoint is lost, so that it
// never understates the cost of a preemption.
func (r *replay) preempt(dc *dataCentreState, p *place.Preempt) error {
	job := r.jobs[p.JobID]
	if job == nil || job.phase != phaseRunning || job.dataCentre != dc || !job.class.Checkpointable {
		return fmt.Errorf("job %s cannot be preempted", p.JobID)
	}
	for i := range dc.placement.Running {
		if dc.placement.Running[i].Job.ID == job.ID {
			dc.placement.Running[i].Stopping = true
		}
	}
	ran := r.elapsedRun(job)
	checkpointed := job.checkpointedPart(ran)
	r.recorder.recordPreemption(job, ran-checkpointed+job.StopTime, r.now)
	job.checkpointedWork += checkpointed
	job.runVersion++
	job.phase = phaseStopping
	r.push(event{due: r.now + job.StopTime, kind: stoppedEvent, job: job, runVersion: job.runVersion})
	return nil
}

// checkCapacity returns an error if a worker holds more accelerators or tasks than
// it has accelerators or slots.
func (dc *dataCentreState) checkCapacity() error {
	used, slots := dc.usageByWorker()
	for i := range dc.placement.Workers {
		w := &dc.placement.Workers[i]
		if used[w.Name] > w.Accelerators || slots[w.Name] > w.Slots {
			return fmt.Errorf("worker %s holds %d accelerators and %d tasks", w.Name, used[w.Name], slots[w.Name])
		}
	}
	return nil
}

// usageByWorker returns the accelerators and the slots in use on each worker.
func (dc *dataCentreState) usageByWorker() (accelerators, slots map[string]int) {
	accelerators, slots = make(map[string]int), make(map[string]int)
	for i := range dc.placement.Running {
		for _, w := range dc.placement.Running[i].Workers {
			accelerators[w] += dc.placement.Running[i].Job.Accelerators
			slots[w]++
		}
	}
	return accelerators, slots
}
