package relay

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"catkinpoint/clock"
	"catkinpoint/flow"
	"catkinpoint/graph"
	"catkinpoint/guard"
	"catkinpoint/owner"
)

const (
	// callTimeout bounds one call to the worker, which is on the same machine.
	callTimeout = 600 * time.Millisecond
	// maxStartTries is the number of calls without an answer after which a start is
	// given up.
	maxStartTries = 3
	// maxHoldWait is the longest time that one hold waits for the end of a run. It
	// bounds the age of the progress by which the scheduler detects a slow worker.
	maxHoldWait = 500 * time.Millisecond
	// maxClockAge is the age of the reading of an idle worker's clock from which it is read
	// again.
	maxClockAge = 10 * time.Second
	// unstoredEndsHoldPause is the pause between two holds while the worker lists ends that
	// the scheduler has not stored yet, because the worker answers those at once.
	unstoredEndsHoldPause = 100 * time.Millisecond
	// callRetryDelay is the pause after a failed call to the worker.
	callRetryDelay = 300 * time.Millisecond
	// stopRetryDelay is the pause after a stop that the worker has rejected.
	stopRetryDelay = 100 * time.Millisecond
	// connRefusedDelay is the pause after a call whose connection was refused. If the
	// next connection is refused too, the worker's process has ended.
	connRefusedDelay = 100 * time.Millisecond
	// leaveCallTimeout bounds one hold while the worker is about to end, which may go on
	// for some seconds after it announced its end. If it has drained and answers none of
	// several holds for leaveSilence, it has ended.
	leaveCallTimeout = 300 * time.Millisecond
	leaveSilence     = 1050 * time.Millisecond
	// maxStartCalls and maxStopCalls bound the calls of each kind that are pending at a time:
	// each takes a connection.
	maxStartCalls = 8
	maxStopCalls  = 8
	// tickPeriod is the time between two checks for calls that have become due.
	tickPeriod = 100 * time.Millisecond
)

// Options configures a Relay.
type Options struct {
	// Name identifies the relay to the scheduler. It stays the same after a restart.
	Name   string
	Worker Worker
	// FindScheduler returns the address of the gate that runs the scheduler.
	FindScheduler func(ctx context.Context) (netip.AddrPort, error)
	// SendReport sends a report to the scheduler and returns its orders.
	SendReport func(ctx context.Context, scheduler netip.AddrPort, report *flow.Report) (*flow.Orders, error)
}

// Relay connects one worker with the scheduler.
type Relay struct {
	opts       Options
	bootID     string // differs after each start of the process
	stateOwner *owner.Owner[*state]
	wake       chan struct{} // signals that a report should be sent at once
	ctx        context.Context
	gates      gateList
	// identifying has a value for each call that identifies the sender of a heartbeat.
	identifying chan struct{}
	rejected    atomic.Int64 // heartbeats that changed nothing
	rejectedLog rate.Sometimes
}

// New returns a relay; Run starts it.
func New(opts Options) *Relay {
	return &Relay{
		opts: opts, bootID: uuid.NewString(), stateOwner: owner.New(newState()), wake: make(chan struct{}, 1),
		identifying: make(chan struct{}, maxIdentifications), rejectedLog: rate.Sometimes{First: 10, Interval: time.Second},
	}
}

// Run runs the relay until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	r.ctx = ctx
	group.Go(func() error {
		r.stateOwner.Run(ctx, r.dispatch, owner.IgnorePanic)
		return nil
	})
	group.Go(func() error {
		for clock.Sleep(ctx, tickPeriod) {
			r.stateOwner.Post(func(*state) {})
		}
		return nil
	})
	group.Go(func() error {
		r.reportLoop(ctx)
		return nil
	})
	if err := group.Wait(); err != nil {
		return fmt.Errorf("running relay: %w", err)
	}
	return nil
}

