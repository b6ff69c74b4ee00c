package trace

import (
	"container/heap"
	"fmt"
	"time"

	"catkinpoint/place"
)

const (
	// tickEvery is the time between two decisions while jobs wait and nothing
	// else happens.
	tickEvery = 30 * time.Second
	// failAfter is how long a task takes to fail on a worker that fails everything.
	failAfter = 2 * time.Second
	// lastEnd is the multiple of the trace's length after which jobs that
	// have not ended count as stuck.
	lastEnd = 4
	// returnStep and returnShare give the load that a returning data centre takes.
	returnStep  = 5 * time.Second
	returnShare = 0.25
)

// epoch is the time at which every replay starts.
var epoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// phase is where a job is.
type phase int

const (
	waiting phase = iota // no data centre in service takes it
	queued
	running
	stopping
	done
	cancelled
	refused
	failed
)

// item is one job during the replay.
type item struct {
	*Job
	class    *Class
	phase    phase
	site     *site
	version  int // events of an earlier run are dropped
	kept     time.Duration
	began    time.Duration // of the present run
	first    time.Duration // start of the first run
	started  bool
	held     bool // fitted the unused guarantee of its customer when queued first
	ended    time.Duration
	refusals map[*site]bool
}

// site is one data centre during the replay.
type site struct {
	*DataCentre
	state  place.State
	dirty  bool
	ticker bool
}

type eventKind int

const (
	submitEvent eventKind = iota
	cancelEvent
	endEvent
	failEvent
	stoppedEvent
	leaveEvent
	returnEvent
	tickEvent
)

