package duty

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"catkinpoint/clock"
	"catkinpoint/flow"
	"catkinpoint/graph"
	"catkinpoint/route"
	"catkinpoint/store"
)

const fleetTick = 50 * time.Millisecond

// fleet is a scheduler's state beside workers that do what they are told. It
// replays a load without a store or a network, in the time of a synctest bubble.
type fleet struct {
	t       *testing.T
	s       *Scheduler
	st      *state
	workers []*fleetWorker
	jobs    map[string]*fleetJob
	began   time.Duration
	// failures counts failed runs, and stops ordered ones.
	failures, stops int
}

// fleetJob is a job with what its declaration does not say.
type fleetJob struct {
	spec *flow.Job
	took time.Duration
	// faulty is the index of a task that always fails, or -1.
	faulty int32
	ended  time.Duration
}

type fleetWorker struct {
	n        int
	rack     string
	fails    bool
	hangs    bool // runs make no progress, and end no more
	silent   bool // reports are held up until it speaks again
	held     []*flow.Report
	mute     bool          // its relay gets no new lists and repeats the last
	last     *flow.Report  // with the last list
	deaf     time.Duration // starts are carried out so much later
	endsAt   time.Duration // announced end; 0: it stays
	lingers  time.Duration // how much later it ends
	sequence int64
	running  map[string]*fleetRun
	ends     []*flow.End
	number   int64
}

type fleetRun struct {
	run    int64
	ref    graph.Ref
	job    *fleetJob
	from   time.Duration // when the worker carries the start out
	began  time.Duration // when the whole gang was there, or 0
	worked time.Duration
}

// newFleet returns so many idle workers, four to a rack.
func newFleet(t *testing.T, workers int) *fleet {
	t.Helper()
	claim := &Claim{Epoch: 1, Revision: 1, ttl: time.Hour, lost: make(chan struct{})}
	claim.extend(clock.Steady())
	operator := quietOperator{route.New(1, 1000, nil, []route.Customer{{Name: "c", Guaranteed: 16}}, nil)}
	f := &fleet{
		t: t, s: NewScheduler(context.Background(), testSettings, nil, operator, claim, func() []string { return nil }),
		st: newState(clock.Steady()), jobs: map[string]*fleetJob{}, began: clock.Steady(),
	}
	f.st.loaded = true
	for n := range workers {
		f.workers = append(f.workers, &fleetWorker{n: n + 1, rack: fmt.Sprint("r", n/4), running: map[string]*fleetRun{}})
	}
	return f
}

// submit hands in a job whose tasks take so long.
func (f *fleet) submit(spec *flow.Job, took time.Duration) *fleetJob {
	f.t.Helper()
	j := &fleetJob{spec: spec, took: took, faulty: -1}
	f.jobs[spec.GetId()] = j
	f.st.apply(store.Event{Item: itemOf(f.t, JobKey(spec.GetId()), spec, int64(len(f.jobs)))})
	return j
}

// play lets so much time pass.
func (f *fleet) play(length time.Duration) {
	f.t.Helper()
	for until := clock.Steady() + length; clock.Steady() < until; time.Sleep(fleetTick) {
		now := clock.Steady()
		for _, w := range f.workers {
			f.work(w, now)
		}
		for _, w := range f.workers {
			f.report(w)
		}
		f.st.expire(f.s, now)
		f.st.moveSlow(now)
		f.st.place(f.s, now)
		f.st.advance()
		for _, j := range f.st.jobs {
			j.dirty = false
			for _, r := range j.runs {
				r.stored = true
			}
			if ended := f.jobs[j.graph.Spec.GetId()]; j.graph.Over() && ended.ended == 0 {
				ended.ended = now
			}
		}
		f.st.acknowledge()
		for _, w := range f.workers {
			f.obey(w, now)
		}
	}
}

// took returns how long a job was under way, and false if it has not completed.
func (f *fleet) took(j *fleetJob) (time.Duration, bool) {
	known := f.st.jobs[j.spec.GetId()]
	return j.ended - known.submitted, known.graph.Phase == flow.Phase_COMPLETED
}

// work ends what is to end on a worker.
func (f *fleet) work(w *fleetWorker, now time.Duration) {
	if w.endsAt > 0 && now >= w.endsAt+w.lingers {
		w.running = map[string]*fleetRun{}
		return
	}
	for task, r := range w.running {
		if r.began == 0 && f.gathered(r, now) {
			r.began = now
		}
		if r.began == 0 || w.hangs {
			continue
		}
		r.worked += fleetTick
		switch {
		case w.fails && r.worked >= 2*fleetTick, r.ref.Index == r.job.faulty && r.worked >= r.job.took/2:
			f.failures++
			f.end(w, task, graph.EndFailed)
			f.breakGang(r)
		case r.worked >= r.job.took && f.membersDone(r, now):
			f.end(w, task, graph.EndDone)
		}
	}
}

