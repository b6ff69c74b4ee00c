package relay

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"catkinpoint/clock"
	"catkinpoint/flow"
	"catkinpoint/graph"
	"catkinpoint/guard"
	"catkinpoint/owner"
)

const (
	// callTime bounds one call to the worker, which is on this machine.
	callTime = 600 * time.Millisecond
	// maxTries is how often a start without an answer is sent.
	maxTries = 3
	// holdWait is the longest wait of one call for an end. It bounds the age of
	// the progress from which the scheduler tells a slow worker.
	holdWait = 500 * time.Millisecond
	// endPause is the pause between two calls while the worker has ends that are
	// not stored yet, because such a call does not wait.
	endPause = 100 * time.Millisecond
	// callPause is the pause after a failed call to the worker.
	callPause = 300 * time.Millisecond
	// absentPause is the pause after a call for which nothing listened; the
	// worker has ended if nothing listens then either.
	absentPause = 100 * time.Millisecond
	// tickPeriod is the time between two looks at what is due.
	tickPeriod = 100 * time.Millisecond
)

// Options configures a Relay.
type Options struct {
	// Name is the relay's name, the same after a restart.
	Name   string
	Worker Worker
	// Find returns the address of the scheduler.
	Find func(ctx context.Context) (netip.AddrPort, error)
	// Attend sends a report to the scheduler and returns its orders.
	Attend func(ctx context.Context, scheduler netip.AddrPort, report *flow.Report) (*flow.Orders, error)
}

// Relay serves one worker.
type Relay struct {
	opts  Options
	boot  string
	own   *owner.Owner[*state]
	wake  chan struct{}
	ctx   context.Context
	gates gateList
}

// New returns a relay; Run starts it.
func New(opts Options) *Relay {
	return &Relay{opts: opts, boot: uuid.NewString(), own: owner.New(newState()), wake: make(chan struct{}, 1)}
}

// Run serves until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	r.ctx = ctx
	group.Go(func() error {
		r.own.Run(ctx, r.act, owner.Tolerate)
		return nil
	})
	group.Go(func() error {
		for clock.Sleep(ctx, tickPeriod) {
			r.own.Post(func(*state) {})
		}
		return nil
	})
	group.Go(func() error {
		r.attend(ctx)
		return nil
	})
	if err := group.Wait(); err != nil {
		return fmt.Errorf("running relay: %w", err)
	}
	return nil
}

// Beat takes a heartbeat; it returns after the state has it.
func (r *Relay) Beat(ctx context.Context, beat Beat) error {
	err := r.own.Do(ctx, func(s *state) { s.beat(beat) })
	if err != nil {
		return fmt.Errorf("taking heartbeat of %s: %w", beat.Worker.GetId(), err)
	}
	return nil
}

// Leave notes that a worker has said that it ends.
func (r *Relay) Leave(ctx context.Context, worker string) error {
	err := r.own.Do(ctx, func(s *state) {
		if s.worker.GetId() == worker && !s.worker.GetGone() {
			klog.InfoS("relay: worker left", "worker", worker)
			s.worker = cloneWorker(s.worker)
			s.worker.Gone, s.left = true, true
			s.news()
		}
	})
	if err != nil {
		return fmt.Errorf("noting that %s left: %w", worker, err)
	}
	return nil
}

// beat takes a heartbeat unless it is older than what is known.
func (s *state) beat(b Beat) {
	id := fmt.Sprintf("%s/%d", b.Worker.GetId(), b.Worker.GetBornMs())
	if s.retired[id] {
		return
	}
	same := s.worker.GetId() == b.Worker.GetId() && s.worker.GetBornMs() == b.Worker.GetBornMs()
	if same && b.Sequence <= s.beatSeq {
		return
	}
	now := clock.Steady()
	if !same {
		if s.worker != nil {
			if b.Worker.GetBornMs() != 0 && b.Worker.GetBornMs() < s.worker.GetBornMs() {
				return // a late heartbeat of an earlier process
			}
			s.retired[fmt.Sprintf("%s/%d", s.worker.GetId(), s.worker.GetBornMs())] = true
		}
		klog.InfoS("relay: new worker", "worker", b.Worker.GetId(), "born", b.Worker.GetBornMs(), "old", s.worker.GetId())
		s.forgetRuns()
		s.lost = false
		s.news()
	} else if s.worker.GetDraining() != b.Worker.GetDraining() {
		klog.InfoS("relay: worker drains", "worker", b.Worker.GetId(), "draining", b.Worker.GetDraining(), "remaining_ms", b.Worker.GetRemainingMs())
		s.news()
	}
	left := same && s.left
	if same && s.worker.GetGone() && !left {
		klog.InfoS("relay: worker lives", "worker", b.Worker.GetId(), "sequence", b.Sequence)
		s.news()
	}
	s.worker, s.beatSeq, s.left, s.absentSince = b.Worker, b.Sequence, left, 0
	s.worker.Gone = left
	if !same || s.workerClock == 0 {
		s.setClock(b.Clock, now)
	}
}

