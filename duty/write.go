package duty

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"catkinpoint/clock"
	"catkinpoint/graph"
	"catkinpoint/store"
)

const (
	// maxBatchBytes is the size of a transaction's values from which no more records are
	// added.
	maxBatchBytes = 256 << 10
	// maxJobRows bounds the rows of one job in a transaction, so that others fit besides.
	maxJobRows = 16
	// refusedPause is the time between two attempts to store a record that the store
	// refuses.
	refusedPause = 5 * time.Second
)

// changeRange has the numbers of the first and the last change of a record that are not
// stored.
type changeRange struct{ first, last int64 }

// recordWrite is one record of a job in a transaction.
type recordWrite struct {
	page  int64 // or graph.HeadPage, also for progress that is one record
	key   string
	value []byte // nil if the record is removed, as the tasks of the page are done
	last  int64  // the last change that it contains
}

// jobWrite is what a transaction stores of one job.
type jobWrite struct {
	job     *job
	records []recordWrite
	starts  []runRef // runs that are stored for the first time
	// splitting is set for pages that do not count yet, as the head does not say so.
	splitting bool
	crashes   bool // the crash record is stored too
}

// batch is one transaction that stores the progress of jobs.
type batch struct {
	claim  *Claim
	txn    store.Txn
	writes []*jobWrite
	bytes  int
	// keptRows is the number of rows that are kept free for the learned record.
	keptRows int
	// learned is the count of changes of the learned record in the transaction, or 0.
	learned int64
}

// writeResult is the outcome of a batch's transaction.
type writeResult struct {
	revision int64 // of the written records, if the batch was committed
	// conflict holds the present values of the keys if a condition failed.
	conflict  *store.ConflictError
	refused   error // the store will never take the transaction
	cancelled bool  // the scheduler ended before the outcome was known
}

