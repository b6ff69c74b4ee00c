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
	PromiseReclaim  Promise = "reclaim"
	PromiseGang     Promise = "gang"
	PromiseDrainDC  Promise = "drain_dc"
	PromiseAnswer   Promise = "answer"
	PromiseNotRun   Promise = "not_run"
	PromiseOnce     Promise = "once"
	PromiseDrainEP  Promise = "drain_ep"
	PromiseGraceful Promise = "graceful"
	PromiseConfig   Promise = "config"
)

// Promises lists all rows.
var Promises = []Promise{
	PromiseReclaim, PromiseGang, PromiseDrainDC, PromiseAnswer, PromiseNotRun,
	PromiseOnce, PromiseDrainEP, PromiseGraceful, PromiseConfig,
}

// The bounds of the design page.
const (
	taskLease    = 3 * time.Second
	drainBound   = 3 * time.Second
	configBound  = 5 * time.Second
	reclaimBound = 5 * time.Second // reclaim_within of the world's guarantee
	// takeover is the time in which a duty changes hands: the lease of 9 s, up
	// to three refreshes of 2 s until an entry is willing, and 1.2 s to settle.
	takeover = 17 * time.Second
	// workerLost is when a scheduler forgets a silent worker.
	workerLost = 10 * time.Second
	// shownAfter is how old an entry's view of the duties may be, with a report.
	shownAfter = 3 * time.Second
	// stoppedByCaller is the endpoint's cause of a stop on request, such as a preemption.
	stoppedByCaller = "stopped"
	// grain is the resolution of the agents' time limits and one delay.
	grain = 101 * time.Millisecond
)

// Result is what one run showed.
type Result struct {
	// Breaches lists the broken promises; a kept promise is missing.
	Breaches map[Promise][]string
	// Reached says whether the step was reached, so that the fault was injected.
	Reached bool
	// Proof counts what the verdicts rest on.
	Starts, Calls int

	records  []string // of jobs that have not ended, for the search for causes
	world    *World
	script   *Script
	list     []*piece
	told     map[string]*Told // by job
	hit      []string         // processes on which the fault fell
	from, to time.Time        // of the fault
}

func (r *Result) breach(p Promise, format string, args ...any) {
	r.Breaches[p] = append(r.Breaches[p], fmt.Sprintf(format, args...))
}

// at is a moment as breaches show it, in seconds after the script's start.
func (r *Result) at(t time.Time) string {
	return fmt.Sprintf("%.2f s", t.Sub(r.world.Began).Seconds())
}

// judge looks for breaches of all promises.
func (r *Result) judge() {
	r.Breaches = make(map[Promise][]string)
	r.list = r.world.pieces()
	r.told = make(map[string]*Told)
	for _, t := range r.script.told {
		for _, job := range append(t.Refused, t.Job) {
			if job != "" {
				r.told[job] = t
			}
		}
	}
	r.Starts, r.Calls = len(r.list), len(r.script.told)
	r.judgeGangs()
	r.judgeOnce()
	r.judgeNotRun()
	r.judgeAnswers()
	r.judgeDrainDC()
	r.judgeDrainEP()
	r.judgeGraceful()
	r.judgeReclaim()
	r.judgeConfig()
}

// attempts groups the pieces of the jobs with several tasks, or of all jobs.
func (r *Result) attempts() map[string][]*piece {
	groups := make(map[string][]*piece)
	for _, p := range r.list {
		groups[p.attempt] = append(groups[p.attempt], p)
	}
	return groups
}

// judgeGangs: once a member does not run, the others run no longer than the
// task lease, except after an end of its own.
func (r *Result) judgeGangs() {
	for attempt, members := range r.attempts() {
		t := r.told[members[0].job]
		if t == nil || t.Tasks == 1 {
			continue
		}
		broken := members[0].start // a member that never started
		if len(members) == t.Tasks {
			broken = time.Time{}
			for _, m := range members {
				if m.how != "done" && !m.end.IsZero() && (broken.IsZero() || m.end.Before(broken)) {
					broken = m.end
				}
			}
			if first, last := members[0].start, members[len(members)-1].start; last.Sub(first) > taskLease {
				r.breach(PromiseGang, "%s: members started from %s to %s", attempt, r.at(first), r.at(last))
			}
		}
		for _, m := range members {
			if !broken.IsZero() && m.runsAt(broken.Add(taskLease+grain)) {
				r.breach(PromiseGang, "%s: %d of %d members started, broken at %s, member %d ran until %s",
					attempt, len(members), t.Tasks, r.at(broken), m.rank, r.at(m.end))
			}
		}
	}
}