// act does what the state asks for; it runs after each batch of events.
func (r *Relay) act(s *state) {
	if s.worker == nil || s.worker.GetGone() {
		r.notify(s)
		return
	}
	now := clock.Steady()
	for key, st := range s.starts {
		r.actOnStart(s, key, st, now)
	}
	for key, st := range s.stops {
		if !st.sending && st.answered == 0 && now >= s.holdNotUntil {
			r.sendStop(s, key, st)
		}
	}
	if !s.holding && now >= s.holdNotUntil && (len(s.ends) == 0 || now >= s.endsNotUntil) {
		r.hold(s)
	}
	r.notify(s)
}

// notify wakes the reporter if there is news.
func (r *Relay) notify(s *state) {
	if s.newsSeq == s.newsSent {
		return
	}
	s.newsSent = s.newsSeq
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Relay) actOnStart(s *state, key runKey, st *start, now time.Duration) {
	if st.phase != startOpen || s.epoch == 0 || !s.listed {
		return
	}
	switch {
	case s.worker.GetDraining():
		s.giveUp(key, st, graph.RefusedDraining)
	case st.tries >= maxTries:
		s.giveUp(key, st, graph.RefusedUnanswered)
	case now < s.permitUntil && s.leaseUntil > s.clockNow(now):
		r.sendStart(s, key, st)
	}
}

func (s *state) call() Call {
	return Call{Worker: s.worker.GetId(), Epoch: s.epoch, Deadline: s.deadline()}
}

// deadline returns the task lease to ask for. After a call without an answer it
// stays as it was, so that a silent worker's lease is known to end.
func (s *state) deadline() time.Duration {
	if !s.leaseOpen {
		s.leaseSent = max(s.leaseSent, s.leaseUntil)
	}
	return s.leaseSent
}

// answered notes whether a call to the worker had an answer.
func (s *state) answered(now time.Duration, err error) {
	ok := err == nil
	if ok == s.lost {
		klog.InfoS("relay: worker answers", "worker", s.worker.GetId(), "answers", ok, "err", err)
	}
	s.lost, s.leaseOpen = !ok, !ok
	if !errors.Is(err, ErrNoWorker) {
		s.absentSince = 0
		if !ok {
			s.holdNotUntil = now + callPause
		}
		return
	}
	s.holdNotUntil = now + absentPause
	if s.absentSince == 0 {
		s.absentSince = now
	}
	if now-s.absentSince >= absentPause && !s.worker.GetGone() {
		klog.InfoS("relay: worker ended", "worker", s.worker.GetId(), "absent_ms", (now - s.absentSince).Milliseconds(), "err", err)
		s.worker = cloneWorker(s.worker)
		s.worker.Gone = true
		s.news()
	}
}

func (r *Relay) sendStart(s *state, key runKey, st *start) {
	st.phase, st.tries = startSending, st.tries+1
	call, order, worker := s.call(), st.order, s.worker
	go func() {
		ctx, cancel := context.WithTimeout(r.ctx, callTime)
		defer cancel()
		answer, err := guarded("start", func() (string, error) { return r.opts.Worker.Start(ctx, call, order) })
		r.own.Post(func(s *state) {
			if s.worker.GetId() == worker.GetId() && s.worker.GetBornMs() == worker.GetBornMs() {
				s.startAnswered(key, st, answer, err)
			}
		})
	}()
}

