package duty

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"catkinpoint/clock"
	"catkinpoint/flow"
	"catkinpoint/graph"
	"catkinpoint/plan"
	"catkinpoint/route"
	"catkinpoint/store"
)

// fleetTick is the simulated time between two steps of a fleet.
const fleetTick = 50 * time.Millisecond

// fleet simulates a scheduler's state and workers that carry out its orders, without
// a store or a network and on the clock of a synctest bubble.
type fleet struct {
	t         *testing.T
	scheduler *Scheduler
	state     *state
	workers   []*fleetWorker
	jobs      map[string]*fleetJob
	startedAt time.Duration
	// failures counts failed runs, stops counts runs that were stopped by order, and
	// crashes counts crashed workers.
	failures, stops, crashes int
	// overruns are the starts that brought a worker over its room.
	overruns []string
}

// fleetJob is a job with its actual behaviour.
type fleetJob struct {
	spec    *flow.Job
	runTime time.Duration // actual run time of each task
	// faultyTask is the index of a task that always fails, or -1.
	faultyTask int32
	// crashes reports whether a task makes its worker crash when it has run for
	// crashAge; nil means that none does.
	crashes  func(ref graph.Ref) bool
	crashAge time.Duration
	// lostRuns counts the runs that were on a worker when it crashed.
	lostRuns int
	endedAt  time.Duration
}

// fleetWorker is a simulated worker with its relay, and the faults it is to show.
type fleetWorker struct {
	number      int
	rack        string
	fails       bool // all runs fail
	hangs       bool // runs neither make progress nor end
	reportsHeld bool // reports are held back until this is reset
	heldReports []*flow.Report
	listsStale  bool          // the relay gets no new lists and repeats the last ones
	lastReport  *flow.Report  // with the last lists
	startDelay  time.Duration // from the order of a start until it is carried out
	leavesAt    time.Duration // announced time of the worker's end, or 0 if it stays
	leavesLate  time.Duration // from the announced to the actual end
	sequence    int64         // of the last report
	running     map[string]*fleetRun
	ends        []*flow.End // not acknowledged yet
	lastEnd     int64       // number of the last end
	process     int64       // number of crashes, which tells the worker's processes apart
	downUntil   time.Duration
	unstored    []*flow.Crash // crashes that are not acknowledged yet
	oldRelay    bool          // the relay does not report crashes
	room        []roomAt      // rooms in the order of time; empty means that of idleReport
	stopTime    time.Duration // from the order of a stop until the run has ended
}

// fleetRun is a run on a simulated worker.
type fleetRun struct {
	run      int64
	ref      graph.Ref
	job      *fleetJob
	startsAt time.Duration // when the worker carries out the start
	begunAt  time.Duration // when all members of the gang had started, or 0
	worked   time.Duration
	stopsAt  time.Duration // when an ordered stop ends it, or 0
	checked  bool          // the room was checked at its start
}

// roomAt is the room of a worker from a time on.
type roomAt struct {
	from time.Duration
	room plan.Resources
}

// newFleet returns a fleet of idle workers, four to a rack.
func newFleet(t *testing.T, workers int) *fleet {
	t.Helper()
	claim := &Claim{Epoch: 1, Revision: 1, ttl: time.Hour, lost: make(chan struct{})}
	claim.extend(clock.Monotonic())
	operator := staticOperator{route.New(1, 1000, nil, []route.Customer{{Name: "c", Guaranteed: 16}}, nil)}
	f := &fleet{
		t: t, scheduler: NewScheduler(context.Background(), testSettings, nil, operator, claim, func() []string { return nil }),
		state: newState(clock.Monotonic()), jobs: map[string]*fleetJob{}, startedAt: clock.Monotonic(),
	}
	f.state.loaded = true
	for n := range workers {
		f.workers = append(f.workers, &fleetWorker{number: n + 1, rack: fmt.Sprint("r", n/4), running: map[string]*fleetRun{}})
	}
	return f
}

