package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"catkinpoint/sched"
	"catkinpoint/store"
	"catkinpoint/wire"
)

const (
	// endRetryPeriod is the time between two attempts to end the pending records.
	endRetryPeriod = time.Second
	// maxPendingEnds bounds the memory used during an outage of the store. Records
	// beyond it are ended by another entry once this process has gone.
	maxPendingEnds = 10_000
)

// endRetrier ends the records of jobs that this entry gave up while the store
// could not be reached. Without it such a record would stay accepted, and its
// caller would wait, for as long as this process runs.
type endRetrier struct {
	entry   *Entry
	mu      sync.Mutex
	pending map[string]*wire.JobRecord // by job id, in phase ENDED
}

func newEndRetrier(e *Entry) *endRetrier {
	return &endRetrier{entry: e, pending: make(map[string]*wire.JobRecord)}
}

// add schedules the end of a job that this entry no longer dispatches. The job is
// dropped if maxPendingEnds jobs are pending.
func (r *endRetrier) add(job *wire.Job, outcome *wire.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pending) >= maxPendingEnds {
		return
	}
	r.pending[job.GetId()] = &wire.JobRecord{
		Job: job, Phase: wire.JobRecord_ENDED, AcceptedBy: r.entry.bootID,
		Outcome: outcome, UpdatedUnixMs: time.Now().UnixMilli(),
	}
}

// retryAll tries to end all pending records.
func (r *endRetrier) retryAll(ctx context.Context) {
	r.mu.Lock()
	records := make([]*wire.JobRecord, 0, len(r.pending))
	for _, record := range r.pending {
		records = append(records, record)
	}
	r.mu.Unlock()
	for _, record := range records {
		id := record.GetJob().GetId()
		if err := r.tryEnd(ctx, record); err != nil {
			klog.V(1).Infof("entry: The record of job %s is not ended yet: %v.", id, err)
			if errors.Is(err, store.ErrUnavailable) {
				return // the next period tries all again
			}
			continue
		}
		r.mu.Lock()
		delete(r.pending, id)
		r.mu.Unlock()
	}
}

// tryEnd ends the job's record if this entry still owns it. A missing record is
// created as ended, because the write that accepts the job may still arrive; it
// then fails with a conflict.
func (r *endRetrier) tryEnd(ctx context.Context, record *wire.JobRecord) error {
	found, err := r.entry.readRecord(ctx, record.GetJob().GetId())
	if errors.Is(err, store.ErrNotFound) {
		found, err = &storedRecord{record: record}, nil
	}
	if err != nil {
		return err
	}
	// The caller may have submitted the job again under the same key since.
	sameSubmission := found.record.GetJob().GetSubmittedUnixMs() == record.GetJob().GetSubmittedUnixMs()
	ownedHere := sameSubmission && found.record.GetPhase() == wire.JobRecord_ACCEPTED && found.record.GetAcceptedBy() == r.entry.bootID
	if found.revision != 0 && !ownedHere {
		return nil
	}
	_, err = r.entry.putEnded(ctx, found, record.GetOutcome())
	return err
}

// putEnded writes the stored record as ended, which replaces an accepted record or
// creates a missing one. It returns the outcome that it wrote: a job of which an
// earlier attempt ran, or may have run, is not recorded as not run.
func (e *Entry) putEnded(ctx context.Context, stored *storedRecord, outcome *wire.Outcome) (*wire.Outcome, error) {
	outcome = proto.CloneOf(outcome)
	outcome.Fate = sched.FateAfter(stored.record.GetEarlier(), outcome.GetFate())
	record := proto.CloneOf(stored.record)
	record.Phase, record.Outcome, record.UpdatedUnixMs = wire.JobRecord_ENDED, outcome, time.Now().UnixMilli()
	data, err := proto.Marshal(record)
	if err != nil {
		return nil, Error.New("encoding record: %v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if _, err := e.opts.Store.Put(ctx, sched.RecordKey(record.GetJob().GetId()), data, stored.revision, 0); err != nil {
		return nil, Error.New("ending record: %w", err)
	}
	return outcome, nil
}
