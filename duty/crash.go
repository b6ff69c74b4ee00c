package duty

import (
	"k8s.io/klog/v2"

	"catkinpoint/flow"
	"catkinpoint/graph"
)

// applyCrashes logs the crashes that a relay reports, each once.
func (st *state) applyCrashes(w *worker, crashes []*flow.Crash) {
	for _, c := range crashes {
		if c.GetNumber() <= w.lastAppliedCrash {
			continue
		}
		w.lastAppliedCrash = c.GetNumber()
		klog.InfoS("duty: worker crashed", "worker", c.GetWorker(), "born", c.GetWorkerBornMs(), "relay", w.relay, "crash", c.GetNumber(),
			"ago_ms", c.GetAgoMs(), "runs", len(c.GetRuns()), "youngest", graph.RunAges(c.GetRuns()))
	}
}
