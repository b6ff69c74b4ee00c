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
	// endPeriod is the time between two attempts to end records.
	endPeriod = time.Second
	// maxPendingEnds bounds the memory of an outage; what is above it ends when
	// another entry finds that this one has gone.
	maxPendingEnds = 10_000
)

// ender ends the records of jobs that this entry has given up while the store
// could not be reached. Without it such a record would stay accepted, and its
// caller would wait, for as long as this entry lives.
type ender struct {
	entry   *Entry
	mu      sync.Mutex
	pending map[string]*wire.JobRecord // ended as they are to be written
}

func newEnder(e *Entry) *ender {
	return &ender{entry: e, pending: make(map[string]*wire.JobRecord)}
}

// add remembers a job that this entry does not carry any more.
func (d *ender) add(job *wire.Job, outcome *wire.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.pending) >= maxPendingEnds {
		return
	}
	d.pending[job.GetId()] = &wire.JobRecord{
		Job: job, Phase: wire.JobRecord_ENDED, AcceptedBy: d.entry.bootID,
		Outcome: outcome, UpdatedUnixMs: time.Now().UnixMilli(),
	}
}

// step tries to end all pending records.
func (d *ender) step(ctx context.Context) {
	d.mu.Lock()
	list := make([]*wire.JobRecord, 0, len(d.pending))
	for _, record := range d.pending {
		list = append(list, record)
	}
	d.mu.Unlock()
	for _, record := range list {
		id := record.GetJob().GetId()
		if err := d.end(ctx, record); err != nil {
			klog.V(1).Infof("entry: The record of job %s is not ended yet: %v.", id, err)
			if errors.Is(err, store.ErrUnavailable) {
				return // the next step tries all again
			}
			continue
		}
		d.mu.Lock()
		delete(d.pending, id)
		d.mu.Unlock()
	}
}

// end writes the end of a job whose record is still accepted by this entry, or
// whose accepting write may still arrive.
func (d *ender) end(ctx context.Context, record *wire.JobRecord) error {
	found, err := d.entry.readRecord(ctx, record.GetJob().GetId())
	if errors.Is(err, store.ErrNotFound) {
		found, err = &claim{record: record}, nil
	}
	if err != nil {
		return err
	}
	// The caller may have come again under the same key meanwhile.
	same := found.record.GetJob().GetSubmittedUnixMs() == record.GetJob().GetSubmittedUnixMs()
	mine := same && found.record.GetPhase() == wire.JobRecord_ACCEPTED && found.record.GetAcceptedBy() == d.entry.bootID
	if found.revision != 0 && !mine {
		return nil
	}
	_, err = d.entry.writeEnd(ctx, found, record.GetOutcome())
	return err
}

// writeEnd replaces an accepted record by its end, and returns the outcome that
// it holds: a job that ran before is not told to be not run.
func (e *Entry) writeEnd(ctx context.Context, found *claim, outcome *wire.Outcome) (*wire.Outcome, error) {
	outcome = proto.CloneOf(outcome)
	outcome.Fate = sched.FateAfter(found.record.GetEarlier(), outcome.GetFate())
	record := proto.CloneOf(found.record)
	record.Phase, record.Outcome, record.UpdatedUnixMs = wire.JobRecord_ENDED, outcome, time.Now().UnixMilli()
	data, err := proto.Marshal(record)
	if err != nil {
		return nil, Error.New("encoding record: %v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if _, err := e.opts.Store.Put(ctx, sched.RecordKey(record.GetJob().GetId()), data, found.revision, 0); err != nil {
		return nil, Error.New("ending record: %w", err)
	}
	return outcome, nil
}
