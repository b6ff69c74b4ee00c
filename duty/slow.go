package duty

import (
	"time"

	"k8s.io/klog/v2"

	"catkinpoint/graph"
)

const (
	// slowReadings is how many slow readings in a row make a run worth moving.
	slowReadings = 2
	// stopTime is the usual time from the order of a stop to the free room.
	stopTime = 600 * time.Millisecond
	// moveGain is how many times sooner a moved run must end.
	moveGain = 1.5
	// maxMoves bounds the stops of one job because of its workers.
	maxMoves = 3
)

// moveSlow stops runs of urgent jobs on workers that stand still or have turned
// slow, so that they start again elsewhere. Work of other queues has time to spare
// and waits for the worker to recover, but nothing more starts on one that stands
// still.
func (st *state) moveSlow(now time.Duration) {
	for _, w := range st.workers {
		list := st.on(w.relay)
		still := standsStill(list)
		if still {
			w.health.standsStill(w.place.Worker, now)
		}
		for _, t := range list {
			j, r := t.job, t.job.runs[t.Ref]
			if r == nil || t.Place != w.place || t.Done || r.stop || j.graph.Over() || j.graph.Spec.GetPriority() != 0 || j.moves >= maxMoves {
				continue
			}
			stalled := still && r.stalled()
			if !stalled && !j.tooSlow(r, w, now) {
				continue
			}
			klog.InfoS("duty: slow run stopped", "job", j.graph.Spec.GetId(), "step", t.Ref.Step, "index", t.Ref.Index,
				"worker", t.Place.Worker, "percent", r.percent, "stalled", stalled, "slowness", r.slowness)
			j.moves++
			st.stopUnit(j, t.Ref)
		}
	}
}

// standsStill tells whether no run on a worker makes progress. A job that has
// been moved and stands still again, alone on its worker, is to blame itself.
func standsStill(runs []placed) bool {
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

// tooSlow tells whether a run would miss its job's objective on a worker that is
// slow and end much sooner elsewhere. Other jobs must be slow there too, or the
// job's declared time is wrong; for the same reason a job moves once.
func (j *job) tooSlow(r *run, w *worker, now time.Duration) bool {
	if j.moves > 0 || r.slowSamples < slowReadings {
		return false
	}
	if slowness, jobs := w.health.besides(j, now); jobs == 0 || slowness < slowRun {
		return false
	}
	objective := time.Duration(graph.ObjectiveMS(j.graph.Spec)) * time.Millisecond
	left := time.Duration(r.slowness * float64(r.expected) * float64(100-r.percent) / 100)
	return now-j.submitted+left >= objective && float64(left) >= moveGain*float64(stopTime+r.expected)
}

// stopUnit stops a task, or its whole gang.
func (st *state) stopUnit(j *job, ref graph.Ref) {
	for _, member := range j.graph.Members(ref) {
		if m := j.graph.Task(member); m != nil && m.Active() && !m.Done {
			st.stop(j, m)
		}
	}
}
