package duty

import (
	"maps"
	"slices"
	"time"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"catkinpoint/clock"
	"catkinpoint/flow"
	"catkinpoint/graph"
)

// applyReport applies a relay's report. The reply is sent on the channel answer, at
// once for a report that does not count and otherwise when there are new orders.
func (st *state) applyReport(s *Scheduler, r *flow.Report, answer chan *flow.Orders) {
	w := st.workers[r.GetRelay()]
	if w == nil {
		w = &worker{relay: r.GetRelay(), bootOrder: map[string]int{}, ignoredLog: rate.Sometimes{First: 3, Interval: time.Second}}
		st.workers[w.relay] = w
	}
	boot := r.GetRelayBoot()
	if w.bootOrder[boot] == 0 {
		w.bootOrder[boot] = len(w.bootOrder) + 1
	}
	switch {
	case r.GetEpoch() > s.claim.Epoch:
		sendReply(answer, nil) // there is a later holder
		return
	case r.GetEpoch() != s.claim.Epoch:
		// The report was sent before its process had an answer under this claim. How long
		// ago is not known: the process may have ended since, or its worker.
		s.replyEpoch(r, answer)
		return
	case w.bootOrder[boot] < w.bootOrder[w.relayBoot]:
		w.ignoredLog.Do(func() {
			klog.InfoS("duty: report of an earlier relay process ignored", "relay", w.relay, "boot", boot, "sequence", r.GetSequence(), "present", w.relayBoot)
		})
		sendReply(answer, nil)
		return
	case w.relayBoot == boot && r.GetSequence() <= w.sequence:
		// It was overtaken by a later one, from whose arrival the lease counts.
		if placeOfReport(r) != w.place {
			s.replyEpoch(r, answer)
			return
		}
		st.reply(s, w.relay, answer)
		return
	}
	if w.relayBoot != boot {
		klog.InfoS("duty: relay known", "relay", w.relay, "boot", boot, "earlier", w.relayBoot, "epoch", s.claim.Epoch)
		w.relayBoot = boot
		w.unstoredCrashes, w.lastAppliedCrash, w.lastStoredCrash = nil, 0, 0
	}
	w.sequence = r.GetSequence()
	w.lastReport = clock.Monotonic()
	w.forgetOverRuns()
	w.tellsCrashes, w.keepsStarts, w.relayVersion = r.GetTellsCrashes(), r.GetKeepsStarts(), r.GetOrdersVersion()
	if r.GetListed() && r.GetListClockMs() != w.listClockMS {
		w.listedAt, w.listClockMS = w.lastReport, r.GetListClockMs()
	}
	st.applyCrashes(w, r.GetCrashes())
	if w.pendingReply != nil && placeOfReport(r) != w.place {
		// The relay may count the lease on the clock of the process before.
		s.replyEpoch(&flow.Report{Worker: w.info}, w.pendingReply)
		w.pendingReply = nil
	}
	st.updateWorker(s, w, r)
	switch {
	case r.GetWorker().GetGone():
	case r.GetListed() && len(r.GetEnds()) < graph.MaxListedEnds:
		st.applyLists(s, w, r)
	default:
		st.applyEnds(w, r) // the lists may not be complete
	}
	if w.pendingReply != nil {
		st.reply(s, w.relay, w.pendingReply)
	}
	w.pendingReply = answer
	if r.GetOrdersVersion() < w.ordersVersion {
		w.ordersChanged = true
	}
}

// placeOfReport returns the process of the worker that a report describes.
func placeOfReport(r *flow.Report) graph.Place {
	return graph.Place{Worker: r.GetWorker().GetId(), StartUnixMS: r.GetWorker().GetBornMs(), Relay: r.GetRelay()}
}

