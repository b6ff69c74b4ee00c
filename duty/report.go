package duty

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"catkinpoint/clock"
	"catkinpoint/flow"
	"catkinpoint/graph"
)

// report takes what a relay says and leaves its answer to be given.
func (st *state) report(s *Scheduler, r *flow.Report, answer chan *flow.Orders) {
	w := st.workers[r.GetRelay()]
	if w == nil {
		w = &worker{relay: r.GetRelay(), retired: map[string]bool{}}
		st.workers[w.relay] = w
	}
	if w.retired[r.GetRelayBoot()] || w.boot == r.GetRelayBoot() && r.GetSequence() <= w.sequence {
		// A report that was overtaken changes nothing.
		st.answer(s, w.relay, answer)
		return
	}
	if w.boot != r.GetRelayBoot() {
		w.retired[w.boot] = true
		w.boot = r.GetRelayBoot()
	}
	w.sequence = r.GetSequence()
	w.heard = clock.Steady()
	st.meet(s, w, r.GetWorker())
	if r.GetListed() && r.GetEpoch() == s.claim.Epoch && !r.GetWorker().GetGone() {
		st.lists(s, w, r)
	}
	if w.waiter != nil {
		st.answer(s, w.relay, w.waiter)
	}
	w.waiter = answer
	if r.GetOrdersVersion() < w.version || r.GetEpoch() != s.claim.Epoch {
		w.changed = true
	}
}

// meet takes what a worker says of itself. A newer process in its place, or
// its end, ends all that ran there; but a process that has kept the id takes
// orders that were meant for the one before, so each of these runs is stopped
// there first.
func (st *state) meet(s *Scheduler, w *worker, info *flow.Worker) {
	place := graph.Place{Worker: info.GetId(), Born: info.GetBornMs(), Relay: w.relay}
	if place != w.place {
		klog.InfoS("duty: worker known", "worker", place.Worker, "born", place.Born, "relay", w.relay, "old", w.place.Worker, "epoch", s.claim.Epoch)
		delete(st.byPlace, w.place)
		w.place, w.reconciled, w.applied, w.observed, w.ends, w.strays = place, false, 0, 0, nil, nil
		w.health = health{}
		w.version++
		w.changed = true
		st.byPlace[place] = w
		st.loseAll(w, func(p graph.Place) bool { return p.Worker != place.Worker }, "replaced")
		st.plan = true
	}
	if w.info.GetDraining() != info.GetDraining() || w.info.GetGone() != info.GetGone() {
		klog.InfoS("duty: worker changed", "worker", place.Worker, "draining", info.GetDraining(), "gone", info.GetGone(), "remaining_ms", info.GetRemainingMs())
		st.plan = true
	}
	w.info = info
	if info.GetGone() {
		st.loseAll(w, w.has, "gone")
	}
}

// has tells whether a run that was ordered to a place can only be in this
// worker's process.
func (w *worker) has(p graph.Place) bool {
	return p.Relay == w.relay && p.Worker == w.place.Worker
}

// loseAll ends the runs at some places of a relay without an end of their own.
func (st *state) loseAll(w *worker, at func(graph.Place) bool, why string) {
	for _, t := range st.on(w.relay) {
		if at(t.Place) {
			st.over(t.job, t.Ref, t.Run, why, "")
		}
	}
}

// lists takes a worker's lists of ends and runs.
func (st *state) lists(s *Scheduler, w *worker, r *flow.Report) {
	ends := slices.Clone(r.GetEnds())
	slices.SortFunc(ends, func(a, b *flow.End) int { return int(a.GetNumber() - b.GetNumber()) })
	for _, e := range ends {
		if e.GetNumber() > w.applied {
			st.end(w, e)
			w.applied = e.GetNumber()
			w.ends = append(w.ends, endSeq{e.GetNumber(), st.seq})
			st.plan = true
		}
	}
	for _, refusal := range r.GetRefusals() {
		st.refused(w, refusal)
	}
	listed := map[string]int64{}
	strays := map[string]map[int64]bool{}
	read := reading{now: clock.Steady(), worker: time.Duration(r.GetListClockMs()) * time.Millisecond}
	for _, run := range r.GetRunning() {
		listed[run.GetTask()] = run.GetRun()
		if !st.runs(s, w, run, read) {
			if strays[run.GetTask()] == nil {
				strays[run.GetTask()] = map[int64]bool{}
			}
			strays[run.GetTask()][run.GetRun()] = true
		}
	}
	if len(strays) != len(w.strays) {
		w.changed = true
	}
	w.strays = strays
	if !w.reconciled {
		w.reconciled = true
		st.reconcile(s, w, listed)
		st.plan = true
	}
	if len(w.ends) > 0 {
		st.acknowledge()
	}
}

// reconcile ends the runs of former holders that the worker does not list: it
// has obeyed this epoch, so their orders are refused from now on.
func (st *state) reconcile(s *Scheduler, w *worker, listed map[string]int64) {
	adopted := 0
	for _, t := range st.on(w.relay) {
		if t.Place != w.place {
			continue
		}
		if listed[graph.TaskName(t.job.graph.Spec.GetId(), t.Ref)] == t.Run {
			adopted++
			continue
		}
		if r := t.job.runs[t.Ref]; r == nil || r.at <= st.began {
			st.over(t.job, t.Ref, t.Run, "never_started", "")
		}
	}
	klog.InfoS("duty: worker reconciled", "worker", w.place.Worker, "epoch", s.claim.Epoch, "runs", len(listed), "adopted", adopted)
}

