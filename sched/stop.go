package sched

import (
	"catkinpoint/gang"
	"catkinpoint/wire"
)

// stopJob ends a job early.
func (s *Scheduler) stopJob(c *control, j *job, reason string) {
	if j.phase == ended || j.phase == ending || j.stopReason != "" {
		return
	}
	j.stopReason = reason
	c.dirty = true
	if j.phase == queued {
		s.finish(c, j, &wire.Outcome{Fate: wire.Fate_NOT_RUN, Reason: reason})
		return
	}
	s.step(c, j.current, gang.Event{Kind: gang.EventStop, Reason: reason})
}

// expire handles a job whose caller's deadline has passed. The caller gets its
// answer at once. A job with a record may go on, since its outcome can be asked
// for by id; one without is stopped, because nobody can ask for it.
func (s *Scheduler) expire(c *control, j *job) {
	const reason = "the deadline has passed"
	switch {
	case j.phase == queued, j.phase == running && !j.current.coord.StartSent:
		s.stopJob(c, j, reason)
	case j.recorded():
		s.answerWaiters(j, &wire.Outcome{Fate: wire.Fate_UNKNOWN, Reason: reason + "; the job goes on"})
	default:
		s.stopJob(c, j, reason)
		s.answerWaiters(j, &wire.Outcome{Fate: wire.Fate_UNKNOWN, Reason: reason})
	}
}

// answerWaiters answers the present callers of a job that has not ended.
func (s *Scheduler) answerWaiters(j *job, outcome *wire.Outcome) {
	if j.phase == ended {
		return
	}
	j.outcome = outcome
	for _, done := range j.waiters {
		close(done)
	}
	j.waiters = nil
}
