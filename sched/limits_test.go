package sched

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"catkinpoint/decl"
	"catkinpoint/permit"
	"catkinpoint/place"
	"catkinpoint/wire"
)

// TestEndedJobsAreBounded guards against unbounded memory use by ended jobs and
// their results, which are kept for callers that ask again.
func TestEndedJobsAreBounded(t *testing.T) {
	s := &Scheduler{}
	c := newControl(time.Now(), DefaultLimits())
	result := make([]byte, 1<<20)
	for i := range 2 * maxEnded {
		j := &job{spec: &wire.Job{Id: fmt.Sprint(i)}}
		c.jobs[j.spec.GetId()] = j
		outcome := &wire.Outcome{Fate: wire.Fate_DONE}
		if i > maxEnded {
			outcome.Result = result
		}
		s.endJob(c, j, outcome)
		if len(c.jobs) > maxEnded || c.endedBytes > maxEndedBytes {
			t.Fatalf("%d jobs with %d bytes of results are kept after %d ended", len(c.jobs), c.endedBytes, i+1)
		}
	}
	if len(c.jobs) == 0 || c.endedBytes == 0 {
		t.Errorf("%d jobs with %d bytes of results are kept, want some", len(c.jobs), c.endedBytes)
	}
}

// TestJobStatusRemovesWaiter guards against unbounded memory use by waiters of
// JobStatus calls that have timed out, when callers poll a long job.
func TestJobStatusRemovesWaiter(t *testing.T) {
	withScheduler(t, 1, func(t *testing.T, h *harness) {
		h.submit(idempotentJob(), 0, nil)
		for range 100 {
			if _, err := h.scheduler.JobStatus(t.Context(), "job", time.Millisecond); err != nil {
				t.Fatal(err)
			}
		}
		waiters := 0
		if err := h.scheduler.control.Do(t.Context(), func(c *control) { waiters = len(c.jobs["job"].waiters) }); err != nil {
			t.Fatal(err)
		}
		if waiters != 1 {
			t.Errorf("%d waiters, want 1 for Submit", waiters)
		}
	})
}

// TestCancelManyQueuedJobs guards against quadratic time when many queued jobs are
// cancelled: a scan of the queue for each job.
func TestCancelManyQueuedJobs(t *testing.T) {
	cancelAll := func(jobs int) time.Duration {
		s := New(Options{
			Config: func() *decl.Set { return new(decl.Set) },
			Permit: func() permit.Permit { return permit.Permit{} },
		})
		c := newControl(time.Now(), DefaultLimits())
		for i := range jobs {
			spec := &wire.Job{Id: fmt.Sprint(i), Customer: fmt.Sprint(i % 100), Tasks: 1}
			s.accept(c, &wire.SubmitRequest{Job: spec}, make(chan struct{}))
		}
		if c.queue.Len() != jobs {
			t.Fatalf("%d jobs are queued, want %d", c.queue.Len(), jobs)
		}
		began := time.Now()
		for _, j := range c.jobs {
			s.stopJob(c, j, "cancelled")
		}
		took := time.Since(began)
		if c.queue.Len() != 0 {
			t.Fatalf("%d jobs are queued after all were cancelled", c.queue.Len())
		}
		return took
	}
	took := min(cancelAll(10_000), cancelAll(10_000), cancelAll(10_000))
	t.Logf("cancelling 10,000 jobs: %s", took)
	// With a scan of the queue for each job the cancellations took 9 s, without one
	// 30 ms, and 100 ms under the race detector.
	if took > time.Second {
		t.Errorf("cancelling 10,000 jobs took %s, want less than 1 s", took)
	}
}

func numberedJob(i int) *wire.Job {
	return &wire.Job{Id: fmt.Sprintf("job-%d", i), Customer: "c", Tasks: 1, Accelerators: 1, Idempotent: true}
}

