package entry

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"catkinpoint/clock"
	"catkinpoint/sched"
	"catkinpoint/store"
	"catkinpoint/wire"
)

const (
	// maxAcceptAttempts bounds the attempts to write one record when answers of the
	// store are lost.
	maxAcceptAttempts = 3
	// recordPollPeriod is the time between two reads of the record of a job that a
	// caller waits for. A request that does not dispatch the job itself starts with
	// this period and lengthens it up to maxRecordPollPeriod.
	recordPollPeriod = 300 * time.Millisecond
	// maxRecordPollPeriod is the longest such period, so that hundreds of callers that
	// wait for long jobs leave the store's reads to others.
	maxRecordPollPeriod = 3 * time.Second
	// detachedPollPeriod is the time between two reads of the record of a detached
	// job, for which no caller waits.
	detachedPollPeriod = 5 * time.Second
)

var (
	// errRecordUncertain means that a record may or may not be in the store.
	errRecordUncertain = Error.New("the job record may have been written")
	// errKeyReused means that the key belongs to another request.
	errKeyReused = Error.New("the key was used for another request")
)

// storedRecord is a job's record as this entry last wrote or read it.
type storedRecord struct {
	record   *wire.JobRecord
	revision int64 // of the key in the store; zero if the key does not exist
	// existing is set if an earlier request accepted the job.
	existing bool
}

// accept writes the job's record in phase ACCEPTED. If the record exists already, it
// belongs to an earlier request with the same key and is returned as existing, unless
// that job was given up before it ran: then the record is replaced. The error wraps
// errKeyReused if the key belongs to a different request, and errRecordUncertain if
// the record may have been written.
func (e *Entry) accept(ctx context.Context, r *jobRequest) (*storedRecord, error) {
	record := &wire.JobRecord{
		Job:           r.job,
		Phase:         wire.JobRecord_ACCEPTED,
		AcceptedBy:    e.bootID,
		UpdatedUnixMs: time.Now().UnixMilli(),
	}
	if r.job.GetDetached() {
		parts, err := e.writeBody(ctx, r)
		if err != nil {
			return nil, err
		}
		record.BodyParts = parts
	}
	data, err := proto.Marshal(record)
	if err != nil {
		return nil, fmt.Errorf("encoding record: %w", err)
	}
	key := sched.RecordKey(r.job.GetId())
	answerLost, baseRevision := false, int64(0)
	for range maxAcceptAttempts {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		revision, err := e.opts.Store.Put(callCtx, key, data, baseRevision, 0)
		cancel()
		switch {
		case err == nil:
			return &storedRecord{record: record, revision: revision}, nil
		case errors.Is(err, store.ErrConflict):
			found, err := e.readExisting(ctx, r, answerLost)
			if err != nil || !found.existing || !mayBeResubmitted(found.record) {
				return found, err
			}
			baseRevision = found.revision
			continue
		case errors.Is(err, store.ErrUnknown):
			// Creating the same record again is safe: only one create succeeds.
			answerLost = true
		case !answerLost:
			return nil, fmt.Errorf("writing record: %w", err)
		}
		if !clock.Sleep(ctx, storeRetry) {
			break
		}
	}
	return nil, fmt.Errorf("writing record: %w", errRecordUncertain)
}

// mayBeResubmitted reports whether the record is of a job that was given up before it
// ran. Its caller was told to retry later, and does so under the same key.
func mayBeResubmitted(record *wire.JobRecord) bool {
	outcome := record.GetOutcome()
	return record.GetPhase() == wire.JobRecord_ENDED && outcome.GetFate() == wire.Fate_NOT_RUN && outcome.GetRetryAfterMs() > 0
}

// sameRequest reports whether two jobs are the same request of the same customer.
func sameRequest(a, b *wire.Job) bool {
	return a.GetBodyDigest() == b.GetBodyDigest() && a.GetJobClass() == b.GetJobClass() &&
		a.GetCustomer() == b.GetCustomer() && a.GetTasks() == b.GetTasks() &&
		a.GetAccelerators() == b.GetAccelerators() && maps.Equal(a.GetParameters(), b.GetParameters())
}

// readExisting reads the record that made the write of accept fail with a conflict.
// If the answer to an earlier write of this request was lost, it can be the record
// that this request wrote.
func (e *Entry) readExisting(ctx context.Context, r *jobRequest, answerLost bool) (*storedRecord, error) {
	found, err := e.readRecord(ctx, r.job.GetId())
	if err != nil {
		return nil, fmt.Errorf("reading record: %w: %w", errRecordUncertain, err)
	}
	job := found.record.GetJob()
	if !sameRequest(job, r.job) {
		return nil, errKeyReused
	}
	writtenHere := answerLost && found.record.GetAcceptedBy() == e.bootID && job.GetSubmittedUnixMs() == r.job.GetSubmittedUnixMs()
	found.existing = !writtenHere
	return found, nil
}

