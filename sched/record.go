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

// RecordKey is the store key of a job's record.
func RecordKey(id string) string { return "job/" + id }

// BlobKey is the store key of a part of a job's body or result.
func BlobKey(id, what string, part int) string { return fmt.Sprintf("blob/%s/%s/%d", id, what, part) }

// BlobBytes is the size of one part, below the store's limit of 1 MB.
const BlobBytes = 768 << 10

// inlineBytes is the largest result that is kept in the record itself.
const inlineBytes = 256 << 10

// errBehind means that the record holds an earlier commit of this scheduler.
var errBehind = Error.New("the job record names an earlier attempt of this scheduler")

// errMoved means that the record belongs to a later attempt or has ended.
var errMoved = Error.New("the job record was changed by another scheduler")

// writeRecord replaces the record by CAS. After a lost answer it reads the
// record to learn whether the write took effect.
func (s *Scheduler) writeRecord(ctx context.Context, record *wire.JobRecord, revision int64) (int64, error) {
	data, err := proto.Marshal(record)
	if err != nil {
		return 0, fmt.Errorf("encoding record: %w", err)
	}
	key := RecordKey(record.GetJob().GetId())
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	next, err := s.opts.Store.Put(callCtx, key, data, revision, 0)
	switch {
	case err == nil:
		return next, nil
	case errors.Is(err, store.ErrUnknown), errors.Is(err, store.ErrConflict):
		return s.resolveWrite(ctx, key, data, revision, err)
	}
	return 0, fmt.Errorf("writing record: %w", err)
}

// resolveWrite reads back a record whose write has an unknown outcome. A
// conflict is read too, since it can be the echo of an earlier lost answer.
func (s *Scheduler) resolveWrite(ctx context.Context, key string, data []byte, revision int64, cause error) (int64, error) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	item, err := s.opts.Store.Get(callCtx, key)
	switch {
	case err != nil:
		return 0, fmt.Errorf("resolving write: %w: %w", store.ErrUnknown, err)
	case string(item.Value) == string(data):
		return item.Revision, nil
	case s.isOwnCommit(item, data):
		return item.Revision, fmt.Errorf("resolving write: %w", errBehind)
	case item.Revision == revision && errors.Is(cause, store.ErrUnknown):
		// Not there yet; the lost write may still arrive.
		return 0, fmt.Errorf("resolving write: %w", store.ErrUnknown)
	}
	return 0, fmt.Errorf("resolving write: %w", errMoved)
}

// isOwnCommit says whether the record holds a commit of this scheduler that is
// older than what data holds. Its answer was lost or is on its way, and its
// attempt has ended.
func (s *Scheduler) isOwnCommit(item store.Item, data []byte) bool {
	stored, wanted := new(wire.JobRecord), new(wire.JobRecord)
	if proto.Unmarshal(item.Value, stored) != nil || proto.Unmarshal(data, wanted) != nil {
		return false
	}
	if stored.GetPhase() != wire.JobRecord_COMMITTED || stored.GetEpoch() != s.opts.Epoch || stored.GetDataCentre() != s.opts.DataCentre {
		return false
	}
	if wanted.GetPhase() == wire.JobRecord_COMMITTED {
		return stored.GetAttempt() < wanted.GetAttempt()
	}
	return stored.GetAttempt() <= wanted.GetAttempt()
}

// commit writes the attempt into the job record, which makes it the only one
// that may start.
func (s *Scheduler) commit(a *attempt) {
	j := a.job
	record := proto.CloneOf(j.record)
	record.Phase = wire.JobRecord_COMMITTED
	record.DataCentre = s.opts.DataCentre
	record.Epoch = s.opts.Epoch
	record.Attempt = int32(j.number)
	record.Members = a.members
	record.Earlier = j.earlier
	record.UpdatedUnixMs = time.Now().UnixMilli()
	revision := j.revision
	j.commitSent = true
	s.traffic.Go(func() {
		next, err := s.persist(record, revision, func() bool { return a.coord.Phase == gang.Committing })
		s.post(func(c *control) {
			if err != nil {
				s.commitFailed(c, a, revision, err)
				return
			}
			if next > j.revision {
				j.record, j.revision = record, next
			}
			s.step(c, a, gang.Event{Kind: gang.EventCommitted})
		})
	})
}

