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
	// answerWait is the longest wait of a report for new orders.
	answerWait = 700 * time.Millisecond
	// planPeriod is the time between two decisions without an event.
	planPeriod = 250 * time.Millisecond
	// expirePeriod is the time between two looks for leases that have run out.
	expirePeriod = 100 * time.Millisecond
	// loadTime bounds the read of all jobs by a new holder.
	loadTime = 5 * time.Second
	// silence is the age of the last report after which a worker gets no starts.
	silence = 1800 * time.Millisecond
	// leaseTolerance covers a worker's clock that is slow.
	leaseTolerance = 1.03
	// leaseMargin covers the time that a worker takes to kill what has lapsed.
	leaseMargin = 500 * time.Millisecond
)

// Settings are the figures of a Scheduler.
type Settings struct {
	// TaskLease is the time after which a worker that hears nothing kills what runs.
	TaskLease time.Duration
	// ConfigAge is the oldest configuration on which work is placed.
	ConfigAge time.Duration
	// StartAge is the oldest configuration on which a relay starts a task.
	StartAge time.Duration
	// Retention is how long an ended job is kept.
	Retention time.Duration
	// RemoteFactor is how many times as long a task takes away from its data.
	RemoteFactor float64
}

// Operator is what a scheduler needs to know of the operator's wishes.
type Operator interface {
	// Table returns the configuration, or nil if there is none yet.
	Table() *route.Table
	// Evacuated tells whether nothing may start in a data centre.
	Evacuated(dataCentre string) bool
	// Age returns how old that knowledge is, and false if there is none.
	Age() (time.Duration, bool)
}

// Scheduler does the duty under one claim.
type Scheduler struct {
	settings Settings
	kv       store.TxnKV
	operator Operator
	claim    *Claim
	gates    func() []string
	own      *owner.Owner[*state]
	ctx      context.Context
	rooms    atomic.Pointer[[]*flow.Room]
	// reclaiming tells that guaranteed work waits for its place.
	reclaiming atomic.Bool
}

// NewScheduler returns a scheduler for a claim that lives until ctx ends; Run
// starts it.
func NewScheduler(ctx context.Context, settings Settings, kv store.TxnKV, operator Operator, claim *Claim, gates func() []string) *Scheduler {
	return &Scheduler{
		ctx: ctx, settings: settings, kv: kv, operator: operator, claim: claim, gates: gates,
		own: owner.New(newState(clock.Steady())),
	}
}

// Run loads all jobs and schedules until the scheduler's context ends.
func (s *Scheduler) Run() {
	ctx := s.ctx
	items, err := s.load(ctx)
	if err != nil {
		return // only when ctx ends
	}
	s.own.Post(func(st *state) {
		for _, item := range items {
			st.apply(store.Event{Item: item})
		}
		st.loaded = true
		st.finishLoad()
		klog.InfoS("duty: loaded", "epoch", s.claim.Epoch, "jobs", len(st.jobs))
	})
	go func() {
		for clock.Sleep(ctx, planPeriod) {
			s.own.Post(func(st *state) { st.plan = true })
		}
	}()
	s.own.Run(ctx, s.act, s.broken)
}

// broken gives up the duty after a panic, as the state may be wrong: the next
// holder reads all of it from the store.
func (s *Scheduler) broken(st *state, err error) {
	klog.ErrorS(err, "duty: given up after a panic", "epoch", s.claim.Epoch)
	st.superseded = true
	s.claim.failed.Store(true)
	s.claim.End()
}

func (s *Scheduler) load(ctx context.Context) ([]store.Item, error) {
	for {
		call, cancel := context.WithTimeout(ctx, loadTime)
		items, _, err := s.kv.Range(call, KeyPrefix)
		cancel()
		if err == nil {
			return items, nil
		}
		klog.InfoS("duty: jobs not read", "err", err)
		if !clock.Sleep(ctx, planPeriod) {
			return nil, fmt.Errorf("reading jobs: %w", ctx.Err())
		}
	}
}

