package sched

import (
	"fmt"
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"catkinpoint/gang"
	"catkinpoint/wire"
)

// startAttempt starts an attempt of a queued job on the given workers.
func (s *Scheduler) startAttempt(c *control, j *job, workers []string, now time.Time) {
	c.queue.Take(j.spec.GetId())
	j.lastAttempt++
	c.attemptSequence++
	a := &attempt{
		// Agents remember task ids for longer than this process remembers jobs, so
		// the sequence number, not the job's own count, keeps ids unique.
		id:       fmt.Sprintf("%s.%d.%d", j.spec.GetId(), s.opts.Epoch, c.attemptSequence),
		job:      j,
		coord:    gang.NewCoordinator(len(workers), j.hasRecord()),
		placedAt: now,
	}
	a.allocateMemberState(len(workers))
	for rank, name := range workers {
		report := c.workers[name].report
		a.coord.Members[rank].BootID = report.GetBootId()
		a.members = append(a.members, &wire.Member{
			Rank:         int32(rank),
			Worker:       name,
			AgentAddress: report.GetAddress(),
			BootId:       report.GetBootId(),
			Accelerators: j.spec.GetAccelerators(),
			Attempt:      fmt.Sprintf("%s-%d", a.id, rank),
		})
	}
	j.phase, j.current = running, a
	c.addAttempt(a)
	for rank := range a.members {
		s.sendPrepare(a, rank)
	}
}

// step passes an event to the attempt's coordinator and carries out the effects.
func (s *Scheduler) step(c *control, a *attempt, e gang.Event) {
	if c.attempts[a.id] != a {
		return // the attempt has ended
	}
	s.applyEffects(c, a, a.coord.Step(e))
}

// applyEffects carries out the effects of a step of the attempt's coordinator.
func (s *Scheduler) applyEffects(c *control, a *attempt, effects []gang.Effect) {
	for _, effect := range effects {
		switch effect.Kind {
		case gang.EffectCommit:
			s.commitAttempt(a)
		case gang.EffectStart:
			if a.startedAt.IsZero() {
				a.startedAt = time.Now()
			}
			s.sendStart(a, effect.Rank)
		case gang.EffectStop:
			s.sendStop(a, effect.Rank)
		case gang.EffectEnd:
			s.endAttempt(c, a)
		}
	}
}

// handleTaskStatus passes the status of one task to the attempt's coordinator. A
// task that is done is passed on only once its result has been received.
func (s *Scheduler) handleTaskStatus(c *control, a *attempt, rank int, bootID string, status *wire.TaskStatus) {
	if status.GetState() == wire.TaskState_TASK_DONE && !a.received[rank] {
		if !status.GetHasResult() {
			// Without the result the job is not done for its caller.
			s.fetchResult(a, rank)
			return
		}
		a.results[rank], a.received[rank] = status.GetResult(), true
	}
	a.checkpoints[rank] = max(a.checkpoints[rank], time.Duration(status.GetCheckpointMs())*time.Millisecond)
	s.step(c, a, gang.Event{Kind: gang.EventStatus, Rank: rank, BootID: bootID, Status: status})
}

// endAttempt removes an attempt that has ended and ends its job, or queues it for
// another attempt.
func (s *Scheduler) endAttempt(c *control, a *attempt) {
	j := a.job
	v := a.coord.Verdict()
	c.removeAttempt(a)
	j.current = nil
	c.dirty = true
	klog.V(1).Infof("sched: Attempt %s ended: %+v.", a.id, v)
	s.learnFromAttempt(c, a, v)
	j.noteEarlierFate(v)
	switch {
	case v.AllDone:
		s.finish(c, j, s.doneOutcome(a))
	case j.stopReason != "":
		s.finish(c, j, j.stopOutcome(v.Fate()))
	case a.preempted && a.mayResume(v):
		s.requeuePreempted(c, a)
	case s.mayRetry(j, v):
		j.notBefore = time.Now().Add(callRetry)
		j.retries++
		s.requeue(c, j)
	default:
		outcome := &wire.Outcome{Fate: v.Fate(), Reason: v.Reason, Worker: a.failedWorker(v)}
		if outcome.GetFate() == wire.Fate_NOT_RUN {
			outcome.RetryAfterMs = retryAfter.Milliseconds()
		}
		s.finish(c, j, outcome)
	}
}

