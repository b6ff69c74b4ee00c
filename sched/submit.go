package sched

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"catkinpoint/admit"
	"catkinpoint/place"
	"catkinpoint/wire"
)

// Submit queues a job and waits for its outcome. If the job is known already, it
// waits for the outcome of that one. It fails if ctx or Run ends first.
func (s *Scheduler) Submit(ctx context.Context, request *wire.SubmitRequest) (*wire.SubmitResponse, error) {
	var j *job
	done := make(chan struct{})
	err := s.control.Do(ctx, func(c *control) { j = s.accept(c, request, done) })
	if err != nil {
		return nil, fmt.Errorf("submitting job: %w", err)
	}
	return s.awaitOutcome(ctx, j, done)
}

// awaitOutcome waits until done is closed and returns the job's outcome.
func (s *Scheduler) awaitOutcome(ctx context.Context, j *job, done chan struct{}) (*wire.SubmitResponse, error) {
	select {
	case <-done:
	case <-ctx.Done():
		return nil, fmt.Errorf("waiting for job %s: %w", j.spec.GetId(), ctx.Err())
	case <-s.runCtx.Done():
		return nil, fmt.Errorf("waiting for job %s: %w", j.spec.GetId(), s.runCtx.Err())
	}
	response := &wire.SubmitResponse{JobId: j.spec.GetId()}
	err := s.control.Do(ctx, func(*control) {
		response.Outcome, response.Reroute = j.outcome, j.reroute
	})
	if err != nil {
		return nil, fmt.Errorf("reading outcome of job %s: %w", j.spec.GetId(), err)
	}
	return response, nil
}

// accept queues the job of the request, unless it is known already, and returns
// it. It arranges for done to be closed once the job has an outcome.
func (s *Scheduler) accept(c *control, request *wire.SubmitRequest, done chan struct{}) *job {
	now := time.Now()
	id := request.GetJob().GetId()
	if j, ok := c.jobs[id]; ok && !j.resubmittable() {
		j.mergeSubmission(request, now)
		j.addWaiter(done)
		return j
	}
	j := &job{spec: request.GetJob()}
	j.mergeSubmission(request, now)
	j.addWaiter(done)
	if err := s.enqueueNew(c, j, now); err != nil {
		// No state was kept for the job, so it may be submitted elsewhere.
		j.reroute = true
		s.endJob(c, j, refusedOutcome(err))
		return j
	}
	c.jobs[id] = j
	c.dirty = true
	s.adoptOrphan(c, j)
	return j
}

// resubmittable reports whether the job has ended here without a final outcome,
// because it was given back to its entry or taken over by another process, so that
// a new submission is handled as a new job.
func (j *job) resubmittable() bool { return j.phase == ended && (j.reroute || j.recordChanged) }

// mergeSubmission adds to the job what it lacks from a submission: the body and
// the deadline, if it is known only from its record, and a newer revision of the
// record, as written by an entry that has adopted the job from another entry.
func (j *job) mergeSubmission(request *wire.SubmitRequest, now time.Time) {
	if !j.hasBody && j.phase != ended {
		j.body, j.hasBody = request.GetBody(), true
		if ms := request.GetRemainingMs(); ms > 0 {
			j.deadline = now.Add(time.Duration(ms) * time.Millisecond)
		}
	}
	uncommitted := j.record == nil || j.record.GetPhase() == wire.JobRecord_ACCEPTED
	if revision := request.GetRecordRevision(); revision > j.revision && uncommitted && !j.releasing {
		j.revision, j.record = revision, &wire.JobRecord{Phase: wire.JobRecord_ACCEPTED}
		if request.GetRecord() != nil {
			j.record = proto.CloneOf(request.GetRecord())
		}
		j.record.Job = j.spec
		j.lastAttempt = max(j.lastAttempt, int(j.record.GetAttempt()))
		j.resumeFrom = max(j.resumeFrom, time.Duration(j.record.GetResumeMs())*time.Millisecond)
		if j.earlierFate == wire.Fate_FATE_UNSPECIFIED {
			j.earlierFate = j.record.GetEarlier()
		}
	}
}

// errNoBody refuses a job whose body this scheduler lacks, since it is known only
// from its record.
var errNoBody = Error.New("the body is not here any more")

// errOutOfService refuses jobs while operators have taken the data centre out of
// service.
var errOutOfService = Error.New("the data centre is out of service")

// enqueueNew adds a new job to the queue. It fails if the data centre is out of
// service or the queue refuses the job.
func (s *Scheduler) enqueueNew(c *control, j *job, now time.Time) error {
	if c.permitSeen && !c.inService {
		return errOutOfService
	}
	s.updateCustomers(c)
	return c.queue.Push(now, c.queueItem(j))
}

// refusedOutcome returns the outcome of a job that was not run because of err.
func refusedOutcome(err error) *wire.Outcome {
	outcome := &wire.Outcome{Fate: wire.Fate_NOT_RUN, Reason: err.Error(), RetryAfterMs: retryAfter.Milliseconds()}
	var refusal *admit.Refusal
	if errors.As(err, &refusal) {
		outcome.RetryAfterMs = max(1, refusal.RetryAfter.Milliseconds())
	}
	return outcome
}

