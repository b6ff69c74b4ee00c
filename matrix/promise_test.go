package matrix

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Promise is one of the nine promises.
type Promise string

// The rows of the matrix.
const (
	PromiseReclaim  Promise = "reclaim"  // an urgent job under a guarantee starts in time
	PromiseGang     Promise = "gang"     // the members of a gang run together
	PromiseDrainDC  Promise = "drain_dc" // no starts in a data centre out of service
	PromiseAnswer   Promise = "answer"   // callers get a final, true answer to their own request
	PromiseNotRun   Promise = "not_run"  // a job answered with not_run never starts
	PromiseOnce     Promise = "once"     // a non-idempotent job starts once
	PromiseDrainEP  Promise = "drain_ep" // no starts at a drained endpoint
	PromiseGraceful Promise = "graceful" // a planned stop interrupts nothing
	PromiseConfig   Promise = "config"   // accepted changes are applied everywhere in time
)

// Promises lists the rows of the matrix in their order.
var Promises = []Promise{
	PromiseReclaim, PromiseGang, PromiseDrainDC, PromiseAnswer, PromiseNotRun,
	PromiseOnce, PromiseDrainEP, PromiseGraceful, PromiseConfig,
}

// The bounds of the promises, as on the design page, and of the checks.
const (
	taskLease    = 3 * time.Second
	drainBound   = 3 * time.Second
	configBound  = 5 * time.Second
	reclaimBound = 5 * time.Second // reclaim_within of the guarantee in cluster.ini
	// takeoverTime bounds the time from the loss of a data centre's scheduler to a
	// working successor: the lease of 9 s, up to three refreshes of 2 s until an
	// entry claims the scheduling duty, and 1.2 s in which it waits for reports.
	takeoverTime = 17 * time.Second
	// workerLostTimeout is the silence after which a scheduler forgets a worker.
	workerLostTimeout = 10 * time.Second
	// maxStatusAge bounds the age of the agents' versions in an entry's status: the
	// age of its view of the duties and the period of the agents' reports.
	maxStatusAge = 3 * time.Second
	// stoppedOnRequest is the cause that an endpoint records for a stop on request,
	// such as a preemption.
	stoppedOnRequest = "stopped"
	// timerTolerance is the resolution of the agents' timers plus one message delay.
	timerTolerance = 101 * time.Millisecond
)

// Result holds the observations of one run and the breaches found in them.
type Result struct {
	// Breaches describes the breaches by promise. Promises that held are absent.
	Breaches map[Promise][]string
	// Reached reports whether the step was reached, so that the fault was injected.
	Reached bool
	// Starts and Calls count the task starts and requests that were checked.
	Starts, Calls int

	openRecords          []string // records of jobs that have not ended, for debugging
	cluster              *Cluster
	workload             *Workload
	runs                 []*taskRun          // in the order of their starts
	requests             map[string]*Request // by job id
	targets              []string            // names of the processes that the fault hit
	faultStart, faultEnd time.Time           // zero if the step was not reached
}

// addBreach adds the description of a breach of the promise.
func (r *Result) addBreach(p Promise, format string, args ...any) {
	r.Breaches[p] = append(r.Breaches[p], fmt.Sprintf(format, args...))
}

// formatTime returns t in seconds after the start of the workload.
func (r *Result) formatTime(t time.Time) string {
	return fmt.Sprintf("%.2f s", t.Sub(r.cluster.StartTime).Seconds())
}

// checkPromises checks all promises and fills Breaches, Starts and Calls.
func (r *Result) checkPromises() {
	r.Breaches = make(map[Promise][]string)
	r.runs = r.cluster.taskRuns()
	r.requests = make(map[string]*Request)
	for _, request := range r.workload.requests {
		for _, job := range append(request.NotRunJobs, request.JobID) {
			if job != "" {
				r.requests[job] = request
			}
		}
	}
	r.Starts, r.Calls = len(r.runs), len(r.workload.requests)
	r.checkGangs()
	r.checkOnce()
	r.checkNotRun()
	r.checkAnswers()
	r.checkDataCentreDrain()
	r.checkEndpointDrain()
	r.checkGracefulStops()
	r.checkReclaim()
	r.checkConfig()
}