// noteEarlierFate records in the job whether an attempt that has ended ran or may
// have run.
func (j *job) noteEarlierFate(v gang.Verdict) {
	switch {
	case v.Started:
		j.earlierFate = wire.Fate_FAILED
	case v.MayHaveStarted && j.earlierFate == wire.Fate_FATE_UNSPECIFIED:
		j.earlierFate = wire.Fate_UNKNOWN
	}
}

// FateAfter returns the fate of a job whose last attempt or record has the given
// fate and whose earlier attempts have the fate earlier, if any. A job of which
// an earlier attempt ran or may have run is never reported as not run.
func FateAfter(earlier, fate wire.Fate) wire.Fate {
	if fate == wire.Fate_NOT_RUN && earlier != wire.Fate_FATE_UNSPECIFIED {
		return earlier
	}
	return fate
}

// mayRetry reports whether the job gets another attempt after the verdict.
func (s *Scheduler) mayRetry(j *job, v gang.Verdict) bool {
	l := s.opts.Limits
	return v.Repeatable(j.spec.GetIdempotent()) && j.retries+1 < l.MaxAttempts && !j.faulty
}

// learnFromAttempt records which members failed and which succeeded, to find faulty
// workers and jobs, and how long jobs of the class run.
func (s *Scheduler) learnFromAttempt(c *control, a *attempt, v gang.Verdict) {
	now := time.Now()
	id := a.job.spec.GetId()
	var workers []string
	for _, rank := range v.FailedRanks {
		workers = append(workers, a.members[rank].GetWorker())
	}
	if len(workers) > 0 {
		a.job.faulty = c.health.RecordFailure(id, workers, now)
	}
	if !v.AllDone {
		return
	}
	for _, m := range a.members {
		c.health.RecordSuccess(id, m.GetWorker(), now)
	}
	if !a.startedAt.IsZero() {
		c.learner.RecordRunTime(a.job.spec.GetJobClass(), a.job.resumeFrom+now.Sub(a.startedAt))
	}
}

// provenStopped reports whether every member is proved not to run any more.
func (a *attempt) provenStopped() bool {
	for _, m := range a.coord.Members {
		if m.Lost || !gang.Final(m.State) {
			return false
		}
	}
	return true
}

// mayResume reports whether the preempted job may continue in another attempt. A
// job that is not idempotent and may have run needs a checkpoint of every member:
// one that ended without a checkpoint would run again from its start.
func (a *attempt) mayResume(v gang.Verdict) bool {
	if !a.provenStopped() {
		return false
	}
	if a.job.spec.GetIdempotent() || v.ProvedNotStarted() {
		return true
	}
	for rank, m := range a.coord.Members {
		if m.State != wire.TaskState_TASK_STOPPED || a.checkpoints[rank] == 0 {
			return false
		}
	}
	return true
}

// requeuePreempted queues a preempted job, to continue from the work that all
// members have saved. The record of a job that has one is released first.
func (s *Scheduler) requeuePreempted(c *control, a *attempt) {
	j := a.job
	saved := a.checkpoints[0]
	for _, d := range a.checkpoints {
		saved = min(saved, d)
	}
	j.resumeFrom = max(j.resumeFrom, saved)
	if !j.hasRecord() || !j.hasBody {
		s.requeue(c, j)
		return
	}
	j.phase = ending
	s.releaseRecord(j, nil)
}

// failedWorker returns the name of the first worker whose task failed, or "".
func (a *attempt) failedWorker(v gang.Verdict) string {
	if len(v.FailedRanks) == 0 {
		return ""
	}
	return a.members[v.FailedRanks[0]].GetWorker()
}

// allocateMemberState makes the slices that hold the state of each member.
func (a *attempt) allocateMemberState(tasks int) {
	a.results = make([][]byte, tasks)
	a.received = make([]bool, tasks)
	a.fetching = make([]bool, tasks)
	a.checkpoints = make([]time.Duration, tasks)
}

func (c *control) addAttempt(a *attempt) {
	c.attempts[a.id] = a
	for rank, m := range a.members {
		c.tasks[m.GetAttempt()] = taskRef{a, rank}
	}
}

func (c *control) removeAttempt(a *attempt) {
	delete(c.attempts, a.id)
	for _, m := range a.members {
		delete(c.tasks, m.GetAttempt())
	}
}

// agentAddress returns the address of the member's agent.
func (a *attempt) agentAddress(rank int) netip.AddrPort {
	// Report has checked that the address is valid.
	addr, _ := netip.ParseAddrPort(a.members[rank].GetAgentAddress())
	return addr
}
