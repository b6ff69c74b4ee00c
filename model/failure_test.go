package model

import (
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"catkinpoint/flow"
	"catkinpoint/graph"
)

const (
	// minAttempts and maxAttempts limit the attempts of the jobs that have few.
	minAttempts = 2
	maxAttempts = 5
	// maxGangSize is the largest number of members of a gang of which runs fail. It is above
	// machineCount, so that members share workers.
	maxGangSize = 7
	// maxTimeToFailure bounds how long a gang works before a member fails, so that a job can
	// use up its attempts within finishTime.
	maxTimeToFailure = 3 * time.Second
	// maxBreakDelay bounds the time from the first failure in a run of a gang until the other
	// members end as broken.
	maxBreakDelay = 60 * time.Millisecond
	// minCrashes is the number of crashes of workers under a task from which on its job may be
	// given up for that reason.
	minCrashes = 2
	// endlessFailures is more than the number of runs of any gang.
	endlessFailures = 60
)

// gangFailure is how one run of a gang fails after all its members have begun.
type gangFailure struct {
	after time.Duration // until the first member fails
	// members are the members that fail, and how long after the first one.
	members map[int32]time.Duration
	// breakDelay is how long after the first failure the other members end as broken.
	breakDelay time.Duration
}

// drawFailures draws the attempts of a job, and the failures of its gangs: no run, some
// runs but fewer than the attempts, or all of them. The draw depends only on the seed and
// the job. The caller holds the lock.
func (w *world) drawFailures(job *flow.Job) {
	h := fnv.New64a()
	fmt.Fprint(h, job.GetId())
	rng := rand.New(rand.NewPCG(w.seed, h.Sum64()))
	if rng.IntN(4) > 0 {
		job.MaxAttempts = int32(minAttempts + rng.IntN(maxAttempts-minAttempts+1))
	}
	for s, step := range job.GetSteps() {
		if !step.GetGang() {
			continue
		}
		step.Count = int32(1 + rng.IntN(maxGangSize))
		failing := 0
		switch n := rng.IntN(4); {
		case n == 0:
		case n == 1 && job.GetMaxAttempts() <= maxAttempts:
			failing = endlessFailures
		default:
			failing = 1 + rng.IntN(min(int(job.GetMaxAttempts()), maxAttempts)-1)
		}
		unit := gangName(job.GetId(), graph.Ref{Step: int32(s)})
		for range failing {
			w.gangFailures[unit] = append(w.gangFailures[unit], drawFailure(rng, step.GetCount()))
		}
	}
}

// drawFailure draws how a run of a gang fails. In half of the cases all members that fail
// do so at the same instant.
func drawFailure(rng *rand.Rand, size int32) gangFailure {
	f := gangFailure{after: time.Duration(rng.Int64N(int64(maxTimeToFailure))), members: map[int32]time.Duration{}}
	if rng.IntN(2) == 0 {
		f.breakDelay = time.Duration(rng.Int64N(int64(maxBreakDelay)))
	}
	for i, member := range rng.Perm(int(size))[:1+rng.IntN(int(size))] {
		delay := time.Duration(0)
		if i > 0 && f.breakDelay > 0 {
			delay = time.Duration(rng.Int64N(int64(f.breakDelay)))
		}
		f.members[int32(member)] = delay
	}
	return f
}

// nextFailure returns how a run of a gang whose members have all begun fails, and false if
// it succeeds. The caller holds the lock.
func (w *world) nextFailure(unit string) (gangFailure, bool) {
	failures := w.gangFailures[unit]
	if len(failures) == 0 {
		return gangFailure{}, false
	}
	w.gangFailures[unit] = failures[1:]
	return failures[0], true
}

// failMembers has members of a gang fail. The others end as broken once all that fail have
// done so. The caller holds the lock.
func (w *world) failMembers(g *gang, f gangFailure) {
	for index, delay := range f.members {
		r := g.present[g.tasks[index]]
		w.after(f.after+delay, func() {
			if g.over && !g.failing {
				return // it has ended for another reason
			}
			g.over, g.failing = true, true
			w.endIfRunning(r, graph.EndFailed)
		})
	}
	w.after(f.after+f.breakDelay+time.Microsecond, func() {
		if !g.failing {
			return
		}
		for _, member := range g.present {
			w.endIfRunning(member, graph.EndGangBroken)
		}
	})
}

