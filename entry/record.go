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
	// acceptTries bounds the writes of one record whose answers are lost.
	acceptTries = 3
	// followPeriod is the time between two reads of a record that is waited for.
	followPeriod = 300 * time.Millisecond
	// longestFollow bounds the growing pauses, so that hundreds of callers that
	// wait for long jobs leave the store's reads to others.
	longestFollow = 3 * time.Second
	// detachedFollowPeriod is the same for jobs without a caller that waits.
	detachedFollowPeriod = 5 * time.Second
)

var (
	// errUndecided means that a record may or may not be in the store.
	errUndecided = Error.New("the job record may have been written")
	// errKeyReused means that the key belongs to another request.
	errKeyReused = Error.New("the key was used for another request")
)

// claim is a job's record as this entry wrote or found it.
type claim struct {
	record   *wire.JobRecord
	revision int64
	// existing says that the job was accepted by an earlier request.
	existing bool
}

// accept claims the job in the store. A record that exists already belongs to
// an earlier request with the same key.
func (e *Entry) accept(ctx context.Context, r *jobRequest) (*claim, error) {
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
	unknown, base := false, int64(0)
	for range acceptTries {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		revision, err := e.opts.Store.Put(callCtx, key, data, base, 0)
		cancel()
		switch {
		case err == nil:
			return &claim{record: record, revision: revision}, nil
		case errors.Is(err, store.ErrConflict):
			found, err := e.findClaim(ctx, r, unknown)
			if err != nil || !found.existing || !mayComeAgain(found.record) {
				return found, err
			}
			base = found.revision
			continue
		case errors.Is(err, store.ErrUnknown):
			// Creating the same record again is safe: it succeeds once.
			unknown = true
		case !unknown:
			return nil, fmt.Errorf("writing record: %w", err)
		}
		if !clock.Sleep(ctx, storeRetry) {
			break
		}
	}
	return nil, fmt.Errorf("writing record: %w", errUndecided)
}

// mayComeAgain says whether the record is of a job that was given up before it
// ran: its caller was told to come again, and does so under the same key.
func mayComeAgain(record *wire.JobRecord) bool {
	outcome := record.GetOutcome()
	return record.GetPhase() == wire.JobRecord_ENDED && outcome.GetFate() == wire.Fate_NOT_RUN && outcome.GetRetryAfterMs() > 0
}

// sameRequest says whether two jobs are the same request of the same customer.
func sameRequest(a, b *wire.Job) bool {
	return a.GetBodyDigest() == b.GetBodyDigest() && a.GetJobClass() == b.GetJobClass() &&
		a.GetCustomer() == b.GetCustomer() && a.GetTasks() == b.GetTasks() &&
		a.GetAccelerators() == b.GetAccelerators() && maps.Equal(a.GetParameters(), b.GetParameters())
}

// findClaim reads the record that exists already. After a lost answer it can
// be the one that this request wrote.
func (e *Entry) findClaim(ctx context.Context, r *jobRequest, unknown bool) (*claim, error) {
	found, err := e.readRecord(ctx, r.job.GetId())
	if err != nil {
		return nil, fmt.Errorf("reading record: %w: %w", errUndecided, err)
	}
	job := found.record.GetJob()
	if !sameRequest(job, r.job) {
		return nil, errKeyReused
	}
	own := unknown && found.record.GetAcceptedBy() == e.bootID && job.GetSubmittedUnixMs() == r.job.GetSubmittedUnixMs()
	found.existing = !own
	return found, nil
}

func (e *Entry) readRecord(ctx context.Context, id string) (*claim, error) {
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
	return &claim{record: record, revision: item.Revision}, nil
}

// writeBody stores the body of a job that outlives its call, before the record
// that refers to it.
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
			// The body of an id never changes, so it is written again.
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

func (e *Entry) readBlobs(ctx context.Context, id, what string, parts int32) ([]byte, error) {
	var data []byte
	for part := range parts {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		item, err := e.opts.Store.Get(callCtx, sched.BlobKey(id, what, int(part)))
		cancel()
		if err != nil {
			return nil, fmt.Errorf("reading %s of %s: %w", what, id, err)
		}
		data = append(data, item.Value...)
	}
	return data, nil
}

// outcomeOf returns the outcome of an ended record with its whole result.
func (e *Entry) outcomeOf(ctx context.Context, record *wire.JobRecord) (*wire.Outcome, error) {
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

// followRecord waits until the job's record has ended.
func (e *Entry) followRecord(ctx context.Context, id string) *wire.Outcome {
	for pause := followPeriod; ; pause = min(pause*3/2, longestFollow) {
		found, err := e.readRecord(ctx, id)
		if errors.Is(err, store.ErrNotFound) {
			return &wire.Outcome{Fate: wire.Fate_UNKNOWN, Reason: "the job has no record any more"}
		}
		if err == nil && found.record.GetPhase() == wire.JobRecord_ENDED {
			outcome, readErr := e.outcomeOf(ctx, found.record)
			if readErr == nil {
				return outcome
			}
			err = readErr
		}
		if err != nil {
			klog.V(1).Infof("entry: Waiting for job %s: %v.", id, err)
		}
		if !clock.Sleep(ctx, pause) {
			return unknown("the job has not ended yet")
		}
	}
}

// endNotRun ends the record of a job that no scheduler has taken, so that none
// takes it later, and returns what is then true, and whether that is certain.
func (e *Entry) endNotRun(ctx context.Context, id string, outcome *wire.Outcome) (*wire.Outcome, bool) {
	undecided := &wire.Outcome{
		Fate:         wire.Fate_UNKNOWN,
		Reason:       "the record could not be ended: " + outcome.GetReason(),
		RetryAfterMs: retryAfter.Milliseconds(),
	}
	found, err := e.readRecord(ctx, id)
	if err != nil {
		return undecided, false
	}
	if found.record.GetPhase() == wire.JobRecord_ACCEPTED {
		if ended, err := e.writeEnd(ctx, found, outcome); err == nil {
			return ended, true
		}
		// The write may have taken effect, or another one has.
		if found, err = e.readRecord(ctx, id); err != nil {
			return undecided, false
		}
	}
	if found.record.GetPhase() != wire.JobRecord_ENDED {
		return undecided, false
	}
	ended, err := e.outcomeOf(ctx, found.record)
	if err != nil {
		return undecided, false
	}
	return ended, true
}
