package duty

import (
	"time"

	"k8s.io/klog/v2"

	"catkinpoint/graph"
)

const (
	// suspectFailures is how many tasks must fail on a worker, with none succeeding
	// there in between, before it is suspect and banned. A gang counts as one task, or
	// less (see sharedFailure). Tasks that also failed on
	// a healthy worker, which is one that is not on trial, do not count.
	suspectFailures = 2
	// initialBan is how long a suspect worker gets no starts. The ban doubles, up
	// to maxBan, each time that the worker is banned again without a success in
	// between, except while most workers of its service fail (see fewTrusted).
	initialBan = 3 * time.Second
	maxBan     = 30 * time.Second
	// trialPeriod is how long after a ban a worker is on trial and gets one task at
	// a time. After it the worker counts as healthy even if no task succeeded there.
	trialPeriod = 10 * time.Second
	// failureMemory is how long a failure counts against a worker on which no task
	// has succeeded since.
	failureMemory = 15 * time.Second
	// unhealthyBan is the ban after a worker refused a start because it reports
	// itself unhealthy, or for any other reason without a rule of its own.
	unhealthyBan = 1500 * time.Millisecond
	// noRoomBan is the ban after a worker refused a start for lack of free
	// resources.
	noRoomBan = 400 * time.Millisecond
)

// taskKey identifies a task of a known job or, by its first task, a gang. Tasks that last
// have the number of a run too, as each run that fails is another failure of theirs.
type taskKey struct {
	job *job
	ref graph.Ref
	run int64
}

// failure has the failures of a task or gang on a worker.
type failure struct {
	at  time.Duration // the last one
	run int64         // the run of the last one
	// points is what that run counts against the worker, and earlier the sum of the runs before.
	points, earlier int
}

const (
	// fullFailure is what a failed run counts against its worker, and the most that one task
	// or gang counts, however often it fails there.
	fullFailure = 3
	// sharedFailure is what a run of a gang counts against each of several workers on which
	// members failed. It is not known whether the gang or the workers are at fault, so that
	// it takes three such gangs to ban a worker.
	sharedFailure = 2
)

// health is the evidence, from the runs on a worker, on whether tasks fail there
// through its fault and how fast it is.
type health struct {
	// failed holds the tasks and gangs that failed on the worker since the last success
	// there. Tasks that also failed on a healthy worker are not in it.
	failed      map[taskKey]failure
	bannedUntil time.Duration // until then the worker gets no starts
	lastBan     time.Duration // length of the last ban for failed tasks, or 0
	// trialUntil is when the trial ends, unless a task succeeds earlier.
	trialUntil time.Duration
	// samples holds the last slowness of each job that ran on the worker. Several
	// jobs tell a slow worker from a job whose declared run time is too short.
	samples map[*job]slownessSample
}

// banStalled bans a worker on which no run makes progress.
func (h *health) banStalled(worker string, now time.Duration) {
	if now >= h.bannedUntil {
		klog.InfoS("duty: worker stands still", "worker", worker)
	}
	h.bannedUntil = max(h.bannedUntil, now+initialBan)
	h.trialUntil = h.bannedUntil + trialPeriod
}

// taskSucceeded forgets the failures on the worker and ends its trial.
func (h *health) taskSucceeded() {
	h.failed, h.lastBan, h.trialUntil = nil, 0, 0
}

// taskFailed records the failure of a run of a task that has failed on no healthy worker,
// and bans the worker if there are enough of these or it is on trial, unless a
// ban is in force. points is what the failure counts, mayBan is false if it may not lead to
// a ban, and mayGrow is false if the ban is not to be longer than initialBan.
func (h *health) taskFailed(key taskKey, run int64, points int, worker string, now time.Duration, mayBan, mayGrow bool) {
	for failedTask, f := range h.failed {
		if now-f.at > failureMemory {
			delete(h.failed, failedTask)
		}
	}
	if h.failed == nil {
		h.failed = map[taskKey]failure{}
	}
	f := h.failed[key]
	if f.run != run {
		f.earlier += f.points
	}
	f.at, f.run, f.points = now, run, points
	h.failed[key] = f
	if !mayBan || now < h.bannedUntil || !h.suspect() && now >= h.trialUntil {
		return
	}
	h.lastBan = nextBan(h.lastBan, mayGrow)
	h.bannedUntil, h.trialUntil = now+h.lastBan, now+h.lastBan+trialPeriod
	klog.InfoS("duty: worker suspect", "worker", worker, "failed_tasks", len(h.failed), "ban_ms", h.lastBan.Milliseconds())
}

// nextBan returns the length of a ban after one of length last, or 0 for none. Bans grow as
// each shows that the worker is at fault for longer. If most workers fail at a time the cause
// is elsewhere and may end for all of them at once: bans that had grown to 24 s then left
// sound workers idle, with tasks waiting (see fewTrusted).
func nextBan(last time.Duration, mayGrow bool) time.Duration {
	if !mayGrow {
		return initialBan
	}
	return min(maxBan, max(initialBan, 2*last))
}

// points returns what counts against the worker.
func (h *health) points() int {
	sum := 0
	for _, f := range h.failed {
		sum += min(fullFailure, f.points+f.earlier)
	}
	return sum
}

// suspect reports whether enough failures count against the worker to ban it.
func (h *health) suspect() bool { return h.points() >= suspectFailures*fullFailure }

// shareFailure lowers what the failure of a run counts, as members of the gang have failed on
// other workers too, and ends the ban and the trial if they are not justified any more.
func (h *health) shareFailure(key taskKey, run int64, worker string, now time.Duration) {
	f, ok := h.failed[key]
	if !ok || f.run != run {
		return
	}
	wasSuspect := h.suspect()
	f.points = sharedFailure
	h.failed[key] = f
	if wasSuspect {
		h.acquit(worker, now)
	}
}

// withdrawFailure removes the failure of a task that has now failed on a healthy
// worker too, and ends the ban and the trial if too few failures remain to justify
// them.
func (h *health) withdrawFailure(key taskKey, worker string, now time.Duration) {
	if _, ok := h.failed[key]; !ok {
		return
	}
	delete(h.failed, key)
	h.acquit(worker, now)
}

// acquit ends the ban and the trial if there are too few failures.
func (h *health) acquit(worker string, now time.Duration) {
	if !h.suspect() && h.onTrial(now) {
		h.lastBan, h.bannedUntil, h.trialUntil = 0, 0, 0
		klog.InfoS("duty: worker acquitted", "worker", worker, "failed_tasks", len(h.failed))
	}
}

// onTrial reports whether the worker is in a ban for failed tasks or a stall, or in
// the trial period after it, and no task has succeeded there since.
func (h *health) onTrial(now time.Duration) bool { return now < h.trialUntil }

// unreliable reports whether the worker is on trial or has a recent failure, so
// that a task that must not fail again is better placed elsewhere.
func (h *health) unreliable(now time.Duration) bool {
	if h.onTrial(now) {
		return true
	}
	for _, f := range h.failed {
		if now-f.at <= failureMemory {
			return true
		}
	}
	return false
}

// startRefused bans the worker for a while after it refused a start. A refusal
// because of a stop, a stale run or a drain causes no ban.
func (h *health) startRefused(reason string, now time.Duration) {
	ban := unhealthyBan
	switch reason {
	case graph.RefusedNoRoom:
		ban = noRoomBan
	case graph.RefusedStopped, graph.RefusedStaleRun, graph.RefusedDraining:
		return
	}
	h.bannedUntil = max(h.bannedUntil, now+ban)
}