// withMainPolicy calls f with a harness whose scheduler uses the policy of package
// place.
func withMainPolicy(t *testing.T, workers int, f func(t *testing.T, h *harness)) {
	withScheduler(t, workers, func(t *testing.T, h *harness) {
		h.policyOverride = place.New(place.Options{})
		h.takeDuty(2)
		f(t, h)
	})
}

// TestWorkerFailsEveryTask guards against a worker that fails every task and
// thereby attracts all jobs. It must be set aside after 3 jobs, probed, and used
// again once a probe has succeeded.
func TestWorkerFailsEveryTask(t *testing.T) {
	withMainPolicy(t, 4, func(t *testing.T, h *harness) {
		broken := true
		for i, a := range h.agents {
			a.endState = func(string) wire.TaskState {
				if i == 0 && broken {
					return wire.TaskState_TASK_FAILED
				}
				return wire.TaskState_TASK_DONE
			}
		}
		submit := func(from, to int) {
			for i := from; i < to; i++ {
				answer := h.submit(numberedJob(i), 0, nil)
				h.advance(500 * time.Millisecond)
				if answer.GetOutcome().GetFate() != wire.Fate_DONE {
					t.Errorf("job %d: outcome %v, want fate DONE", i, answer.GetOutcome())
				}
			}
		}
		submit(0, 20)
		if n := h.agents[0].starts; n == 0 || n > 3 {
			t.Errorf("the failing worker got %d tasks of 20 jobs, want 1 to 3", n)
		}
		h.agents[0].mu.Lock()
		broken = false
		h.agents[0].mu.Unlock()
		h.advance(40 * time.Second)
		before := h.agents[0].starts
		submit(20, 30)
		if h.agents[0].starts == before {
			t.Errorf("the repaired worker is not used again")
		}
	})
}

// TestJobFailsEverywhere guards against a job that fails on every worker and causes
// the workers to be set aside, or that never gets a final outcome.
func TestJobFailsEverywhere(t *testing.T) {
	for _, workers := range []int{2, 4} {
		t.Run(fmt.Sprint(workers), func(t *testing.T) {
			withMainPolicy(t, workers, func(t *testing.T, h *harness) {
				for _, a := range h.agents {
					a.endState = func(job string) wire.TaskState {
						if job == "job-0" {
							return wire.TaskState_TASK_FAILED
						}
						return wire.TaskState_TASK_DONE
					}
				}
				answer := h.submit(numberedJob(0), 0, nil)
				h.advance(10 * time.Second)
				starts, want := 0, 3
				for _, a := range h.agents {
					starts += a.starts
				}
				if workers < 3 {
					want = DefaultLimits().MaxAttempts // 3 workers are needed to find the job faulty
				}
				if answer.GetOutcome().GetFate() != wire.Fate_FAILED || starts != want {
					t.Errorf("outcome %v after %d starts, want FAILED after %d", answer.GetOutcome(), starts, want)
				}
				if next := h.submit(numberedJob(1), 0, nil); next != nil {
					h.advance(time.Second)
					if next.GetOutcome().GetFate() != wire.Fate_DONE {
						t.Errorf("next job: outcome %v, want fate DONE", next.GetOutcome())
					}
				}
			})
		})
	}
}

// TestRefuseJobThatNeverFits guards against jobs that wait forever because no
// worker can ever hold them.
func TestRefuseJobThatNeverFits(t *testing.T) {
	withMainPolicy(t, 2, func(t *testing.T, h *harness) {
		spec := numberedJob(0)
		spec.Accelerators, spec.Adjacency = 9, "worker"
		answer := h.submit(spec, 0, nil)
		h.advance(time.Second)
		got := answer.GetOutcome()
		if got.GetFate() != wire.Fate_NOT_RUN || got.GetRetryAfterMs() != 0 || !strings.Contains(got.GetReason(), "9 accelerators") {
			t.Errorf("outcome %v; want NOT_RUN without a retry time, and the accelerators in the reason", got)
		}
	})
}
