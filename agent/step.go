package agent

import (
	"time"

	"catkinpoint/gang"
	"catkinpoint/wire"
)

// step applies an event to the task's state in the gang protocol and carries out
// the effect. It runs on the control goroutine.
func (a *Agent) step(s *state, t *task, e gang.MemberEvent, reason string) {
	a.stepAt(s, t, e, reason, time.Now())
}

// stepAt is step for an event that happened at eventTime.
func (a *Agent) stepAt(s *state, t *task, e gang.MemberEvent, reason string, eventTime time.Time) {
	now := time.Now()
	before := t.member
	member, effect := t.member.Step(e, eventTime, a.opts.Timers)
	t.member = member
	if member.State == before.State && effect == gang.MemberNoEffect {
		return
	}
	if reason != "" {
		t.reason = reason
	}
	switch effect {
	case gang.MemberJoin:
		a.background.Go(func() { a.pingLeader(t.attempt, t.rank, t.members) })
	case gang.MemberLaunch:
		a.launchTask(s, t, now)
	case gang.MemberKill:
		a.startKill(t)
	}
	if gang.Final(t.member.State) && t.endedAt.IsZero() {
		a.recordEnd(t, now)
	}
	a.requestReport()
}

// recordEnd records that the task has reached a final state, and cancels its
// request to the endpoint.
func (a *Agent) recordEnd(t *task, now time.Time) {
	t.endedAt = now
	t.body = nil
	if t.cancel != nil {
		t.cancel()
	}
	a.stats.recordEnd(t.member.State)
}

// tick applies to all tasks and gangs the time limits that have passed at now, and
// removes old attempts. It runs on the control goroutine.
func (a *Agent) tick(s *state, now time.Time) {
	for _, t := range s.tasks {
		if t.monitor != nil {
			t.monitor.Tick(now, a.opts.Timers)
		}
		if !gang.Final(t.member.State) {
			a.step(s, t, gang.MemberTick, "a time limit of the gang protocol has passed")
		}
	}
	s.removeOldAttempts(now)
}

// ensureTask returns the attempt's task, and adds one in the state TASK_ABSENT if
// the agent has not seen the attempt.
func (s *state) ensureTask(attempt string) *task {
	t, ok := s.tasks[attempt]
	if !ok {
		t = &task{attempt: attempt, member: gang.Member{State: wire.TaskState_TASK_ABSENT}}
		s.tasks[attempt] = t
	}
	return t
}

// requestReport makes reportLoop send a report before its period has passed.
func (a *Agent) requestReport() {
	select {
	case a.reportRequested <- struct{}{}:
	default: // a report was requested already
	}
}