// changeHolder replaces the scheduler by one that knows only what the last one stored.
func (f *fleet) changeHolder() {
	f.t.Helper()
	claim := &Claim{Epoch: f.scheduler.claim.Epoch + 1, Revision: 1, ttl: time.Hour, lost: make(chan struct{})}
	claim.extend(clock.Monotonic())
	f.scheduler = NewScheduler(context.Background(), testSettings, nil, f.scheduler.operator, claim, f.scheduler.gates)
	last := f.state
	f.state = newState(clock.Monotonic())
	for id, j := range last.jobs {
		f.state.apply(store.Event{Item: itemOf(f.t, JobKey(id), j.graph.Spec, 1)})
		f.state.apply(store.Event{Item: itemOf(f.t, ProgressKey(id), j.graph.Record(), 1)})
		if j.graph.HasCrashes() {
			f.state.apply(store.Event{Item: itemOf(f.t, CrashKey(id), j.graph.CrashRecord(), 1)})
		}
	}
	f.state.loaded = true
	f.state.finishLoad()
	for _, w := range f.workers {
		// With the new epoch the worker refuses what it has not started yet.
		maps.DeleteFunc(w.running, func(_ string, r *fleetRun) bool { return r.startsAt > clock.Monotonic() })
	}
}

// submit submits a job whose tasks actually take the given time.
func (f *fleet) submit(spec *flow.Job, took time.Duration) *fleetJob {
	f.t.Helper()
	j := &fleetJob{spec: spec, runTime: took, faultyTask: -1}
	f.jobs[spec.GetId()] = j
	f.state.apply(store.Event{Item: itemOf(f.t, JobKey(spec.GetId()), spec, int64(len(f.jobs)))})
	return j
}

// run simulates the given length of time.
func (f *fleet) run(length time.Duration) {
	f.t.Helper()
	for until := clock.Monotonic() + length; clock.Monotonic() < until; time.Sleep(fleetTick) {
		now := clock.Monotonic()
		for _, w := range f.workers {
			f.runTasks(w, now)
		}
		for _, w := range f.workers {
			f.sendReport(w)
		}
		f.state.expireLeases(f.scheduler, now)
		f.state.moveSlowRuns(now)
		if f.scheduler.settings.SaveLeavingWork {
			f.state.saveLeavingWork(now)
		}
		f.state.placeUnits(f.scheduler, now)
		f.state.advanceJobs()
		for _, j := range f.state.jobs {
			j.crashesDirty = false
			clear(j.changes)
			for _, r := range j.runs {
				r.stored = true
			}
			if ended := f.jobs[j.graph.Spec.GetId()]; j.graph.Ended() && ended.endedAt == 0 {
				ended.endedAt = now
			}
		}
		f.state.acknowledgeEnds()
		for _, w := range f.workers {
			f.carryOutOrders(w, now)
		}
	}
}

// elapsed returns the time from a job's submission to its end, and whether it has
// completed.
func (f *fleet) elapsed(j *fleetJob) (time.Duration, bool) {
	known := f.state.jobs[j.spec.GetId()]
	return j.endedAt - known.submitted, known.graph.Phase == flow.Phase_COMPLETED
}

// runTasks advances the runs on a worker by one tick, and ends those that complete or
// fail.
func (f *fleet) runTasks(w *fleetWorker, now time.Duration) {
	if w.leavesAt > 0 && now >= w.leavesAt+w.leavesLate {
		w.running = map[string]*fleetRun{}
		return
	}
	if w.crashesNow(now) {
		f.crash(w, now)
	}
	f.checkRoom(w, now)
	for task, r := range w.running {
		if r.stopsAt > 0 && now >= r.stopsAt {
			f.endRun(w, task, graph.EndStopped)
			continue
		}
		if r.begunAt == 0 && f.gangComplete(r, now) {
			r.begunAt = now
		}
		if r.begunAt == 0 || w.hangs {
			continue
		}
		r.worked += fleetTick
		switch {
		case w.fails && r.worked >= 2*fleetTick, r.ref.Index == r.job.faultyTask && r.worked >= r.job.runTime/2:
			f.failures++
			f.endRun(w, task, graph.EndFailed)
			f.breakGang(r)
		case r.worked >= r.job.runTime && f.membersDone(r, now):
			f.endRun(w, task, graph.EndDone)
		}
	}
}

// shrinkDelay is the time after which a room that has shrunk binds the starts.
const shrinkDelay = 5500 * time.Millisecond

