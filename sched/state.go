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

// permitReserve is the least validity of the permit for a placement; a task
// placed on less would be refused by its agent.
const permitReserve = time.Second

// maxConsidered bounds the waiting jobs of one decision, in fair order, and so
// the time that the decision takes.
const maxConsidered = 1000

// maxPermitAge is the age up to which agents accept a permit.
const maxPermitAge = 3 * time.Second

// state builds what the policy decides on.
func (s *Scheduler) state(c *control, now time.Time) *place.State {
	set := s.opts.Config()
	p := s.opts.Permit()
	s.followGuarantees(c)
	state := &place.State{
		DataCentre:    s.opts.DataCentre,
		InService:     p.InService && p.Remaining(now, maxPermitAge) >= permitReserve,
		CapacityShare: s.capacityShare(c, now),
		Workers:       s.placeWorkers(c, p.Draining, now),
		Running:       c.placeRunning(now),
		Guarantees:    c.guarantees,
		Customers:     customersOf(set),
		Reservation:   c.reservation,
		Planned:       plannedOf(set, s.opts.DataCentre),
	}
	c.queue.SetService(readyAccelerators(state.Workers), now)
	for item := range c.queue.All() {
		if len(state.Queue) == maxConsidered {
			break
		}
		if j := item.Value; !now.Before(j.notUntil) {
			waiting := c.placeJob(j)
			if len(waiting.Avoid) > 0 && !place.Fits(state, &waiting) {
				// Too few other workers are left: the job is tried again where it
				// has failed, up to its last attempt, instead of waiting for good.
				waiting.Avoid = nil
			}
			state.Queue = append(state.Queue, waiting)
		}
	}
	return state
}

func (s *Scheduler) placeWorkers(c *control, draining []string, now time.Time) []place.Worker {
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
			Ready:        w.acked && !leaving && now.Sub(w.lastSeen) < s.opts.Limits.WorkerSilence,
		})
	}
	// A fixed order makes decisions repeatable.
	slices.SortFunc(workers, func(a, b place.Worker) int { return strings.Compare(a.Name, b.Name) })
	return workers
}

// placeRunning lists what holds accelerators, orphans included.
func (c *control) placeRunning(now time.Time) []place.Running {
	list := make([]place.Running, 0, len(c.attempts)+len(c.orphans))
	for _, a := range c.attempts {
		r := place.Running{
			Job:          c.placeJob(a.job),
			Started:      a.placed,
			Stopping:     a.coord.Phase == gang.Stopping,
			Checkpointed: savable(a.job.spec, now.Sub(a.placed)),
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
			Started: o.seen,
		})
	}
	slices.SortFunc(list, func(a, b place.Running) int { return strings.Compare(a.Job.ID, b.Job.ID) })
	return list
}

func (c *control) placeJob(j *job) place.Job {
	declared := time.Duration(j.spec.GetExpectedRunMs()) * time.Millisecond
	return place.Job{
		ID:             j.spec.GetId(),
		Customer:       j.spec.GetCustomer(),
		Class:          j.spec.GetJobClass(),
		Service:        j.spec.GetService(),
		Tasks:          int(j.spec.GetTasks()),
		Accelerators:   int(j.spec.GetAccelerators()),
		Adjacency:      ParseAdjacency(j.spec.GetAdjacency()),
		Idempotent:     j.spec.GetIdempotent(),
		Checkpointable: j.spec.GetCheckpointable(),
		Urgent:         j.spec.GetUrgent(),
		StopTime:       time.Duration(j.spec.GetStopMs()) * time.Millisecond,
		Expected:       c.learner.Expected(j.spec.GetJobClass(), declared),
		Done:           j.resume,
		Submitted:      time.UnixMilli(j.spec.GetSubmittedUnixMs()),
		Deadline:       j.deadline,
		Avoid:          c.health.Avoid(j.spec.GetId()),
	}
}

// plannedOf is the declared size of the data centre, so that a scheduler that
// has just taken the duty refuses nothing for lack of reports.
func plannedOf(set *decl.Set, name string) place.Planned {
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

// minMoveRun is the time for which a job runs before the policy may move it, so
// that jobs do not displace each other before they get anywhere.
const minMoveRun = time.Minute

// savable is the work of a run that a preemption would keep: agents checkpoint
// a task when they stop it. The policy moves only jobs that have some. Work that
// must run once counts as having none, because a failed checkpoint would end it;
// it is preempted only where a guarantee needs it.
func savable(job *wire.Job, ran time.Duration) time.Duration {
	if !job.GetCheckpointable() || !job.GetIdempotent() {
		return 0
	}
	return max(0, ran-minMoveRun)
}

// ParseAdjacency returns the domain that a declaration names.
func ParseAdjacency(text string) place.Adjacency {
	switch text {
	case "worker":
		return place.SameWorker
	case "rack":
		return place.SameRack
	}
	return place.SameDataCentre
}

// followGuarantees works out, for a new configuration, what the data centre
// must keep reclaimable.
func (s *Scheduler) followGuarantees(c *control) {
	set := s.opts.Config()
	if c.guaranteesKnown && set.Version() == c.guaranteesVersion {
		return
	}
	c.guaranteesKnown, c.guaranteesVersion = true, set.Version()
	c.guarantees = nil
	held := decl.Holdings(set, nil, s.opts.DataCentre)
	for name, g := range decl.All[*wire.Guarantee](set) {
		if held[name] == 0 {
			continue
		}
		c.guarantees = append(c.guarantees, place.Guarantee{
			Name:          name,
			Customer:      g.GetCustomer(),
			Accelerators:  int(g.GetAccelerators()),
			Adjacency:     ParseAdjacency(g.GetAdjacency()),
			Count:         held[name],
			ReclaimWithin: conf.Duration(g.GetReclaimWithin()),
		})
	}
}

func customersOf(set *decl.Set) []place.Customer {
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

// followCustomers applies the customers' settings of a new configuration.
func (s *Scheduler) followCustomers(c *control) {
	if version := s.opts.Config().Version(); version != c.customersVersion {
		c.customersVersion = version
		c.queue.SetCustomers(s.customers())
	}
}

// customers lists the admission settings of the declared customers.
func (s *Scheduler) customers() []admit.Customer {
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

// readyAccelerators is what serves the queue, for its estimate of waits.
func readyAccelerators(workers []place.Worker) int {
	sum := 0
	for _, w := range workers {
		if w.Ready && !w.SetAside {
			sum += w.Accelerators
		}
	}
	return sum
}
