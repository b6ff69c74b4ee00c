package duty

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"catkinpoint/clock"
	"catkinpoint/flow"
	"catkinpoint/graph"
)

// lateCallTime is how long a call to a worker that had no answer may still be carried out.
const lateCallTime = 15 * time.Second

// listedEnds are the ends that a worker lists itself.
var listedEnds = []string{
	graph.EndDone, graph.EndFailed, graph.EndStopped, graph.EndLeaseExpired, graph.EndGangBroken, graph.EndGangIncomplete,
}

// conclusion is how and when a run was taken as over although its worker had not listed
// its end.
type conclusion struct {
	run int64
	how string
	at  time.Duration
	// contradicted is set once the worker has listed the run, as running or with its end.
	contradicted bool
}

// recordConclusion remembers that a run is taken as over, unless its worker listed the end.
func (j *job) recordConclusion(ref graph.Ref, run int64, how string) {
	if !slices.Contains(listedEnds, how) {
		j.concluded[ref] = conclusion{run: run, how: how, at: clock.Monotonic()}
	}
}

// reportContradiction logs that a worker lists a run, as running or with how it ended,
// that this scheduler had taken as over: the task may have been started again since.
func (j *job) reportContradiction(w *worker, ref graph.Ref, run int64, listedAs string) {
	c, ok := j.concluded[ref]
	if !ok || c.run != run {
		return
	}
	if !c.contradicted {
		count(contradictionsCounter, 1, "how", c.how)
		c.contradicted = true
		j.concluded[ref] = c
	}
	klog.InfoS("duty: worker lists a run that was over", "job", j.graph.Spec.GetId(), "step", ref.Step, "index", ref.Index, "occurrence", ref.Occurrence,
		"run", run, "listed", listedAs, "over", c.how, "ago_ms", (clock.Monotonic() - c.at).Milliseconds(), "last_run", j.graph.Task(ref).Run,
		"worker", w.place.Worker, "relay", w.relay)
}

// overRun is a run that was taken as over although a call for it may still be carried out:
// by its worker, or by that worker's next process, which knows no stops of before. It is
// stopped there.
type overRun struct {
	task  string
	run   int64
	place graph.Place
	// settled is the process of the worker that rejects the run for good, if any is known.
	settled graph.Place
	// heardAt is when the relay first reported after the run was taken as over, or 0.
	heardAt time.Duration
}

// recordOverRun remembers a run that was taken as over, unless its worker listed the end or
// has another successor, which accepts no calls for it.
func (st *state) recordOverRun(place graph.Place, task string, number int64, how string) {
	w := st.workers[place.Relay]
	if w == nil || slices.Contains(listedEnds, how) || how == "replaced" {
		return
	}
	r := &overRun{task: task, run: number, place: place}
	if how != "gone" && how != graph.EndUnreachable {
		r.settled = place // refused, or never started under the worker's epoch
	}
	w.overRuns = append(w.overRuns, r)
}

// settleOverRun records that the present process of the worker rejects a run for good.
func (w *worker) settleOverRun(task string, number int64) {
	for _, r := range w.overRuns {
		if r.task == task && r.run == number {
			r.settled = w.place
		}
	}
}

// forgetOverRuns forgets the runs for which no call can be carried out any more.
func (w *worker) forgetOverRuns() {
	for _, r := range w.overRuns {
		if r.heardAt == 0 {
			r.heardAt = w.lastReport
		}
	}
	w.overRuns = slices.DeleteFunc(w.overRuns, func(r *overRun) bool { return w.lastReport-r.heardAt > lateCallTime })
}

// stopsOfOverRuns returns stops of the runs that were taken as over and that the present
// process of their worker may still start.
func (w *worker) stopsOfOverRuns() []*flow.Stop {
	var stops []*flow.Stop
	for _, r := range w.overRuns {
		if r.place.Worker == w.place.Worker && r.settled != w.place {
			stops = append(stops, &flow.Stop{Task: r.task, Run: r.run})
		}
	}
	return stops
}
