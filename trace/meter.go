package trace

import (
	"cmp"
	"slices"
	"time"

	"catkinpoint/place"
)

// gangSize is the number of accelerators from which a job counts as a large gang.
const gangSize = 8

// Outcome is what one replay measured.
type Outcome struct {
	Trace  string
	Policy string
	// Done, Refused, Failed and Cancelled count the jobs by how they ended;
	// Stuck counts those that never ended.
	Done, Refused, Failed, Cancelled, Stuck int
	// Mean and P95 are completion times of the jobs that are not cancelled.
	Mean, P95 time.Duration
	// Bound is a lower bound of Mean for any schedule.
	Bound time.Duration
	// Makespan is the time until the last job ended; MakespanBound is its lower bound.
	Makespan, MakespanBound time.Duration
	// Stranded is the share of free accelerators that cannot serve the largest
	// guaranteed shape of their data centre, and StrandedMean their mean
	// number, both over the length of the trace.
	Stranded, StrandedMean float64
	// Gangs counts done jobs of 8 or more accelerators. GangMean and GangMost
	// are their wait: completion time less run time. GangsOver counts those
	// that waited over twice their run time.
	Gangs, GangsOver   int
	GangMean, GangMost time.Duration
	// LeaveWork is the useful work in accelerator-seconds while a data centre
	// is out of service and for as long after its return.
	LeaveWork float64
	// Thrown is the preempted work thrown away in accelerator-seconds, and
	// Preemptions the number of preemptions.
	Thrown      float64
	Preemptions int
	// Held counts the jobs that fit what was unused of their customer's
	// guarantee in their data centre when they were queued first. HeldMost is
	// their longest wait for a start.
	Held     int
	HeldMost time.Duration
}

// meter integrates over time.
type meter struct {
	at             time.Duration
	free, stranded float64
	leaveWork      float64
	thrown         float64
	preemptions    int
	window         [2]time.Duration
}

func (m *meter) advance(r *replay, to time.Duration) {
	dt := (to - m.at).Seconds()
	at := m.at
	m.at = to
	if dt <= 0 {
		return
	}
	m.window = r.trace.leaveWindow()
	for _, s := range r.sites {
		if s.state.InService && at < r.trace.Length {
			free, usable := s.freeFor()
			m.free += dt * float64(free)
			m.stranded += dt * float64(free-usable)
		}
		if m.inWindow(at) {
			m.leaveWork += dt * s.busy()
		}
	}
}

// leaveWindow is the time from a data centre's leaving until as long after its return.
func (t *Trace) leaveWindow() [2]time.Duration {
	for _, d := range t.DataCentres {
		if d.Returns > 0 {
			return [2]time.Duration{d.Leaves, 2*d.Returns - d.Leaves}
		}
	}
	return [2]time.Duration{}
}

func (m *meter) inWindow(at time.Duration) bool {
	return m.window[0] <= at && at < m.window[1]
}

// busy is the number of accelerators that work and are not stopping.
func (s *site) busy() float64 {
	sum := 0
	for i := range s.state.Running {
		if run := &s.state.Running[i]; !run.Stopping {
			sum += run.Job.Tasks * run.Job.Accelerators
		}
	}
	return float64(sum)
}

// freeFor returns the free accelerators and those among them that can serve
// the largest guaranteed shape.
func (s *site) freeFor() (free, usable int) {
	used, _ := s.used()
	shape := s.largest()
	racks := make(map[string]int) // whole free workers of each rack
	for i := range s.state.Workers {
		w := &s.state.Workers[i]
		left := w.Accelerators - used[w.Name]
		free += left
		if shape.Adjacency == place.SameWorker || shape.Accelerators <= w.Accelerators {
			usable += left / shape.Accelerators * shape.Accelerators
		} else if left == w.Accelerators {
			racks[w.Rack] += left
		}
	}
	for _, whole := range racks {
		usable += whole / shape.Accelerators * shape.Accelerators
	}
	return free, usable
}

func (s *site) largest() place.Guarantee {
	return slices.MaxFunc(s.Guarantees, func(a, b place.Guarantee) int {
		return cmp.Compare(a.Accelerators, b.Accelerators)
	})
}

// preempted counts work that a preemption threw away.
func (m *meter) preempted(it *item, lost, at time.Duration) {
	m.preemptions++
	work := lost.Seconds() * float64(it.Tasks*it.Accelerators)
	m.thrown += work
	if m.inWindow(at) {
		m.leaveWork -= (lost - it.Stop).Seconds() * float64(it.Tasks*it.Accelerators)
	}
}

// throw takes the work of a cancelled run out of the useful work.
func (m *meter) throw(it *item, ran, at time.Duration) {
	if m.inWindow(at) {
		m.leaveWork -= ran.Seconds() * float64(it.Tasks*it.Accelerators)
	}
}

// outcome computes the figures once the replay is over.
func (r *replay) outcome() (*Outcome, error) {
	o := &Outcome{
		Trace: r.trace.Name, Policy: r.policy.Name(), LeaveWork: r.meter.leaveWork,
		Thrown: r.meter.thrown, Preemptions: r.meter.preemptions,
	}
	if r.meter.free > 0 {
		o.Stranded = r.meter.stranded / r.meter.free
		o.StrandedMean = r.meter.stranded / r.trace.Length.Seconds()
	}
	var times, waits []time.Duration
	var counted []*Job
	for i := range r.trace.Jobs {
		it := r.items[r.trace.Jobs[i].ID]
		o.count(it)
		if it.held && it.started {
			o.Held++
			o.HeldMost = max(o.HeldMost, it.first-it.Submitted)
		}
		if it.phase != done || it.Cancelled > 0 {
			continue
		}
		counted = append(counted, it.Job)
		times = append(times, it.ended-it.Submitted)
		o.Makespan = max(o.Makespan, it.ended)
		if it.Tasks*it.Accelerators >= gangSize {
			wait := it.ended - it.Submitted - it.RunTime
			waits = append(waits, wait)
			if wait > 2*it.RunTime {
				o.GangsOver++
			}
		}
	}
	o.Mean, o.P95, _ = summary(times)
	o.Gangs = len(waits)
	o.GangMean, _, o.GangMost = summary(waits)
	o.Bound, o.MakespanBound = bounds(counted, r.trace.Capacity())
	return o, nil
}

func (o *Outcome) count(it *item) {
	switch it.phase {
	case done:
		o.Done++
	case refused:
		o.Refused++
	case failed:
		o.Failed++
	case cancelled:
		o.Cancelled++
	default:
		o.Stuck++
	}
}

// summary returns mean, 95th percentile and maximum.
func summary(d []time.Duration) (mean, p95, most time.Duration) {
	if len(d) == 0 {
		return 0, 0, 0
	}
	slices.Sort(d)
	var sum time.Duration
	for _, x := range d {
		sum += x
	}
	return sum / time.Duration(len(d)), d[(len(d)*95+99)/100-1], d[len(d)-1]
}