// updateWorker applies what a report says about the worker itself. A worker that is
// gone, or replaced by one with another id, ends the runs that were assigned to it.
// A new process of a worker with the same id accepts orders that were meant for the
// process before, so it may still start these runs: they stay active, and are
// stopped there first. For the same reason a run that no worker has confirmed outlives
// a worker that is gone by lateCallTime.
func (st *state) updateWorker(s *Scheduler, w *worker, r *flow.Report) {
	info := r.GetWorker()
	place := placeOfReport(r)
	if place != w.place {
		klog.InfoS("duty: worker known", "worker", place.Worker, "born", place.StartUnixMS, "relay", w.relay, "old", w.place.Worker, "epoch", s.claim.Epoch)
		st.inferCrash(s, w)
		delete(st.byPlace, w.place)
		st.learned.forgetWorker(w.place)
		w.place, w.reconciled, w.lastAppliedEnd, w.lastStoredEnd, w.unstoredEnds, w.unexpectedRuns = place, false, 0, 0, nil, nil
		if w.goneSince = 0; place.Worker != w.place.Worker {
			w.overRuns = nil // calls for them name another worker
		}
		w.health = health{}
		w.ordersVersion++
		w.ordersChanged = true
		st.byPlace[place] = w
		st.endRunsAt(w, func(t activeTask) bool { return t.Place.Worker != place.Worker }, "replaced")
		st.planNeeded = true
	}
	if info.GetGone() && place == w.place {
		st.inferCrash(s, w)
	}
	if err := graph.CheckAmounts(info.GetCpu(), info.GetMemoryMb(), info.GetAccelerators()); err != nil {
		klog.InfoS("duty: capacity of worker counts as none", "worker", place.Worker, "relay", w.relay, "err", err)
		info.Cpu, info.MemoryMb, info.Accelerators = 0, 0, 0
	}
	if w.info.GetDraining() != info.GetDraining() || w.info.GetGone() != info.GetGone() {
		klog.InfoS("duty: worker changed", "worker", place.Worker, "draining", info.GetDraining(), "gone", info.GetGone(), "remaining_ms", info.GetRemainingMs())
		st.planNeeded = true
	}
	w.noteLeaving(info, w.lastReport)
	w.info, w.infoBoot = info, w.relayBoot
	if !info.GetGone() {
		w.goneSince = 0
		return
	}
	if w.goneSince == 0 {
		w.goneSince = w.lastReport
	}
	st.applyEnds(w, r)
	mayStartLate := func(t activeTask) bool {
		run := t.job.runs[t.Ref]
		return !t.Started && run != nil && run.stored && w.lastReport-w.goneSince <= lateCallTime
	}
	st.endRunsAt(w, func(t activeTask) bool { return w.sameWorker(t.Place) && !mayStartLate(t) }, "gone")
	for _, t := range st.activeOn(w.relay) {
		st.stopUnit(t.job, t.Ref) // the other members of a gang cannot continue either
	}
}

// sameWorker reports whether a place is that of this worker, in its present process
// or an earlier one: a run that was ordered to the place can then only be in the
// present process.
func (w *worker) sameWorker(p graph.Place) bool {
	return p.Relay == w.relay && p.Worker == w.place.Worker
}

// endRunsAt ends the matching runs at a worker's relay for a reason other than an end that
// the worker reported.
func (st *state) endRunsAt(w *worker, match func(activeTask) bool, reason string) {
	for _, t := range st.activeOn(w.relay) {
		if match(t) {
			st.endRun(t.job, t.Ref, t.Run, reason, "")
		}
	}
}

// applyEnds applies a worker's lists of ended and refused runs.
func (st *state) applyEnds(w *worker, r *flow.Report) {
	ends := slices.Clone(r.GetEnds())
	slices.SortFunc(ends, func(a, b *flow.End) int { return int(a.GetNumber() - b.GetNumber()) })
	for _, e := range ends {
		if e.GetNumber() > w.lastAppliedEnd {
			st.applyEnd(w, e)
			w.lastAppliedEnd = e.GetNumber()
			w.unstoredEnds = append(w.unstoredEnds, unstoredChange{e.GetNumber(), st.lastSeq})
			st.planNeeded = true
		}
	}
	for _, refusal := range r.GetRefusals() {
		st.applyRefusal(w, refusal)
	}
	if len(w.unstoredEnds) > 0 {
		st.acknowledgeEnds()
	}
}

// applyLists applies a worker's lists of ended, refused and running runs.
func (st *state) applyLists(s *Scheduler, w *worker, r *flow.Report) {
	st.applyEnds(w, r)
	listed := map[string]int64{}
	unexpected := map[string]map[int64]bool{}
	listTaken := listTime{received: clock.Monotonic(), workerClock: time.Duration(r.GetListClockMs()) * time.Millisecond}
	for _, run := range r.GetRunning() {
		listed[run.GetTask()] = run.GetRun()
		if !st.applyRunning(s, w, run, listTaken) {
			if unexpected[run.GetTask()] == nil {
				unexpected[run.GetTask()] = map[int64]bool{}
			}
			unexpected[run.GetTask()][run.GetRun()] = true
			if !w.unexpectedRuns[run.GetTask()][run.GetRun()] {
				st.logUnexpectedRun(w, run)
			}
		}
	}
	if !maps.EqualFunc(unexpected, w.unexpectedRuns, maps.Equal) {
		w.ordersChanged = true
	}
	w.unexpectedRuns = unexpected
	if !w.reconciled {
		w.reconciled = true
		st.reconcile(s, w, listed)
		st.planNeeded = true
	}
}