// Yield gives up the claim of an epoch for a better holder, unless guaranteed
// work waits; it fails if nothing was given up.
func (s *Scheduler) Yield(epoch int64) error {
	if epoch != s.claim.Epoch || !s.claim.Valid() {
		return ErrNotHolder
	}
	if s.reclaiming.Load() {
		return ErrReclaiming
	}
	s.claim.Yield()
	return nil
}

// Apply takes changes of the product's keys.
func (s *Scheduler) Apply(events []store.Event) {
	s.own.Post(func(st *state) {
		for _, e := range events {
			st.apply(e)
		}
		st.plan = true
	})
}

// Attend takes a report and returns the orders for its worker, when there are
// new ones or after answerWait.
func (s *Scheduler) Attend(report *flow.Report) (*flow.Orders, error) {
	answer := make(chan *flow.Orders, 1)
	err := s.own.Do(s.ctx, func(st *state) {
		if !s.claim.Valid() || !st.loaded {
			give(answer, nil)
			return
		}
		st.report(s, report, answer)
	})
	if err != nil {
		return nil, fmt.Errorf("attending: %w", err)
	}
	timer := time.NewTimer(answerWait)
	defer timer.Stop()
	select {
	case orders := <-answer:
		return held(orders)
	case <-s.ctx.Done():
		return nil, ErrNotHolder
	case <-timer.C:
	}
	// The wait is over; the worker gets what there is.
	s.own.Post(func(st *state) { st.answer(s, report.GetRelay(), answer) })
	select {
	case orders := <-answer:
		return held(orders)
	case <-s.ctx.Done():
		return nil, ErrNotHolder
	}
}

func held(orders *flow.Orders) (*flow.Orders, error) {
	if orders == nil {
		return nil, ErrNotHolder
	}
	return orders, nil
}

// act runs after each batch of events.
func (s *Scheduler) act(st *state) {
	now := clock.Steady()
	if !st.loaded {
		return
	}
	st.expire(s, now)
	st.countRooms(s, now)
	if st.plan && s.claim.Valid() {
		st.plan = false
		st.moveSlow(now)
		st.place(s, now)
	}
	st.advance()
	if !st.writing && !st.superseded {
		s.flush(st)
	}
	if !st.sweeping && now >= st.sweepAt && s.claim.Valid() {
		s.sweep(st, now)
	}
	for _, w := range st.workers {
		if w.waiter != nil && w.changed {
			st.answer(s, w.relay, w.waiter)
		}
	}
}

// flush writes what has changed, one transaction at a time.
func (s *Scheduler) flush(st *state) {
	batch := st.batch(s.claim)
	if len(batch.jobs) == 0 {
		return
	}
	st.writing = true
	go func() {
		result := s.commit(batch)
		s.own.Post(func(st *state) {
			st.writing = false
			st.written(batch, result)
		})
	}()
}

// writeResult is what became of a batch.
type writeResult struct {
	revision int64
	// conflict has the present keys if conditions failed.
	conflict *store.ConflictError
	ended    bool
}

// commit repeats the transaction until its outcome is certain.
func (s *Scheduler) commit(b *batch) writeResult {
	doubt := false
	start := clock.Steady()
	for {
		call, cancel := context.WithTimeout(s.ctx, claimCallTime)
		revision, err := s.kv.Commit(call, b.txn)
		cancel()
		if err == nil {
			observe(writeTime, clock.Steady()-start)
			return writeResult{revision: revision}
		}
		if conflict := asConflict(err); conflict != nil {
			if doubt {
				if revision, ok := b.tookEffect(conflict); ok {
					return writeResult{revision: revision}
				}
			}
			return writeResult{conflict: conflict}
		}
		if s.ctx.Err() != nil {
			return writeResult{ended: true}
		}
		if !doubt {
			doubtsCount.Add(s.ctx, 1)
			klog.InfoS("duty: write not confirmed", "rows", b.txn.Rows(), "err", err)
		}
		doubt = true
		clock.Sleep(s.ctx, planPeriod/2)
	}
}

// batch is one transaction and what it says.
type batch struct {
	claim *Claim
	txn   store.Txn
	jobs  []*job
	// values are the records, by the index of the job.
	values [][]byte
	seq    []int64
	starts [][]runRef
}