// judgeOnce: a non-idempotent job has starts in one attempt only, each rank once.
func (r *Result) judgeOnce() {
	type rank struct {
		job  string
		rank int
	}
	starts := make(map[rank]int)
	attempts := make(map[string]string)
	for _, p := range r.list {
		t := r.told[p.job]
		if t == nil || !t.Once {
			continue
		}
		starts[rank{p.job, p.rank}]++
		if n := starts[rank{p.job, p.rank}]; n > 1 {
			r.breach(PromiseOnce, "%s: rank %d was started %d times", t.Title, p.rank, n)
		}
		if other, ok := attempts[p.job]; ok && other != p.attempt {
			r.breach(PromiseOnce, "%s ran in attempts %s and %s", t.Title, other, p.attempt)
		}
		attempts[p.job] = p.attempt
	}
	for _, worker := range r.world.agents() {
		if n := r.world.endpoint(worker).Violations().DoubleStarts; n > 0 {
			r.breach(PromiseOnce, "%d attempts were started twice at %s", n, worker)
		}
	}
}

func (r *Result) judgeNotRun() {
	for _, t := range r.script.told {
		for _, job := range t.Refused {
			for _, p := range r.list {
				if p.job == job {
					r.breach(PromiseNotRun, "%s: job %s was told not_run and started at %s on %s", t.Title, job, r.at(p.start), p.worker)
				}
			}
		}
	}
}

// judgeAnswers: every caller has a final answer, a whole result is the own one,
// and answers agree with the records of the endpoints.
func (r *Result) judgeAnswers() {
	byJob := make(map[string]string)
	for _, t := range r.script.told {
		switch {
		case t.Final.IsZero() && t.Fate != "unknown":
			r.breach(PromiseAnswer, "%s: no final answer within %s, last fate %q", t.Title, patience, t.Fate)
			continue
		case t.Fate == "done" && !bytes.Equal(t.Result, bytes.Repeat(t.Body, t.Tasks)):
			r.breach(PromiseAnswer, "%s: got %d bytes, not the result of its own request", t.Title, len(t.Result))
		case t.Fate == "done" && !r.ranWhole(t):
			r.breach(PromiseAnswer, "%s: was told done, but no attempt has ended on all %d tasks", t.Title, t.Tasks)
		case t.Fate == "failed" && !slices.ContainsFunc(r.list, func(p *piece) bool { return p.job == t.Job }):
			r.breach(PromiseAnswer, "%s: was told failed, but never ran", t.Title)
		}
		if other, ok := byJob[t.Job]; ok && other != t.Fate {
			r.breach(PromiseAnswer, "%s: two callers of job %s were told %s and %s", t.Title, t.Job, other, t.Fate)
		}
		byJob[t.Job] = t.Fate
	}
}

// ranWhole says whether some attempt of the job has ended as done on all tasks.
func (r *Result) ranWhole(t *Told) bool {
	for _, members := range r.attempts() {
		done := 0
		for _, m := range members {
			if m.job == t.Job && m.how == "done" {
				done++
			}
		}
		if done >= t.Tasks {
			return true
		}
	}
	return false
}

// judgeDrainDC: no start later than the bound after the data centre left, until
// it returned.
func (r *Result) judgeDrainDC() {
	var left time.Time
	heads := r.world.heads
	for i, h := range heads {
		if h.out == nil {
			continue
		}
		if !*h.out {
			left = time.Time{}
			continue
		}
		left = h.at
		until := time.Now()
		for _, later := range heads[i+1:] {
			if later.out != nil && !*later.out {
				until = later.at
				break
			}
		}
		for _, p := range r.list {
			if strings.HasPrefix(p.worker, away) && p.start.After(left.Add(drainBound)) && p.start.Before(until) {
				r.breach(PromiseDrainDC, "%s started at %s on %s; the data centre left at %s", p.attempt, r.at(p.start), p.worker, r.at(left))
			}
		}
	}
	if len(heads) < 3 {
		r.breach(PromiseDrainDC, "the data centre did not leave and return: %d changes took effect", len(heads))
	}
}

func (r *Result) judgeDrainEP() {
	for _, p := range r.list {
		if p.worker == r.script.drained && p.start.After(r.script.drainedAt.Add(drainBound)) {
			r.breach(PromiseDrainEP, "%s started at %s on %s, which drains since %s", p.attempt, r.at(p.start), p.worker, r.at(r.script.drainedAt))
		}
	}
}