// logUnexpectedRun logs that a worker runs what is not assigned to it.
func (st *state) logUnexpectedRun(w *worker, r *flow.Run) {
	id, ref, err := graph.ParseTask(r.GetTask())
	klog.InfoS("duty: worker lists an unexpected run", "task", r.GetTask(), "run", r.GetRun(), "worker", w.place.Worker, "relay", w.relay, "err", err)
	if j := st.jobs[id]; err == nil && j != nil {
		j.reportContradiction(w, ref, r.GetRun(), "running")
	}
}

// reconcile ends the runs that earlier holders assigned and the worker does not
// list. They can't start any more, as the worker has adopted this epoch and refuses
// orders of earlier ones.
func (st *state) reconcile(s *Scheduler, w *worker, listed map[string]int64) {
	adopted := 0
	for _, t := range st.activeOn(w.relay) {
		if t.Place != w.place {
			continue
		}
		if listed[graph.TaskName(t.job.graph.Spec.GetId(), t.Ref)] == t.Run {
			adopted++
			continue
		}
		if r := t.job.runs[t.Ref]; r == nil || r.knownSince <= st.startedAt {
			st.endRun(t.job, t.Ref, t.Run, "never_started", "")
		}
	}
	klog.InfoS("duty: worker reconciled", "worker", w.place.Worker, "epoch", s.claim.Epoch, "runs", len(listed), "adopted", adopted)
}

// applyEnd applies the end of a run that the worker reported. It ignores ends of
// tasks that are not known or were assigned to another worker.
func (st *state) applyEnd(w *worker, e *flow.End) {
	id, ref, err := graph.ParseTask(e.GetTask())
	j := st.jobs[id]
	if err != nil || j == nil || j.graph.Step(ref) == nil {
		klog.InfoS("duty: ignored the end of an unknown task", "task", e.GetTask(), "run", e.GetRun(), "worker", w.place.Worker, "err", err)
		return
	}
	j.reportContradiction(w, ref, e.GetRun(), e.GetHow())
	w.settleOverRun(e.GetTask(), e.GetRun())
	if e.GetHow() == graph.EndDone && j.graph.RecordLateSuccess(ref, e.GetRun()) {
		st.stopAfterLateSuccess(j, ref, e.GetRun())
		return
	}
	t, failures, late := j.graph.Task(ref), j.failuresOf(ref), j.overAs(ref, e.GetRun())
	if e.GetHow() == graph.EndFailed && j.graph.RecordLateFailure(ref, e.GetRun(), j.knownOver(ref, e.GetRun())) {
		st.markDirty(j)
	}
	if t != nil && w.sameWorker(t.Place) {
		if t.Run == e.GetRun() {
			st.recordOutcome(w, j, ref, e.GetRun(), e.GetHow(), clock.Monotonic())
		}
		st.endRun(j, ref, e.GetRun(), e.GetHow(), e.GetCheckpoint())
	}
	if e.GetHow() == graph.EndFailed {
		j.reportFailure(w, ref, e.GetRun(), failures, late)
	}
}

// stopAfterLateSuccess stops the later runs of a task, or of its gang, whose earlier run has
// turned out to have succeeded.
func (st *state) stopAfterLateSuccess(j *job, ref graph.Ref, run int64) {
	stopped := 0
	for _, member := range j.graph.Members(ref) {
		if m := j.graph.Task(member); m != nil && m.Active() && m.Run > run {
			st.orderStop(j, m)
			stopped++
		}
	}
	klog.InfoS("duty: run that was over had succeeded", "job", j.graph.Spec.GetId(), "step", ref.Step, "index", ref.Index, "occurrence", ref.Occurrence,
		"run", run, "last_run", j.graph.Task(ref).Run, "later_runs_stopped", stopped)
	st.markDirty(j)
}

// applyRefusal ends a run whose start the worker refused.
func (st *state) applyRefusal(w *worker, refusal *flow.Refusal) {
	id, ref, err := graph.ParseTask(refusal.GetTask())
	j := st.jobs[id]
	if err != nil || j == nil || j.graph.Step(ref) == nil {
		return
	}
	w.settleOverRun(refusal.GetTask(), refusal.GetRun())
	t := j.graph.Task(ref)
	if t == nil || !w.sameWorker(t.Place) || t.Run != refusal.GetRun() {
		return
	}
	w.health.startRefused(refusal.GetReason(), clock.Monotonic())
	st.endRun(j, ref, refusal.GetRun(), graph.RefusedPrefix+refusal.GetReason(), "")
}

