package duty

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"catkinpoint/clock"
	"catkinpoint/flow"
	"catkinpoint/owner"
	"catkinpoint/route"
	"catkinpoint/store"
)

const (
	// longPollTimeout is how long a report waits for new orders.
	longPollTimeout = 700 * time.Millisecond
	// planPeriod is the time between two placement decisions if no event causes one.
	planPeriod = 250 * time.Millisecond
	// longDecision is the time of a decision from which there is a pause after it, of
	// maxDecisionPause at most.
	longDecision     = 50 * time.Millisecond
	maxDecisionPause = 500 * time.Millisecond
	// expirePeriod is the time between two checks for expired task leases.
	expirePeriod = 100 * time.Millisecond
	// loadTimeout bounds one attempt of a new holder to read all jobs.
	loadTimeout = 5 * time.Second
	// maxReportAge is the age of the last report after which a worker gets no starts.
	maxReportAge = 1800 * time.Millisecond
	// leaseClockFactor lengthens the task lease for a worker whose clock is slow.
	leaseClockFactor = 1.03
	// leaseKillMargin is the time that a worker takes to kill runs after their lease
	// has expired.
	leaseKillMargin = 500 * time.Millisecond
)

// Settings are the settings of a Scheduler.
type Settings struct {
	// TaskLease is the time after which a worker kills its runs if it gets no orders.
	TaskLease time.Duration
	// ConfigAge is the greatest age of the configuration at which units are placed.
	ConfigAge time.Duration
	// StartAge is the greatest age of the configuration at which a relay starts a
	// task.
	StartAge time.Duration
	// Retention is how long the records of an ended job are kept.
	Retention time.Duration
	// RemoteFactor is how many times as long as declared a task takes outside the
	// rack of its data, or in a gang that is to share a rack and does not.
	RemoteFactor float64
	// MemoryBytes is the memory that the process may use, or 0 if it is not known.
	MemoryBytes int64
	// UnevenWorkers, LearnRunTimes, OrderByCost and RefuseLate switch on the settings of
	// the same names.
	UnevenWorkers, LearnRunTimes, OrderByCost, RefuseLate, SaveLeavingWork bool
}

// Operator gives a scheduler the operator's configuration and orders.
type Operator interface {
	// Table returns the configuration, or nil if there is none yet.
	Table() *route.Table
	// Evacuated reports whether the data centre is evacuated, so that nothing may
	// start there.
	Evacuated(dataCentre string) bool
	// Age returns the age of the configuration and orders, and false if there are
	// none yet.
	Age() (time.Duration, bool)
}

// Scheduler schedules jobs under one claim.
type Scheduler struct {
	settings   Settings
	kv         store.TxnKV
	operator   Operator
	claim      *Claim
	gates      func() []string // addresses of gates, which relays get with their orders
	stateOwner *owner.Owner[*state]
	ctx        context.Context
	groups     atomic.Pointer[[]*flow.WorkerGroup]
	// guaranteedWorkWaiting is set while work that a customer's guarantee covers waits to be
	// placed.
	guaranteedWorkWaiting atomic.Bool
	// refusing is set while jobs may have to be refused on arrival.
	refusing atomic.Bool
}

// NewScheduler returns a scheduler for a claim. Run starts it, and it ends with ctx.
func NewScheduler(ctx context.Context, settings Settings, kv store.TxnKV, operator Operator, claim *Claim, gates func() []string) *Scheduler {
	return &Scheduler{
		ctx: ctx, settings: settings, kv: kv, operator: operator, claim: claim, gates: gates,
		stateOwner: owner.New(newState(clock.Monotonic())),
	}
}

// Run loads all jobs and schedules until the scheduler's context ends.
func (s *Scheduler) Run() {
	ctx := s.ctx
	items, err := s.load(ctx)
	if err != nil {
		// ctx has ended. Reports that wait for the state end with its owner.
		s.stateOwner.Run(ctx, func(*state) {}, s.abortAfterPanic)
		return
	}
	s.stateOwner.Post(func(st *state) {
		for _, item := range items {
			st.apply(store.Event{Item: item})
		}
		st.loaded = true
		st.finishLoad()
		klog.InfoS("duty: loaded", "epoch", s.claim.Epoch, "jobs", len(st.jobs))
	})
	go func() {
		for clock.Sleep(ctx, planPeriod) {
			s.stateOwner.Post(func(st *state) { st.planNeeded = true })
		}
	}()
	s.stateOwner.Run(ctx, s.afterBatch, s.abortAfterPanic)
}

// abortAfterPanic gives up the duty after a panic, as the state may be inconsistent.
// The next holder builds its state from the store.
func (s *Scheduler) abortAfterPanic(st *state, err error) {
	klog.ErrorS(err, "duty: given up after a panic", "epoch", s.claim.Epoch)
	st.superseded = true
	s.claim.failed.Store(true)
	s.claim.Abort()
}

