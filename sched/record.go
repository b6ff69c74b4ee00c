package sched

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"catkinpoint/clock"
	"catkinpoint/gang"
	"catkinpoint/store"
	"catkinpoint/wire"
)

// RecordKey returns the store key of a job's record.
func RecordKey(id string) string { return "job/" + id }

// BlobKey returns the store key of a part of a job's body or result; kind is
// "body" or "result".
func BlobKey(id, kind string, part int) string { return fmt.Sprintf("blob/%s/%s/%d", id, kind, part) }

// BlobBytes is the size of a part of a body or result, below the store's limit of
// 1 MB.
const BlobBytes = 768 << 10

// maxInlineResultBytes is the size of the largest result that is stored in the
// record itself.
const maxInlineResultBytes = 256 << 10

// errEarlierCommit means that the record in the store holds an earlier commit of
// this scheduler, whose revision is returned with the error.
var errEarlierCommit = Error.New("the job record names an earlier attempt of this scheduler")

// errRecordChanged means that another scheduler or an entry has changed the record
// in the store: it belongs to a later attempt or has ended.
var errRecordChanged = Error.New("the job record was changed by another scheduler")

// writeRecord replaces the record in the store by compare-and-swap and returns the
// new revision. If the answer is lost or reports a conflict, it reads the record
// back to find out whether the write took effect.
func (s *Scheduler) writeRecord(ctx context.Context, record *wire.JobRecord, revision int64) (int64, error) {
	data, err := proto.Marshal(record)
	if err != nil {
		return 0, fmt.Errorf("encoding record: %w", err)
	}
	key := RecordKey(record.GetJob().GetId())
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	newRevision, err := s.opts.Store.Put(callCtx, key, data, revision, 0)
	switch {
	case err == nil:
		return newRevision, nil
	case errors.Is(err, store.ErrUnknown), errors.Is(err, store.ErrConflict):
		return s.resolveWrite(ctx, key, data, revision, err)
	}
	return 0, fmt.Errorf("writing record: %w", err)
}

// resolveWrite reads back a record after a write with an unknown outcome or a
// conflict, which can come from an earlier write of the same data whose answer was
// lost. It returns the revision if the data is stored. Otherwise the error is
// store.ErrUnknown if the write may still take effect, and errEarlierCommit or
// errRecordChanged if another write won.
func (s *Scheduler) resolveWrite(ctx context.Context, key string, data []byte, revision int64, cause error) (int64, error) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	item, err := s.opts.Store.Get(callCtx, key)
	switch {
	case err != nil:
		return 0, fmt.Errorf("resolving write: %w: %w", store.ErrUnknown, err)
	case string(item.Value) == string(data):
		return item.Revision, nil
	case s.isOwnEarlierCommit(item, data):
		return item.Revision, fmt.Errorf("resolving write: %w", errEarlierCommit)
	case item.Revision == revision && errors.Is(cause, store.ErrUnknown):
		// The write has not taken effect, but the store may still receive it.
		return 0, fmt.Errorf("resolving write: %w", store.ErrUnknown)
	}
	return 0, fmt.Errorf("resolving write: %w", errRecordChanged)
}

// isOwnEarlierCommit reports whether the stored record is a commit of this
// scheduler that is older than the record in data. The answer to that commit was
// lost or is late, and its attempt has ended.
func (s *Scheduler) isOwnEarlierCommit(item store.Item, data []byte) bool {
	stored, pending := new(wire.JobRecord), new(wire.JobRecord)
	if proto.Unmarshal(item.Value, stored) != nil || proto.Unmarshal(data, pending) != nil {
		return false
	}
	if stored.GetPhase() != wire.JobRecord_COMMITTED || stored.GetEpoch() != s.opts.Epoch || stored.GetDataCentre() != s.opts.DataCentre {
		return false
	}
	if pending.GetPhase() == wire.JobRecord_COMMITTED {
		return stored.GetAttempt() < pending.GetAttempt()
	}
	return stored.GetAttempt() <= pending.GetAttempt()
}

// commitAttempt writes the attempt into the job record, which makes it the only
// attempt that may start.
func (s *Scheduler) commitAttempt(a *attempt) {
	j := a.job
	record := proto.CloneOf(j.record)
	record.Phase = wire.JobRecord_COMMITTED
	record.DataCentre = s.opts.DataCentre
	record.Epoch = s.opts.Epoch
	record.Attempt = int32(j.lastAttempt)
	record.Members = a.members
	record.Earlier = j.earlierFate
	record.UpdatedUnixMs = time.Now().UnixMilli()
	revision := j.revision
	j.commitSent = true
	s.background.Go(func() {
		newRevision, err := s.persistRecord(record, revision, func() bool { return a.coord.Phase == gang.Committing })
		s.post(func(c *control) {
			if err != nil {
				s.handleCommitError(c, a, revision, err)
				return
			}
			if newRevision > j.revision {
				j.record, j.revision = record, newRevision
			}
			s.step(c, a, gang.Event{Kind: gang.EventCommitted})
		})
	})
}