// failedRuns returns the runs of a unit that have ended failed until a time, without a run
// that is left out (0: none), and those of them of which such an end was taken note of. A
// run of a gang fails once, however many of its members do.
//
// A failure surely counts if observed has reached it before the lease of its worker lapsed:
// only a scheduler that has stored the end lets observed reach it. That holds for late ends
// too, of a run that was taken as over since its worker was taken as gone. A failure that
// its worker has listed until its lease lapsed, or until its process ended, only may count:
// the scheduler may have received it before, or have taken the run as unreachable.
func (r *record) failedRuns(unit string, until time.Time, except int64) (failed, noted map[int64]bool) {
	failed, noted = map[int64]bool{}, map[int64]bool{}
	for _, n := range r.byUnit[unit] {
		if n.how != graph.EndFailed || n.run == except || n.ended.After(until) {
			continue
		}
		failed[n.run] = true
		if n.noted {
			noted[n.run] = true
		}
	}
	return failed, noted
}

// checkAttempts checks that no run begins after as many runs of its unit have ended failed
// as the job allows, if these ends were taken note of then or later. The other members of
// the last of these runs may still begin, as they do not make another attempt.
func (w *world) checkAttempts() {
	for _, unit := range slices.Sorted(maps.Keys(w.rec.byUnit)) {
		for _, n := range w.rec.byUnit[unit] {
			_, _, id := w.stepOf(n.task)
			attempts := int(w.jobs[id].GetMaxAttempts())
			if _, noted := w.rec.failedRuns(unit, n.began.Add(-1), n.run); len(noted) >= attempts {
				w.rec.violate(ruleBudget, n.task, "run %d begins on %s at %.3f, after runs %v of %d attempts have ended failed",
					n.run, n.process, n.began.Sub(w.rec.began).Seconds(), slices.Sorted(maps.Keys(noted)), attempts)
			}
		}
	}
}

// checkOutcome checks the phase in which a job is stored at the end. It may have failed only
// if the attempts of a task or gang are used up, whether or not all failures were taken note
// of, or if workers have crashed under a task at least twice. Of crashes only those count that
// ended a run: a run whose start was never carried out can't have caused one, also if the
// call had no answer. A job may be completed only if each task or gang has been done, and
// cancelled only if a caller has cancelled it.
func (w *world) checkOutcome(id string, phase flow.Phase) {
	job := w.jobs[id]
	var tasks []string
	counts := map[string]string{} // by unit
	crashes := map[string]int{}   // by task
	usedUp, done := false, true
	for s, step := range job.GetSteps() {
		for i := range step.GetCount() {
			task := graph.TaskName(id, graph.Ref{Step: int32(s), Index: i})
			unit := w.unitOf(task)
			failed, noted := w.rec.failedRuns(unit, time.Now(), 0)
			if n := countEnds(w.rec.byTask[task], endCrash); n > 0 {
				crashes[task] = n
			}
			unitDone := countEnds(w.rec.byUnit[unit], graph.EndDone) > 0
			usedUp = usedUp || len(failed) >= int(job.GetMaxAttempts()) || crashes[task] >= minCrashes
			done = done && unitDone
			tasks = append(tasks, task)
			counts[unit] = fmt.Sprintf("failed runs %v, taken note of %v, done %v", slices.Sorted(maps.Keys(failed)), slices.Sorted(maps.Keys(noted)), unitDone)
		}
	}
	unfounded := map[flow.Phase]bool{flow.Phase_FAILED: !usedUp, flow.Phase_COMPLETED: !done, flow.Phase_CANCELLED: !w.cancelled[id]}
	if !unfounded[phase] {
		return
	}
	w.rec.violate(ruleLost, tasks[0], "the job, with %d attempts, is stored as %v: %v, crashes %v", job.GetMaxAttempts(), phase, counts, crashes)
	for _, task := range tasks {
		w.rec.suspects[task] = true
	}
}

// countEnds returns how many of the runs have ended in a way.
func countEnds(runs []*taskRun, how string) int {
	n := 0
	for _, r := range runs {
		if r.how == how {
			n++
		}
	}
	return n
}
