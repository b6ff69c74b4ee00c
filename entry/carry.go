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

// carry takes an accepted job to its outcome.
func (e *Entry) carry(ctx context.Context, r *jobRequest, found *claim) *wire.Outcome {
	id := r.job.GetId()
	if found.existing {
		return e.followRecord(ctx, id)
	}
	for {
		outcome := e.dispatch(ctx, r, found)
		switch outcome.GetFate() {
		case wire.Fate_NOT_RUN, wire.Fate_FAILED:
			return e.endGivenUp(context.WithoutCancel(ctx), r, outcome)
		case wire.Fate_UNKNOWN:
		default:
			return outcome
		}
		ended, again := e.followClaim(ctx, found, followPeriod)
		if again {
			continue
		}
		if ctx.Err() != nil && ended.GetFate() == wire.Fate_UNKNOWN {
			// Nobody carries the job after this.
			e.ender.add(r.job, notRun("the deadline has passed"))
			return outcome
		}
		return ended
	}
}

// followClaim waits until the job has ended, or must be dispatched again: a
// scheduler has given it back, or does not know it any more.
func (e *Entry) followClaim(ctx context.Context, found *claim, period time.Duration) (outcome *wire.Outcome, again bool) {
	id := found.record.GetJob().GetId()
	for clock.Sleep(ctx, period) {
		now, err := e.readRecord(ctx, id)
		if errors.Is(err, store.ErrNotFound) {
			return &wire.Outcome{Fate: wire.Fate_UNKNOWN, Reason: "the job has no record any more"}, false
		}
		if err != nil {
			klog.V(1).Infof("entry: Waiting for job %s: %v.", id, err)
			continue
		}
		switch now.record.GetPhase() {
		case wire.JobRecord_ENDED:
			if outcome, err := e.outcomeOf(ctx, now.record); err == nil {
				return outcome, false
			}
		case wire.JobRecord_ACCEPTED:
			if now.record.GetAcceptedBy() == e.bootID {
				found.record, found.revision = now.record, now.revision
				return nil, true
			}
			if now.record.GetJob().GetDetached() {
				return unknown("another entry carries the job"), false
			}
		}
	}
	return unknown("the job has not ended yet"), false
}

// endGivenUp ends the record of a job that no scheduler has taken.
func (e *Entry) endGivenUp(ctx context.Context, r *jobRequest, outcome *wire.Outcome) *wire.Outcome {
	ended, certain := e.endNotRun(ctx, r.job.GetId(), outcome)
	if certain {
		return ended
	}
	e.ender.add(r.job, outcome)
	if outcome.GetFate() == wire.Fate_FAILED {
		return outcome // certain without its record
	}
	return ended
}

// runDetached accepts the job and answers before it has run.
func (e *Entry) runDetached(ctx context.Context, r *jobRequest) *wire.Outcome {
	acceptCtx, cancel := context.WithTimeout(ctx, acceptTries*storeTimeout+time.Second)
	defer cancel()
	defer e.admission.leave(r.job.GetCustomer())
	found, err := e.accept(acceptCtx, r)
	if err != nil {
		return e.acceptOutcome(r, err)
	}
	if !found.existing {
		e.carryDetached(r, found)
	}
	return accepted()
}

// carryDetached carries a job without a caller. When this process ends first,
// another entry adopts the job.
func (e *Entry) carryDetached(r *jobRequest, found *claim) {
	e.traffic.Go(func() {
		ctx, cancel := context.WithCancel(e.life)
		defer cancel()
		if r.timeout > 0 {
			ctx, cancel = context.WithTimeout(ctx, r.timeout)
			defer cancel()
		}
		outcome := e.dispatchDetached(ctx, r, found)
		given := outcome.GetFate() == wire.Fate_NOT_RUN || outcome.GetFate() == wire.Fate_FAILED
		switch {
		case e.life.Err() != nil:
		case given:
			e.endGivenUp(e.life, r, outcome)
		case outcome.GetFate() == wire.Fate_UNKNOWN && ctx.Err() != nil:
			e.ender.add(r.job, notRun("the deadline has passed"))
		}
	})
}

// dispatchDetached dispatches until the job has ended: an accepted job that was
// refused for lack of room waits here.
func (e *Entry) dispatchDetached(ctx context.Context, r *jobRequest, found *claim) *wire.Outcome {
	for {
		outcome := e.dispatch(ctx, r, found)
		if outcome.GetFate() == wire.Fate_UNKNOWN {
			ended, again := e.followClaim(ctx, found, detachedFollowPeriod)
			if !again {
				return ended
			}
			continue
		}
		noRoom := outcome.GetFate() != wire.Fate_DONE && outcome.GetRetryAfterMs() > 0
		if !noRoom || !clock.Sleep(ctx, refusedPause) {
			return outcome
		}
	}
}

// reread takes the record as it is after a scheduler has given the job back. It
// returns an outcome if the job is not this entry's to dispatch any more.
func (e *Entry) reread(ctx context.Context, found *claim) *wire.Outcome {
	if found == nil {
		return nil
	}
	now, err := e.readRecord(ctx, found.record.GetJob().GetId())
	if err != nil {
		return nil // a commit on an old record fails
	}
	if now.record.GetPhase() != wire.JobRecord_ACCEPTED {
		return unknown("the job is " + now.record.GetPhase().String())
	}
	found.record, found.revision = now.record, now.revision
	return nil
}

// later keeps what attempts in several data centres left behind.
func (r *jobRequest) later(outcome *wire.Outcome) *wire.Outcome {
	outcome.Fate = sched.FateAfter(r.earlier, outcome.GetFate())
	return outcome
}
