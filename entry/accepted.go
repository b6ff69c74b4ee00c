package entry

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"catkinpoint/clock"
	"catkinpoint/sched"
	"catkinpoint/store"
	"catkinpoint/wire"
)

// runAccepted dispatches an accepted job until it has ended or ctx ends, and
// returns the outcome. A job that an earlier request has accepted is dispatched
// for that request; this one only waits for its end.
func (e *Entry) runAccepted(ctx context.Context, r *jobRequest, stored *storedRecord) *wire.Outcome {
	id := r.job.GetId()
	if stored.existing {
		return e.awaitRecordEnd(ctx, id)
	}
	for {
		outcome := e.dispatch(ctx, r, stored)
		switch outcome.GetFate() {
		case wire.Fate_NOT_RUN, wire.Fate_FAILED:
			return e.endRecordOrDefer(context.WithoutCancel(ctx), r, outcome)
		case wire.Fate_UNKNOWN:
		default:
			return outcome
		}
		ended, redispatch := e.awaitEndOrRedispatch(ctx, stored, recordPollPeriod)
		if redispatch {
			continue
		}
		if ctx.Err() != nil && ended.GetFate() == wire.Fate_UNKNOWN {
			// No goroutine dispatches the job after this one returns.
			e.endRetrier.add(r.job, notRunOutcome("the deadline has passed"))
			return outcome
		}
		return ended
	}
}

// awaitEndOrRedispatch waits until the job has ended or must be dispatched again.
// It must be if its record is in phase ACCEPTED and names this entry: a scheduler
// then gave the job back or no longer knows it. In that case stored is updated.
func (e *Entry) awaitEndOrRedispatch(ctx context.Context, stored *storedRecord, period time.Duration) (outcome *wire.Outcome, redispatch bool) {
	id := stored.record.GetJob().GetId()
	for clock.Sleep(ctx, period) {
		current, err := e.readRecord(ctx, id)
		if errors.Is(err, store.ErrNotFound) {
			return &wire.Outcome{Fate: wire.Fate_UNKNOWN, Reason: "the job has no record any more"}, false
		}
		if err != nil {
			klog.V(1).Infof("entry: Waiting for job %s: %v.", id, err)
			continue
		}
		switch current.record.GetPhase() {
		case wire.JobRecord_ENDED:
			if outcome, err := e.readOutcome(ctx, current.record); err == nil {
				return outcome, false
			}
		case wire.JobRecord_ACCEPTED:
			if current.record.GetAcceptedBy() == e.bootID {
				stored.record, stored.revision = current.record, current.revision
				return nil, true
			}
			if current.record.GetJob().GetDetached() {
				return unknownOutcome("another entry carries the job"), false
			}
		}
	}
	return unknownOutcome("the job has not ended yet"), false
}

// endRecordOrDefer ends the record of a job that no scheduler has taken, and
// returns the outcome that holds. If the store leaves it uncertain whether the
// record has ended, the end is left to endRetrier.
func (e *Entry) endRecordOrDefer(ctx context.Context, r *jobRequest, outcome *wire.Outcome) *wire.Outcome {
	ended, certain := e.endRecord(ctx, r.job.GetId(), outcome)
	if certain {
		return ended
	}
	e.endRetrier.add(r.job, outcome)
	if outcome.GetFate() == wire.Fate_FAILED {
		return outcome // the failure is certain, whatever the record says
	}
	return ended
}

// runDetached accepts the job and answers before it has run.
func (e *Entry) runDetached(ctx context.Context, r *jobRequest) *wire.Outcome {
	acceptCtx, cancel := context.WithTimeout(ctx, maxAcceptAttempts*storeTimeout+time.Second)
	defer cancel()
	defer e.admission.release(r.job.GetCustomer())
	stored, err := e.accept(acceptCtx, r)
	if err != nil {
		return e.acceptErrorOutcome(r, err)
	}
	if !stored.existing {
		e.startDetached(r, stored)
	}
	return acceptedOutcome()
}

// startDetached runs an accepted job in the background, without a caller that
// waits. If this process ends first, another entry adopts the job.
func (e *Entry) startDetached(r *jobRequest, stored *storedRecord) {
	e.background.Go(func() {
		ctx, cancel := context.WithCancel(e.runCtx)
		defer cancel()
		if r.timeout > 0 {
			ctx, cancel = context.WithTimeout(ctx, r.timeout)
			defer cancel()
		}
		outcome := e.dispatchUntilEnded(ctx, r, stored)
		recordMayBeOpen := outcome.GetFate() == wire.Fate_NOT_RUN || outcome.GetFate() == wire.Fate_FAILED
		switch {
		case e.runCtx.Err() != nil: // another entry adopts the job
		case recordMayBeOpen:
			e.endRecordOrDefer(e.runCtx, r, outcome)
		case outcome.GetFate() == wire.Fate_UNKNOWN && ctx.Err() != nil:
			e.endRetrier.add(r.job, notRunOutcome("the deadline has passed"))
		}
	})
}

// dispatchUntilEnded dispatches the job until it has ended, was refused for good,
// or ctx ends. A job that is refused for lack of room has been accepted, so it
// waits and is dispatched again.
func (e *Entry) dispatchUntilEnded(ctx context.Context, r *jobRequest, stored *storedRecord) *wire.Outcome {
	for {
		outcome := e.dispatch(ctx, r, stored)
		if outcome.GetFate() == wire.Fate_UNKNOWN {
			ended, redispatch := e.awaitEndOrRedispatch(ctx, stored, detachedPollPeriod)
			if !redispatch {
				return ended
			}
			continue
		}
		noRoom := outcome.GetFate() != wire.Fate_DONE && outcome.GetRetryAfterMs() > 0
		if !noRoom || !clock.Sleep(ctx, refusedRetryDelay) {
			return outcome
		}
	}
}

// reloadRecord updates stored from the store after a scheduler has given the job
// back. It returns an outcome if this entry must not dispatch the job any more,
// and otherwise nil.
func (e *Entry) reloadRecord(ctx context.Context, stored *storedRecord) *wire.Outcome {
	if stored == nil {
		return nil
	}
	current, err := e.readRecord(ctx, stored.record.GetJob().GetId())
	if err != nil {
		return nil // a scheduler's commit based on an outdated record fails
	}
	if current.record.GetPhase() != wire.JobRecord_ACCEPTED {
		return unknownOutcome("the job is " + current.record.GetPhase().String())
	}
	stored.record, stored.revision = current.record, current.revision
	return nil
}

// mergeEarlierFate adjusts the fate of the outcome to the earlier attempts in data
// centres that gave the job back: a job that may have run there is not reported
// as not run.
func (r *jobRequest) mergeEarlierFate(outcome *wire.Outcome) *wire.Outcome {
	outcome.Fate = sched.FateAfter(r.earlierFate, outcome.GetFate())
	return outcome
}
