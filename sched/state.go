package sched

import (
	"slices"
	"strings"
	"time"

	"catkinpoint/admit"
	"catkinpoint/conf"
	"catkinpoint/decl"
	"catkinpoint/gang"
	"catkinpoint/place"
	"catkinpoint/wire"
)

// minPermitValidity is how long the permit must still be valid for jobs to be
// placed; with less, agents would refuse the tasks.
const minPermitValidity = time.Second

// maxJobsPerDecision is the number of waiting jobs, in fair order, that one
// decision considers. It bounds the time of the decision.
const maxJobsPerDecision = 1000

// maxPermitAge is the age up to which agents accept a permit.
const maxPermitAge = 3 * time.Second

// placementState returns the state on which the policy decides.
func (s *Scheduler) placementState(c *control, now time.Time) *place.State {
	set := s.opts.Config()
	p := s.opts.Permit()
	s.updateGuarantees(c)
	state := &place.State{
		DataCentre:    s.opts.DataCentre,
		InService:     p.InService && p.Remaining(now, maxPermitAge) >= minPermitValidity,
		CapacityShare: s.capacityShare(c, now),
		Workers:       s.policyWorkers(c, p.Draining, now),
		Running:       c.policyRunning(now),
		Guarantees:    c.guarantees,
		Customers:     policyCustomers(set),
		Reservation:   c.reservation,
		Planned:       plannedSize(set, s.opts.DataCentre),
	}
	c.queue.SetCapacity(readyAccelerators(state.Workers), now)
	for item := range c.queue.All() {
		if len(state.Queue) == maxJobsPerDecision {
			break
		}
		if j := item.Value; !now.Before(j.notBefore) {
			waiting := c.policyJob(j)
			if len(waiting.Avoid) > 0 && !place.Fits(state, &waiting) {
				// Too few other workers are left. The job may use workers on which
				// it has failed, up to its last attempt, instead of waiting forever.
				waiting.Avoid = nil
			}
			state.Queue = append(state.Queue, waiting)
		}
	}
	return state
}

// policyWorkers returns the workers as the policy sees them, sorted by name.
func (s *Scheduler) policyWorkers(c *control, draining []string, now time.Time) []place.Worker {
	workers := make([]place.Worker, 0, len(c.workers))
	for name, w := range c.workers {
		setAside, probing := c.health.Status(name, now)
		leaving := w.report.GetDraining() || slices.Contains(draining, name)
		workers = append(workers, place.Worker{
			Name:         name,
			Rack:         w.report.GetRack(),
			Service:      w.report.GetService(),
			Accelerators: int(w.report.GetAccelerators()),
			Slots:        int(w.report.GetSlots()),
			SetAside:     setAside,
			Probing:      probing,
			Ready:        w.epochAcked && !leaving && now.Sub(w.lastSeen) < s.opts.Limits.WorkerSilence,
		})
	}
	// A fixed order makes decisions repeatable.
	slices.SortFunc(workers, func(a, b place.Worker) int { return strings.Compare(a.Name, b.Name) })
	return workers
}

// policyRunning returns what holds accelerators, sorted by job id: the current
// attempts and, as a job of its own, each orphan that has not ended.
func (c *control) policyRunning(now time.Time) []place.Running {
	list := make([]place.Running, 0, len(c.attempts)+len(c.orphans))
	for _, a := range c.attempts {
		r := place.Running{
			Job:              c.policyJob(a.job),
			Started:          a.placedAt,
			Stopping:         a.coord.Phase == gang.Stopping,
			CheckpointedWork: preservedWork(a.job.spec, now.Sub(a.placedAt)),
		}
		for _, m := range a.members {
			r.Workers = append(r.Workers, m.GetWorker())
		}
		list = append(list, r)
	}
	for _, o := range c.orphans {
		if gang.Final(o.status.GetState()) {
			continue
		}
		list = append(list, place.Running{
			Job: place.Job{
				ID:           o.status.GetAttempt(),
				Tasks:        1,
				Accelerators: int(o.status.GetAccelerators()),
			},
			Workers: []string{o.worker},
			Started: o.lastSeen,
		})
	}
	slices.SortFunc(list, func(a, b place.Running) int { return strings.Compare(a.Job.ID, b.Job.ID) })
	return list
}