// attempts returns the task runs of all jobs by attempt.
func (r *Result) attempts() map[string][]*taskRun {
	groups := make(map[string][]*taskRun)
	for _, run := range r.runs {
		groups[run.attempt] = append(groups[run.attempt], run)
	}
	return groups
}

// checkGangs checks that the members of a gang start within the task lease of each
// other and that, once a member does not run, the others stop within the task
// lease. A member that ended as done does not count as missing.
func (r *Result) checkGangs() {
	for attempt, members := range r.attempts() {
		request := r.requests[members[0].job]
		if request == nil || request.Tasks == 1 {
			continue
		}
		brokenAt := members[0].start // if a member never started
		if len(members) == request.Tasks {
			brokenAt = time.Time{}
			for _, m := range members {
				if m.outcome != "done" && !m.end.IsZero() && (brokenAt.IsZero() || m.end.Before(brokenAt)) {
					brokenAt = m.end
				}
			}
			if first, last := members[0].start, members[len(members)-1].start; last.Sub(first) > taskLease {
				r.addBreach(PromiseGang, "%s: members started from %s to %s", attempt, r.formatTime(first), r.formatTime(last))
			}
		}
		for _, m := range members {
			if !brokenAt.IsZero() && m.runningAt(brokenAt.Add(taskLease+timerTolerance)) {
				r.addBreach(PromiseGang, "%s: %d of %d members started, broken at %s, member %d ran until %s",
					attempt, len(members), request.Tasks, r.formatTime(brokenAt), m.rank, r.formatTime(m.end))
			}
		}
	}
}

// checkOnce checks that a non-idempotent job starts in one attempt only, and each
// of its ranks once.
func (r *Result) checkOnce() {
	type taskKey struct {
		job  string
		rank int
	}
	starts := make(map[taskKey]int)
	attempts := make(map[string]string)
	for _, run := range r.runs {
		request := r.requests[run.job]
		if request == nil || !request.NonIdempotent {
			continue
		}
		starts[taskKey{run.job, run.rank}]++
		if n := starts[taskKey{run.job, run.rank}]; n > 1 {
			r.addBreach(PromiseOnce, "%s: rank %d was started %d times", request.Title, run.rank, n)
		}
		if other, ok := attempts[run.job]; ok && other != run.attempt {
			r.addBreach(PromiseOnce, "%s ran in attempts %s and %s", request.Title, other, run.attempt)
		}
		attempts[run.job] = run.attempt
	}
	for _, worker := range r.cluster.agents() {
		if n := r.cluster.endpoint(worker).Violations().DoubleStarts; n > 0 {
			r.addBreach(PromiseOnce, "%d attempts were started twice at %s", n, worker)
		}
	}
}

// checkNotRun checks that no job started of which a caller was told not_run.
func (r *Result) checkNotRun() {
	for _, request := range r.workload.requests {
		for _, job := range request.NotRunJobs {
			for _, run := range r.runs {
				if run.job == job {
					r.addBreach(PromiseNotRun, "%s: job %s was told not_run and started at %s on %s", request.Title, job, r.formatTime(run.start), run.worker)
				}
			}
		}
	}
}

// checkAnswers checks that every caller has a final answer or the fate unknown,
// that the result of a job that is done is the complete one of the caller's own
// request, and that answers agree with the endpoints' records and with each other.
func (r *Result) checkAnswers() {
	fateByJob := make(map[string]string)
	for _, request := range r.workload.requests {
		switch {
		case request.FinalAt.IsZero() && request.Fate != "unknown":
			r.addBreach(PromiseAnswer, "%s: no final answer within %s, last fate %q", request.Title, finalAnswerTimeout, request.Fate)
			continue
		case request.Fate == "done" && !bytes.Equal(request.Result, bytes.Repeat(request.Body, request.Tasks)):
			r.addBreach(PromiseAnswer, "%s: got %d bytes, not the result of its own request", request.Title, len(request.Result))
		case request.Fate == "done" && !r.completedAllTasks(request):
			r.addBreach(PromiseAnswer, "%s: was told done, but no attempt has ended on all %d tasks", request.Title, request.Tasks)
		case request.Fate == "failed" && !slices.ContainsFunc(r.runs, func(run *taskRun) bool { return run.job == request.JobID }):
			r.addBreach(PromiseAnswer, "%s: was told failed, but never ran", request.Title)
		}
		if other, ok := fateByJob[request.JobID]; ok && other != request.Fate {
			r.addBreach(PromiseAnswer, "%s: two callers of job %s were told %s and %s", request.Title, request.JobID, other, request.Fate)
		}
		fateByJob[request.JobID] = request.Fate
	}
}