// checkRoom records the runs that have started on a worker since the last call and
// brought it over the largest room of the last shrinkDelay. The worker does not refuse
// them.
func (f *fleet) checkRoom(w *fleetWorker, now time.Duration) {
	held := plan.Resources{}
	started := ""
	for task, r := range w.running {
		if now < r.startsAt {
			continue
		}
		held = held.Add(needOf(r.job.spec.GetSteps()[r.ref.Step]))
		if !r.checked {
			started, r.checked = task, true
		}
	}
	if started != "" && !w.largestRoom(now).Covers(held) {
		f.overruns = append(f.overruns, fmt.Sprintf("%s on worker %d at %v", started, w.number, now))
	}
}

// largestRoom returns the largest amounts of any room in the last shrinkDelay.
func (w *fleetWorker) largestRoom(now time.Duration) plan.Resources {
	largest := capacity(w.report(1).GetWorker())
	for i, r := range w.room {
		if i+1 < len(w.room) && w.room[i+1].from < now-shrinkDelay {
			continue
		}
		largest = plan.Resources{
			MilliCPU: max(largest.MilliCPU, r.room.MilliCPU), MemoryMB: max(largest.MemoryMB, r.room.MemoryMB),
			Accelerators: max(largest.Accelerators, r.room.Accelerators),
		}
	}
	return largest
}

// setRoom changes the room of a worker.
func (w *fleetWorker) setRoom(now time.Duration, room plan.Resources) {
	if len(w.room) == 0 {
		w.room = []roomAt{{0, capacity(w.report(1).GetWorker())}}
	}
	w.room = append(w.room, roomAt{now, room})
}

// crashesNow reports whether a run makes the worker crash.
func (w *fleetWorker) crashesNow(now time.Duration) bool {
	for _, r := range w.running {
		if r.job.crashes != nil && r.job.crashes(r.ref) && now >= r.startsAt+r.job.crashAge {
			return true
		}
	}
	return false
}

// restartTime is how long the machine of a crashed worker takes to start a new one.
const restartTime = 2500 * time.Millisecond

// crash ends the process of a worker. Its machine starts another after restartTime.
func (f *fleet) crash(w *fleetWorker, now time.Duration) {
	f.crashes++
	c := &flow.Crash{Number: w.process + 1, Worker: w.report(1).GetWorker().GetId(), AgoMs: 100}
	for task, r := range w.running {
		if r.startsAt > now {
			continue
		}
		r.job.lostRuns++
		c.Runs = append(c.Runs, &flow.CrashedRun{Task: task, Run: r.run, AgeMs: (now - r.startsAt).Milliseconds()})
		if r.job.spec.GetSteps()[r.ref.Step].GetGang() {
			for member, other := range f.gangMembers(r, now) {
				if other != w {
					f.endRun(other, member, graph.EndGangBroken)
				}
			}
		}
	}
	w.unstored = append(w.unstored, c)
	w.process++
	w.running, w.ends, w.lastEnd, w.downUntil = map[string]*fleetRun{}, nil, 0, now+restartTime
}

// report returns a report of the worker's present process, without runs.
func (w *fleetWorker) report(epoch int64) *flow.Report {
	r := idleReport(w.number, w.sequence, epoch)
	r.Worker.Labels = []string{"a", w.rack}
	r.Worker.BornMs += w.process
	if w.process > 0 {
		r.Worker.Id = fmt.Sprintf("%s-%d", r.Worker.Id, w.process)
	}
	r.TellsCrashes = !w.oldRelay
	if len(w.room) > 0 {
		room := w.room[len(w.room)-1].room
		r.Worker.Cpu, r.Worker.MemoryMb, r.Worker.Accelerators = room.MilliCPU, room.MemoryMB, room.Accelerators
	}
	if r.TellsCrashes {
		r.Crashes = slices.Clone(w.unstored)
	}
	return r
}

// gangComplete reports whether all members of a run's gang have started.
func (f *fleet) gangComplete(r *fleetRun, now time.Duration) bool {
	if now < r.startsAt {
		return false
	}
	step := r.job.spec.GetSteps()[r.ref.Step]
	if !step.GetGang() {
		return true
	}
	return len(f.gangMembers(r, now)) == int(step.GetCount())
}

// gangMembers returns the workers on which members of a run's gang have started, by
// task.
func (f *fleet) gangMembers(r *fleetRun, now time.Duration) map[string]*fleetWorker {
	found := map[string]*fleetWorker{}
	for _, w := range f.workers {
		for task, other := range w.running {
			if other.job == r.job && other.ref.Step == r.ref.Step && other.run == r.run && now >= other.startsAt {
				found[task] = w
			}
		}
	}
	return found
}

