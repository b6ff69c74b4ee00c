package shed

import (
	"slices"
	"time"

	"catkinpoint/plan"
)

const (
	// Horizon is how far a forecast reaches. Work that has not started by then has no known
	// start.
	Horizon = 2 * time.Minute
	// ReturnTime is when workers that are not usable now count again. Most are banned, cut off
	// or being replaced for some seconds.
	ReturnTime = 5 * time.Second
	// ArrivalMemory is the time in which as many jobs are expected to come as have come in the
	// last. What is known of a burst is that it has lasted until now; a longer time would
	// expect it to go on for longer than it has lasted.
	ArrivalMemory = 10 * time.Second
	// minRemaining is the least expected remaining time of a run, as in package plan. It
	// applies to runs that have exceeded their declared time.
	minRemaining = 400 * time.Millisecond
	// maxChecks bounds the tests of a worker for room in one forecast. Beyond it there is no
	// forecast.
	maxChecks = 1_000_000
)

// Worker is a worker of the service of a Load.
type Worker struct {
	Free plan.Resources
	// Away is set if the worker is not usable now and is expected back after ReturnTime, then
	// with Free as its whole capacity.
	Away   bool
	Labels []string
}

// Hold is room that a run holds on a worker, by index, until its expected end.
type Hold struct {
	Worker int
	Need   plan.Resources
	Until  time.Duration
}

// Load is what a service's workers have to do and the room that they have.
type Load struct {
	Workers []Worker
	Holds   []Hold
	// Waiting are the ready units, in the order in which they start.
	Waiting []plan.Request
	// Arrivals are the jobs that were accepted within ArrivalMemory.
	Arrivals []Arrival
}

// Arrival is a job that was accepted some time ago.
type Arrival struct {
	Age time.Duration
	// Steps has one unit of each of its steps.
	Steps []plan.Request
}

// known reports whether a forecast can rest on the load: if half of the workers or more are
// away, they were lost at once and may return at once.
func (l *Load) known() bool {
	away := 0
	for i := range l.Workers {
		if l.Workers[i].Away {
			away++
		}
	}
	return 2*away < len(l.Workers)
}

// ahead returns how many of the waiting units come before a unit.
func (l *Load) ahead(unit *plan.Request) int {
	n, _ := slices.BinarySearchFunc(l.Waiting, *unit, func(a, b plan.Request) int {
		if plan.Before(b, a) {
			return 1
		}
		return -1 // equal ones were there before
	})
	return n
}

// group is equal units of work.
type group struct {
	need      plan.Resources // of each task
	tasks     int            // of a unit, which start together
	units     int            // that have not started
	duration  time.Duration
	label     string // that the workers must have, or ""
	notBefore time.Duration
	after     []int // groups that must have ended before
	// slack and deadline are as in plan.Request, and urgent is set for priority 0.
	slack, deadline time.Duration
	urgent          bool

	begun   bool
	start   time.Duration // of the first unit
	end     time.Duration // of the last unit that has started
	running int           // units
}

// groupsOf joins neighbouring units that need the same.
func groupsOf(requests []plan.Request) []group {
	var groups []group
	for i := range requests {
		r := &requests[i]
		if i > 0 && requests[i-1].Unit.Job == r.Unit.Job && requests[i-1].Unit.Step == r.Unit.Step {
			groups[len(groups)-1].units++
			continue
		}
		groups = append(groups, groupOf(r))
	}
	return groups
}

// groupOf returns a group with one unit.
func groupOf(r *plan.Request) group {
	return group{
		need: r.Need, tasks: len(r.Unit.Tasks), units: 1, duration: r.Duration, label: r.Unit.Step.GetRequiredLabel(),
		slack: r.Slack, deadline: r.DeadlineSlack, urgent: r.Unit.Job.Spec.GetPriority() == 0,
	}
}

// Classes of precedence, as in plan.Before. Within a class, groups start in the order of the
// list. The class of a group changes while it waits.
const (
	classUrgent = iota
	classUrgentLate
	classOrdinary
	classLate
	classUseless
	classes
)

// class returns the class of a group at a time.
func (g *group) class(now time.Duration) int {
	switch {
	case now >= g.deadline:
		return classUseless
	case g.urgent && now < g.slack:
		return classUrgent
	case g.urgent:
		return classUrgentLate
	case now < g.slack:
		return classOrdinary
	}
	return classLate
}

// simulation carries out the work of some groups on the workers of a load: at each end of a
// run, each unit starts that fits, in order. Unlike package plan it knows no racks and no
// reservations, stops nothing, and each run takes as long as expected.
type simulation struct {
	workers []Worker
	free    []plan.Resources
	groups  []group
	events  eventHeap
	now     time.Duration
	checks  int
	changed []int // workers with room that was not there before
	slots   []int // scratch space of placeGang
}