// readRecord reads the record of a job. The error wraps store.ErrNotFound if there
// is none.
func (e *Entry) readRecord(ctx context.Context, id string) (*storedRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	item, err := e.opts.Store.Get(ctx, sched.RecordKey(id))
	if err != nil {
		return nil, fmt.Errorf("reading record of %s: %w", id, err)
	}
	record := new(wire.JobRecord)
	if err := proto.Unmarshal(item.Value, record); err != nil {
		return nil, fmt.Errorf("decoding record of %s: %w", id, err)
	}
	return &storedRecord{record: record, revision: item.Revision}, nil
}

// writeBody stores the body of a detached job, which outlives its request, and
// returns the number of parts. It is called before the record that refers to the
// body is written.
func (e *Entry) writeBody(ctx context.Context, r *jobRequest) (int32, error) {
	parts := int32(0)
	for rest := r.body; len(rest) > 0; parts++ {
		n := min(len(rest), sched.BlobBytes)
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		_, err := e.opts.Store.Put(callCtx, sched.BlobKey(r.job.GetId(), "body", int(parts)), rest[:n], store.AnyRevision, 0)
		cancel()
		if err != nil && !errors.Is(err, store.ErrUnknown) {
			return 0, fmt.Errorf("writing body: %w", err)
		}
		if err != nil {
			// The body of a job never changes, so the part can be written again.
			parts--
			if !clock.Sleep(ctx, storeRetry) {
				return 0, fmt.Errorf("writing body: %w", ctx.Err())
			}
			continue
		}
		rest = rest[n:]
	}
	return parts, nil
}

// readBlobs reads the parts of a job's body or result and joins them.
func (e *Entry) readBlobs(ctx context.Context, id, kind string, parts int32) ([]byte, error) {
	var data []byte
	for part := range parts {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		item, err := e.opts.Store.Get(callCtx, sched.BlobKey(id, kind, int(part)))
		cancel()
		if err != nil {
			return nil, fmt.Errorf("reading %s of %s: %w", kind, id, err)
		}
		data = append(data, item.Value...)
	}
	return data, nil
}

// readOutcome returns the outcome of an ended record with its whole result.
func (e *Entry) readOutcome(ctx context.Context, record *wire.JobRecord) (*wire.Outcome, error) {
	outcome := proto.CloneOf(record.GetOutcome())
	if record.GetResultParts() == 0 {
		return outcome, nil
	}
	result, err := e.readBlobs(ctx, record.GetJob().GetId(), "result", record.GetResultParts())
	if err != nil {
		return nil, err
	}
	outcome.Result = result
	return outcome, nil
}

// awaitRecordEnd waits until the job's record has ended, and returns the outcome in
// it. The outcome is unknown if ctx ends first or the record has been removed.
func (e *Entry) awaitRecordEnd(ctx context.Context, id string) *wire.Outcome {
	for pause := recordPollPeriod; ; pause = min(pause*3/2, maxRecordPollPeriod) {
		found, err := e.readRecord(ctx, id)
		if errors.Is(err, store.ErrNotFound) {
			return &wire.Outcome{Fate: wire.Fate_UNKNOWN, Reason: "the job has no record any more"}
		}
		if err == nil && found.record.GetPhase() == wire.JobRecord_ENDED {
			outcome, readErr := e.readOutcome(ctx, found.record)
			if readErr == nil {
				return outcome
			}
			err = readErr
		}
		if err != nil {
			klog.V(1).Infof("entry: Waiting for job %s: %v.", id, err)
		}
		if !clock.Sleep(ctx, pause) {
			return unknownOutcome("the job has not ended yet")
		}
	}
}

// endRecord ends the record of a job that no scheduler has taken, so that none takes
// it later. It returns the outcome that the record then holds, and whether that is
// certain.
func (e *Entry) endRecord(ctx context.Context, id string, outcome *wire.Outcome) (*wire.Outcome, bool) {
	uncertain := &wire.Outcome{
		Fate:         wire.Fate_UNKNOWN,
		Reason:       "the record could not be ended: " + outcome.GetReason(),
		RetryAfterMs: retryAfter.Milliseconds(),
	}
	found, err := e.readRecord(ctx, id)
	if err != nil {
		return uncertain, false
	}
	if found.record.GetPhase() == wire.JobRecord_ACCEPTED {
		if ended, err := e.putEnded(ctx, found, outcome); err == nil {
			return ended, true
		}
		// The write may have taken effect, or another one came first.
		if found, err = e.readRecord(ctx, id); err != nil {
			return uncertain, false
		}
	}
	if found.record.GetPhase() != wire.JobRecord_ENDED {
		return uncertain, false
	}
	ended, err := e.readOutcome(ctx, found.record)
	if err != nil {
		return uncertain, false
	}
	return ended, true
}