// completedAllTasks reports whether all tasks of some attempt of the job are done.
func (r *Result) completedAllTasks(request *Request) bool {
	for _, members := range r.attempts() {
		done := 0
		for _, m := range members {
			if m.job == request.JobID && m.outcome == "done" {
				done++
			}
		}
		if done >= request.Tasks {
			return true
		}
	}
	return false
}

// checkDataCentreDrain checks that no task starts in the drained data centre later
// than drainBound after it went out of service, until it returns to service.
func (r *Result) checkDataCentreDrain() {
	var drainedAt time.Time
	heads := r.cluster.headWrites
	for i, h := range heads {
		if h.outOfService == nil {
			continue
		}
		if !*h.outOfService {
			drainedAt = time.Time{}
			continue
		}
		drainedAt = h.at
		until := time.Now()
		for _, next := range heads[i+1:] {
			if next.outOfService != nil && !*next.outOfService {
				until = next.at
				break
			}
		}
		for _, run := range r.runs {
			if strings.HasPrefix(run.worker, drainedDC) && run.start.After(drainedAt.Add(drainBound)) && run.start.Before(until) {
				r.addBreach(PromiseDrainDC, "%s started at %s on %s; the data centre went out of service at %s", run.attempt, r.formatTime(run.start), run.worker, r.formatTime(drainedAt))
			}
		}
	}
	if len(heads) < 3 {
		r.addBreach(PromiseDrainDC, "%d configuration changes took effect, want at least 3, with the data centre's exit from service and its return", len(heads))
	}
}

// checkEndpointDrain checks that no task starts at the drained endpoint later than
// drainBound after its drain began.
func (r *Result) checkEndpointDrain() {
	for _, run := range r.runs {
		if run.worker == r.workload.drainedWorker && run.start.After(r.workload.drainedAt.Add(drainBound)) {
			r.addBreach(PromiseDrainEP, "%s started at %s on %s, which has been draining since %s", run.attempt, r.formatTime(run.start), run.worker, r.formatTime(r.workload.drainedAt))
		}
	}
}

// checkGracefulStops checks that a planned stop interrupts no task and no request,
// apart from those that the fault itself may have interrupted.
func (r *Result) checkGracefulStops() {
	w := r.workload
	for _, run := range r.runs {
		request := r.requests[run.job]
		preempted := request != nil && request.Title == "filler" && run.outcome == stoppedOnRequest
		if request == nil || preempted || request.Title == "cancelled" || request.Tasks > 1 && len(r.targets) > 0 {
			continue
		}
		if run.worker == w.drainedWorker && run.runningAt(w.drainedAt) && run.outcome != "done" && !slices.Contains(r.targets, run.worker) {
			r.addBreach(PromiseGraceful, "%s on %s was interrupted at %s: %s", run.attempt, run.worker, r.formatTime(run.end), run.outcome)
		}
	}
	if w.drainEndedAt.IsZero() {
		r.addBreach(PromiseGraceful, "the drain of %s did not end", w.drainedWorker)
	}
	for _, request := range w.requests {
		if request.BrokenCalls > 0 && len(r.targets) == 0 {
			r.addBreach(PromiseGraceful, "%s: %d requests got no complete answer", request.Title, request.BrokenCalls)
		}
	}
}