// tookEffect tells whether an earlier try of the transaction was carried out.
func (b *batch) tookEffect(conflict *store.ConflictError) (int64, bool) {
	for i, j := range b.jobs {
		item, ok := conflict.Current(WorkKey(j.graph.Spec.GetId()))
		if !ok || string(item.Value) != string(b.values[i]) {
			return 0, false
		}
		if i == len(b.jobs)-1 {
			return item.Revision, true
		}
	}
	return 0, false
}

// batch collects changed jobs; starts are written only while their job is not
// cancelled, all else only while the claim stands.
func (st *state) batch(claim *Claim) *batch {
	b := &batch{claim: claim, txn: store.Txn{Conditions: []store.Condition{{Key: claimKey, Revision: claim.Revision}}}}
	for _, j := range st.open() {
		const rowsPerJob = 3
		if !j.dirty || b.txn.Rows()+rowsPerJob > store.MaxTxnRows {
			continue
		}
		value, err := proto.MarshalOptions{Deterministic: true}.Marshal(j.graph.Record())
		if err != nil {
			klog.ErrorS(err, "duty: record not encoded", "job", j.graph.Spec.GetId())
			continue
		}
		id := j.graph.Spec.GetId()
		b.txn.Conditions = append(b.txn.Conditions, store.Condition{Key: WorkKey(id), Revision: j.workRevision})
		starts := j.unwritten()
		if len(starts) > 0 && !j.graph.Cancelled {
			b.txn.Conditions = append(b.txn.Conditions, store.Condition{Key: CancelKey(id)})
		}
		b.txn.Writes = append(b.txn.Writes, store.Write{Key: WorkKey(id), Value: value})
		b.jobs = append(b.jobs, j)
		b.values = append(b.values, value)
		b.seq = append(b.seq, j.dirtySeq)
		b.starts = append(b.starts, starts)
	}
	return b
}

// written takes the outcome of a batch.
func (st *state) written(b *batch, result writeResult) {
	if result.ended {
		return
	}
	if result.conflict != nil {
		st.conflicted(b, result.conflict)
		return
	}
	for i, j := range b.jobs {
		j.workRevision = result.revision
		if j.dirtySeq == b.seq[i] {
			j.dirty = false
		}
		for _, ref := range b.starts[i] {
			if r := j.runs[ref.ref]; r != nil && r.run == ref.run {
				r.stored = true
				if t := j.graph.Task(ref.ref); t != nil && t.Run == ref.run && t.Active() {
					st.touch(t.Place)
				}
			}
		}
	}
	st.acknowledge()
}

// conflicted finds out why a batch failed: a job was cancelled, or the claim
// or a record is not ours any more.
func (st *state) conflicted(b *batch, conflict *store.ConflictError) {
	for _, j := range b.jobs {
		id := j.graph.Spec.GetId()
		if _, ok := conflict.Current(CancelKey(id)); ok && !j.graph.Cancelled {
			st.cancel(j)
		}
		item, ok := conflict.Current(WorkKey(id))
		if ok && item.Revision != j.workRevision {
			// Only the holder writes it, so an earlier write took effect late.
			klog.InfoS("duty: revision of a record corrected", "job", id, "revision", item.Revision, "known", j.workRevision)
			j.workRevision = item.Revision
		}
	}
	if item, ok := conflict.Current(claimKey); !ok || item.Revision != b.txn.Conditions[0].Revision {
		klog.InfoS("duty: claim is gone", "revision", item.Revision)
		st.superseded = true
		b.claim.End()
	}
}

// acknowledge lets workers forget the ends that are stored by now.
func (st *state) acknowledge() {
	stored := st.seq
	for _, j := range st.open() {
		if j.dirty {
			stored = min(stored, j.dirtySince-1)
		}
	}
	for _, w := range st.workers {
		n := 0
		for n < len(w.ends) && w.ends[n].seq <= stored {
			w.observed = w.ends[n].number
			w.changed = true
			n++
		}
		w.ends = w.ends[n:]
	}
}