// load reads all records of jobs. It retries until it succeeds or ctx ends.
func (s *Scheduler) load(ctx context.Context) ([]store.Item, error) {
	for {
		items, err := s.readRecords(ctx)
		if err == nil {
			return items, nil
		}
		klog.InfoS("duty: cannot read jobs from the store, will retry", "err", err)
		if !clock.Sleep(ctx, planPeriod) {
			return nil, fmt.Errorf("reading jobs: %w", ctx.Err())
		}
	}
}

// readRecords reads all records of jobs once.
func (s *Scheduler) readRecords(ctx context.Context) ([]store.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	items, _, err := s.kv.Range(ctx, KeyPrefix)
	if err != nil {
		return nil, fmt.Errorf("reading records: %w", err)
	}
	pages, _, err := s.kv.Range(ctx, pagePrefix)
	if err != nil {
		return nil, fmt.Errorf("reading pages: %w", err)
	}
	items = append(items, pages...)
	if !s.learns() && !s.settings.RefuseLate {
		return items, nil
	}
	records, _, err := s.kv.Range(ctx, learnedKey)
	if err != nil {
		return nil, fmt.Errorf("reading what was learned: %w", err)
	}
	return append(items, records...), nil
}

// Yield gives up the claim of an epoch so that a gate with much more processor
// capacity can take the duty. It fails with ErrNotHolder if the claim of that epoch
// is not held here, and with ErrGuaranteedWorkWaiting if guaranteed work is waiting.
func (s *Scheduler) Yield(epoch int64) error {
	if epoch != s.claim.Epoch || !s.claim.Valid() {
		return ErrNotHolder
	}
	if s.guaranteedWorkWaiting.Load() {
		return ErrGuaranteedWorkWaiting
	}
	s.claim.Yield()
	return nil
}

// Apply applies changes of catkinpoint's keys in the store.
func (s *Scheduler) Apply(events []store.Event) {
	s.stateOwner.Post(func(st *state) {
		for _, e := range events {
			st.apply(e)
		}
		st.planNeeded = true
	})
}

// HandleReport applies a relay's report and returns the orders for its worker, once there
// are new ones or after longPollTimeout. It fails with ErrNotHolder if the claim is
// not valid or the jobs are not loaded yet.
func (s *Scheduler) HandleReport(report *flow.Report) (*flow.Orders, error) {
	answer := make(chan *flow.Orders, 1)
	err := s.stateOwner.Do(s.ctx, func(st *state) {
		if !s.claim.Valid() || !st.loaded {
			sendReply(answer, nil)
			return
		}
		st.applyReport(s, report, answer)
	})
	if err != nil {
		return nil, fmt.Errorf("attending: %w", err)
	}
	timer := time.NewTimer(longPollTimeout)
	defer timer.Stop()
	select {
	case orders := <-answer:
		return ordersOrError(orders)
	case <-s.ctx.Done():
		return nil, ErrNotHolder
	case <-timer.C:
	}
	// Reply with the present orders.
	s.stateOwner.Post(func(st *state) { st.reply(s, report.GetRelay(), answer) })
	select {
	case orders := <-answer:
		return ordersOrError(orders)
	case <-s.ctx.Done():
		return nil, ErrNotHolder
	}
}

// ordersOrError returns ErrNotHolder for nil orders.
func ordersOrError(orders *flow.Orders) (*flow.Orders, error) {
	if orders == nil {
		return nil, ErrNotHolder
	}
	return orders, nil
}

// decide takes a decision on placement. After one that took long it keeps the goroutine free
// for as long, so that reports are answered and leases extended whatever decisions cost.
func (s *Scheduler) decide(st *state, now time.Duration) {
	st.learn(s, now)
	st.moveSlowRuns(now)
	if s.settings.SaveLeavingWork {
		st.saveLeavingWork(now)
	}
	st.placeUnits(s, now)
	took := clock.Monotonic() - now
	if took < longDecision {
		return
	}
	pause := min(took, maxDecisionPause)
	st.nextPlan = clock.Monotonic() + pause
	klog.InfoS("duty: long decision", "took_ms", took.Milliseconds(), "requests", len(st.planInput.Requests), "running", len(st.planInput.Running),
		"workers", len(st.planInput.Workers), "pause_ms", pause.Milliseconds())
	time.AfterFunc(pause, func() { s.stateOwner.Post(func(*state) {}) })
}

// afterBatch runs each time that stateOwner has run a batch of queued functions. It
// decides on placement, starts writes of what has changed and replies to reports
// with new orders.
func (s *Scheduler) afterBatch(st *state) {
	now := clock.Monotonic()
	if !st.loaded {
		return
	}
	st.expireLeases(s, now)
	st.updateWorkerGroups(s, now)
	if !st.writing {
		st.choosePages()
	}
	if st.planNeeded && s.claim.Valid() && now >= st.nextPlan {
		st.planNeeded = false
		s.decide(st, now)
	}
	st.advanceJobs()
	st.updateShortage(s, now)
	if !st.writing && !st.superseded {
		s.flush(st, now)
	}
	if !st.sweeping && now >= st.nextSweep && s.claim.Valid() {
		s.sweep(st, now)
	}
	for _, w := range st.workers {
		if w.pendingReply != nil && w.ordersChanged {
			st.reply(s, w.relay, w.pendingReply)
		}
	}
}