func (st *state) end(w *worker, e *flow.End) {
	id, ref, err := graph.ParseTask(e.GetTask())
	j := st.jobs[id]
	if err != nil || j == nil || j.graph.Step(ref) == nil {
		klog.InfoS("duty: end of an unknown task", "task", e.GetTask(), "run", e.GetRun(), "worker", w.place.Worker, "err", err)
		return
	}
	t := j.graph.Task(ref)
	if t == nil || !w.has(t.Place) {
		return
	}
	if t.Run == e.GetRun() {
		st.blame(w, j, ref, e.GetHow(), clock.Steady())
	}
	st.over(j, ref, e.GetRun(), e.GetHow(), e.GetCheckpoint())
}

// blame takes the end of a run as evidence on its worker. The failure of a task
// that has failed on a sound worker is the task's own.
func (st *state) blame(w *worker, j *job, ref graph.Ref, how string, now time.Duration) {
	switch how {
	case graph.EndDone:
		w.health.endedWell()
	case graph.EndFailed:
		own := false
		for _, other := range j.failedAt[ref] {
			if other != w && !w.health.onTrial(now) {
				other.health.acquit(taskKey{j, ref}, other.place.Worker, now)
			}
			own = own || other != w && !other.health.onTrial(now)
		}
		if !own {
			w.health.taskFailed(taskKey{j, ref}, w.place.Worker, now)
		}
		if !slices.Contains(j.failedAt[ref], w) {
			j.failedAt[ref] = append(j.failedAt[ref], w)
		}
	}
}

func (st *state) refused(w *worker, refusal *flow.Refusal) {
	id, ref, err := graph.ParseTask(refusal.GetTask())
	j := st.jobs[id]
	if err != nil || j == nil || j.graph.Step(ref) == nil {
		return
	}
	t := j.graph.Task(ref)
	if t == nil || !w.has(t.Place) || t.Run != refusal.GetRun() {
		return
	}
	w.health.refused(refusal.GetReason(), clock.Steady())
	st.over(j, ref, refusal.GetRun(), "refused_"+refusal.GetReason(), "")
}

// runs takes one running run and tells whether it should be running there.
func (st *state) runs(s *Scheduler, w *worker, r *flow.Run, read reading) bool {
	id, ref, err := graph.ParseTask(r.GetTask())
	j := st.jobs[id]
	if err != nil || j == nil || j.graph.Step(ref) == nil {
		return false
	}
	t := j.graph.Task(ref)
	if t == nil || t.Run != r.GetRun() || t.Place != w.place {
		return false
	}
	known := j.runs[ref]
	if known == nil || known.run != t.Run {
		known = &run{run: t.Run, stored: true, at: read.now, expected: expected(j, ref)}
		j.runs[ref] = known
	}
	if j.graph.Begun(ref, t.Run) {
		w.changed = true
	}
	known.progress(r.GetPercent(), j.graph.Complete(ref, t.Run), read)
	w.health.sample(j, known, read)
	if r.GetCheckpoint() != "" {
		known.checkpoint = r.GetCheckpoint()
	}
	return true
}

// answer gives a relay its orders.
func (st *state) answer(s *Scheduler, relay string, answer chan *flow.Orders) {
	w := st.workers[relay]
	if w != nil && w.waiter == answer {
		w.waiter = nil
	}
	if w == nil || !s.claim.Valid() {
		give(answer, nil)
		return
	}
	if w.changed {
		w.version++
		w.changed = false
	}
	orders := &flow.Orders{
		Version: w.version, Epoch: s.claim.Epoch, LeaseMs: s.settings.TaskLease.Milliseconds(),
		Observed: w.observed, Worker: w.place.Worker, WorkerBornMs: w.place.Born, Gates: s.gates(),
	}
	if age, ok := s.operator.Age(); ok && !s.operator.Evacuated(w.info.GetDataCentre()) {
		orders.PermitMs = max(0, (s.settings.StartAge - age).Milliseconds())
	}
	if w.reconciled {
		// Before that, a run of a former holder may still prove not to be there.
		st.fill(w, orders)
	}
	give(answer, orders)
}

// give answers a report once; nil says that the duty is not held.
func give(answer chan *flow.Orders, orders *flow.Orders) {
	select {
	case answer <- orders:
	default: // the report has been answered meanwhile
	}
}

// fill adds the starts that the worker has not confirmed, and the stops.
func (st *state) fill(w *worker, orders *flow.Orders) {
	for _, t := range st.on(w.relay) {
		if !w.has(t.Place) {
			continue
		}
		r := t.job.runs[t.Ref]
		switch {
		case t.Place != w.place:
			orders.Stops = append(orders.Stops, &flow.Stop{Task: t.name(), Run: t.Run})
		case r == nil || !r.stored:
		case r.stop:
			orders.Stops = append(orders.Stops, &flow.Stop{Task: t.name(), Run: t.Run})
		case !t.Started:
			orders.Starts = append(orders.Starts, &flow.Start{Task: t.name(), Run: t.Run, Spec: t.job.graph.Spec.GetSpec(), Checkpoint: t.Checkpoint})
		}
	}
	for task, numbers := range w.strays {
		for number := range numbers {
			orders.Stops = append(orders.Stops, &flow.Stop{Task: task, Run: number})
		}
	}
}
