package relay

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"catkinpoint/clock"
	"catkinpoint/flow"
)

const (
	// maxIdentifications bounds the calls at a time that identify senders of heartbeats.
	maxIdentifications = 4
	// identifyTries is how often a call is made that nothing answers at once, or that is
	// rejected without telling who rejects it.
	identifyTries = 3
	// confirmTime is how long what a worker says of itself stands against heartbeats in
	// its name that contradict it.
	confirmTime = 4 * time.Second
	// maxClockAhead is how far the clock in a heartbeat may be ahead of what the relay
	// expects of the worker's clock, besides the part clockDrift of the time since the
	// last reading.
	maxClockAhead = 3 * time.Second
	clockDrift    = 0.05
	// leaveConfirmTime is how long after it announced its end a worker that goes on
	// sending heartbeats counts as one that leaves.
	leaveConfirmTime = 2 * time.Second
)

// ErrForeignHeartbeat means that the sender of a heartbeat is not the worker of this
// relay.
var ErrForeignHeartbeat = errors.New("heartbeat is not of the relay's worker")

// errUnidentified means that the process which a heartbeat describes could not be
// identified for now.
var errUnidentified = errors.New("its process is not identified yet")

// identity is what is known of the sender of a heartbeat.
type identity int

const (
	identityUnknown identity = iota
	identityWorker           // the process at the worker's address
	identityOther            // not that process
)

// identify calls the worker's address to find out whether the process that a heartbeat
// describes is the one there, and returns its clock if it told. sameID is set if only the
// start of the process tells it from the known worker.
func (r *Relay) identify(ctx context.Context, info *flow.Worker, epoch int64, sameID bool) (identity, time.Duration) {
	select {
	case r.identifying <- struct{}{}:
		defer func() { <-r.identifying }()
	default:
		return identityUnknown, 0
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for range identifyTries {
		var lists RunLists
		answer := guardedCall("identify", func() (answer Answer) {
			lists, answer = r.opts.Worker.Hold(ctx, Call{Worker: info.GetId(), Epoch: epoch}, 0, 0)
			return answer
		})
		switch {
		case answer.Effect() == EffectDone && lists.Born == info.GetBornMs():
			return identityWorker, lists.Clock
		case answer.Effect() == EffectDone && !sameID && (lists.Born == 0 || info.GetBornMs() == 0):
			return identityWorker, lists.Clock
		case answer.Effect() == EffectDone, errors.Is(answer.Err(), ErrOtherWorker):
			return identityOther, 0
		case answer.Fenced() && !sameID:
			return identityWorker, 0
		case answer.Effect() == EffectUnknown || !clock.Sleep(ctx, connRefusedDelay):
			return identityUnknown, 0
		}
	}
	return identityUnknown, 0
}

// isWorker reports whether info describes the process of the known worker.
func (s *state) isWorker(info *flow.Worker) bool {
	return s.worker != nil && s.worker.GetId() == info.GetId() && s.worker.GetBornMs() == info.GetBornMs()
}

// replaceWorker makes the sender of a heartbeat the worker. Its clock is reading or, if
// that is 0, the one in the heartbeat.
func (s *state) replaceWorker(heartbeat Heartbeat, reading time.Duration) {
	now := clock.Monotonic()
	if s.worker != nil && !s.worker.GetGone() {
		s.recordCrash(now)
	}
	klog.InfoS("relay: new worker", "worker", heartbeat.Worker.GetId(), "born", heartbeat.Worker.GetBornMs(), "old", s.worker.GetId())
	s.resetRuns()
	if s.worker.GetId() == heartbeat.Worker.GetId() {
		s.revokeOpenStarts(now)
	} else {
		s.openStarts = map[runKey]time.Duration{} // the calls name another worker
	}
	s.replacements++
	s.unreachable, s.leaveAnnounced, s.answeredAt, s.unansweredHolds = false, false, 0, 0
	s.takeHeartbeat(heartbeat, now)
	s.workerKnownAt, s.workerClock, s.clockConfirmed = now, 0, false
	s.setWorkerClock(heartbeat.Clock, now, false)
	s.setWorkerClock(reading, now, true)
	s.requestReport()
}

// contradiction returns an error that wraps ErrForeignHeartbeat if a heartbeat in the
// name of the known worker cannot be of it: what it says does not change while a process
// lives, or its clock runs ahead.
func (s *state) contradiction(heartbeat Heartbeat, now time.Duration) error {
	w, known := heartbeat.Worker, s.worker
	switch {
	case w.GetService() != known.GetService():
		return fmt.Errorf("%w: service %.64q; want %.64q", ErrForeignHeartbeat, w.GetService(), known.GetService())
	case w.GetDataCentre() != known.GetDataCentre():
		return fmt.Errorf("%w: data centre %.64q; want %.64q", ErrForeignHeartbeat, w.GetDataCentre(), known.GetDataCentre())
	case !slices.Equal(w.GetLabels(), known.GetLabels()):
		return fmt.Errorf("%w: its labels differ from the worker's", ErrForeignHeartbeat)
	}
	ahead := maxClockAhead + time.Duration(clockDrift*float64(now-s.workerClockReadAt))
	if expected := s.workerNow(now); s.workerClock > 0 && heartbeat.Clock > expected+ahead {
		return fmt.Errorf("%w: clock %v is ahead of the worker's, about %v", ErrForeignHeartbeat, heartbeat.Clock, expected)
	}
	return nil
}

// isLate reports whether a heartbeat of the known worker is older than the last one. A
// sequence that is too low counts for confirmTime: the last heartbeat may have been of
// another sender.
func (s *state) isLate(heartbeat Heartbeat, now time.Duration, confirmed bool) bool {
	if heartbeat.Sequence > s.heartbeatSeq {
		return false
	}
	return confirmed || s.workerClock == 0 || heartbeat.Clock < s.workerNow(now)-maxClockAhead
}

// logRejected logs a heartbeat that changes nothing. Only some of many lines are written.
func (r *Relay) logRejected(id string, err error) {
	r.rejected.Add(1)
	r.rejectedLog.Do(func() {
		klog.InfoS("relay: heartbeat ignored", "worker", fmt.Sprintf("%.64s", id), "err", fmt.Sprintf("%.256v", err), "ignored", r.rejected.Load())
	})
}

// RejectHeartbeat counts and logs a heartbeat that cannot be decoded, in the name of a
// worker.
func (r *Relay) RejectHeartbeat(id string, err error) { r.logRejected(id, err) }
