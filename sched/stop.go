package sched

import (
	"catkinpoint/gang"
	"catkinpoint/wire"
)

// stopJob ends a job early.
func (s *Scheduler) stopJob(c *control, j *job, reason string) {
	if j.phase == ended || j.phase == ending && !j.releasing || j.stopReason != "" {
		return
	}
	j.stopReason = reason
	c.dirty = true
	if j.releasing {
		return // the job ends once its record was given back
	}
	if j.phase == queued {
		s.finish(c, j, j.stopOutcome(wire.Fate_NOT_RUN))
		return
	}
	s.step(c, j.current, gang.Event{Kind: gang.EventStop, Reason: reason})
}

// stopOutcome is the outcome of a job that was cancelled or given up.
func (j *job) stopOutcome(fate wire.Fate) *wire.Outcome {
	return &wire.Outcome{Fate: fate, Reason: j.stopReason, RetryAfterMs: j.stopRetry.Milliseconds()}
}

// expire handles a job whose caller's deadline has passed. The caller gets its
// answer at once. A job with a record may go on, since its outcome can be asked
// for by id; one without is stopped, because nobody can ask for it.
func (s *Scheduler) expire(c *control, j *job) {
	const reason = "the deadline has passed"
	given := &wire.Outcome{Fate: wire.Fate_UNKNOWN, Reason: reason, RetryAfterMs: retryAfter.Milliseconds()}
	switch {
	case j.phase == queued, j.releasing, j.phase == running && !j.current.coord.StartSent:
		j.stopRetry = retryAfter
		s.stopJob(c, j, reason)
	case j.recorded():
		given.Reason += "; the job goes on"
		s.answerWaiters(j, given)
	default:
		s.stopJob(c, j, reason)
		s.answerWaiters(j, given)
	}
}

// answerWaiters answers the present callers of a job that has not ended.
func (s *Scheduler) answerWaiters(j *job, outcome *wire.Outcome) {
	if j.phase == ended {
		return
	}
	j.outcome = outcome
	j.closeWaiters()
}