func newSimulation(l *Load, groups []group) *simulation {
	s := &simulation{workers: l.Workers, groups: groups, free: make([]plan.Resources, len(l.Workers))}
	for i := range l.Workers {
		if l.Workers[i].Away {
			s.events.push(event{at: ReturnTime, worker: i, room: l.Workers[i].Free, group: -1})
			continue
		}
		s.free[i] = l.Workers[i].Free
		s.changed = append(s.changed, i)
	}
	for _, h := range l.Holds {
		s.events.push(event{at: max(h.Until, minRemaining), worker: h.Worker, room: h.Need, group: -1})
	}
	for i := range groups {
		if groups[i].notBefore > 0 {
			s.events.push(event{at: groups[i].notBefore, worker: -1, group: -1})
		}
	}
	return s
}

// run carries on until all units of the groups from first until before end have started and
// reports whether they have, by a time.
func (s *simulation) run(first, end int, until time.Duration) bool {
	for {
		s.startUnits()
		if !slices.ContainsFunc(s.groups[first:end], func(g group) bool { return g.units > 0 }) {
			return true
		}
		if !s.nextEvents(until) || s.checks > maxChecks {
			return false
		}
	}
}

// nextEvents applies the next events, all of the same time, and reports whether there are any
// by a time.
func (s *simulation) nextEvents(until time.Duration) bool {
	s.changed = s.changed[:0]
	if len(s.events) == 0 || s.events[0].at > until {
		return false
	}
	s.now = s.events[0].at
	for len(s.events) > 0 && s.events[0].at == s.now {
		e := s.events.pop()
		if e.worker < 0 {
			// Time has come for work that was not to start before: it may fit anywhere.
			s.changed = s.changed[:0]
			for i := range s.workers {
				s.changed = append(s.changed, i)
			}
		} else {
			s.free[e.worker] = s.free[e.worker].Add(e.room)
			if !slices.Contains(s.changed, e.worker) {
				s.changed = append(s.changed, e.worker)
			}
		}
		if e.group >= 0 {
			s.groups[e.group].running--
			if g := &s.groups[e.group]; g.running == 0 && g.units == 0 {
				// Groups that wait for this one may fit anywhere too.
				s.events.push(event{at: s.now, worker: -1, group: -1})
			}
		}
	}
	return true
}

// startUnits starts the units that fit now. Only the workers that have changed can have room
// that was not there before.
func (s *simulation) startUnits() {
	var byClass [classes][]int
	for i := range s.groups {
		if g := &s.groups[i]; g.units > 0 && g.notBefore <= s.now && !s.blocked(g) {
			class := g.class(s.now)
			byClass[class] = append(byClass[class], i)
		}
	}
	for _, list := range byClass {
		for _, i := range list {
			s.startGroup(i)
		}
	}
}

// startGroup starts the units of a group that fit now, until the forecast has taken maxChecks.
func (s *simulation) startGroup(i int) {
	g := &s.groups[i]
	for g.units > 0 && s.checks <= maxChecks {
		w := s.fullest(g)
		if w < 0 {
			return
		}
		if g.tasks == 1 {
			s.startTask(i, w)
		} else if !s.placeGang(i) {
			return
		}
		if !g.begun {
			g.begun, g.start = true, s.now
		}
		g.units--
		g.running++
		g.end = max(g.end, s.now+g.duration)
	}
}

func (s *simulation) blocked(g *group) bool {
	for _, i := range g.after {
		if s.groups[i].units > 0 || s.groups[i].running > 0 {
			return true
		}
	}
	return false
}

// fullest returns the changed worker with the least free room on which a task of the group
// fits, or -1.
func (s *simulation) fullest(g *group) int {
	best, least := -1, 0.0
	for _, w := range s.changed {
		s.checks++
		if !s.free[w].Covers(g.need) || !s.allows(w, g) {
			continue
		}
		if room := s.free[w].CoreEquivalents(); best < 0 || room < least {
			best, least = w, room
		}
	}
	return best
}

func (s *simulation) allows(w int, g *group) bool {
	return g.label == "" || slices.Contains(s.workers[w].Labels, g.label)
}

// startTask starts a unit of one task on a worker.
func (s *simulation) startTask(i, w int) {
	g := &s.groups[i]
	s.free[w] = s.free[w].Sub(g.need)
	s.events.push(event{at: s.now + g.duration, worker: w, room: g.need, group: i})
}

// placeGang starts a unit of several tasks, if all of them fit on all workers together.
func (s *simulation) placeGang(i int) bool {
	g := &s.groups[i]
	s.slots = s.slots[:0]
	for w := range s.workers {
		s.checks++
		for left := s.free[w]; len(s.slots) < g.tasks && left.Covers(g.need) && s.allows(w, g); left = left.Sub(g.need) {
			s.slots = append(s.slots, w)
			if g.need == (plan.Resources{}) {
				break
			}
		}
	}
	if len(s.slots) < g.tasks && g.need != (plan.Resources{}) {
		return false
	}
	for n, w := range s.slots {
		s.free[w] = s.free[w].Sub(g.need)
		last := -1
		if n == len(s.slots)-1 {
			last = i
		}
		s.events.push(event{at: s.now + g.duration, worker: w, room: g.need, group: last})
	}
	return true
}

// longWait reports whether a waiting unit is expected to wait for longer than a time.
func (l *Load) longWait(wait time.Duration) bool {
	groups := groupsOf(l.Waiting)
	return len(groups) > 0 && !newSimulation(l, groups).run(0, len(groups), wait)
}
