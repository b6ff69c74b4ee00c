package duty

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"catkinpoint/clock"
	"catkinpoint/graph"
)

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
}

// recordConclusion remembers that a run is taken as over, unless its worker listed the end.
func (j *job) recordConclusion(ref graph.Ref, run int64, how string) {
	if !slices.Contains(listedEnds, how) {
		j.concluded[ref] = conclusion{run, how, clock.Monotonic()}
	}
}

// reportContradiction logs that a worker lists a run, as running or with how it ended,
// that this scheduler had taken as over: the task may have been started again since.
func (j *job) reportContradiction(w *worker, ref graph.Ref, run int64, listedAs string) {
	c, ok := j.concluded[ref]
	if !ok || c.run != run {
		return
	}
	count(contradictionsCounter, 1, "how", c.how)
	klog.InfoS("duty: worker lists a run that was over", "job", j.graph.Spec.GetId(), "step", ref.Step, "index", ref.Index, "occurrence", ref.Occurrence,
		"run", run, "listed", listedAs, "over", c.how, "ago_ms", (clock.Monotonic() - c.at).Milliseconds(), "last_run", j.graph.Task(ref).Run,
		"worker", w.place.Worker, "relay", w.relay)
}
