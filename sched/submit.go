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

// Submit takes a job and waits for its outcome. A job that is known already is
// not taken twice.
func (s *Scheduler) Submit(ctx context.Context, request *wire.SubmitRequest) (*wire.SubmitResponse, error) {
	var j *job
	done := make(chan struct{})
	err := s.control.Do(ctx, func(c *control) { j = s.accept(c, request, done) })
	if err != nil {
		return nil, fmt.Errorf("submitting job: %w", err)
	}
	return s.await(ctx, j, done)
}

// await waits until done is closed and reads the outcome.
func (s *Scheduler) await(ctx context.Context, j *job, done chan struct{}) (*wire.SubmitResponse, error) {
	select {
	case <-done:
	case <-ctx.Done():
		return nil, fmt.Errorf("waiting for job %s: %w", j.spec.GetId(), ctx.Err())
	case <-s.life.Done():
		return nil, fmt.Errorf("waiting for job %s: %w", j.spec.GetId(), s.life.Err())
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

// accept queues the job, or attaches the caller to it if it is known.
func (s *Scheduler) accept(c *control, request *wire.SubmitRequest, done chan struct{}) *job {
	now := time.Now()
	id := request.GetJob().GetId()
	if j, ok := c.jobs[id]; ok && !j.left() {
		j.refresh(request, now)
		j.wait(done)
		return j
	}
	j := &job{spec: request.GetJob()}
	j.refresh(request, now)
	j.wait(done)
	if err := s.push(c, j, now); err != nil {
		// The job has left no trace, so it may be submitted elsewhere.
		j.reroute = true
		s.answer(c, j, refused(err))
		return j
	}
	c.jobs[id] = j
	c.dirty = true
	s.adoptOrphan(c, j)
	return j
}

// left says whether the job is not this scheduler's any more, so that a new
// submission counts.
func (j *job) left() bool { return j.phase == ended && (j.reroute || j.moved) }

// refresh takes from a submission what the job lacks: the body and the deadline
// of a job that is known from its record only, and the record as an entry that
// adopted the job has changed it.
func (j *job) refresh(request *wire.SubmitRequest, now time.Time) {
	if !j.bodyHere && j.phase != ended {
		j.body, j.bodyHere = request.GetBody(), true
		if ms := request.GetRemainingMs(); ms > 0 {
			j.deadline = now.Add(time.Duration(ms) * time.Millisecond)
		}
	}
	waits := j.record == nil || j.record.GetPhase() == wire.JobRecord_ACCEPTED
	if revision := request.GetRecordRevision(); revision > j.revision && waits && !j.releasing {
		j.revision, j.record = revision, &wire.JobRecord{Phase: wire.JobRecord_ACCEPTED}
		if request.GetRecord() != nil {
			j.record = proto.CloneOf(request.GetRecord())
		}
		j.record.Job = j.spec
		j.number = max(j.number, int(j.record.GetAttempt()))
		j.resume = max(j.resume, time.Duration(j.record.GetResumeMs())*time.Millisecond)
		if j.earlier == wire.Fate_FATE_UNSPECIFIED {
			j.earlier = j.record.GetEarlier()
		}
	}
}

// errNoBody gives a job back that is known from its record only.
var errNoBody = Error.New("the body is not here any more")

// errOutOfService refuses jobs while operators have the data centre out.
var errOutOfService = Error.New("the data centre is out of service")

// push lets the job wait, or says why it cannot wait here.
func (s *Scheduler) push(c *control, j *job, now time.Time) error {
	if c.seenState && !c.inService {
		return errOutOfService
	}
	s.followCustomers(c)
	return c.queue.Push(now, c.item(j))
}

func refused(err error) *wire.Outcome {
	outcome := &wire.Outcome{Fate: wire.Fate_NOT_RUN, Reason: err.Error(), RetryAfterMs: retryAfter.Milliseconds()}
	var refusal *admit.Refusal
	if errors.As(err, &refusal) {
		outcome.RetryAfterMs = max(1, refusal.RetryAfter.Milliseconds())
	}
	return outcome
}

// knownDeadline is the deadline by which the queue may refuse the job early. A
// declared run time can be far from the truth, so only a learned one refuses;
// and what a guarantee's holder can reclaim is not for the queue to judge.
func (c *control) knownDeadline(p place.Job) time.Time {
	holds := slices.ContainsFunc(c.guarantees, func(g place.Guarantee) bool { return g.Customer == p.Customer })
	if holds || c.learner.Expected(p.Class, 0) == 0 {
		return time.Time{}
	}
	return p.Deadline
}

// item is the job as the queue sees it.
func (c *control) item(j *job) admit.Item[*job] {
	p := c.placeJob(j)
	return admit.Item[*job]{
		ID:           p.ID,
		Customer:     p.Customer,
		Accelerators: p.Tasks * p.Accelerators,
		Expected:     p.Expected,
		Urgent:       p.Urgent,
		Deadline:     c.knownDeadline(p),
		Value:        j,
	}
}

func (j *job) wait(done chan struct{}) {
	if j.phase == ended {
		close(done)
		return
	}
	if j.waiters == nil {
		j.waiters = make(map[chan struct{}]struct{})
	}
	j.waiters[done] = struct{}{}
}

// enqueue lets a job wait again that was taken before. A job without its body
// is given back to the entry that has it, or that adopts it.
func (s *Scheduler) enqueue(c *control, j *job) {
	j.phase, j.current = queued, nil
	if !j.bodyHere {
		s.finish(c, j, refused(errNoBody))
		return
	}
	_ = c.queue.Return(c.item(j)) // the only error is that it waits already
	c.dirty = true
}

// answer gives the outcome to every caller that waits.
func (s *Scheduler) answer(c *control, j *job, outcome *wire.Outcome) {
	j.phase, j.outcome, j.endedAt, j.body = ended, outcome, time.Now(), nil
	j.closeWaiters()
	c.remember(j)
	s.stats.count(outcome.GetFate())
}

func (j *job) closeWaiters() {
	for done := range j.waiters {
		close(done)
	}
	j.waiters = nil
}

// remember keeps the ended job for callers that ask again, for a time and
// within bounds. A job that is forgotten early is known by its record, or is
// idempotent.
func (c *control) remember(j *job) {
	c.ended = append(c.ended, j)
	c.endedBytes += len(j.outcome.GetResult())
	for len(c.ended) > maxEnded || c.endedBytes > maxEndedBytes && len(c.ended) > 1 {
		c.forgetFirst()
	}
}

// forgetFirst forgets the job that ended first.
func (c *control) forgetFirst() {
	j := c.ended[0]
	c.ended[0] = nil
	c.ended = c.ended[1:]
	c.endedBytes -= len(j.outcome.GetResult())
	if id := j.spec.GetId(); c.jobs[id] == j {
		delete(c.jobs, id)
		c.health.Forget(id)
	}
}

// Cancel stops a job; its callers get the outcome that is then true.
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

// JobStatus tells how far a job has come, after waiting for its outcome for at most wait.
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
			j.wait(done)
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
	case <-s.life.Done():
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