type event struct {
	at      time.Duration
	seq     int
	kind    eventKind
	item    *item
	version int
	site    *site
	step    int
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(a, b int) bool {
	if e[a].at != e[b].at {
		return e[a].at < e[b].at
	}
	return e[a].seq < e[b].seq
}
func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// replay is the state of one run of a trace under a policy.
type replay struct {
	trace   *Trace
	policy  place.Policy
	sites   []*site
	items   map[string]*item
	queue   events
	seq     int
	now     time.Duration
	learner *place.Learner
	health  *place.Health
	meter   meter
}

// Replay runs the trace under the policy on a virtual clock until every job
// has ended, and returns what was measured.
func Replay(t *Trace, p place.Policy) (*Outcome, error) {
	r := newReplay(t, p)
	for len(r.queue) > 0 {
		at := r.queue[0].at
		if at > lastEnd*t.Length {
			break
		}
		r.meter.advance(r, at)
		r.now = at
		for len(r.queue) > 0 && r.queue[0].at == at {
			r.handle(heap.Pop(&r.queue).(event))
		}
		for _, s := range r.sites {
			if err := r.decide(s); err != nil {
				return nil, Error.New("%s under %s at %v: %w", t.Name, p.Name(), r.now, err)
			}
		}
	}
	return r.outcome()
}

func newReplay(t *Trace, p place.Policy) *replay {
	r := &replay{
		trace: t, policy: p, items: make(map[string]*item, len(t.Jobs)),
		learner: place.NewLearner(), health: place.NewHealth(place.HealthOptions{}),
	}
	for i := range t.DataCentres {
		d := &t.DataCentres[i]
		s := &site{DataCentre: d, state: place.State{
			DataCentre: d.Name, InService: true, CapacityShare: 1,
			Guarantees: d.Guarantees, Customers: t.Customers,
		}}
		for w := range d.Workers {
			s.state.Workers = append(s.state.Workers, place.Worker{
				Name: fmt.Sprintf("%s-%d", d.Name, w), Rack: fmt.Sprintf("%s-r%d", d.Name, w/d.WorkersPerRack),
				Accelerators: d.Accelerators, Slots: d.Slots, Ready: true,
			})
		}
		r.sites = append(r.sites, s)
		if d.Returns > 0 {
			r.push(event{at: d.Leaves, kind: leaveEvent, site: s})
			r.push(event{at: d.Returns, kind: returnEvent, site: s})
		}
	}
	for i := range t.Jobs {
		j := &t.Jobs[i]
		it := &item{Job: j, class: &t.Classes[j.Class], refusals: make(map[*site]bool)}
		r.items[j.ID] = it
		r.push(event{at: j.Submitted, kind: submitEvent, item: it})
		if j.Cancelled > 0 {
			r.push(event{at: max(j.Cancelled, j.Submitted), kind: cancelEvent, item: it})
		}
	}
	return r
}

func (r *replay) push(e event) {
	r.seq++
	e.seq = r.seq
	heap.Push(&r.queue, e)
}

func (r *replay) handle(e event) {
	if e.item != nil && e.kind != submitEvent && e.kind != cancelEvent && e.version != e.item.version {
		return
	}
	switch e.kind {
	case submitEvent:
		r.route(e.item)
	case cancelEvent:
		r.cancel(e.item)
	case endEvent:
		r.end(e.item)
	case failEvent:
		r.fail(e.item)
	case stoppedEvent:
		r.remove(e.item)
		r.route(e.item)
	case leaveEvent:
		r.leave(e.site)
	case returnEvent:
		r.giveBack(e.site, e.step)
	case tickEvent:
		e.site.ticker = false
		e.site.dirty = true
	}
}

// remove takes a job out of the running ones of its site.
func (r *replay) remove(it *item) place.Running {
	s := it.site
	s.dirty = true
	for i := range s.state.Running {
		if s.state.Running[i].Job.ID == it.ID {
			run := s.state.Running[i]
			s.state.Running = append(s.state.Running[:i:i], s.state.Running[i+1:]...)
			return run
		}
	}
	return place.Running{}
}

// dequeue takes a job out of the queue of its site.
func (r *replay) dequeue(it *item) place.Job {
	q := it.site.state.Queue
	for i := range q {
		if q[i].ID == it.ID {
			j := q[i]
			it.site.state.Queue = append(q[:i:i], q[i+1:]...)
			return j
		}
	}
	return place.Job{}
}

func (r *replay) finish(it *item, p phase) {
	it.version++
	it.phase, it.ended = p, r.now
	r.health.ForgetJob(it.ID)
}

func (r *replay) end(it *item) {
	run := r.remove(it)
	for _, w := range run.Workers {
		r.health.RecordSuccess(it.ID, w, epoch.Add(r.now))
	}
	r.learner.RecordRunTime(it.class.Name, it.RunTime)
	r.finish(it, done)
}

func (r *replay) fail(it *item) {
	run := r.remove(it)
	at := run.Workers[0]
	for _, w := range run.Workers {
		if r.broken(w) {
			at = w
		}
	}
	it.version++
	if r.health.RecordFailure(it.ID, at, epoch.Add(r.now)) {
		r.finish(it, failed)
		return
	}
	r.route(it)
}

func (r *replay) cancel(it *item) {
	switch it.phase {
	case queued:
		r.dequeue(it)
	case running, stopping:
		r.meter.throw(it, r.ran(it), r.now)
		r.remove(it)
	case waiting:
	default:
		return
	}
	r.finish(it, cancelled)
}

// ran is the time for which the present run has worked.
func (r *replay) ran(it *item) time.Duration {
	return r.now - it.began
}

// broken reports whether the worker fails every task now.
func (r *replay) broken(worker string) bool {
	for _, f := range r.trace.Faults {
		if f.Worker == worker && f.From <= r.now && r.now < f.Until {
			return true
		}
	}
	return false
}

func (r *replay) leave(s *site) {
	s.state.InService = false
	s.dirty = true
	moved := s.state.Queue
	s.state.Queue = nil
	for _, j := range moved {
		r.route(r.items[j.ID])
	}
}

func (r *replay) giveBack(s *site, step int) {
	s.state.InService = true
	s.state.CapacityShare = min(1, returnShare*float64(step+1))
	s.dirty = true
	if s.state.CapacityShare < 1 {
		r.push(event{at: r.now + returnStep, kind: returnEvent, site: s, step: step + 1})
	}
	if step > 0 {
		return
	}
	for i := range r.trace.Jobs {
		if it := r.items[r.trace.Jobs[i].ID]; it.phase == waiting && it.Submitted <= r.now {
			r.route(it)
		}
	}
}