// HandleHeartbeat handles a heartbeat of the worker. It returns after the state is
// updated. It changes nothing and fails with ErrBadHeartbeat if the heartbeat describes no
// worker, and with ErrForeignHeartbeat if its sender is not the worker of this relay. One
// of a process that cannot be identified for now changes nothing either.
func (r *Relay) HandleHeartbeat(ctx context.Context, heartbeat Heartbeat) error {
	id := heartbeat.Worker.GetId()
	if err := heartbeat.Check(time.Now()); err != nil {
		r.logRejected(id, err)
		return err
	}
	var known, sameID bool
	var epoch, replacements int64
	var rejected error
	err := r.stateOwner.Do(ctx, func(s *state) {
		if known = s.isWorker(heartbeat.Worker); known {
			rejected = s.applyHeartbeat(heartbeat)
		}
		sameID, epoch, replacements = s.worker.GetId() == id, s.epoch, s.replacements
	})
	if err != nil {
		return fmt.Errorf("handling heartbeat of worker %.64s: %w", id, err)
	}
	if !known {
		rejected, err = r.applyClaim(ctx, heartbeat, epoch, sameID, replacements)
		if err != nil {
			return fmt.Errorf("identifying worker %.64s: %w", id, err)
		}
	}
	if rejected != nil {
		r.logRejected(id, rejected)
	}
	return rejected
}

// applyClaim makes the sender of a heartbeat the worker if it is the process at the
// worker's address. replacements is the number of workers that there had been when the
// heartbeat arrived.
func (r *Relay) applyClaim(ctx context.Context, heartbeat Heartbeat, epoch int64, sameID bool, replacements int64) (rejected, err error) {
	sender, reading := r.identify(ctx, heartbeat.Worker, epoch, sameID)
	switch sender {
	case identityOther:
		return fmt.Errorf("%w: another process is at the worker's address", ErrForeignHeartbeat), nil
	case identityUnknown:
		r.logRejected(heartbeat.Worker.GetId(), errUnidentified)
		return nil, nil
	}
	return nil, r.stateOwner.Do(ctx, func(s *state) {
		if s.replacements == replacements {
			s.replaceWorker(heartbeat, reading)
		}
	})
}

// HandleLeave handles the announcement of a worker that its process ends. Until it no
// longer answers, its runs go on and nothing starts on it. An announcement of another
// worker fails with ErrForeignHeartbeat.
func (r *Relay) HandleLeave(ctx context.Context, worker string) error {
	known := false
	err := r.stateOwner.Do(ctx, func(s *state) {
		known = s.worker.GetId() == worker
		if known && !s.worker.GetGone() && !s.leaveAnnounced {
			klog.InfoS("relay: worker announced its end", "worker", worker, "draining", s.worker.GetDraining())
			s.leaveAnnounced, s.leaveAnnouncedAt = true, clock.Monotonic()
			s.requestReport()
		}
	})
	if err != nil {
		return fmt.Errorf("handling leave of worker %.64s: %w", worker, err)
	}
	if !known {
		err := fmt.Errorf("%w: another worker announced its end", ErrForeignHeartbeat)
		r.logRejected(worker, err)
		return err
	}
	return nil
}

