package place

import "time"

// Options tunes Main; a zero field takes its default.
type Options struct{}

// Main is the policy in use.
type Main struct {
	options Options
}

// New returns the policy with the given options.
func New(o Options) *Main {
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
	d := &decision{view: newView(s, now)}
	for i := range d.tallies {
		d.used += d.tallies[i].usage
		d.weights += d.tallies[i].weight
	}
	queue := d.queue()
	for i := range queue {
		d.serve(&queue[i])
	}
	return d.actions
}

// decision collects the actions of one call.
type decision struct {
	*view
	actions []Action
	// used and weights are sums over the customers.
	used    int
	weights float64
}

// queue returns the jobs that can run, in the order of service.
func (d *decision) queue() []request {
	requests := make([]request, 0, len(d.state.Queue))
	refuse := refuser{view: d.view}
	for i := range d.state.Queue {
		j := d.request(&d.state.Queue[i])
		if reason := refuse.reason(&j); reason != "" {
			d.actions = append(d.actions, Action{Refuse: &Refuse{JobID: j.ID, Reason: reason}})
			continue
		}
		requests = append(requests, j)
	}
	d.sorted(requests)
	return requests
}

func (d *decision) serve(j *request) {
	if !d.permitted(j) {
		return
	}
	if seats := d.fit(j, d.bestFit); seats != nil {
		d.actions = append(d.actions, d.book(j, seats))
		return
	}
	if j.rank <= entitledRank && d.preempt(j, d.lentTo(j.customer), "reclaimed for "+j.Customer) {
		return
	}
	if j.Urgent {
		d.preempt(j, d.forUrgent(j.customer), "urgent job "+j.ID)
	}
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
		if t.Job.Urgent {
			return false
		}
		o := &v.tallies[t.customer]
		return t.customer == customer || o.usage > o.guaranteed
	}
}
