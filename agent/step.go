package agent

import (
	"time"

	"catkinpoint/gang"
	"catkinpoint/wire"
)

// step passes an event to the task's member and carries out the effect. It runs
// on the control goroutine.
func (a *Agent) step(s *state, t *task, e gang.MemberEvent, reason string) {
	a.stepAt(s, t, e, reason, time.Now())
}

// stepAt is step for an event that happened at the given time.
func (a *Agent) stepAt(s *state, t *task, e gang.MemberEvent, reason string, at time.Time) {
	now := time.Now()
	before := t.member
	member, effect := t.member.Step(e, at, a.opts.Timers)
	t.member = member
	if member.State == before.State && effect == gang.MemberNone {
		return
	}
	if reason != "" {
		t.reason = reason
	}
	switch effect {
	case gang.MemberJoin:
		a.traffic.Go(func() { a.pingLeader(t.attempt, t.rank, t.members) })
	case gang.MemberLaunch:
		a.launchTask(s, t, now)
	case gang.MemberKill:
		a.kill(t)
	}
	if gang.Final(t.member.State) && t.endedAt.IsZero() {
		a.ended(t, now)
	}
	a.reportSoon()
}

func (a *Agent) ended(t *task, now time.Time) {
	t.endedAt = now
	t.body = nil
	if t.cancel != nil {
		t.cancel()
	}
	a.stats.count(t.member.State)
}

// tick lets time limits of all tasks pass.
func (a *Agent) tick(s *state, now time.Time) {
	for _, t := range s.tasks {
		if t.monitor != nil {
			t.monitor.Tick(now, a.opts.Timers)
		}
		if !gang.Final(t.member.State) {
			a.step(s, t, gang.MemberTick, "a time limit of the gang protocol has passed")
		}
	}
	s.sweep(now)
}

// taskOf returns the attempt's task, a fresh one if the agent has not seen it.
func (s *state) taskOf(attempt string) *task {
	t, ok := s.tasks[attempt]
	if !ok {
		t = &task{attempt: attempt, member: gang.Member{State: wire.TaskState_TASK_ABSENT}}
		s.tasks[attempt] = t
	}
	return t
}

// reportSoon asks for a report without waiting for the period.
func (a *Agent) reportSoon() {
	select {
	case a.wake <- struct{}{}:
	default: // one is asked for already
	}
}
