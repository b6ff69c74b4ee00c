package duty

import (
	"time"

	"k8s.io/klog/v2"

	"catkinpoint/clock"
	"catkinpoint/graph"
)

// cancel cancels a job that has not ended and orders a stop of its runs.
func (st *state) cancel(j *job) {
	if j.graph.Cancelled || j.graph.Ended() {
		return
	}
	j.graph.Cancelled = true
	klog.InfoS("duty: job cancelled", "job", j.graph.Spec.GetId())
	st.markDirty(j)
	st.stopActive(j)
}

// stopActive orders a stop of all active runs of a job.
func (st *state) stopActive(j *job) {
	for _, t := range j.graph.Active() {
		if !t.Done {
			st.orderStop(j, t)
		}
	}
}

// resumeStops orders the stops that follow from a job's records. Its earlier holder may
// have ordered them, but kept that in memory only: of the runs of a job that has ended or
// was cancelled, of the members of a gang that another member has broken, and of a task
// that is done.
func (st *state) resumeStops(j *job) {
	stops := 0
	for _, t := range j.graph.Active() {
		// The task may be done by an earlier run; a member of a gang that is done ends by itself.
		doneBefore := t.Done && !j.graph.Step(t.Ref).GetGang()
		if doneBefore || !t.Done && (j.graph.Ended() || j.graph.Cancelled || j.graph.GangBroken(t.Ref, t.Run)) {
			st.orderStop(j, t)
			stops++
		}
	}
	if stops > 0 {
		klog.InfoS("duty: stops resumed", "job", j.graph.Spec.GetId(), "runs", stops, "phase", j.graph.Phase, "cancelled", j.graph.Cancelled)
	}
}

// orderStop orders the worker of a task to stop its run.
func (st *state) orderStop(j *job, t *graph.Task) {
	r := j.runs[t.Ref]
	if r == nil || r.run != t.Run {
		r = &run{run: t.Run, stored: true, knownSince: clock.Monotonic()}
		j.runs[t.Ref] = r
	}
	if !r.stopOrdered {
		r.stopOrdered = true
		st.markOrdersChanged(t.Place)
	}
}

// endRun records the end of a run. how is an End constant of package graph or, if the
// worker did not report an end, another reason, such as "gone" or that of a
// refusal. Unless the run succeeded, it orders a stop of the other members of its
// gang, which cannot continue. It reports whether the run was the task's active run.
func (st *state) endRun(j *job, ref graph.Ref, number int64, how, checkpoint string) bool {
	t := j.graph.Task(ref)
	if t == nil || t.Run != number || !t.Active() {
		return false
	}
	place := t.Place
	if r := j.runs[ref]; r != nil && r.run == number && checkpoint == "" {
		checkpoint = r.checkpoint
	}
	// Once a member of a gang is stopped, so are all.
	stopped := j.runs[ref] != nil && j.runs[ref].run == number && j.runs[ref].stopOrdered
	lost := 0.0
	// The success of another member counts for a gang. It orders no stop, unlike that of an
	// earlier run, after which the work of this one is lost.
	doneByOther := t.Done && (j.runs[ref] == nil || !j.runs[ref].stopOrdered)
	if how != graph.EndDone && !doneByOther {
		lost = st.unsavedWork(j, ref, clock.Monotonic()).Seconds() * needOf(j.graph.Step(ref)).CoreEquivalents()
	}
	if !j.graph.End(ref, number, how, checkpoint) {
		return false
	}
	delete(st.activeByRelay[place.Relay], t)
	j.recordConclusion(ref, number, how)
	st.recordOverRun(place, graph.TaskName(j.graph.Spec.GetId(), ref), number, how)
	count(endsCounter, 1, "how", how)
	count(lostWorkCounter, int64(lost), "how", how)
	klog.InfoS("duty: run over", "job", j.graph.Spec.GetId(), "step", ref.Step, "index", ref.Index,
		"occurrence", ref.Occurrence, "run", number, "how", how, "worker", place.Worker, "saved", checkpoint != "",
		"cancelled", j.graph.Cancelled, "lost_core_s", int64(lost))
	delete(j.runs, ref)
	st.markDirty(j)
	st.markOrdersChanged(place)
	if how == graph.EndDone || stopped {
		return true
	}
	for _, member := range j.graph.Members(ref) {
		if m := j.graph.Task(member); m != nil && m.Active() && m.Run == number && !m.Done {
			st.orderStop(j, m)
		}
	}
	return true
}

// unsavedWork returns the run time that would be lost by stopping a run now.
func (st *state) unsavedWork(j *job, ref graph.Ref, now time.Duration) time.Duration {
	r := j.runs[ref]
	if r == nil {
		return 0
	}
	if r.begunAt == 0 {
		return 0
	}
	unsaved := now - r.begunAt
	if j.graph.Step(ref).GetCheckpointing() {
		unsaved = min(unsaved, maxStopLoss)
	}
	return unsaved
}

// maxStopLoss bounds the run time that is lost when a task that writes checkpoints
// is stopped.
const maxStopLoss = time.Second

// advanceJobs moves changed jobs to the phase that follows from their tasks, and
// stops what still runs of those that have ended.
func (st *state) advanceJobs() {
	now := time.Now().UnixMilli()
	for _, j := range st.openJobs() {
		// Crashes settle without a further change of the job.
		if (j.dirty() || j.graph.HasCrashes()) && j.graph.Advance(now) {
			klog.InfoS("duty: job ended", "job", j.graph.Spec.GetId(), "phase", j.graph.Phase, "priority", j.graph.Spec.GetPriority(),
				"took_ms", (clock.Monotonic() - j.submitted).Milliseconds(), "objective_ms", graph.ObjectiveMS(j.graph.Spec), "reason", j.graph.EndReason(),
				"failures", j.graph.MaxFailures(), "max_attempts", j.graph.Spec.GetMaxAttempts())
			st.markDirty(j)
			st.stopActive(j)
		}
	}
}

// expireLeases ends the runs whose task lease has surely expired. Their workers
// have killed them by then, as they got no orders during the lease.
func (st *state) expireLeases(s *Scheduler, now time.Duration) {
	if now < st.nextExpire || !s.claim.Valid() {
		// Without a valid claim, another process may have received reports of the
		// workers since and extended their leases.
		return
	}
	st.nextExpire = now + expirePeriod
	maxSilence := time.Duration(float64(s.settings.TaskLease)*leaseClockFactor) + leaseKillMargin
	for relay := range st.activeByRelay {
		w := st.workers[relay]
		if w != nil && now-w.lastReport <= maxSilence && now-st.startedAt <= maxSilence {
			continue
		}
		for _, t := range st.activeOn(relay) {
			last := st.startedAt
			if w != nil && w.sameWorker(t.Place) {
				last = max(last, w.lastReport)
			}
			if now-last > maxSilence {
				st.endRun(t.job, t.Ref, t.Run, graph.EndUnreachable, "")
			}
		}
	}
}