// gathered tells whether all members of a run's gang are at their workers.
func (f *fleet) gathered(r *fleetRun, now time.Duration) bool {
	if now < r.from {
		return false
	}
	step := r.job.spec.GetSteps()[r.ref.Step]
	if !step.GetGang() {
		return true
	}
	return len(f.members(r, now)) == int(step.GetCount())
}

// members returns the workers of a gang's run by their task.
func (f *fleet) members(r *fleetRun, now time.Duration) map[string]*fleetWorker {
	found := map[string]*fleetWorker{}
	for _, w := range f.workers {
		for task, other := range w.running {
			if other.job == r.job && other.ref.Step == r.ref.Step && other.run == r.run && now >= other.from {
				found[task] = w
			}
		}
	}
	return found
}

// membersDone tells whether no other member of a run's gang is at work: they end
// together.
func (f *fleet) membersDone(r *fleetRun, now time.Duration) bool {
	for task, w := range f.members(r, now) {
		if other := w.running[task]; other.worked < r.job.took-fleetTick {
			return false
		}
	}
	return true
}

func (f *fleet) breakGang(r *fleetRun) {
	if !r.job.spec.GetSteps()[r.ref.Step].GetGang() {
		return
	}
	for task, w := range f.members(r, clock.Steady()) {
		f.end(w, task, graph.EndBroken)
	}
}

func (f *fleet) end(w *fleetWorker, task, how string) {
	w.number++
	w.ends = append(w.ends, &flow.End{Number: w.number, Task: task, Run: w.running[task].run, How: how})
	delete(w.running, task)
}

// report tells the scheduler what runs on a worker and what has ended.
func (f *fleet) report(w *fleetWorker) {
	now := clock.Steady()
	w.sequence++
	r := reportOf(w.n, w.sequence, 1)
	r.Worker.Labels = []string{"a", w.rack}
	if w.endsAt > 0 {
		r.Worker.Draining, r.Worker.RemainingMs = true, max(1, (w.endsAt-now).Milliseconds())
		r.Worker.Gone = now >= w.endsAt+w.lingers
	}
	for task, run := range w.running {
		if now < run.from {
			continue
		}
		percent := int32(100 * run.worked / run.job.took)
		r.Running = append(r.Running, &flow.Run{Task: task, Run: run.run, Percent: min(100, percent)})
	}
	r.Ends = slices.Clone(w.ends)
	if w.mute && w.last != nil {
		r.Running, r.Ends, r.ListClockMs = w.last.GetRunning(), w.last.GetEnds(), w.last.GetListClockMs()
	}
	w.last = r
	w.held = append(w.held, r)
	if w.silent {
		return
	}
	for _, r := range w.held {
		f.st.report(f.s, r, make(chan *flow.Orders, 1))
	}
	w.held = nil
}

// obey carries out the orders for a worker.
func (f *fleet) obey(w *fleetWorker, now time.Duration) {
	known := f.st.workers[reportOf(w.n, 1, 1).GetRelay()]
	w.ends = slices.DeleteFunc(w.ends, func(e *flow.End) bool { return e.GetNumber() <= known.observed })
	orders := &flow.Orders{}
	f.st.fill(known, orders)
	for _, start := range orders.GetStarts() {
		id, ref, err := graph.ParseTask(start.GetTask())
		if err != nil {
			f.t.Fatal(err)
		}
		if r := w.running[start.GetTask()]; r == nil && !w.has(start) {
			w.running[start.GetTask()] = &fleetRun{run: start.GetRun(), ref: ref, job: f.jobs[id], from: now + w.deaf}
		}
	}
	for _, stop := range orders.GetStops() {
		if r := w.running[stop.GetTask()]; r != nil && r.run == stop.GetRun() {
			f.stops++
			f.end(w, stop.GetTask(), graph.EndStopped)
		}
	}
}

// has tells whether a start was carried out and has ended.
func (w *fleetWorker) has(start *flow.Start) bool {
	return slices.ContainsFunc(w.ends, func(e *flow.End) bool { return e.GetTask() == start.GetTask() && e.GetRun() == start.GetRun() })
}