func (s *Scheduler) commitFailed(c *control, a *attempt, revision int64, err error) {
	klog.Warningf("sched: Attempt %s was not committed: %v.", a.id, err)
	if errors.Is(err, errMoved) && a.job.revision <= revision && a.job.current == a {
		// The record tells the job's outcome; this scheduler gives it up.
		a.job.stopReason = "another scheduler has taken the job"
		if s.opts.Superseded != nil {
			s.opts.Superseded(s.opts.Epoch + 1)
		}
	}
	if errors.Is(err, store.ErrUnknown) {
		// The write may still arrive, so the record may name the attempt.
		return
	}
	s.step(c, a, gang.Event{Kind: gang.EventCommitFailed, Reason: "the job record could not be written"})
}

// persist repeats a write until it took effect, another write won, or it is not
// wanted any more. Repeating is safe because the revision is fixed.
func (s *Scheduler) persist(record *wire.JobRecord, revision int64, wanted func() bool) (int64, error) {
	pause := storeRetry
	for {
		next, err := s.writeRecord(s.life, record, revision)
		if err == nil || errors.Is(err, errMoved) {
			return next, err
		}
		if errors.Is(err, errBehind) {
			revision = next
			if record.GetPhase() != wire.JobRecord_COMMITTED {
				continue
			}
		}
		again := false
		if doErr := s.control.Do(s.life, func(*control) { again = wanted() }); doErr != nil {
			return 0, fmt.Errorf("persisting record: %w", doErr)
		}
		if !again || !clock.Sleep(s.life, pause) {
			return 0, fmt.Errorf("persisting record: %w", err)
		}
		pause = min(2*pause, 4*time.Second)
	}
}

// finish ends the job. One with a record is answered after its record has
// ended, except that a whole result is given out at once: the agents keep it
// until the record has ended, so that a successor comes to the same outcome.
func (s *Scheduler) finish(c *control, j *job, outcome *wire.Outcome) {
	c.dirty = true
	c.queue.Remove(j.spec.GetId())
	if outcome.GetResultDigest() == 0 && len(outcome.GetResult()) > 0 {
		outcome.ResultDigest = xxhash.Sum64(outcome.GetResult())
		outcome.ResultBytes = int64(len(outcome.GetResult()))
	}
	j.reroute = outcome.GetFate() == wire.Fate_NOT_RUN && j.stopReason == ""
	outcome.Fate = FateAfter(j.earlier, outcome.GetFate())
	if !j.recorded() {
		s.answer(c, j, outcome)
		return
	}
	j.phase = ending
	if j.reroute {
		// The entry submits the job elsewhere under the same record.
		s.release(j, outcome)
		return
	}
	if outcome.GetFate() == wire.Fate_DONE {
		s.answerWaiters(j, outcome)
	}
	record := proto.CloneOf(j.record)
	record.Phase = wire.JobRecord_ENDED
	record.Attempt = int32(j.number)
	record.UpdatedUnixMs = time.Now().UnixMilli()
	revision := j.revision
	first := true
	s.traffic.Go(func() {
		err := s.writeEnd(record, revision, outcome, func() bool {
			if first && j.phase == ending {
				// The final answer is not held back until the store returns.
				first = false
				s.answerWaiters(j, unrecorded(outcome))
			}
			return true
		})
		s.post(func(c *control) { s.recorded(c, j, outcome, err) })
	})
}