func (s *state) startAnswered(key runKey, st *start, answer string, err error) {
	s.answered(clock.Steady(), err)
	if st.phase == startSending {
		st.phase = startOpen
	}
	klog.InfoS("relay: start", "task", key.task, "run", key.run, "epoch", s.epoch, "try", st.tries, "answer", answer, "err", err)
	switch {
	case err != nil && !errors.Is(err, ErrOtherWorker):
		return // tried again, or given up by a stop
	case err != nil || answer == AnswerFenced:
		delete(s.starts, key)
	case answer == AnswerStarted:
		if s.starts[key] == st && st.phase == startOpen {
			delete(s.starts, key)
		}
		if !s.knows(key) {
			s.running[key] = &flow.Run{Task: key.task, Run: key.run}
			s.ackedAt[key] = s.holdNumber
			s.listClock = 0 // the last list is from before the run
		}
		s.news()
	case st.phase == startOpen:
		s.giveUp(key, st, answer)
	}
}

func (r *Relay) sendStop(s *state, key runKey, st *stop) {
	st.sending = true
	call, worker := s.call(), s.worker
	call.Deadline = 0
	go func() {
		ctx, cancel := context.WithTimeout(r.ctx, callTime)
		defer cancel()
		answer, err := guarded("stop", func() (string, error) { return r.opts.Worker.Stop(ctx, call, st.order) })
		r.own.Post(func(s *state) {
			if s.worker.GetId() == worker.GetId() && s.worker.GetBornMs() == worker.GetBornMs() {
				s.stopAnswered(key, st, answer, err)
			}
		})
	}()
}

func (s *state) stopAnswered(key runKey, st *stop, answer string, err error) {
	s.answered(clock.Steady(), err)
	st.sending = false
	klog.InfoS("relay: stop", "task", key.task, "run", key.run, "epoch", s.epoch, "answer", answer, "err", err)
	switch {
	case err != nil && !errors.Is(err, ErrOtherWorker):
		return
	case err != nil || answer == AnswerFenced:
		delete(s.stops, key)
	default:
		st.answered = s.holdNumber
		if st.answered == 0 {
			st.answered = 1
		}
	}
}

// hold looks at the worker's runs if there is a reason to.
func (r *Relay) hold(s *state) {
	wait := holdWait
	quick := false
	for _, st := range s.stops {
		if _, ok := s.running[runKey{st.order.GetTask(), st.order.GetRun()}]; st.answered != 0 && !ok {
			quick = true
		}
	}
	switch {
	case s.epoch == 0:
		return // no scheduler has spoken yet
	case !s.listed || quick:
		wait = 0
	case len(s.running) > 0:
	case s.observed > s.observedSent:
		wait = 0
	default:
		return
	}
	s.holding = true
	s.holdNumber++
	number, observed, call, worker := s.holdNumber, s.observed, s.call(), s.worker
	go func() {
		ctx, cancel := context.WithTimeout(r.ctx, callTime+wait)
		defer cancel()
		lists, err := guarded("hold", func() (Lists, error) { return r.opts.Worker.Hold(ctx, call, observed, wait) })
		r.own.Post(func(s *state) {
			s.holding = false
			if s.worker.GetId() == worker.GetId() && s.worker.GetBornMs() == worker.GetBornMs() && s.epoch == call.Epoch {
				s.held(lists, number, observed, err)
			}
		})
	}()
}

// guarded makes a panic in a call to the worker a failure of that call.
func guarded[T any](what string, f func() (T, error)) (answer T, err error) {
	err = guard.Call(what, func() error {
		answer, err = f()
		return err
	})
	return answer, err
}

func (s *state) held(lists Lists, number, observed int64, err error) {
	now := clock.Steady()
	if err == nil && lists.Born != 0 && s.worker.GetBornMs() != 0 && lists.Born != s.worker.GetBornMs() {
		err = ErrOtherWorker
	}
	s.answered(now, err)
	if err != nil {
		return
	}
	s.setClock(lists.Clock, now)
	s.applyLists(lists, number, observed)
	s.listClock = lists.Clock
	s.endsNotUntil = now + endPause
}