// applyHeartbeat updates the state from a heartbeat in the name of the known worker,
// unless it is older than the last one. It fails if the worker cannot have sent it.
func (s *state) applyHeartbeat(heartbeat Heartbeat) error {
	now := clock.Monotonic()
	confirmed := now-s.heartbeatAt <= confirmTime
	if err := s.contradiction(heartbeat, now); err != nil && confirmed {
		return err
	}
	if s.isLate(heartbeat, now, confirmed) {
		return nil
	}
	if s.worker.GetDraining() != heartbeat.Worker.GetDraining() {
		klog.InfoS("relay: worker drains", "worker", heartbeat.Worker.GetId(), "draining", heartbeat.Worker.GetDraining(), "remaining_ms", heartbeat.Worker.GetRemainingMs())
		s.requestReport()
	}
	if amountsOf(s.worker) != amountsOf(heartbeat.Worker) {
		klog.InfoS("relay: capacity changed", "worker", heartbeat.Worker.GetId(), "cpu", heartbeat.Worker.GetCpu(), "memory_mb", heartbeat.Worker.GetMemoryMb(),
			"accelerators", heartbeat.Worker.GetAccelerators(), "old", amountsOf(s.worker))
		s.requestReport()
	}
	if s.worker.GetGone() && !s.leaveAnnounced {
		klog.InfoS("relay: heartbeat of a worker that was assumed to have ended", "worker", heartbeat.Worker.GetId(), "sequence", heartbeat.Sequence)
		s.requestReport()
	}
	if s.leaveAnnounced && !s.worker.GetGone() && !s.unreachable && now-s.leaveAnnouncedAt > leaveConfirmTime {
		klog.InfoS("relay: worker goes on after it announced its end", "worker", heartbeat.Worker.GetId(), "sequence", heartbeat.Sequence)
		s.leaveAnnounced = false
		s.requestReport()
	}
	s.takeHeartbeat(heartbeat, now)
	if s.workerClock == 0 {
		s.setWorkerClock(heartbeat.Clock, now, false)
	}
	return nil
}

// takeHeartbeat replaces what is known of the worker by what a heartbeat says. A worker
// that has announced its end and has ended stays gone while its last ones may arrive.
func (s *state) takeHeartbeat(heartbeat Heartbeat, now time.Duration) {
	gone := s.worker.GetGone() && s.leaveAnnounced && now-s.leaveAnnouncedAt <= leaveConfirmTime
	s.worker, s.heartbeatSeq, s.heartbeatAt, s.connRefusedSince = heartbeat.Worker, heartbeat.Sequence, now, 0
	s.worker.Gone = gone
}

// amountsOf returns the capacity of a worker: processor, memory and accelerators.
func amountsOf(w *flow.Worker) [3]int64 {
	return [3]int64{w.GetCpu(), w.GetMemoryMb(), w.GetAccelerators()}
}

// dispatch sends the calls to the worker that are due. It runs after each batch of
// events.
func (r *Relay) dispatch(s *state) {
	if s.worker == nil || s.worker.GetGone() {
		r.wakeReporter(s)
		return
	}
	now := clock.Monotonic()
	if s.epoch <= s.fencedEpoch {
		r.wakeReporter(s) // the worker rejects all calls until there is a new epoch
		return
	}
	for key, st := range s.starts {
		r.dispatchStart(s, key, st, now)
	}
	for key, st := range s.stops {
		if s.stopCalls == maxStopCalls {
			break
		}
		if !st.sending && st.answeredAtHold == 0 && now >= max(s.nextCallAt, st.nextTryAt) {
			r.sendStop(s, key, st)
		}
	}
	if !s.holdPending && now >= s.nextCallAt && (len(s.ends) == 0 && !s.leaveAnnounced || now >= s.nextUnaskedHoldAt) {
		r.sendHold(s)
	}
	r.wakeReporter(s)
}

