package place

import (
	"slices"
	"time"
)

// HealthOptions configures Health; a zero field takes its default.
type HealthOptions struct {
	// MaxFailedJobs is the number of distinct jobs that fail on a worker without
	// a success in between until the worker is set aside (default 3).
	MaxFailedJobs int
	// MaxFailedWorkers is the number of attempts of a job that fail, each on another
	// worker, until the job, and not the workers, is considered faulty (default 3).
	MaxFailedWorkers int
	// ProbeAfter is the time from setting a worker aside to its first probe;
	// it doubles with each failed probe (default 30 s).
	ProbeAfter time.Duration
	// MaxProbeWait is the longest time between two probes, and the time for
	// which a worker that may be probed waits for a task (default 10 min).
	MaxProbeWait time.Duration
}

// Health determines from the ends of jobs which workers and which jobs are
// faulty. The present time is always an argument, so that a history can be
// replayed.
type Health struct {
	options HealthOptions
	workers map[string]*workerHistory
	jobs    map[string]*jobHistory
}

// workerHistory is the history of one worker since its last success.
type workerHistory struct {
	failedJobs  []string // distinct jobs; countFailures says which of them count
	setAsideAt  time.Time
	probeWait   time.Duration // zero while the worker is in use
	probeFailed bool          // a probe failed since the worker was set aside
}

// jobHistory is the history of one job.
type jobHistory struct {
	failedWorkers []string // distinct workers
	// spread is the number of attempts that failed on a worker on which no earlier one had.
	spread    int
	succeeded bool // on some worker, so that its failures count against the others
	faulty    bool
}

// NewHealth returns a Health without any history.
func NewHealth(o HealthOptions) *Health {
	if o.MaxFailedJobs == 0 {
		o.MaxFailedJobs = 3
	}
	if o.MaxFailedWorkers == 0 {
		o.MaxFailedWorkers = 3
	}
	if o.ProbeAfter == 0 {
		o.ProbeAfter = 30 * time.Second
	}
	if o.MaxProbeWait == 0 {
		o.MaxProbeWait = 10 * time.Minute
	}
	return &Health{options: o, workers: make(map[string]*workerHistory), jobs: make(map[string]*jobHistory)}
}

// RecordFailure records that an attempt of the job failed on the given workers, one or
// more: members of a gang that fail together are one failure. It reports whether the job is
// now considered faulty; the caller then ends the job instead of retrying it.
func (h *Health) RecordFailure(job string, workers []string, now time.Time) bool {
	j := h.ensureJob(job)
	if j.faulty {
		return true
	}
	known := len(j.failedWorkers)
	for _, worker := range workers {
		if !slices.Contains(j.failedWorkers, worker) {
			j.failedWorkers = append(j.failedWorkers, worker)
		}
		w := h.ensureWorker(worker)
		if !slices.Contains(w.failedJobs, job) {
			w.failedJobs = append(w.failedJobs, job)
		}
	}
	if len(j.failedWorkers) > known {
		j.spread++
	}
	if j.spread >= h.options.MaxFailedWorkers && !j.succeeded {
		j.faulty = true
		h.updateWorkers(job, j, now)
		return true
	}
	for _, worker := range workers {
		if w := h.workers[worker]; h.probing(w, now) {
			w.setAsideAt, w.probeFailed = now, true
			w.probeWait = min(2*w.probeWait, h.options.MaxProbeWait)
		}
	}
	h.updateWorkers(job, j, now)
	return false
}

// RecordSuccess records that the job succeeded on the worker. This returns the
// worker to use, and makes the job's earlier failures count against the other
// workers.
func (h *Health) RecordSuccess(job, worker string, now time.Time) {
	delete(h.workers, worker)
	j, ok := h.jobs[job]
	if !ok {
		return
	}
	j.succeeded = true
	h.updateWorkers(job, j, now)
	delete(h.jobs, job)
}

// ForgetJob drops the history of a job that has ended or was cancelled. Its
// failures still count against the workers, unless the job was found faulty.
func (h *Health) ForgetJob(job string) {
	delete(h.jobs, job)
}

// FailedWorkers returns the workers on which the job has failed.
func (h *Health) FailedWorkers(job string) []string {
	if j, ok := h.jobs[job]; ok {
		return slices.Clone(j.failedWorkers)
	}
	return nil
}

// Status returns whether the worker is set aside and whether, once its wait is
// over, it may be probed with one idempotent task.
//
// A worker that got no such task within MaxProbeWait returns to use; otherwise a
// large job that needs it could wait forever. Its next failure sets it aside
// again.
func (h *Health) Status(worker string, now time.Time) (setAside, probing bool) {
	w, ok := h.workers[worker]
	if !ok || w.probeWait == 0 || now.Sub(w.setAsideAt) >= w.probeWait+h.options.MaxProbeWait {
		return false, false
	}
	probing = h.probing(w, now)
	return !probing, probing
}

// probing reports whether the worker was set aside and its wait for a probe is
// over.
func (h *Health) probing(w *workerHistory, now time.Time) bool {
	return w.probeWait > 0 && now.Sub(w.setAsideAt) >= w.probeWait
}

// updateWorkers recounts the failures of each worker on which the job has failed,
// and sets the worker aside or returns it to use accordingly. The failures of a
// faulty job no longer count.
func (h *Health) updateWorkers(job string, j *jobHistory, now time.Time) {
	for _, name := range j.failedWorkers {
		w, ok := h.workers[name]
		if !ok {
			continue
		}
		if j.faulty {
			w.failedJobs = slices.DeleteFunc(w.failedJobs, func(f string) bool { return f == job })
		}
		switch count := h.countFailures(w); {
		case count >= h.options.MaxFailedJobs && w.probeWait == 0:
			w.setAsideAt, w.probeWait = now, h.options.ProbeAfter
		case count < h.options.MaxFailedJobs && !w.probeFailed:
			w.probeWait = 0
		}
	}
}

// countFailures returns the number of failures that count against the worker. A
// job that has also failed on other workers may be faulty itself and counts only
// once it has succeeded.
func (h *Health) countFailures(w *workerHistory) int {
	n := 0
	for _, job := range w.failedJobs {
		if j, ok := h.jobs[job]; !ok || len(j.failedWorkers) == 1 || j.succeeded {
			n++
		}
	}
	return n
}

func (h *Health) ensureWorker(name string) *workerHistory {
	w, ok := h.workers[name]
	if !ok {
		w = &workerHistory{}
		h.workers[name] = w
	}
	return w
}

func (h *Health) ensureJob(id string) *jobHistory {
	j, ok := h.jobs[id]
	if !ok {
		j = &jobHistory{}
		h.jobs[id] = j
	}
	return j
}