// unrecorded is what a caller is told while the end cannot be recorded.
func unrecorded(outcome *wire.Outcome) *wire.Outcome {
	if outcome.GetFate() == wire.Fate_FAILED {
		return outcome
	}
	return &wire.Outcome{
		Fate:         wire.Fate_UNKNOWN,
		Reason:       "the outcome could not be recorded yet: " + outcome.GetReason(),
		RetryAfterMs: retryAfter.Milliseconds(),
	}
}

// writeEnd writes the result's parts and then the ended record.
func (s *Scheduler) writeEnd(record *wire.JobRecord, revision int64, outcome *wire.Outcome, wanted func() bool) error {
	stored := proto.CloneOf(outcome)
	if len(stored.GetResult()) > inlineBytes {
		parts, err := s.writeBlobs(record.GetJob().GetId(), stored.GetResult(), wanted)
		if err != nil {
			return err
		}
		record.ResultParts, stored.Result = parts, nil
	}
	record.Outcome = stored
	_, err := s.persist(record, revision, wanted)
	return err
}

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

func (s *Scheduler) writeBlob(key string, data []byte, wanted func() bool) error {
	for {
		ctx, cancel := context.WithTimeout(s.life, storeTimeout)
		_, err := s.opts.Store.Put(ctx, key, data, store.AnyRevision, 0)
		cancel()
		if err == nil {
			return nil
		}
		again := false
		if doErr := s.control.Do(s.life, func(*control) { again = wanted() }); doErr != nil || !again {
			return fmt.Errorf("writing %s: %w", key, err)
		}
		if !clock.Sleep(s.life, storeRetry) {
			return fmt.Errorf("writing %s: %w", key, s.life.Err())
		}
	}
}

// recorded answers the callers once the end of the job is recorded.
func (s *Scheduler) recorded(c *control, j *job, outcome *wire.Outcome, err error) {
	c.dirty = true
	if errors.Is(err, errMoved) {
		klog.Warningf("sched: The record of job %s was changed by another scheduler.", j.spec.GetId())
		s.leave(c, j)
		return
	} else if err != nil {
		return // this scheduler has ended; its successor reads the record
	}
	s.answer(c, j, outcome)
}

// leave gives up a job whose record another process has changed. If a former
// scheduler of this data centre has committed it late, it is continued here.
func (s *Scheduler) leave(c *control, j *job) {
	j.moved = true
	s.answer(c, j, &wire.Outcome{Fate: wire.Fate_UNKNOWN, Reason: "another scheduler has taken the job"})
	s.lookUp(j.spec.GetId())
}

// release writes the record back to accepted, so that the job can be placed
// again: here after a preemption (outcome is nil), or by another data centre
// after the caller got outcome.
func (s *Scheduler) release(j *job, outcome *wire.Outcome) {
	record := proto.CloneOf(j.record)
	record.Phase = wire.JobRecord_ACCEPTED
	record.Members = nil
	record.Attempt = int32(j.number)
	record.Earlier = j.earlier
	record.ResumeMs = j.resume.Milliseconds()
	record.UpdatedUnixMs = time.Now().UnixMilli()
	revision := j.revision
	unchanged := j.record.GetPhase() != wire.JobRecord_COMMITTED && j.reroute && !j.commitSent
	j.releasing = true
	s.traffic.Go(func() {
		next, err := revision, error(nil)
		if !unchanged {
			next, err = s.persist(record, revision, func() bool { return true })
		}
		s.post(func(c *control) { s.released(c, j, record, next, outcome, err) })
	})
}

func (s *Scheduler) released(c *control, j *job, record *wire.JobRecord, revision int64, outcome *wire.Outcome, err error) {
	j.releasing = false
	switch {
	case errors.Is(err, errMoved):
		s.leave(c, j)
		return
	case err != nil:
		return // this scheduler has ended
	}
	j.record, j.revision, j.commitSent = record, revision, false
	switch {
	case j.stopReason != "":
		s.finish(c, j, j.stopOutcome(wire.Fate_NOT_RUN))
	case j.reroute:
		s.answer(c, j, outcome)
	default:
		s.enqueue(c, j)
	}
}