// wakeReporter signals reportTo if a report was requested since the last signal.
func (r *Relay) wakeReporter(s *state) {
	if s.reportRequests == s.reportRequestsSeen {
		return
	}
	s.reportRequestsSeen = s.reportRequests
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// dispatchStart sends a start if the permit and the lease allow it. It revokes the
// start if it was withdrawn, if the worker drains or if maxStartTries calls had no answer.
func (r *Relay) dispatchStart(s *state, key runKey, st *start, now time.Duration) {
	if st.phase != startPending || s.epoch == 0 || !s.listed {
		return
	}
	switch {
	case st.withdrawn:
		s.revokeStart(key, st, graph.RefusedStopped)
	case s.worker.GetDraining() || s.leaveAnnounced:
		s.revokeStart(key, st, graph.RefusedDraining)
	case st.tries >= maxStartTries:
		s.revokeStart(key, st, graph.RefusedUnanswered)
	case s.startCalls < maxStartCalls && now < min(s.startsAllowedUntil, s.leaseUntil) && s.clockConfirmed:
		r.sendStart(s, key, st)
	}
}

// newCall returns the common fields of a call at the relay's time now that renews the task
// lease of the present worker.
func (s *state) newCall(now time.Duration) Call {
	call := s.newStopCall()
	call.Deadline = s.leaseDeadline(now)
	return call
}

// newStopCall returns the common fields of a call that leaves the task lease as it is.
func (s *state) newStopCall() Call {
	return Call{Worker: s.worker.GetId(), BornMS: s.worker.GetBornMs(), Epoch: s.epoch}
}

// leaseDeadline returns the end of the task lease to request from the worker, or 0 while
// its clock is not known. It is not extended after a failed call, so that the lease of a
// worker that has stopped answering has a known end.
//
// What the scheduler allows is kept on the relay's clock: a deadline on the worker's clock
// means nothing to the worker's next process.
func (s *state) leaseDeadline(now time.Duration) time.Duration {
	if !s.deadlineUnconfirmed && s.clockConfirmed && now < s.leaseUntil {
		s.maxDeadlineSent = max(s.maxDeadlineSent, s.workerNow(now)+s.leaseUntil-now)
		s.leaseSentUntil = max(s.leaseSentUntil, s.leaseUntil)
	}
	return s.maxDeadlineSent
}

// recordCallResult records whether the worker answered a call of an epoch. The worker is
// considered to have ended once its address has refused connections for
// connRefusedDelay.
func (s *state) recordCallResult(now time.Duration, epoch int64, answer Answer) {
	err := answer.Err()
	ok := err == nil
	if ok {
		s.answeredAt, s.unansweredHolds = now, 0
	}
	if answer.Fenced() && epoch > s.fencedEpoch {
		klog.InfoS("relay: worker has received a higher epoch", "worker", s.worker.GetId(), "epoch", epoch)
		s.fencedEpoch = epoch
	}
	if ok == s.unreachable {
		klog.InfoS("relay: worker answers", "worker", s.worker.GetId(), "answers", ok, "err", err)
		s.unreachableSince = now
	}
	s.unreachable = !ok
	if answer.Effect() != EffectNone || !ok {
		s.deadlineUnconfirmed = !ok
	}
	if !errors.Is(err, ErrNoWorker) {
		s.connRefusedSince = 0
		switch {
		case ok:
		case errors.Is(err, ErrReplaced), s.leaveAnnounced && errors.Is(err, ErrOtherWorker):
			s.setGone(now, err)
		case s.leaveAnnounced:
			s.nextCallAt = now + connRefusedDelay // it may end at any moment
			if s.worker.GetDraining() && s.unansweredHolds > 1 && now-max(s.leaveAnnouncedAt, s.answeredAt) >= leaveSilence {
				s.setGone(now, err)
			}
		default:
			s.nextCallAt = now + callRetryDelay
		}
		return
	}
	s.nextCallAt = now + connRefusedDelay
	if s.connRefusedSince == 0 {
		s.connRefusedSince = now
	}
	if s.leaveAnnounced || now-s.connRefusedSince >= connRefusedDelay {
		s.setGone(now, err)
	}
}

// setGone records that the process of the worker has ended, as a failed call shows.
func (s *state) setGone(now time.Duration, err error) {
	if s.worker.GetGone() {
		return
	}
	klog.InfoS("relay: worker ended", "worker", s.worker.GetId(), "announced", s.leaveAnnounced, "draining", s.worker.GetDraining(), "err", err)
	s.recordCrash(now)
	s.worker = cloneWorker(s.worker)
	s.worker.Gone = true
	s.refuseUnsentStarts()
	s.requestReport()
}

// sendStart sends a start to the worker in the background.
func (r *Relay) sendStart(s *state, key runKey, st *start) {
	st.phase, st.tries = startSending, st.tries+1
	s.startCalls++
	if _, ok := s.startedSince[key]; !ok {
		s.startedSince[key] = clock.Monotonic()
	}
	now := clock.Monotonic()
	call, order, worker := s.newCall(now), st.order, s.worker
	s.openStarts[key] = now
	st.leaseLeft, st.clockAge = call.Deadline-s.workerNow(now), now-s.workerClockReadAt
	go func() {
		ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
		defer cancel()
		answer := guardedCall("start", func() Answer { return r.opts.Worker.Start(ctx, call, order) })
		timedOut := ctx.Err() != nil
		r.stateOwner.Post(func(s *state) {
			s.startCalls--
			if _, ok := s.startedSince[key]; ok {
				s.recordSilence(key, answer, timedOut)
			}
			s.decideStart(worker, key, answer)
			if s.worker.GetId() == worker.GetId() && s.worker.GetBornMs() == worker.GetBornMs() {
				s.handleStartAnswer(key, st, call.Epoch, answer)
			}
		})
	}()
}

// handleStartAnswer updates the state from the answer to a start that was sent under an
// epoch. A start stays open, and is sent again or revoked by a stop, until it is certain
// that the run has started or never will.
func (s *state) handleStartAnswer(key runKey, st *start, epoch int64, answer Answer) {
	if answer.Effect() != EffectNone || answer.Err() == nil {
		st.reachedWorker = true
	}
	if !st.reachedWorker {
		s.forgetStart(key)
	}
	s.recordCallResult(clock.Monotonic(), epoch, answer)
	if answer.Effect() == EffectUnknown {
		st.unansweredTries++
	} else if st.unansweredTries == 0 {
		delete(s.openStarts, key)
	}
	if st.phase == startSending {
		st.phase = startPending
	}
	klog.InfoS("relay: start", "task", key.task, "run", key.run, "epoch", epoch, "try", st.tries, "answer", answer,
		"lease_ms", st.leaseLeft.Milliseconds(), "clock_age_ms", st.clockAge.Milliseconds())
	switch answer.Effect() {
	case EffectDone:
		if !s.hasEnded(key) {
			s.startedSince[key] = clock.Monotonic()
		}
		if s.starts[key] == st && st.phase == startPending {
			delete(s.starts, key)
		}
		if !s.runKnown(key) {
			s.running[key] = &flow.Run{Task: key.task, Run: key.run}
			s.startedAtHold[key] = s.lastHoldSent
			s.listClock = 0 // the last list is older than the run
		}
		s.requestReport()
	case EffectNone:
		// An earlier try may still be carried out, so that only a stop ends the start.
		switch {
		case s.starts[key] != st || st.phase != startPending:
		case s.worker.GetGone() && st.unansweredTries == 0:
			s.refuse(key, graph.RefusedStopped)
		case answer.Err() == nil && !answer.Fenced():
			s.revokeStart(key, st, answer.Reason())
		}
	case EffectUnknown:
	}
}

// sendStop sends a stop to the worker in the background. It does not change the
// deadline of the lease.
func (r *Relay) sendStop(s *state, key runKey, st *stop) {
	st.sending = true
	s.stopCalls++
	call, worker := s.newStopCall(), s.worker
	go func() {
		ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
		defer cancel()
		answer := guardedCall("stop", func() Answer { return r.opts.Worker.Stop(ctx, call, st.order) })
		r.stateOwner.Post(func(s *state) {
			s.stopCalls--
			if s.worker.GetId() == worker.GetId() && s.worker.GetBornMs() == worker.GetBornMs() {
				s.handleStopAnswer(key, st, call.Epoch, answer)
			}
		})
	}()
}

// handleStopAnswer updates the state from the answer to a stop that was sent under an
// epoch. Only a worker that has carried out the stop rejects the run from then on; until
// it says so, the stop is sent again.
func (s *state) handleStopAnswer(key runKey, st *stop, epoch int64, answer Answer) {
	now := clock.Monotonic()
	s.recordCallResult(now, epoch, answer)
	st.sending = false
	if text := answer.String(); text != st.lastAnswer {
		klog.InfoS("relay: stop", "task", key.task, "run", key.run, "epoch", epoch, "answer", text, "last", st.lastAnswer)
		st.lastAnswer = text
	}
	switch answer.Effect() {
	case EffectDone:
		st.answeredAtHold = s.lastHoldSent
		if st.answeredAtHold == 0 {
			st.answeredAtHold = 1 // 0 would mean that the stop is not answered
		}
	case EffectNone, EffectUnknown:
		st.nextTryAt = now + stopRetryDelay
	}
}

// sendHold sends a hold to the worker in the background if one is needed: to renew the
// task lease of runs, to complete the lists of runs, to make the worker forget stored
// ends, or to check whether a stopped run still exists.
func (r *Relay) sendHold(s *state) {
	now := clock.Monotonic()
	wait := maxHoldWait
	checkStops := false
	for _, st := range s.stops {
		if _, ok := s.running[runKey{st.order.GetTask(), st.order.GetRun()}]; st.answeredAtHold != 0 && !ok {
			checkStops = true
		}
	}
	switch {
	case s.epoch == 0:
		return // no scheduler has sent orders yet
	case !s.listed || checkStops:
		wait = 0
	case s.leaveAnnounced:
		wait = 0
	case len(s.running) > 0:
	case s.observed > s.observedSent:
		wait = 0
	case now-s.workerClockReadAt > maxClockAge && now >= s.nextUnaskedHoldAt:
		wait = 0 // a lease that starts from an old reading would be short
	default:
		return
	}
	timeout := callTimeout + wait
	if s.leaveAnnounced {
		timeout = leaveCallTimeout
	}
	s.holdPending = true
	s.lastHoldSent++
	holdNumber, observed, call, worker := s.lastHoldSent, s.unsentObserved(), s.newCall(now), s.worker
	go func() {
		ctx, cancel := context.WithTimeout(r.ctx, timeout)
		defer cancel()
		var lists RunLists
		answer := guardedCall("hold", func() (answer Answer) {
			lists, answer = r.opts.Worker.Hold(ctx, call, observed, wait)
			return answer
		})
		r.stateOwner.Post(func(s *state) {
			s.holdPending = false
			if s.worker.GetId() == worker.GetId() && s.worker.GetBornMs() == worker.GetBornMs() && s.epoch == call.Epoch {
				s.handleHoldAnswer(lists, holdNumber, observed, answer)
			}
		})
	}()
}

// unsentObserved returns the number up to which the worker is to forget ends, or 0 if it
// has already been told: a hold that reaches the next process of the worker under the same
// id, whose ends are numbered anew, would make it forget ends that nobody has read.
func (s *state) unsentObserved() int64 {
	if s.observed > s.observedSent {
		return s.observed
	}
	return 0
}

// guardedCall calls the worker by f. The outcome is not known if f panics. what names the
// call in the log.
func guardedCall(what string, f func() Answer) (answer Answer) {
	if err := guard.Run(what, func() { answer = f() }); err != nil {
		return Unknown(err)
	}
	return answer
}

// handleHoldAnswer updates the state from the answer to a hold. A rejected hold has not
// renewed the lease and shows no lists, so that it counts as one without an answer.
func (s *state) handleHoldAnswer(lists RunLists, holdNumber, observed int64, answer Answer) {
	now := clock.Monotonic()
	if answer.Effect() == EffectUnknown {
		s.unansweredHolds++
	}
	if answer.Effect() == EffectDone && lists.Born != 0 && s.worker.GetBornMs() != 0 && lists.Born != s.worker.GetBornMs() {
		answer = NotReached(ErrReplaced)
	}
	fenced := answer.Fenced()
	if answer.Effect() == EffectNone && answer.Err() == nil && !fenced {
		s.answeredAt, s.unansweredHolds = now, 0
		answer = Unknown(Error.New("hold rejected: %s", answer.Reason()))
	}
	s.recordCallResult(now, s.epoch, answer)
	if answer.Effect() != EffectDone {
		return
	}
	s.setWorkerClock(lists.Clock, now, true)
	s.applyLists(lists, holdNumber, observed)
	s.listClock = lists.Clock
	s.nextUnaskedHoldAt = now + unstoredEndsHoldPause
}