// refusalDeadline returns the deadline for which the queue refuses the job early if
// it cannot be met, or zero for none. There is none while the run time of the job's
// class is only declared, since a declared run time can be far from the truth, nor
// for a customer with a guarantee, since the queue does not know what the customer
// can reclaim.
func (c *control) refusalDeadline(p place.Job) time.Time {
	hasGuarantee := slices.ContainsFunc(c.guarantees, func(g place.Guarantee) bool { return g.Customer == p.Customer })
	if hasGuarantee || c.learner.ExpectedRunTime(p.Class, 0) == 0 {
		return time.Time{}
	}
	return p.Deadline
}

// queueItem returns the job as the queue sees it.
func (c *control) queueItem(j *job) admit.Item[*job] {
	p := c.policyJob(j)
	return admit.Item[*job]{
		ID:              p.ID,
		Customer:        p.Customer,
		Accelerators:    p.Tasks * p.Accelerators,
		ExpectedRunTime: p.ExpectedRunTime,
		Urgent:          p.Urgent,
		Deadline:        c.refusalDeadline(p),
		Value:           j,
	}
}

// addWaiter arranges for done to be closed once the job has an outcome for its
// callers.
func (j *job) addWaiter(done chan struct{}) {
	if j.phase == ended {
		close(done)
		return
	}
	if j.waiters == nil {
		j.waiters = make(map[chan struct{}]struct{})
	}
	j.waiters[done] = struct{}{}
}

// requeue puts a job whose attempt has ended back into the queue. A job whose body
// is not here is refused instead, so that the entry that has the body, or one that
// adopts the job, submits it again.
func (s *Scheduler) requeue(c *control, j *job) {
	j.phase, j.current = queued, nil
	if !j.hasBody {
		s.finish(c, j, refusedOutcome(errNoBody))
		return
	}
	_ = c.queue.Requeue(c.queueItem(j)) // the only error is that the job is queued already
	c.dirty = true
}

// endJob ends the job here with the outcome and answers the callers that wait for it. The
// fate of a job that may yet be run elsewhere is left to be counted there.
func (s *Scheduler) endJob(c *control, j *job, outcome *wire.Outcome) {
	j.phase, j.outcome, j.endedAt, j.body = ended, outcome, time.Now(), nil
	j.closeWaiters()
	c.retainEnded(j)
	if !j.resubmittable() {
		s.stats.countFate(outcome.GetFate())
	}
}

// closeWaiters wakes the callers that wait for the job.
func (j *job) closeWaiters() {
	for done := range j.waiters {
		close(done)
	}
	j.waiters = nil
}

// retainEnded keeps the ended job for callers that ask again, for endedRetention
// and within maxEnded and maxEndedBytes. Dropping a job early is safe, because it
// has a record or is idempotent.
func (c *control) retainEnded(j *job) {
	c.endedJobs = append(c.endedJobs, j)
	c.endedBytes += len(j.outcome.GetResult())
	for len(c.endedJobs) > maxEnded || c.endedBytes > maxEndedBytes && len(c.endedJobs) > 1 {
		c.dropOldestEnded()
	}
}

// dropOldestEnded drops the job that ended first and its history of failed workers.
// If the job was submitted again under its id, the new job and the history stay.
func (c *control) dropOldestEnded() {
	j := c.endedJobs[0]
	c.endedJobs[0] = nil
	c.endedJobs = c.endedJobs[1:]
	c.endedBytes -= len(j.outcome.GetResult())
	if id := j.spec.GetId(); c.jobs[id] == j {
		delete(c.jobs, id)
		c.health.ForgetJob(id)
	}
}

// Cancel stops a job and reports whether it is known here. It does not wait for the
// end: the job's callers get its outcome, which depends on how far it had come.
func (s *Scheduler) Cancel(ctx context.Context, id, reason string) (found bool, err error) {
	err = s.control.Do(ctx, func(c *control) {
		j, ok := c.jobs[id]
		found = ok
		if ok {
			s.stopJob(c, j, reason)
		}
	})
	if err != nil {
		return false, fmt.Errorf("cancelling job %s: %w", id, err)
	}
	return found, nil
}

// JobStatus returns the phase and outcome of a job, after it has waited at most
// wait for the outcome.
func (s *Scheduler) JobStatus(ctx context.Context, id string, wait time.Duration) (*wire.JobStatusResponse, error) {
	response := new(wire.JobStatusResponse)
	done := make(chan struct{})
	fill := func(c *control) {
		j, ok := c.jobs[id]
		response.Found = ok
		if ok {
			response.Phase, response.Outcome = j.phase.String(), j.outcome
		}
	}
	err := s.control.Do(ctx, func(c *control) {
		fill(c)
		if j, ok := c.jobs[id]; ok && wait > 0 {
			j.addWaiter(done)
		}
	})
	if err != nil || !response.GetFound() || wait <= 0 {
		return response, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	case <-s.runCtx.Done():
	}
	err = s.control.Do(ctx, func(c *control) {
		fill(c)
		if j, ok := c.jobs[id]; ok {
			delete(j.waiters, done)
		}
	})
	if err != nil {
		return nil, fmt.Errorf("reading job %s: %w", id, err)
	}
	return response, nil
}
