package place

import (
	"slices"
	"time"
)

// HealthOptions tunes Health; a zero field takes its default.
type HealthOptions struct {
	// Failures is the number of consecutive failures of distinct jobs after
	// which a worker is set aside (default 3).
	Failures int
	// Workers is the number of distinct workers on which a job fails before
	// the fault is the job's (default 3).
	Workers int
	// ProbeAfter is the time from setting a worker aside to its first probe;
	// it doubles with each failed probe (default 30 s).
	ProbeAfter time.Duration
	// ProbeAtMost is the longest time between two probes, and the time for
	// which a worker waits for a probe (default 10 min).
	ProbeAtMost time.Duration
}

// Health tracks which workers and which jobs are at fault. The time is always
// an argument, so that a history can be replayed.
type Health struct {
	options HealthOptions
	workers map[string]*standing
	jobs    map[string]*record
}

// standing is the history of one worker since its last success.
type standing struct {
	failed []string // distinct jobs, each counted unless it is suspect
	aside  time.Time
	wait   time.Duration // zero while the worker is in use
	probed bool          // a probe failed since the worker was set aside
}

// record is the history of one job.
type record struct {
	failed    []string // distinct workers
	succeeded bool     // on some worker, so that its failures are the workers'
	faulty    bool
}

// NewHealth returns a Health without any history.
func NewHealth(o HealthOptions) *Health {
	if o.Failures == 0 {
		o.Failures = 3
	}
	if o.Workers == 0 {
		o.Workers = 3
	}
	if o.ProbeAfter == 0 {
		o.ProbeAfter = 30 * time.Second
	}
	if o.ProbeAtMost == 0 {
		o.ProbeAtMost = 10 * time.Minute
	}
	return &Health{options: o, workers: make(map[string]*standing), jobs: make(map[string]*record)}
}

// Failed records that the job failed on the worker and reports whether the
// fault is now known to be the job's, which then gets a final answer.
func (h *Health) Failed(job, worker string, now time.Time) bool {
	r := h.job(job)
	if r.faulty {
		return true
	}
	if !slices.Contains(r.failed, worker) {
		r.failed = append(r.failed, worker)
	}
	s := h.worker(worker)
	if !slices.Contains(s.failed, job) {
		s.failed = append(s.failed, job)
	}
	if len(r.failed) >= h.options.Workers && !r.succeeded {
		r.faulty = true
		h.review(job, r, now)
		return true
	}
	if h.probing(s, now) {
		s.aside, s.probed = now, true
		s.wait = min(2*s.wait, h.options.ProbeAtMost)
		return false
	}
	h.review(job, r, now)
	return false
}

// Succeeded records that the job ended well on the worker, which returns the
// worker to use and puts the job's earlier failures on other workers.
func (h *Health) Succeeded(job, worker string, now time.Time) {
	delete(h.workers, worker)
	r, ok := h.jobs[job]
	if !ok {
		return
	}
	r.succeeded = true
	h.review(job, r, now)
	delete(h.jobs, job)
}

// Forget drops the history of a job that was cancelled or answered. Its
// failures stay with a worker only while the job is not found at fault.
func (h *Health) Forget(job string) {
	delete(h.jobs, job)
}

// Avoid returns the workers on which the job has failed.
func (h *Health) Avoid(job string) []string {
	if r, ok := h.jobs[job]; ok {
		return slices.Clone(r.failed)
	}
	return nil
}

// Status returns whether the worker is set aside or, once its wait is over,
// may be probed with one idempotent task.
//
// A worker for which no such task came within ProbeAtMost returns to use, else
// a large job that needs it would wait without end. Its next failure sets it
// aside again.
func (h *Health) Status(worker string, now time.Time) (setAside, probing bool) {
	s, ok := h.workers[worker]
	if !ok || s.wait == 0 || now.Sub(s.aside) >= s.wait+h.options.ProbeAtMost {
		return false, false
	}
	probing = h.probing(s, now)
	return !probing, probing
}

func (h *Health) probing(s *standing, now time.Time) bool {
	return s.wait > 0 && now.Sub(s.aside) >= s.wait
}

// review counts the failures of the workers that the job has touched again.
func (h *Health) review(job string, r *record, now time.Time) {
	for _, name := range r.failed {
		s, ok := h.workers[name]
		if !ok {
			continue
		}
		if r.faulty {
			s.failed = slices.DeleteFunc(s.failed, func(f string) bool { return f == job })
		}
		switch count := h.count(s); {
		case count >= h.options.Failures && s.wait == 0:
			s.aside, s.wait = now, h.options.ProbeAfter
		case count < h.options.Failures && !s.probed:
			s.wait = 0
		}
	}
}

// count is the number of failures that stand against the worker. A job that
// also failed elsewhere is suspect and counts only once it has succeeded.
func (h *Health) count(s *standing) int {
	n := 0
	for _, job := range s.failed {
		if r, ok := h.jobs[job]; !ok || len(r.failed) == 1 || r.succeeded {
			n++
		}
	}
	return n
}

func (h *Health) worker(name string) *standing {
	s, ok := h.workers[name]
	if !ok {
		s = &standing{}
		h.workers[name] = s
	}
	return s
}

func (h *Health) job(id string) *record {
	r, ok := h.jobs[id]
	if !ok {
		r = &record{}
		h.jobs[id] = r
	}
	return r
}