// recoveryDeadline returns the time by which the system must have recovered from
// the fault.
func (r *Result) recoveryDeadline() time.Time {
	switch {
	case r.faultEnd.IsZero():
		return r.cluster.StartTime
	case slices.ContainsFunc(r.targets, func(name string) bool { return strings.HasPrefix(name, "entry") }):
		return r.faultEnd.Add(takeoverTime)
	case len(r.targets) > 0:
		return r.faultEnd.Add(workerLostTimeout)
	}
	return r.faultEnd.Add(drainBound)
}

// laterOf returns the later of two times.
func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// checkReclaim checks that the urgent jobs of the customer with the guarantee start
// within reclaimBound, counted from the request or from the recovery after the fault.
func (r *Result) checkReclaim() {
	for _, request := range r.workload.requests {
		if request.Title != "urgent" {
			continue
		}
		boundStart := request.SentAt
		if request.BrokenCalls > 0 {
			boundStart = request.LastSentAt // the fault broke the caller's own connection
		}
		if r.faultStart.Before(boundStart.Add(reclaimBound)) {
			boundStart = laterOf(boundStart, r.recoveryDeadline())
		}
		i := slices.IndexFunc(r.runs, func(run *taskRun) bool { return run.job == request.JobID })
		switch {
		case i < 0:
			r.addBreach(PromiseReclaim, "the urgent job did not run, its fate is %q", request.Fate)
		case r.runs[i].start.After(boundStart.Add(reclaimBound)):
			r.addBreach(PromiseReclaim, "the urgent job that was submitted at %s started at %s", r.formatTime(request.SentAt), r.formatTime(r.runs[i].start))
		}
	}
}

// checkConfig checks that the configuration version of an entry never decreases,
// that every entry and its agents apply an accepted change in time, and that each
// change takes effect once, with the version that its operator was told.
func (r *Result) checkConfig() {
	for _, c := range r.workload.changes {
		i := slices.IndexFunc(r.cluster.headWrites, func(h headWrite) bool { return h.version == c.version })
		if i < 0 || r.cluster.headWrites[i].change != c.id {
			r.addBreach(PromiseConfig, "change %s was accepted as version %d, but was not written to the store with it", c.id, c.version)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.workload.samples)) {
		last := versionSample{}
		for _, v := range r.workload.samples[name] {
			if v.entryVersion < last.entryVersion {
				r.addBreach(PromiseConfig, "%s went from version %d back to %d at %s", name, last.entryVersion, v.entryVersion, r.formatTime(v.at))
			}
			last = v
			r.checkVersionApplied(name, v)
		}
	}
	versions := make(map[string]int64)
	for _, h := range r.cluster.headWrites {
		if old, ok := versions[h.change]; ok {
			r.addBreach(PromiseConfig, "change %s took effect twice, as versions %d and %d", h.change, old, h.version)
		}
		versions[h.change] = h.version
	}
}

// checkVersionApplied checks one sample of an entry's status against all accepted
// changes that must be applied by then. Versions of agents are not checked while
// the lowest may still be that of the drained agent, which its scheduler forgets
// after workerLostTimeout.
func (r *Result) checkVersionApplied(name string, v versionSample) {
	for _, c := range r.workload.changes {
		due := c.at.Add(configBound)
		if r.faultStart.Before(due) {
			due = laterOf(due, r.recoveryDeadline().Add(configBound))
		}
		if !v.at.After(due) {
			continue
		}
		if v.entryVersion < c.version {
			r.addBreach(PromiseConfig, "%s has version %d at %s; %d was accepted at %s", name, v.entryVersion, r.formatTime(v.at), c.version, r.formatTime(c.at))
		}
		mayCountDrained := !r.workload.drainEndedAt.IsZero() && v.at.Before(r.workload.drainEndedAt.Add(workerLostTimeout+maxStatusAge))
		if v.agentVersion >= 0 && v.agentVersion < c.version && !mayCountDrained {
			r.addBreach(PromiseConfig, "an agent of %s has version %d at %s; %d was accepted at %s", name, v.agentVersion, r.formatTime(v.at), c.version, r.formatTime(c.at))
		}
	}
}
