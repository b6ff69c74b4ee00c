package duty

import (
	"time"

	"k8s.io/klog/v2"

	"catkinpoint/graph"
)

const (
	// minSlowSamples is how many slow samples in a row a run needs to be moved.
	minSlowSamples = 2
	// typicalStopTime is the usual time from the order of a stop until the run's
	// resources are free.
	typicalStopTime = 600 * time.Millisecond
	// minMoveGain is the least ratio, for a run to be moved, of its remaining time
	// on the slow worker to the time of a stop and a new run on a healthy worker.
	minMoveGain = 1.5
	// maxMoves bounds how many times runs of one job are stopped because a worker of
	// theirs is slow or stalled.
	maxMoves = 3
)

// moveSlowRuns stops runs of urgent jobs (priority 0) on workers that are stalled
// or have become slow, so that they restart elsewhere. Jobs of other priorities
// have time to spare: their runs stay until the worker recovers. Nothing more is
// started on a stalled worker.
func (st *state) moveSlowRuns(now time.Duration) {
	for _, w := range st.workers {
		list := st.activeOn(w.relay)
		workerStalled := allStalled(list)
		if workerStalled {
			w.health.banStalled(w.place.Worker, now)
		}
		moved := map[*job]bool{} // all runs of a job on one worker are one move
		for _, t := range list {
			j, r := t.job, t.job.runs[t.Ref]
			if r == nil || t.Place != w.place || t.Done || r.stopOrdered || j.graph.Ended() || j.graph.Spec.GetPriority() != 0 || j.moves >= maxMoves && !moved[j] {
				continue
			}
			stalled := workerStalled && r.stalled()
			if !stalled && !st.worthMoving(j, r, w, now) {
				continue
			}
			klog.InfoS("duty: slow run stopped", "job", j.graph.Spec.GetId(), "step", t.Ref.Step, "index", t.Ref.Index,
				"worker", t.Place.Worker, "percent", r.percent, "stalled", stalled, "slowness", r.slowness)
			if !moved[j] {
				j.moves, moved[j] = j.moves+1, true
			}
			st.stopUnit(j, t.Ref)
		}
	}
}

// allStalled reports whether runs have begun on a worker and none of them makes
// progress. It reports false for a job that was moved before and is stalled again
// alone on its worker: then the job itself is the likely cause.
func allStalled(runs []activeTask) bool {
	jobs := map[*job]bool{}
	for _, t := range runs {
		r := t.job.runs[t.Ref]
		if r == nil || t.Done || r.begunAt == 0 || r.percent >= 100 {
			continue
		}
		if !r.stalled() {
			return false
		}
		jobs[t.job] = true
	}
	for j := range jobs {
		return len(jobs) > 1 || j.moves == 0
	}
	return false
}

// worthMoving reports whether a run would miss its job's objective on a slow worker
// and would end much sooner elsewhere. Other jobs must be slow on the worker too,
// as otherwise the job's declared run time is probably too short. For the same
// reason a job is moved for slowness only once.
func (st *state) worthMoving(j *job, r *run, w *worker, now time.Duration) bool {
	if j.moves > 0 || r.slowSamples < minSlowSamples {
		return false
	}
	if slowness, jobs := w.health.slownessOfOthers(j, now); jobs == 0 || slowness < slowThreshold {
		return false
	}
	objective := st.objectiveOf(j)
	left := time.Duration(r.slowness * float64(r.expectedTime) * float64(100-r.percent) / 100)
	return now-j.submitted+left >= objective && float64(left) >= minMoveGain*float64(typicalStopTime+r.typicalTime())
}

// stopUnit orders a stop of a task's run, or of all runs of its gang.
func (st *state) stopUnit(j *job, ref graph.Ref) {
	for _, member := range j.graph.Members(ref) {
		if m := j.graph.Task(member); m != nil && m.Active() && !m.Done {
			st.orderStop(j, m)
		}
	}
}