// flush starts a transaction that stores changed progress. There is only one at a
// time.
func (s *Scheduler) flush(st *state, now time.Duration) {
	batch := st.collectBatch(s.claim, now)
	batch.addLearned(&st.learned, now)
	if len(batch.writes) == 0 && batch.learned == 0 {
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
		if errors.Is(err, store.ErrRefused) || errors.Is(err, store.ErrTooLarge) {
			return writeResult{refused: err}
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

// tookEffect reports whether an earlier attempt of the transaction was committed,
// with its revision: then the conflict shows that the store has all its records. Without
// records of jobs, only a lost claim can conflict.
func (b *batch) tookEffect(conflict *store.ConflictError) (int64, bool) {
	if len(b.writes) == 0 {
		return 0, false
	}
	revision := int64(0)
	for _, w := range b.writes {
		for _, r := range w.records {
			item, ok := conflict.Current(r.key)
			if ok != (r.value != nil) || string(item.Value) != string(r.value) {
				return 0, false
			}
			revision = max(revision, item.Revision)
		}
	}
	return revision, true
}

// collectBatch returns a transaction with the progress of as many changed jobs as
// fit, those with the oldest changes first. It commits only while the claim is unchanged
// and, for jobs with new runs, while no cancellation of them is stored.
func (st *state) collectBatch(claim *Claim, now time.Duration) *batch {
	b := &batch{claim: claim, txn: store.Txn{Conditions: []store.Condition{{Key: claimKey, Revision: claim.Revision}}}}
	if st.learned.promisesDue(now) {
		if st.learned.takesTurn(now) {
			return b
		}
		b.keptRows = 1
	}
	var dirty []*job
	for _, j := range st.openJobs() {
		if j.dirty() && now >= j.refusedUntil {
			dirty = append(dirty, j)
		}
	}
	slices.SortStableFunc(dirty, func(a, b *job) int { return cmp.Compare(a.firstUnstored(), b.firstUnstored()) })
	// A job that the store may have refused is written by itself.
	if alone := slices.IndexFunc(dirty, func(j *job) bool { return j.writeAlone }); alone >= 0 {
		dirty = dirty[alone : alone+1]
	}
	for _, j := range dirty {
		if b.bytes >= maxBatchBytes {
			break
		}
		if j.graph.Paged() {
			b.addPages(j)
		} else {
			b.addWhole(j)
		}
	}
	return b
}

// room returns how many rows of one more job fit.
func (b *batch) room() int { return min(maxJobRows, store.MaxTxnRows-b.keptRows-b.txn.Rows()) }

// addWhole adds the progress of a job that is one record.
func (b *batch) addWhole(j *job) {
	id := j.graph.Spec.GetId()
	rows := 3
	if j.crashesDirty {
		rows++
	}
	if b.room() < rows {
		return
	}
	value, err := graph.EncodeWork(j.graph.Record())
	if err != nil {
		klog.ErrorS(err, "duty: cannot encode progress record", "job", id)
		return
	}
	j.noteRecord(value)
	w := &jobWrite{job: j, starts: j.unstoredRuns(), crashes: j.crashesDirty}
	if j.crashesDirty {
		crashes, err := proto.MarshalOptions{Deterministic: true}.Marshal(j.graph.CrashRecord())
		if err != nil {
			klog.ErrorS(err, "duty: cannot encode crash record", "job", id)
			return
		}
		b.write(CrashKey(id), crashes)
	}
	b.addRecord(w, graph.HeadPage, value)
	b.finishJob(w)
}

// addPages adds changed pages of a job and, if need be, the head of its progress.
func (b *batch) addPages(j *job) {
	const fixedRows = 3 // for the head and the cancellation
	room := b.room() - fixedRows
	if room < 0 {
		return
	}
	w := &jobWrite{job: j}
	switch {
	case len(j.unsplit) > 0:
		w.splitting = true
		for _, page := range j.unsplit {
			if !b.addPage(w, page, &room) {
				break
			}
		}
	case !j.split:
		b.addHead(w, nil)
	default:
		var done []int64
		for _, page := range j.dirtyPages() {
			if j.graph.PageDone(page) {
				if room < 2 {
					break
				}
				done = append(done, page)
				room -= b.removePage(w, page)
				continue
			}
			if !b.addPage(w, page, &room) {
				break
			}
			w.starts = append(w.starts, j.unstoredRunsOf(page)...)
		}
		if _, changed := j.changes[graph.HeadPage]; changed || len(done) > 0 {
			b.addHead(w, done)
		}
	}
	if len(w.records) > 0 {
		b.finishJob(w)
	}
}

// addPage adds a page, if there is room for its two rows and for its bytes.
func (b *batch) addPage(w *jobWrite, page int64, room *int) bool {
	if *room < 2 || b.bytes >= maxBatchBytes || w.job.writeAlone && len(w.records) > 0 {
		return false
	}
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(w.job.graph.PageRecord(page))
	if err != nil {
		klog.ErrorS(err, "duty: cannot encode page", "job", w.job.graph.Spec.GetId(), "page", page)
		return false
	}
	*room -= 2
	b.addRecord(w, page, value)
	return true
}

// removePage adds the removal of a page whose tasks are done, and returns its rows: none if
// the page was never stored.
func (b *batch) removePage(w *jobWrite, page int64) int {
	key := w.job.recordKey(page)
	w.records = append(w.records, recordWrite{page: page, key: key})
	if w.job.revisions[page] == 0 {
		return 0
	}
	b.txn.Conditions = append(b.txn.Conditions, store.Condition{Key: key, Revision: w.job.revisions[page]})
	b.txn.Deletes = append(b.txn.Deletes, key)
	return 2
}

// addHead adds the head of progress in pages, with further done pages.
func (b *batch) addHead(w *jobWrite, done []int64) {
	value, err := graph.EncodeWork(w.job.graph.HeadRecord(done))
	if err != nil {
		klog.ErrorS(err, "duty: cannot encode progress record", "job", w.job.graph.Spec.GetId())
		return
	}
	b.addRecord(w, graph.HeadPage, value)
}

// addRecord adds the write of a record that has not changed since its last write.
func (b *batch) addRecord(w *jobWrite, page int64, value []byte) {
	key := w.job.recordKey(page)
	w.records = append(w.records, recordWrite{page: page, key: key, value: value, last: w.job.changes[page].last})
	b.txn.Conditions = append(b.txn.Conditions, store.Condition{Key: key, Revision: w.job.revisions[page]})
	b.write(key, value)
}

func (b *batch) write(key string, value []byte) {
	b.txn.Writes = append(b.txn.Writes, store.Write{Key: key, Value: value})
	b.bytes += len(value)
}

// finishJob adds a job whose records are in the transaction.
func (b *batch) finishJob(w *jobWrite) {
	g := w.job.graph
	if len(w.starts) > 0 && !g.Cancelled && !g.Ended() { // the stops of an ended job are ordered
		b.txn.Conditions = append(b.txn.Conditions, store.Condition{Key: CancelKey(g.Spec.GetId())})
	}
	b.writes = append(b.writes, w)
}

// applyWrite applies the outcome of a batch: runs that are now stored are ordered,
// and ends that are now stored are acknowledged.
func (st *state) applyWrite(b *batch, result writeResult) {
	if st.learned.applyLearnedWrite(b, result) {
		return // its jobs are still changed and are collected again
	}
	switch {
	case result.cancelled:
		return
	case result.conflict != nil:
		st.resolveConflict(b, result.conflict)
		return
	case result.refused != nil:
		st.setRefused(b, result.refused)
		st.acknowledgeEnds()
		return
	}
	for _, w := range b.writes {
		w.apply(result.revision)
		for _, ref := range w.starts {
			if r := w.job.runs[ref.ref]; r != nil && r.run == ref.run {
				r.stored = true
				if t := w.job.graph.Task(ref.ref); t != nil && t.Run == ref.run && t.Active() {
					st.markOrdersChanged(t.Place)
				}
			}
		}
	}
	st.acknowledgeEnds()
}

// apply records that the records of a job are stored.
func (w *jobWrite) apply(revision int64) {
	j := w.job
	j.writeAlone, j.refused = false, false
	for _, r := range w.records {
		if r.value == nil {
			delete(j.revisions, r.page)
			delete(j.changes, r.page)
			j.graph.ForgetPage(r.page)
			continue
		}
		j.revisions[r.page] = revision
		if w.splitting {
			j.unsplit = slices.DeleteFunc(j.unsplit, func(page int64) bool { return page == r.page })
			continue
		}
		if r.page == graph.HeadPage && j.graph.Paged() {
			j.split = true
		}
		c := j.changes[r.page]
		if c.last > r.last {
			j.changes[r.page] = changeRange{max(c.first, r.last+1), c.last}
			continue
		}
		delete(j.changes, r.page)
		if w.crashes {
			j.crashesDirty = false
		}
	}
}

// setRefused handles a transaction that the store will never take. It may be the fault of
// one record: each job is then written by itself, and each page of one. What is refused even
// so waits, and nothing else waits for it: none of its starts is ordered before it is stored.
func (st *state) setRefused(b *batch, err error) {
	single := len(b.writes) == 1 && b.writes[0].job.writeAlone
	for _, w := range b.writes {
		w.job.writeAlone = true
		if !single {
			continue
		}
		w.job.refused, w.job.refusedUntil = true, clock.Monotonic()+refusedPause
		refusedCounter.Add(context.Background(), 1)
		klog.ErrorS(err, "duty: store refuses the progress of a job, which waits", "job", w.job.graph.Spec.GetId(), "records", len(w.records), "bytes", b.bytes,
			"paged", w.job.graph.Paged(), "started_tasks", w.job.graph.StartedTasks())
	}
	if !single {
		klog.InfoS("duty: transaction refused, its jobs are written one by one", "jobs", len(b.writes), "rows", b.txn.Rows(), "bytes", b.bytes, "err", err)
	}
}

// resolveConflict finds out why a condition of a batch failed: a job was cancelled,
// a record has another revision than expected, or the claim is lost.
func (st *state) resolveConflict(b *batch, conflict *store.ConflictError) {
	for _, w := range b.writes {
		j, id := w.job, w.job.graph.Spec.GetId()
		if _, ok := conflict.Current(CancelKey(id)); ok && !j.graph.Cancelled {
			st.cancel(j)
		}
		for _, r := range w.records {
			// The revision of a page that does not exist is 0.
			item, _ := conflict.Current(r.key)
			if known := j.revisions[r.page]; item.Revision != known {
				// Only the holder writes progress, so an earlier write took effect late.
				klog.InfoS("duty: revision of progress record corrected", "job", id, "page", r.page, "revision", item.Revision, "known", known)
				j.revisions[r.page] = item.Revision
			}
		}
	}
	if item, ok := conflict.Current(claimKey); !ok || item.Revision != b.txn.Conditions[0].Revision {
		klog.InfoS("duty: claim was deleted or replaced", "revision", item.Revision)
		st.superseded = true
		b.claim.Abort()
	}
}

// acknowledgeEnds acknowledges the ends and crashes that are stored by now, so that
// workers and relays can forget them. Those of a job whose progress the store refuses do
// not hold up the others.
func (st *state) acknowledgeEnds() {
	storedSeq := st.lastSeq
	for _, j := range st.openJobs() {
		if j.dirty() && !j.refused {
			storedSeq = min(storedSeq, j.firstUnstored()-1)
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