// judgeGraceful: a planned stop interrupts nothing that runs; what the fault
// itself interrupts is left out.
func (r *Result) judgeGraceful() {
	s := r.script
	for _, p := range r.list {
		t := r.told[p.job]
		preempted := t != nil && t.Title == "filler" && p.how == stoppedByCaller
		if t == nil || preempted || t.Title == "cancelled" || t.Tasks > 1 && len(r.hit) > 0 {
			continue
		}
		if p.worker == s.drained && p.runsAt(s.drainedAt) && p.how != "done" && !slices.Contains(r.hit, p.worker) {
			r.breach(PromiseGraceful, "%s on %s was interrupted at %s: %s", p.attempt, p.worker, r.at(p.end), p.how)
		}
	}
	if s.left.IsZero() {
		r.breach(PromiseGraceful, "the drain of %s did not end", s.drained)
	}
	for _, t := range s.told {
		if t.Broken > 0 && len(r.hit) == 0 {
			r.breach(PromiseGraceful, "%s: %d requests were broken off", t.Title, t.Broken)
		}
	}
}

// disturbedUntil is when the system must have recovered from the fault.
func (r *Result) disturbedUntil() time.Time {
	switch {
	case r.to.IsZero():
		return r.world.Began
	case slices.ContainsFunc(r.hit, func(name string) bool { return strings.HasPrefix(name, "entry") }):
		return r.to.Add(takeover)
	case len(r.hit) > 0:
		return r.to.Add(workerLost)
	}
	return r.to.Add(drainBound)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// judgeReclaim: the urgent job of the guarantee's holder runs within the
// guarantee's time, or within that time after the fault.
func (r *Result) judgeReclaim() {
	for _, t := range r.script.told {
		if t.Title != "urgent" {
			continue
		}
		since := t.Sent
		if t.Broken > 0 {
			since = t.Asked // the fault fell on the caller's own connection
		}
		if r.from.Before(since.Add(reclaimBound)) {
			since = later(since, r.disturbedUntil())
		}
		i := slices.IndexFunc(r.list, func(p *piece) bool { return p.job == t.Job })
		switch {
		case i < 0:
			r.breach(PromiseReclaim, "the urgent job did not run, its fate is %q", t.Fate)
		case r.list[i].start.After(since.Add(reclaimBound)):
			r.breach(PromiseReclaim, "the urgent job of %s started at %s", r.at(t.Sent), r.at(r.list[i].start))
		}
	}
}

// judgeConfig: versions never fall, and an accepted change is in force at every
// entry and its agents in time; each change has one version.
func (r *Result) judgeConfig() {
	for _, c := range r.script.changes {
		i := slices.IndexFunc(r.world.heads, func(h headWrite) bool { return h.version == c.version })
		if i < 0 || r.world.heads[i].change != c.id {
			r.breach(PromiseConfig, "change %s was accepted as version %d, which the store has not seen", c.id, c.version)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.script.seen)) {
		last := seenVersion{}
		for _, v := range r.script.seen[name] {
			if v.entry < last.entry {
				r.breach(PromiseConfig, "%s went from version %d back to %d at %s", name, last.entry, v.entry, r.at(v.at))
			}
			last = v
			r.judgeSeen(name, v)
		}
	}
	versions := make(map[string]int64)
	for _, h := range r.world.heads {
		if old, ok := versions[h.change]; ok {
			r.breach(PromiseConfig, "change %s took effect twice, as versions %d and %d", h.change, old, h.version)
		}
		versions[h.change] = h.version
	}
}

func (r *Result) judgeSeen(name string, v seenVersion) {
	for _, c := range r.script.changes {
		due := c.at.Add(configBound)
		if r.from.Before(due) {
			due = later(due, r.disturbedUntil().Add(configBound))
		}
		if !v.at.After(due) {
			continue
		}
		if v.entry < c.version {
			r.breach(PromiseConfig, "%s has version %d at %s; %d was accepted at %s", name, v.entry, r.at(v.at), c.version, r.at(c.at))
		}
		gone := !r.script.left.IsZero() && v.at.Before(r.script.left.Add(workerLost+shownAfter))
		if v.agents >= 0 && v.agents < c.version && !gone {
			r.breach(PromiseConfig, "an agent of %s has version %d at %s; %d was accepted at %s", name, v.agents, r.at(v.at), c.version, r.at(c.at))
		}
	}
}
