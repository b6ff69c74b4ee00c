package duty

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"
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
		return // ctx has ended
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
		callCtx, cancel := context.WithTimeout(ctx, loadTimeout)
		items, _, err := s.kv.Range(callCtx, KeyPrefix)
		cancel()
		if err == nil {
			return items, nil
		}
		klog.InfoS("duty: cannot read jobs from the store, will retry", "err", err)
		if !clock.Sleep(ctx, planPeriod) {
			return nil, fmt.Errorf("reading jobs: %w", ctx.Err())
		}
	}
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
	if st.planNeeded && s.claim.Valid() {
		st.planNeeded = false
		st.moveSlowRuns(now)
		st.placeUnits(s, now)
	}
	st.advanceJobs()
	if !st.writing && !st.superseded {
		s.flush(st)
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

// flush starts a transaction that stores changed progress. There is only one at a
// time.
func (s *Scheduler) flush(st *state) {
	batch := st.collectBatch(s.claim)
	if len(batch.jobs) == 0 {
		return
	}
	st.writing = true
	go func() {
		result := s.commit(batch)
		s.stateOwner.Post(func(st *state) {
			st.writing = false
			st.applyWrite(batch, result)
		})
	}()
}

// writeResult is the outcome of a batch's transaction.
type writeResult struct {
	revision int64 // of the written records, if the batch was committed
	// conflict holds the present values of the keys if a condition failed.
	conflict  *store.ConflictError
	cancelled bool // the scheduler ended before the outcome was known
}

// commit repeats the transaction until its outcome is known.
func (s *Scheduler) commit(b *batch) writeResult {
	uncertain := false
	start := clock.Monotonic()
	for {
		callCtx, cancel := context.WithTimeout(s.ctx, storeCallTimeout)
		revision, err := s.kv.Commit(callCtx, b.txn)
		cancel()
		if err == nil {
			observe(writeHistogram, clock.Monotonic()-start)
			return writeResult{revision: revision}
		}
		if conflict := asConflict(err); conflict != nil {
			if uncertain {
				if revision, ok := b.tookEffect(conflict); ok {
					return writeResult{revision: revision}
				}
			}
			return writeResult{conflict: conflict}
		}
		if s.ctx.Err() != nil {
			return writeResult{cancelled: true}
		}
		if !uncertain {
			unconfirmedCounter.Add(s.ctx, 1)
			klog.InfoS("duty: outcome of write unknown, will retry", "rows", b.txn.Rows(), "err", err)
		}
		uncertain = true
		clock.Sleep(s.ctx, planPeriod/2)
	}
}

// batch is one transaction that stores the progress of jobs.
type batch struct {
	claim *Claim
	txn   store.Txn
	jobs  []*job
	// These slices are parallel to jobs: the encoded progress records, the last
	// change that each contains, and the runs that it stores for the first time.
	records    [][]byte
	changeSeqs []int64
	starts     [][]runRef
}

// tookEffect reports whether an earlier attempt of the transaction was committed,
// with its revision: then the conflict shows that the store has all its records.
func (b *batch) tookEffect(conflict *store.ConflictError) (int64, bool) {
	for i, j := range b.jobs {
		item, ok := conflict.Current(ProgressKey(j.graph.Spec.GetId()))
		if !ok || string(item.Value) != string(b.records[i]) {
			return 0, false
		}
		if i == len(b.jobs)-1 {
			return item.Revision, true
		}
	}
	return 0, false
}

// collectBatch returns a transaction with the progress of as many changed jobs as
// fit. It commits only while the claim is unchanged and, for jobs with new runs,
// while no cancellation of them is stored.
func (st *state) collectBatch(claim *Claim) *batch {
	b := &batch{claim: claim, txn: store.Txn{Conditions: []store.Condition{{Key: claimKey, Revision: claim.Revision}}}}
	for _, j := range st.openJobs() {
		rows := 3
		if j.crashesDirty {
			rows++
		}
		if !j.dirty || b.txn.Rows()+rows > store.MaxTxnRows {
			continue
		}
		value, err := proto.MarshalOptions{Deterministic: true}.Marshal(j.graph.Record())
		if err != nil {
			klog.ErrorS(err, "duty: cannot encode progress record", "job", j.graph.Spec.GetId())
			continue
		}
		id := j.graph.Spec.GetId()
		if j.crashesDirty {
			crashes, err := proto.MarshalOptions{Deterministic: true}.Marshal(j.graph.CrashRecord())
			if err != nil {
				klog.ErrorS(err, "duty: cannot encode crash record", "job", id)
				continue
			}
			b.txn.Writes = append(b.txn.Writes, store.Write{Key: CrashKey(id), Value: crashes})
		}
		b.txn.Conditions = append(b.txn.Conditions, store.Condition{Key: ProgressKey(id), Revision: j.recordRevision})
		starts := j.unstoredRuns()
		if len(starts) > 0 && !j.graph.Cancelled && !j.graph.Ended() { // the stops of an ended job are ordered
			b.txn.Conditions = append(b.txn.Conditions, store.Condition{Key: CancelKey(id)})
		}
		b.txn.Writes = append(b.txn.Writes, store.Write{Key: ProgressKey(id), Value: value})
		b.jobs = append(b.jobs, j)
		b.records = append(b.records, value)
		b.changeSeqs = append(b.changeSeqs, j.lastChangeSeq)
		b.starts = append(b.starts, starts)
	}
	return b
}

// applyWrite applies the outcome of a batch: runs that are now stored are ordered,
// and ends that are now stored are acknowledged.
func (st *state) applyWrite(b *batch, result writeResult) {
	if result.cancelled {
		return
	}
	if result.conflict != nil {
		st.resolveConflict(b, result.conflict)
		return
	}
	for i, j := range b.jobs {
		j.recordRevision = result.revision
		if j.lastChangeSeq == b.changeSeqs[i] {
			j.dirty, j.crashesDirty = false, false
		} else {
			j.firstUnstoredSeq = b.changeSeqs[i] + 1
		}
		for _, ref := range b.starts[i] {
			if r := j.runs[ref.ref]; r != nil && r.run == ref.run {
				r.stored = true
				if t := j.graph.Task(ref.ref); t != nil && t.Run == ref.run && t.Active() {
					st.markOrdersChanged(t.Place)
				}
			}
		}
	}
	st.acknowledgeEnds()
}

// resolveConflict finds out why a condition of a batch failed: a job was cancelled,
// a record has another revision than expected, or the claim is lost.
func (st *state) resolveConflict(b *batch, conflict *store.ConflictError) {
	for _, j := range b.jobs {
		id := j.graph.Spec.GetId()
		if _, ok := conflict.Current(CancelKey(id)); ok && !j.graph.Cancelled {
			st.cancel(j)
		}
		item, ok := conflict.Current(ProgressKey(id))
		if ok && item.Revision != j.recordRevision {
			// Only the holder writes progress, so an earlier write took effect late.
			klog.InfoS("duty: revision of progress record corrected", "job", id, "revision", item.Revision, "known", j.recordRevision)
			j.recordRevision = item.Revision
		}
	}
	if item, ok := conflict.Current(claimKey); !ok || item.Revision != b.txn.Conditions[0].Revision {
		klog.InfoS("duty: claim was deleted or replaced", "revision", item.Revision)
		st.superseded = true
		b.claim.Abort()
	}
}

// acknowledgeEnds acknowledges the ends and crashes that are stored by now, so that
// workers and relays can forget them.
func (st *state) acknowledgeEnds() {
	storedSeq := st.lastSeq
	for _, j := range st.openJobs() {
		if j.dirty {
			storedSeq = min(storedSeq, j.firstUnstoredSeq-1)
		}
	}
	for _, w := range st.workers {
		if end := takeStored(&w.unstoredEnds, storedSeq); end > 0 {
			w.lastStoredEnd, w.ordersChanged = end, true
		}
		if crash := takeStored(&w.unstoredCrashes, storedSeq); crash > 0 {
			w.lastStoredCrash, w.ordersChanged = crash, true
		}
	}
}