// handleCommitError reports the failed commit to the attempt's coordinator, unless
// the write may still take effect. If another scheduler has changed the record,
// this one gives the job up.
func (s *Scheduler) handleCommitError(c *control, a *attempt, revision int64, err error) {
	klog.Warningf("sched: Attempt %s was not committed: %v.", a.id, err)
	if errors.Is(err, errRecordChanged) && a.job.revision <= revision && a.job.current == a {
		// The job's outcome will be in the record; this scheduler gives the job up.
		a.job.stopReason = "another scheduler has taken the job"
		if s.opts.OnSuperseded != nil {
			s.opts.OnSuperseded(s.opts.Epoch + 1)
		}
	}
	if errors.Is(err, store.ErrUnknown) {
		// The write may still take effect, so the record may name the attempt.
		return
	}
	s.step(c, a, gang.Event{Kind: gang.EventCommitFailed, Reason: "the job record could not be written"})
}

// persistRecord writes the record and returns its new revision. It repeats the
// write until it takes effect, another process's write has won (errRecordChanged),
// or wanted, which runs on the control goroutine, returns false. Repeating is safe
// because each write expects a fixed revision.
func (s *Scheduler) persistRecord(record *wire.JobRecord, revision int64, wanted func() bool) (int64, error) {
	pause := storeRetry
	for {
		newRevision, err := s.writeRecord(s.runCtx, record, revision)
		if err == nil || errors.Is(err, errRecordChanged) {
			return newRevision, err
		}
		if errors.Is(err, errEarlierCommit) {
			revision = newRevision
			if record.GetPhase() != wire.JobRecord_COMMITTED {
				continue
			}
		}
		retry := false
		if doErr := s.control.Do(s.runCtx, func(*control) { retry = wanted() }); doErr != nil {
			return 0, fmt.Errorf("persisting record: %w", doErr)
		}
		if !retry || !clock.Sleep(s.runCtx, pause) {
			return 0, fmt.Errorf("persisting record: %w", err)
		}
		pause = min(2*pause, 4*time.Second)
	}
}

// finish ends the job with the outcome. A job without a record is answered at once,
// one with a record after its record has ended. The outcome of a job that is done
// is given to its callers before that: the agents keep the results until the record
// has ended, so that a successor of this scheduler comes to the same outcome. If the
// record can't be written at first, the callers get unrecordedOutcome. The record of
// a job that did not run is released, so that the entry can submit the job to another
// data centre, unless the job was cancelled or given up.
func (s *Scheduler) finish(c *control, j *job, outcome *wire.Outcome) {
	c.dirty = true
	c.queue.Remove(j.spec.GetId())
	if outcome.GetResultDigest() == 0 && len(outcome.GetResult()) > 0 {
		outcome.ResultDigest = xxhash.Sum64(outcome.GetResult())
		outcome.ResultBytes = int64(len(outcome.GetResult()))
	}
	j.reroute = outcome.GetFate() == wire.Fate_NOT_RUN && j.stopReason == ""
	outcome.Fate = FateAfter(j.earlierFate, outcome.GetFate())
	if !j.hasRecord() {
		s.endJob(c, j, outcome)
		return
	}
	j.phase = ending
	if j.reroute {
		// The entry submits the job to another data centre with the same record.
		s.releaseRecord(j, outcome)
		return
	}
	if outcome.GetFate() == wire.Fate_DONE {
		s.answerWaiters(j, outcome)
	}
	record := proto.CloneOf(j.record)
	record.Phase = wire.JobRecord_ENDED
	record.Attempt = int32(j.lastAttempt)
	record.UpdatedUnixMs = time.Now().UnixMilli()
	revision := j.revision
	firstRetry := true
	s.background.Go(func() {
		err := s.writeEndedRecord(record, revision, outcome, func() bool {
			if firstRetry && j.phase == ending {
				// The callers do not wait for the store to recover.
				firstRetry = false
				s.answerWaiters(j, unrecordedOutcome(outcome))
			}
			return true
		})
		s.post(func(c *control) { s.handleEndRecorded(c, j, outcome, err) })
	})
}

// unrecordedOutcome returns the outcome that callers get while the end of the job
// cannot be recorded.
func unrecordedOutcome(outcome *wire.Outcome) *wire.Outcome {
	if outcome.GetFate() == wire.Fate_FAILED {
		return outcome
	}
	return &wire.Outcome{
		Fate:         wire.Fate_UNKNOWN,
		Reason:       "the outcome could not be recorded yet: " + outcome.GetReason(),
		RetryAfterMs: retryAfter.Milliseconds(),
	}
}

