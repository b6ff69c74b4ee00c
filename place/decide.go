package place

import "time"

// Options configures Main; a zero field takes its default.
type Options struct {
	// LargeJobSize is the number of accelerators from which a job counts as
	// large (default 8). Only large jobs get a reservation.
	LargeJobSize int
	// StarvationRatio is the ratio of wait to remaining run time from which a
	// large job counts as starving and may get a reservation (default 2). A
	// lower ratio shortens the wait of large jobs and lengthens the mean
	// completion time.
	StarvationRatio float64
	// BackfillSlack is the factor by which a backfilled job may exceed its
	// remaining run time without delaying a reservation (default 1.5).
	BackfillSlack float64
	// PreemptionMargin is the factor by which the gain of a preemption must
	// exceed its cost (default 8). It is above 1 because both are computed from
	// learned run times, which are inexact.
	PreemptionMargin float64
	// MaxStretch bounds the stretch of a job, the weight that it has in the gain
	// and cost of a preemption and that grows with its wait (default 4).
	MaxStretch float64
}

// Main is the policy that schedulers run. It serves jobs within guarantees
// first, then urgent jobs, then the rest by the least remaining work, and uses
// reservations with backfill and preemption.
type Main struct {
	options Options
}

// New returns the policy with the given options.
func New(o Options) *Main {
	if o.LargeJobSize == 0 {
		o.LargeJobSize = 8
	}
	if o.StarvationRatio == 0 {
		o.StarvationRatio = 2
	}
	if o.BackfillSlack == 0 {
		o.BackfillSlack = 1.5
	}
	if o.PreemptionMargin == 0 {
		o.PreemptionMargin = 8
	}
	if o.MaxStretch == 0 {
		o.MaxStretch = 4
	}
	return &Main{options: o}
}

// Name returns the policy's name in reports.
func (m *Main) Name() string {
	return "main"
}

// Decide returns the actions to take now, in order.
func (m *Main) Decide(s *State, now time.Time) []Action {
	if !s.InService {
		return nil
	}
	d := &decision{view: newView(s, now), options: &m.options, refusals: newRefusalChecker(s), noFit: make(map[fitKey]bool), reclaiming: make(map[int]bool)}
	d.backfillSlack, d.largeJobSize = m.options.BackfillSlack, m.options.LargeJobSize
	for i := range d.totals {
		d.totalUsage += d.totals[i].usage
		d.totalWeight += d.totals[i].weight
	}
	d.scheduleAll(d.buildQueue())
	return d.actions
}

// decision is the state of one call of Main.Decide.
type decision struct {
	*view
	options  *Options
	actions  []Action
	refusals *refusalChecker
	noFit    map[fitKey]bool // jobs that fitted nowhere
	// reclaiming has the customers with a job that waits for borrowers to stop.
	reclaiming   map[int]bool
	gainAttempts int // calls of preemptForGain that looked for victims
	// totalUsage and totalWeight are sums over the customers.
	totalUsage  int
	totalWeight float64
}

// buildQueue returns the jobs in the order of service. It refuses jobs that
// are too large for the data centre or for their customers' quotas.
func (d *decision) buildQueue() []queuedJob {
	jobs := make([]queuedJob, 0, len(d.state.Queue))
	for i := range d.state.Queue {
		j := d.newQueuedJob(&d.state.Queue[i])
		if reason := d.refusals.sizeReason(&j); reason != "" {
			d.actions = append(d.actions, Action{Refuse: &Refuse{JobID: j.ID, Reason: reason}})
			continue
		}
		jobs = append(jobs, j)
	}
	d.sortQueue(jobs)
	return jobs
}

// scheduleAll schedules the queue in order, except that the starving job, if
// there is one, goes before all jobs that are neither urgent nor within a
// guarantee. If it can't start, it gets a reservation.
func (d *decision) scheduleAll(queue []queuedJob) {
	starving := d.findStarving(queue)
	starvingTried := starving < 0
	for i := range queue {
		if queue[i].tier == tierOther && !starvingTried {
			starvingTried = true
			j := &queue[starving]
			if !d.schedule(j) && !d.preempt(j, d.preemptibleByStarving, "job "+j.ID+" starves") {
				d.reserve(j)
			}
		}
		if i != starving {
			d.schedule(&queue[i])
		}
	}
}

// fitKey identifies jobs that fit on the same workers. Free capacity only
// shrinks during a decision, so that after one job has fitted nowhere, jobs
// with the same key need not be tried.
type fitKey struct {
	sizeKey
	borrower, idempotent, checkpointable bool
	remaining                            time.Duration
}

func (j *queuedJob) fitKey() fitKey {
	return fitKey{j.sizeKey(), j.borrower, j.Idempotent, j.Checkpointable, j.remaining()}
}

// schedule places the job, refuses it, or claims room for it that other jobs
// release, which are stopping already or which it preempts. It reports whether it
// did any of these.
func (d *decision) schedule(j *queuedJob) bool {
	// While a job of the customer waits for a reclaim, the customer's jobs that
	// are neither urgent nor within the guarantee don't start: they would count
	// towards the guarantee, and the waiting job would no longer be within it.
	if !d.withinLimits(j) || j.tier == tierOther && d.reclaiming[j.customer] {
		return false
	}
	key := j.fitKey()
	if !d.noFit[key] || len(j.Avoid) > 0 {
		if placement := d.fit(j, d.bestFit); placement != nil {
			d.actions = append(d.actions, d.commit(j, placement))
			return true
		}
		if reason := d.refusals.guaranteeReason(j); reason != "" {
			d.actions = append(d.actions, Action{Refuse: &Refuse{JobID: j.ID, Reason: reason}})
			return true
		}
		d.noFit[key] = len(j.Avoid) == 0
	}
	if j.tier <= tierEntitled && d.preempt(j, d.reclaimableBy(j.customer), "reclaimed for "+j.Customer) {
		d.reclaiming[j.customer] = true
		return true
	}
	if j.Urgent {
		return d.preempt(j, d.preemptibleByUrgent(j.customer), "urgent job "+j.ID)
	}
	return d.preemptForGain(j)
}

// preempt makes room for the job with what stopping jobs release and by
// stopping jobs that the filter allows. It reports whether that is enough;
// otherwise it changes nothing.
func (d *decision) preempt(j *queuedJob, allowed victimFilter, reason string) bool {
	p, ok := d.planPreemption(j, allowed)
	if ok {
		d.actions = append(d.actions, d.executePlan(j, p, reason)...)
	}
	return ok
}

// preemptibleByUrgent returns a filter of the jobs that an urgent job of the
// customer may preempt: those that are not urgent, except jobs of other
// customers within their guarantees, which would reclaim their accelerators.
func (v *view) preemptibleByUrgent(customer int) victimFilter {
	return func(_ *node, r *runningJob) bool {
		return !r.Job.Urgent && (r.customer == customer || v.exceedsGuarantee(r))
	}
}

// exceedsGuarantee reports whether the customer's other jobs use all that is
// guaranteed to it. If so, the job is not entitled to start again at once when
// it is preempted.
func (v *view) exceedsGuarantee(r *runningJob) bool {
	totals := &v.totals[r.customer]
	return totals.usage-r.Job.Tasks*r.Job.Accelerators >= totals.guaranteed
}