// applyRunning applies the progress of a run that a worker lists as running, and
// reports whether the run is assigned to that worker.
func (st *state) applyRunning(s *Scheduler, w *worker, r *flow.Run, listed listTime) bool {
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
		known = &run{run: t.Run, stored: true, knownSince: listed.received, expectedTime: declaredTime(j, ref)}
		j.runs[ref] = known
	}
	phase := j.graph.Phase
	if j.graph.MarkStarted(ref, t.Run) {
		w.ordersChanged = true
		if j.graph.Phase != phase {
			st.markDirty(j) // gates count the jobs that have not begun
		}
	}
	known.updateProgress(r.GetPercent(), j.graph.MembersStarted(ref, t.Run), listed)
	w.health.addSample(j, known, listed)
	st.samplePace(s, w, j, ref, known, r.GetPercent(), listed)
	if !known.proved && j.graph.Step(ref).GetLongRunning() && known.provesWorker(listed.received) {
		known.proved = true
		w.health.taskSucceeded()
	}
	if r.GetCheckpoint() != "" {
		known.checkpoint = r.GetCheckpoint()
	}
	return true
}

// reply sends the present orders for a relay's worker, or nil if the claim is not
// valid.
func (st *state) reply(s *Scheduler, relay string, answer chan *flow.Orders) {
	w := st.workers[relay]
	if w != nil && w.pendingReply == answer {
		w.pendingReply = nil
	}
	if w == nil || !s.claim.Valid() {
		sendReply(answer, nil)
		return
	}
	st.orderStarts(s, w)
	if w.ordersChanged {
		w.ordersVersion++
		w.ordersChanged = false
	}
	orders := &flow.Orders{
		Version: w.ordersVersion, Epoch: s.claim.Epoch, LeaseMs: s.settings.TaskLease.Milliseconds(),
		Observed: w.lastStoredEnd, CrashesStored: w.lastStoredCrash, Worker: w.place.Worker, WorkerBornMs: w.place.StartUnixMS, Gates: s.gates(),
	}
	if age, ok := s.operator.Age(); ok && !s.operator.Evacuated(w.info.GetDataCentre()) {
		orders.PermitMs = max(0, (s.settings.StartAge - age).Milliseconds())
	}
	if w.reconciled {
		// Until then it is not known whether runs that earlier holders assigned were
		// started on the worker.
		st.addStartsAndStops(w, orders)
	}
	sendReply(answer, orders)
}

// replyEpoch answers a report that does not count with the epoch alone, or nil if the claim
// is not valid. The relay's next report shows that its process is alive; until then it gets
// no lease, which is counted from the reports that count.
func (s *Scheduler) replyEpoch(r *flow.Report, answer chan *flow.Orders) {
	if !s.claim.Valid() {
		sendReply(answer, nil)
		return
	}
	sendReply(answer, &flow.Orders{
		Epoch: s.claim.Epoch, Worker: r.GetWorker().GetId(), WorkerBornMs: r.GetWorker().GetBornMs(), Gates: s.gates(),
	})
}

// sendReply sends the only reply to a report, where nil orders mean that this
// process does not hold the duty.
func sendReply(answer chan *flow.Orders, orders *flow.Orders) {
	select {
	case answer <- orders:
	default: // the report was already answered
	}
}

// addStartsAndStops adds to the orders the starts of orderStarts that the worker has not
// confirmed, and the stops: of runs with an ordered stop, of runs that were assigned
// to an earlier process of the worker, of runs that were taken as over, and of
// unexpected runs.
func (st *state) addStartsAndStops(w *worker, orders *flow.Orders) {
	for _, t := range st.activeOn(w.relay) {
		if !w.sameWorker(t.Place) {
			continue
		}
		r := t.job.runs[t.Ref]
		switch {
		case t.Place != w.place:
			orders.Stops = append(orders.Stops, &flow.Stop{Task: t.name(), Run: t.Run})
		case r == nil || !r.stored:
		case r.stopOrdered:
			orders.Stops = append(orders.Stops, &flow.Stop{Task: t.name(), Run: t.Run})
		case r.orderedIn > 0 && w.keepsStarts && w.relayVersion >= r.orderedIn && !t.Started && !t.Done:
			orders.Starts = append(orders.Starts, &flow.Start{Task: t.name(), Run: t.Run, Known: true})
		case r.orderedIn > 0 && !t.Started && !t.Done:
			orders.Starts = append(orders.Starts, &flow.Start{Task: t.name(), Run: t.Run, Spec: t.job.graph.Spec.GetSpec(), Checkpoint: t.Checkpoint})
		}
	}
	orders.Stops = append(orders.Stops, w.stopsOfOverRuns()...)
	for task, numbers := range w.unexpectedRuns {
		for number := range numbers {
			orders.Stops = append(orders.Stops, &flow.Stop{Task: task, Run: number})
		}
	}
}
