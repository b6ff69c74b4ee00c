package sched

import (
	"catkinpoint/gang"
	"catkinpoint/wire"
)

// stopJob ends a job early for the given reason. It does nothing if the job has
// ended, is being stopped, or has an outcome that is being recorded.
func (s *Scheduler) stopJob(c *control, j *job, reason string) {
	if j.phase == ended || j.phase == ending && !j.releasing || j.stopReason != "" {
		return
	}
	j.stopReason = reason
	c.dirty = true
	if j.releasing {
		return // handleReleased ends the job once the record is accepted again
	}
	if j.phase == queued {
		s.finish(c, j, j.stopOutcome(wire.Fate_NOT_RUN))
		return
	}
	s.step(c, j.current, gang.Event{Kind: gang.EventStop, Reason: reason})
}

// stopOutcome returns the outcome of a job that was cancelled or given up.
func (j *job) stopOutcome(fate wire.Fate) *wire.Outcome {
	return &wire.Outcome{Fate: fate, Reason: j.stopReason, RetryAfterMs: j.stopRetryAfter.Milliseconds()}
}

// handleDeadline handles a job whose caller's deadline has passed. The job is stopped
// if no Start was sent for its current attempt, or if it has none. Otherwise the
// caller is answered at once: a job with a record goes on, since its outcome can be
// queried by id, and one without is stopped, because nobody could get its result.
func (s *Scheduler) handleDeadline(c *control, j *job) {
	const reason = "the deadline has passed"
	outcome := &wire.Outcome{Fate: wire.Fate_UNKNOWN, Reason: reason, RetryAfterMs: retryAfter.Milliseconds()}
	switch {
	case j.phase == queued, j.releasing, j.phase == running && !j.current.coord.StartSent:
		j.stopRetryAfter = retryAfter
		s.stopJob(c, j, reason)
	case j.hasRecord():
		outcome.Reason += "; the job goes on"
		s.answerWaiters(j, outcome)
	default:
		s.stopJob(c, j, reason)
		s.answerWaiters(j, outcome)
	}
}

// answerWaiters gives the outcome to the callers that wait for the job now. It
// does nothing if the job has ended.
func (s *Scheduler) answerWaiters(j *job, outcome *wire.Outcome) {
	if j.phase == ended {
		return
	}
	j.outcome = outcome
	j.closeWaiters()
}