// writeEndedRecord writes the record with the outcome, after the parts of a result
// that is too large for the record.
func (s *Scheduler) writeEndedRecord(record *wire.JobRecord, revision int64, outcome *wire.Outcome, wanted func() bool) error {
	stored := proto.CloneOf(outcome)
	if len(stored.GetResult()) > maxInlineResultBytes {
		parts, err := s.writeBlobs(record.GetJob().GetId(), stored.GetResult(), wanted)
		if err != nil {
			return err
		}
		record.ResultParts, stored.Result = parts, nil
	}
	record.Outcome = stored
	_, err := s.persistRecord(record, revision, wanted)
	return err
}

// writeBlobs writes the result in parts of BlobBytes and returns their number.
func (s *Scheduler) writeBlobs(id string, data []byte, wanted func() bool) (int32, error) {
	part := 0
	for ; len(data) > 0; part++ {
		n := min(len(data), BlobBytes)
		if err := s.writeBlob(BlobKey(id, "result", part), data[:n], wanted); err != nil {
			return 0, err
		}
		data = data[n:]
	}
	return int32(part), nil
}

// writeBlob repeats the write of one part until it succeeds or wanted, which runs
// on the control goroutine, returns false.
func (s *Scheduler) writeBlob(key string, data []byte, wanted func() bool) error {
	for {
		ctx, cancel := context.WithTimeout(s.runCtx, storeTimeout)
		_, err := s.opts.Store.Put(ctx, key, data, store.AnyRevision, 0)
		cancel()
		if err == nil {
			return nil
		}
		retry := false
		if doErr := s.control.Do(s.runCtx, func(*control) { retry = wanted() }); doErr != nil || !retry {
			return fmt.Errorf("writing %s: %w", key, err)
		}
		if !clock.Sleep(s.runCtx, storeRetry) {
			return fmt.Errorf("writing %s: %w", key, s.runCtx.Err())
		}
	}
}

// handleEndRecorded ends the job once its record has ended, or abandons it if
// another process has changed the record.
func (s *Scheduler) handleEndRecorded(c *control, j *job, outcome *wire.Outcome, err error) {
	c.dirty = true
	if errors.Is(err, errRecordChanged) {
		klog.Warningf("sched: The record of job %s was changed by another scheduler.", j.spec.GetId())
		s.abandonJob(c, j)
		return
	} else if err != nil {
		return // Run has ended; the successor reads the record
	}
	s.endJob(c, j, outcome)
}

// abandonJob gives up a job whose record another process has changed. If that was
// a late commit of an earlier scheduler of this data centre, the job is resumed
// here from the record.
func (s *Scheduler) abandonJob(c *control, j *job) {
	j.recordChanged = true
	s.endJob(c, j, &wire.Outcome{Fate: wire.Fate_UNKNOWN, Reason: "another scheduler has taken the job"})
	s.lookUpRecord(j.spec.GetId())
}

// releaseRecord writes the record back to accepted, so that the job can be placed
// again: here after a preemption (outcome is nil), or by another data centre once
// the callers have got outcome.
func (s *Scheduler) releaseRecord(j *job, outcome *wire.Outcome) {
	record := proto.CloneOf(j.record)
	record.Phase = wire.JobRecord_ACCEPTED
	record.Members = nil
	record.Attempt = int32(j.lastAttempt)
	record.Earlier = j.earlierFate
	record.ResumeMs = j.resumeFrom.Milliseconds()
	record.UpdatedUnixMs = time.Now().UnixMilli()
	revision := j.revision
	// A record that was never committed is accepted already and needs no write.
	unchanged := j.record.GetPhase() != wire.JobRecord_COMMITTED && j.reroute && !j.commitSent
	j.releasing = true
	s.background.Go(func() {
		newRevision, err := revision, error(nil)
		if !unchanged {
			newRevision, err = s.persistRecord(record, revision, func() bool { return true })
		}
		s.post(func(c *control) { s.handleReleased(c, j, record, newRevision, outcome, err) })
	})
}

// handleReleased continues with a job whose record has been released: it ends a job
// that was cancelled meanwhile, answers the callers of one that another data centre
// may run, and queues any other again.
func (s *Scheduler) handleReleased(c *control, j *job, record *wire.JobRecord, revision int64, outcome *wire.Outcome, err error) {
	j.releasing = false
	switch {
	case errors.Is(err, errRecordChanged):
		s.abandonJob(c, j)
		return
	case err != nil:
		return // Run has ended
	}
	j.record, j.revision, j.commitSent = record, revision, false
	switch {
	case j.stopReason != "":
		s.finish(c, j, j.stopOutcome(wire.Fate_NOT_RUN))
	case j.reroute:
		s.endJob(c, j, outcome)
	default:
		s.requeue(c, j)
	}
}
