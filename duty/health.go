package duty

import (
	"time"

	"k8s.io/klog/v2"

	"catkinpoint/graph"
)

const (
	// suspectAfter is how many tasks in a row must fail on a worker, none of which
	// has failed on a sound one, to make it suspect.
	suspectAfter = 2
	// firstBan is how long a suspect worker gets no work; it doubles each time
	// that the worker proves no better after it.
	firstBan = 3 * time.Second
	maxBan   = 30 * time.Second
	// trialTime is how long after a ban a worker is tried with one task at a time
	// before it counts as sound without a proof.
	trialTime = 10 * time.Second
	// doubtTime is how long a failure counts against a worker on which nothing
	// has ended well since.
	doubtTime = 15 * time.Second
	// unhealthyBan follows a worker's own word that it is not healthy.
	unhealthyBan = 1500 * time.Millisecond
	// roomBan follows a rejection for want of room.
	roomBan = 400 * time.Millisecond
)

// taskKey names a task of a known job.
type taskKey struct {
	job *job
	ref graph.Ref
}

// health is what a worker's runs say of it.
type health struct {
	// failed has the tasks that failed on the worker since one ended well there,
	// with when they did; those that fail on sound workers too are left out.
	failed      map[taskKey]time.Duration
	bannedUntil time.Duration
	ban         time.Duration
	// trialUntil is how long the worker is on trial, unless a task ends well.
	trialUntil time.Duration
	// speeds are the last of each job that ran there, which tells a slow worker
	// from a job whose declared time is wrong.
	speeds map[*job]speed
}

// standsStill takes it that no run on the worker makes progress.
func (h *health) standsStill(worker string, now time.Duration) {
	if now >= h.bannedUntil {
		klog.InfoS("duty: worker stands still", "worker", worker)
	}
	h.bannedUntil = max(h.bannedUntil, now+firstBan)
	h.trialUntil = h.bannedUntil + trialTime
}

// endedWell clears the worker of what was held against it.
func (h *health) endedWell() {
	h.failed, h.ban, h.trialUntil = nil, 0, 0
}

// taskFailed takes the failure of a task that has failed on no sound worker.
func (h *health) taskFailed(key taskKey, worker string, now time.Duration) {
	for k, at := range h.failed {
		if now-at > doubtTime {
			delete(h.failed, k)
		}
	}
	if h.failed == nil {
		h.failed = map[taskKey]time.Duration{}
	}
	h.failed[key] = now
	if now < h.bannedUntil || len(h.failed) < suspectAfter && now >= h.trialUntil {
		return
	}
	h.ban = min(maxBan, max(firstBan, 2*h.ban))
	h.bannedUntil, h.trialUntil = now+h.ban, now+h.ban+trialTime
	klog.InfoS("duty: worker suspect", "worker", worker, "failed_tasks", len(h.failed), "ban_ms", h.ban.Milliseconds())
}

// acquit takes back the failure of a task that has failed on a sound worker too,
// and lifts a ban that rests on it.
func (h *health) acquit(key taskKey, worker string, now time.Duration) {
	if _, ok := h.failed[key]; !ok {
		return
	}
	delete(h.failed, key)
	if len(h.failed) < suspectAfter && h.onTrial(now) {
		h.ban, h.bannedUntil, h.trialUntil = 0, 0, 0
		klog.InfoS("duty: worker acquitted", "worker", worker, "failed_tasks", len(h.failed))
	}
}

// onTrial tells whether the worker has to prove that it is sound again.
func (h *health) onTrial(now time.Duration) bool { return now < h.trialUntil }

// doubtful tells whether a task that must not fail again is better off elsewhere.
func (h *health) doubtful(now time.Duration) bool {
	if h.onTrial(now) {
		return true
	}
	for _, at := range h.failed {
		if now-at <= doubtTime {
			return true
		}
	}
	return false
}

// refused takes a rejected start.
func (h *health) refused(reason string, now time.Duration) {
	ban := unhealthyBan
	switch reason {
	case graph.RefusedRoom:
		ban = roomBan
	case graph.RefusedStopped, graph.RefusedRun, graph.RefusedDraining:
		return
	}
	h.bannedUntil = max(h.bannedUntil, now+ban)
}
