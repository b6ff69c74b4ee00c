package sched

import (
	"context"
	"errors"
	"fmt"
	"time"

	"catkinpoint/admit"
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
	if j, ok := c.jobs[id]; ok && !(j.phase == ended && j.reroute) {
		if j.bodyless {
			j.body, j.bodyless = request.GetBody(), false
		}
		j.wait(done)
		return j
	}
	j := &job{spec: request.GetJob(), body: request.GetBody(), revision: request.GetRecordRevision()}
	if j.revision > 0 {
		j.record = &wire.JobRecord{
			Job:        j.spec,
			Phase:      wire.JobRecord_ACCEPTED,
			AcceptedBy: request.GetAcceptedBy(),
			BodyParts:  request.GetBodyParts(),
		}
	}
	if ms := request.GetRemainingMs(); ms > 0 {
		j.deadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
	j.wait(done)
	if err := s.push(c, j, now); err != nil {
		// The job has left no trace, so it may be submitted elsewhere.
		j.reroute = true
		s.answer(j, refused(err))
		return j
	}
	c.jobs[id] = j
	c.dirty = true
	s.adoptOrphan(c, j)
	return j
}

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

// item is the job as the queue sees it.
func (c *control) item(j *job) admit.Item[*job] {
	p := c.placeJob(j)
	return admit.Item[*job]{
		ID:           p.ID,
		Customer:     p.Customer,
		Accelerators: p.Tasks * p.Accelerators,
		Expected:     p.Expected,
		Urgent:       p.Urgent,
		Deadline:     p.Deadline,
		Value:        j,
	}
}

func (j *job) wait(done chan struct{}) {
	if j.phase == ended {
		close(done)
		return
	}
	j.waiters = append(j.waiters, done)
}

// enqueue lets a job wait again that was taken before.
func (s *Scheduler) enqueue(c *control, j *job) {
	j.phase, j.current = queued, nil
	_ = c.queue.Return(c.item(j)) // the only error is that it waits already
	c.dirty = true
}

// answer gives the outcome to every caller that waits.
func (s *Scheduler) answer(j *job, outcome *wire.Outcome) {
	j.phase, j.outcome, j.endedAt, j.body = ended, outcome, time.Now(), nil
	for _, done := range j.waiters {
		close(done)
	}
	j.waiters = nil
	s.stats.count(outcome.GetFate())
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
	if err := s.control.Do(ctx, fill); err != nil {
		return nil, fmt.Errorf("reading job %s: %w", id, err)
	}
	return response, nil
}
