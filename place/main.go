package place

import "time"

// Options tunes Main; a zero field takes its default.
type Options struct {
	// GangSize is the number of accelerators from which a waiting job may get
	// a reservation (default 8).
	GangSize int
	// StarveRatio is the wait over the expected run time from which it gets
	// one (default 2). A lower ratio shortens the wait of
	// large jobs and lengthens the mean completion time.
	StarveRatio float64
	// Slack is the factor by which a backfilled job may exceed its expected
	// run time without delaying a reservation (default 1.5).
	Slack float64
	// Margin is the factor by which the gain of a preemption must exceed its
	// cost, since both rest on learned run times (default 8).
	Margin float64
	// Stretch bounds the weight that a long wait gives to a job (default 4).
	Stretch float64
}

// Main is the policy in use.
type Main struct {
	options Options
}

// New returns the policy with the given options.
func New(o Options) *Main {
	if o.GangSize == 0 {
		o.GangSize = 8
	}
	if o.StarveRatio == 0 {
		o.StarveRatio = 2
	}
	if o.Slack == 0 {
		o.Slack = 1.5
	}
	if o.Margin == 0 {
		o.Margin = 8
	}
	if o.Stretch == 0 {
		o.Stretch = 4
	}
	return &Main{options: o}
}

// Name is the policy's name in reports.
func (m *Main) Name() string {
	return "main"
}

// Decide returns the actions to take now, in order.
func (m *Main) Decide(s *State, now time.Time) []Action {
	if !s.InService {
		return nil
	}
	d := &decision{view: newView(s, now), options: &m.options, refuse: newRefuser(s), failed: make(map[fitKey]bool), reclaiming: make(map[int]bool)}
	d.slack, d.gangSize = m.options.Slack, m.options.GangSize
	for i := range d.tallies {
		d.used += d.tallies[i].usage
		d.weights += d.tallies[i].weight
	}
	d.serveAll(d.queue())
	return d.actions
}

// decision collects the actions of one call.
type decision struct {
	*view
	options *Options
	actions []Action
	refuse  *refuser
	failed  map[fitKey]bool
	// reclaiming has the customers with a job that waits for lent work to stop.
	reclaiming map[int]bool
	moves      int // tries in this decision
	// used and weights are sums over the customers.
	used    int
	weights float64
}

// queue returns the jobs that can run, in the order of service.
func (d *decision) queue() []request {
	requests := make([]request, 0, len(d.state.Queue))
	for i := range d.state.Queue {
		j := d.request(&d.state.Queue[i])
		if reason := d.refuse.size(&j); reason != "" {
			d.actions = append(d.actions, Action{Refuse: &Refuse{JobID: j.ID, Reason: reason}})
			continue
		}
		requests = append(requests, j)
	}
	d.sorted(requests)
	return requests
}

// serveAll serves the queue in order. The starving job comes before other
// work that is neither urgent nor within a guarantee.
func (d *decision) serveAll(queue []request) {
	starving := d.starving(queue)
	tried := starving < 0
	for i := range queue {
		if queue[i].rank == otherRank && !tried {
			tried = true
			j := &queue[starving]
			if !d.serve(j) && !d.preempt(j, d.forStarving, "job "+j.ID+" starves") {
				d.reserve(j)
			}
		}
		if i != starving {
			d.serve(&queue[i])
		}
	}
}

// fitKey identifies jobs that fit the same places. What is free only shrinks
// during a decision, so that a job need not be tried after an equal one.
type fitKey struct {
	sizeKey
	lent, idempotent, checkpointable bool
	left                             time.Duration
}

func (r *request) fitKey() fitKey {
	return fitKey{r.sizeKey(), r.lent, r.Idempotent, r.Checkpointable, r.remaining()}
}

// serve places the job or frees room for it, and reports whether it did.
func (d *decision) serve(j *request) bool {
	// Other work of a customer that waits for a reclaim would count towards
	// its guarantee, and the waiting job would lose its claim.
	if !d.permitted(j) || j.rank == otherRank && d.reclaiming[j.customer] {
		return false
	}
	key := j.fitKey()
	if !d.failed[key] || len(j.Avoid) > 0 {
		if seats := d.fit(j, d.bestFit); seats != nil {
			d.actions = append(d.actions, d.book(j, seats))
			return true
		}
		if reason := d.refuse.guarantees(j); reason != "" {
			d.actions = append(d.actions, Action{Refuse: &Refuse{JobID: j.ID, Reason: reason}})
			return true
		}
		d.failed[key] = len(j.Avoid) == 0
	}
	if j.rank <= entitledRank && d.preempt(j, d.lentTo(j.customer), "reclaimed for "+j.Customer) {
		d.reclaiming[j.customer] = true
		return true
	}
	if j.Urgent {
		return d.preempt(j, d.forUrgent(j.customer), "urgent job "+j.ID)
	}
	return d.move(j)
}

func (d *decision) preempt(j *request, may allow, reason string) bool {
	p, ok := d.planPreempt(j, may)
	if ok {
		d.actions = append(d.actions, d.execute(j, p, reason)...)
	}
	return ok
}

// forUrgent allows the preemption of work that is not urgent, except what
// other customers run within their guarantees: they would reclaim it.
func (v *view) forUrgent(customer int) allow {
	return func(_ *node, t *task) bool {
		return !t.Job.Urgent && (t.customer == customer || v.beyond(t))
	}
}

// beyond reports whether the task runs beside its customer's guarantees, so
// that it is not entitled to start again at once when it is preempted.
func (v *view) beyond(t *task) bool {
	o := &v.tallies[t.customer]
	return o.usage-t.Job.Tasks*t.Job.Accelerators >= o.guaranteed
}