// membersDone reports whether all started members of a run's gang have done their
// work, as a gang ends together.
func (f *fleet) membersDone(r *fleetRun, now time.Duration) bool {
	for task, w := range f.gangMembers(r, now) {
		if other := w.running[task]; other.worked < r.job.runTime-fleetTick {
			return false
		}
	}
	return true
}

// breakGang ends the other members of a failed run's gang.
func (f *fleet) breakGang(r *fleetRun) {
	if !r.job.spec.GetSteps()[r.ref.Step].GetGang() {
		return
	}
	for task, w := range f.gangMembers(r, clock.Monotonic()) {
		f.endRun(w, task, graph.EndGangBroken)
	}
}

// endRun ends a run on a worker, which lists the end from then on.
func (f *fleet) endRun(w *fleetWorker, task, how string) {
	w.lastEnd++
	w.ends = append(w.ends, &flow.End{Number: w.lastEnd, Task: task, Run: w.running[task].run, How: how})
	delete(w.running, task)
}

// sendReport reports a worker's runs and ends to the scheduler, unless reports are
// held back.
func (f *fleet) sendReport(w *fleetWorker) {
	now := clock.Monotonic()
	w.sequence++
	r := w.report(f.scheduler.claim.Epoch)
	if now < w.downUntil {
		last := *w
		last.process--
		r.Worker = last.report(1).GetWorker()
		r.Worker.Gone = true
	}
	if w.leavesAt > 0 {
		r.Worker.Draining, r.Worker.RemainingMs = true, max(1, (w.leavesAt-now).Milliseconds())
		r.Worker.Gone = now >= w.leavesAt+w.leavesLate
	}
	for task, run := range w.running {
		if now < run.startsAt {
			continue
		}
		percent := int32(100 * run.worked / run.job.runTime)
		r.Running = append(r.Running, &flow.Run{Task: task, Run: run.run, Percent: min(100, percent)})
	}
	r.Ends = slices.Clone(w.ends)
	if w.listsStale && w.lastReport != nil {
		r.Running, r.Ends, r.ListClockMs = w.lastReport.GetRunning(), w.lastReport.GetEnds(), w.lastReport.GetListClockMs()
	}
	w.lastReport = r
	w.heldReports = append(w.heldReports, r)
	if w.reportsHeld {
		return
	}
	for _, r := range w.heldReports {
		f.state.applyReport(f.scheduler, r, make(chan *flow.Orders, 1))
	}
	w.heldReports = nil
}

// carryOutOrders carries out the starts and stops that are ordered for a worker, and
// forgets acknowledged ends.
func (f *fleet) carryOutOrders(w *fleetWorker, now time.Duration) {
	known := f.state.workers[idleReport(w.number, 1, 1).GetRelay()]
	w.ends = slices.DeleteFunc(w.ends, func(e *flow.End) bool { return e.GetNumber() <= known.lastStoredEnd })
	w.unstored = slices.DeleteFunc(w.unstored, func(c *flow.Crash) bool { return c.GetNumber() <= known.lastStoredCrash })
	if now < w.downUntil {
		return
	}
	orders := &flow.Orders{}
	f.state.orderStarts(f.scheduler, known)
	f.state.addStartsAndStops(known, orders)
	for _, start := range orders.GetStarts() {
		id, ref, err := graph.ParseTask(start.GetTask())
		if err != nil {
			f.t.Fatal(err)
		}
		if r := w.running[start.GetTask()]; r == nil && !w.hasEnded(start) {
			w.running[start.GetTask()] = &fleetRun{run: start.GetRun(), ref: ref, job: f.jobs[id], startsAt: now + w.startDelay}
		}
	}
	for _, stop := range orders.GetStops() {
		if r := w.running[stop.GetTask()]; r != nil && r.run == stop.GetRun() && r.stopsAt == 0 {
			f.stops++
			if r.stopsAt = now + w.stopTime; w.stopTime == 0 || r.startsAt > now {
				f.endRun(w, stop.GetTask(), graph.EndStopped)
			}
		}
	}
}

// hasEnded reports whether the run of a start has already ended.
func (w *fleetWorker) hasEnded(start *flow.Start) bool {
	return slices.ContainsFunc(w.ends, func(e *flow.End) bool { return e.GetTask() == start.GetTask() && e.GetRun() == start.GetRun() })
}
