package sched

import (
	"fmt"
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"catkinpoint/gang"
	"catkinpoint/wire"
)

// begin starts an attempt of a queued job on the given workers.
func (s *Scheduler) begin(c *control, j *job, workers []string, now time.Time) {
	c.queue.Take(j.spec.GetId())
	j.number++
	c.sequence++
	a := &attempt{
		// Agents remember ids for longer than this process remembers jobs.
		id:     fmt.Sprintf("%s.%d.%d", j.spec.GetId(), s.opts.Epoch, c.sequence),
		job:    j,
		coord:  gang.NewCoordinator(len(workers), j.recorded()),
		placed: now,
	}
	a.allocate(len(workers))
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
	s.apply(c, a, a.coord.Step(e))
}

func (s *Scheduler) apply(c *control, a *attempt, effects []gang.Effect) {
	for _, effect := range effects {
		switch effect.Kind {
		case gang.EffectCommit:
			s.commit(a)
		case gang.EffectStart:
			if a.started.IsZero() {
				a.started = time.Now()
			}
			s.sendStart(a, effect.Rank)
		case gang.EffectStop:
			s.sendStop(a, effect.Rank)
		case gang.EffectEnd:
			s.end(c, a)
		}
	}
}

// status passes what an agent said about one task to the coordinator.
func (s *Scheduler) status(c *control, a *attempt, rank int, bootID string, status *wire.TaskStatus) {
	if status.GetState() == wire.TaskState_TASK_DONE && !a.received[rank] {
		if !status.GetHasResult() {
			// The job is not done for its caller without the result.
			s.fetchResult(a, rank)
			return
		}
		a.results[rank], a.received[rank] = status.GetResult(), true
	}
	a.saved[rank] = max(a.saved[rank], time.Duration(status.GetCheckpointMs())*time.Millisecond)
	s.step(c, a, gang.Event{Kind: gang.EventStatus, Rank: rank, BootID: bootID, Status: status})
}

// end decides what follows an attempt.
func (s *Scheduler) end(c *control, a *attempt) {
	j := a.job
	v := a.coord.Verdict()
	c.removeAttempt(a)
	j.current = nil
	c.dirty = true
	klog.V(1).Infof("sched: Attempt %s ended: %+v.", a.id, v)
	s.judgeWorkers(c, a, v)
	j.noteEarlier(v)
	switch {
	case v.AllDone:
		s.finish(c, j, s.doneOutcome(a))
	case j.stopReason != "":
		s.finish(c, j, j.stopOutcome(v.Fate()))
	case a.preempted && a.mayResume(v):
		s.requeuePreempted(c, a)
	case s.mayRepeat(j, v):
		j.notUntil = time.Now().Add(callRetry)
		j.tries++
		s.enqueue(c, j)
	default:
		outcome := &wire.Outcome{Fate: v.Fate(), Reason: v.Reason, Worker: a.workerOf(v)}
		if outcome.GetFate() == wire.Fate_NOT_RUN {
			outcome.RetryAfterMs = retryAfter.Milliseconds()
		}
		s.finish(c, j, outcome)
	}
}

// noteEarlier keeps what the attempt left behind, for the fate of the job.
func (j *job) noteEarlier(v gang.Verdict) {
	switch {
	case v.Started:
		j.earlier = wire.Fate_FAILED
	case v.MayHaveStarted && j.earlier == wire.Fate_FATE_UNSPECIFIED:
		j.earlier = wire.Fate_UNKNOWN
	}
}

// FateAfter is the fate of a job whose last attempt or record has the given
// fate: a job of which an earlier attempt ran is never told to be not run.
func FateAfter(earlier, fate wire.Fate) wire.Fate {
	if fate == wire.Fate_NOT_RUN && earlier != wire.Fate_FATE_UNSPECIFIED {
		return earlier
	}
	return fate
}

// mayRepeat says whether the job is tried again after the verdict.
func (s *Scheduler) mayRepeat(j *job, v gang.Verdict) bool {
	l := s.opts.Limits
	return v.Repeatable(j.spec.GetIdempotent()) && j.tries+1 < l.Attempts && !j.atFault
}

// judgeWorkers learns from the attempt which workers and which jobs fail, and
// how long jobs of the class run.
func (s *Scheduler) judgeWorkers(c *control, a *attempt, v gang.Verdict) {
	now := time.Now()
	id := a.job.spec.GetId()
	for _, rank := range v.FailedRanks {
		atFault := c.health.Failed(id, a.members[rank].GetWorker(), now)
		a.job.atFault = a.job.atFault || atFault
	}
	if !v.AllDone {
		return
	}
	for _, m := range a.members {
		c.health.Succeeded(id, m.GetWorker(), now)
	}
	if !a.started.IsZero() {
		c.learner.Ended(a.job.spec.GetJobClass(), a.job.resume+now.Sub(a.started))
	}
}

// stoppedForCertain says whether no member runs any more, with proof.
func (a *attempt) stoppedForCertain() bool {
	for _, m := range a.coord.Members {
		if m.Lost || !gang.Final(m.State) {
			return false
		}
	}
	return true
}

// mayResume says whether the preempted job may go on in another attempt. Work
// that must run once needs a checkpoint of every member, since a member that
// ended without one would run again from its start.
func (a *attempt) mayResume(v gang.Verdict) bool {
	if !a.stoppedForCertain() {
		return false
	}
	if a.job.spec.GetIdempotent() || v.Proved() {
		return true
	}
	for rank, m := range a.coord.Members {
		if m.State != wire.TaskState_TASK_STOPPED || a.saved[rank] == 0 {
			return false
		}
	}
	return true
}

// requeuePreempted lets a preempted job go on later from its checkpoint.
func (s *Scheduler) requeuePreempted(c *control, a *attempt) {
	j := a.job
	saved := a.saved[0]
	for _, d := range a.saved {
		saved = min(saved, d)
	}
	j.resume = max(j.resume, saved)
	if !j.recorded() || !j.bodyHere {
		s.enqueue(c, j)
		return
	}
	j.phase = ending
	s.release(j, nil)
}

// workerOf names the worker that failed the attempt, if there is one.
func (a *attempt) workerOf(v gang.Verdict) string {
	if len(v.FailedRanks) == 0 {
		return ""
	}
	return a.members[v.FailedRanks[0]].GetWorker()
}

func (a *attempt) allocate(tasks int) {
	a.results = make([][]byte, tasks)
	a.received = make([]bool, tasks)
	a.fetching = make([]bool, tasks)
	a.saved = make([]time.Duration, tasks)
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

func (a *attempt) address(rank int) netip.AddrPort {
	addr, _ := netip.ParseAddrPort(a.members[rank].GetAgentAddress()) // checked when the worker reported
	return addr
}