// policyJob returns the job as the policy sees it.
func (c *control) policyJob(j *job) place.Job {
	declared := time.Duration(j.spec.GetExpectedRunMs()) * time.Millisecond
	return place.Job{
		ID:              j.spec.GetId(),
		Customer:        j.spec.GetCustomer(),
		Class:           j.spec.GetJobClass(),
		Service:         j.spec.GetService(),
		Tasks:           int(j.spec.GetTasks()),
		Accelerators:    int(j.spec.GetAccelerators()),
		Adjacency:       ParseAdjacency(j.spec.GetAdjacency()),
		Idempotent:      j.spec.GetIdempotent(),
		Checkpointable:  j.spec.GetCheckpointable(),
		Urgent:          j.spec.GetUrgent(),
		StopTime:        time.Duration(j.spec.GetStopMs()) * time.Millisecond,
		ExpectedRunTime: c.learner.ExpectedRunTime(j.spec.GetJobClass(), declared),
		CompletedWork:   j.resumeFrom,
		Submitted:       time.UnixMilli(j.spec.GetSubmittedUnixMs()),
		Deadline:        j.deadline,
		Avoid:           c.health.FailedWorkers(j.spec.GetId()),
	}
}

// plannedSize returns the declared size of the data centre. With it, a scheduler
// that has just taken the duty does not refuse jobs for which too few workers have
// reported yet.
func plannedSize(set *decl.Set, name string) place.Planned {
	dc, ok := decl.Lookup[*wire.DataCentre](set, name)
	if !ok {
		return place.Planned{}
	}
	planned := place.Planned{
		Workers:        int(dc.GetWorkers()),
		Accelerators:   int(dc.GetAcceleratorsPerWorker()),
		WorkersPerRack: int(dc.GetWorkersPerRack()),
	}
	for _, service := range decl.All[*wire.Service](set) {
		planned.Slots = max(planned.Slots, int(service.GetSlots()))
	}
	return planned
}

// minRunBeforeMove is how long a job runs before the policy may move it, so that
// jobs do not displace each other before they have made progress.
const minRunBeforeMove = time.Minute

// preservedWork returns how much of a run of the given length a preemption would
// keep, less minRunBeforeMove: agents checkpoint a task when they stop it. The
// policy moves only jobs for which it is above 0. It is 0 for a job that is not
// idempotent, because a failed checkpoint would end the job; such a job is
// preempted only where a guarantee needs its accelerators.
func preservedWork(job *wire.Job, ran time.Duration) time.Duration {
	if !job.GetCheckpointable() || !job.GetIdempotent() {
		return 0
	}
	return max(0, ran-minRunBeforeMove)
}

// ParseAdjacency returns the adjacency that a declaration names; the default is
// the data centre.
func ParseAdjacency(text string) place.Adjacency {
	switch text {
	case "worker":
		return place.SameWorker
	case "rack":
		return place.SameRack
	}
	return place.SameDataCentre
}

// updateGuarantees computes, for a new version of the configuration, the part of
// each guarantee that this data centre must keep free or reclaimable.
func (s *Scheduler) updateGuarantees(c *control) {
	set := s.opts.Config()
	if c.guaranteesKnown && set.Version() == c.guaranteesVersion {
		return
	}
	c.guaranteesKnown, c.guaranteesVersion = true, set.Version()
	c.guarantees = nil
	shapes := decl.ReclaimableShapes(set, nil, s.opts.DataCentre)
	for name, g := range decl.All[*wire.Guarantee](set) {
		if shapes[name] == 0 {
			continue
		}
		c.guarantees = append(c.guarantees, place.Guarantee{
			Name:          name,
			Customer:      g.GetCustomer(),
			Accelerators:  int(g.GetAccelerators()),
			Adjacency:     ParseAdjacency(g.GetAdjacency()),
			Count:         shapes[name],
			ReclaimWithin: conf.Duration(g.GetReclaimWithin()),
		})
	}
}

// policyCustomers returns the declared customers as the policy sees them.
func policyCustomers(set *decl.Set) []place.Customer {
	var list []place.Customer
	for name, customer := range decl.All[*wire.Customer](set) {
		list = append(list, place.Customer{
			Name:   name,
			Quota:  int(customer.GetAcceleratorQuota()),
			Weight: customer.GetWeight(),
		})
	}
	return list
}

// updateCustomers gives the queue the customers of a new version of the
// configuration.
func (s *Scheduler) updateCustomers(c *control) {
	if version := s.opts.Config().Version(); version != c.customersVersion {
		c.customersVersion = version
		c.queue.SetCustomers(s.admissionCustomers())
	}
}

// admissionCustomers returns the admission settings of the declared customers.
func (s *Scheduler) admissionCustomers() []admit.Customer {
	var list []admit.Customer
	for name, customer := range decl.All[*wire.Customer](s.opts.Config()) {
		list = append(list, admit.Customer{
			Name:   name,
			Weight: customer.GetWeight(),
			Limit:  int(customer.GetQueueLimit()),
		})
	}
	return list
}

// readyAccelerators returns the number of accelerators of the workers in use, from
// which the queue estimates waits.
func readyAccelerators(workers []place.Worker) int {
	sum := 0
	for _, w := range workers {
		if w.Ready && !w.SetAside {
			sum += w.Accelerators
		}
	}
	return sum
}
