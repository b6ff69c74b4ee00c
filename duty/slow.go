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
)

// moveSlow stops runs of urgent jobs on workers that have turned slow if they
// would miss their objective there and end much sooner elsewhere. Other jobs must
// be slow there too, or the job's declared time is wrong; for the same reason it
// moves once. Work of other queues has time to spare and waits for the worker to
// recover.
func (st *state) moveSlow(now time.Duration) {
	for _, j := range st.open() {
		if j.graph.Over() || j.graph.Spec.GetPriority() != 0 || j.moved {
			continue
		}
		objective := time.Duration(graph.ObjectiveMS(j.graph.Spec)) * time.Millisecond
		for _, t := range j.graph.Active() {
			r := j.runs[t.Ref]
			if r == nil || r.stop || t.Done || r.slowSamples < slowReadings {
				continue
			}
			w := st.byPlace[t.Place]
			if w == nil {
				continue
			}
			if slowness, jobs := w.health.besides(j, now); jobs == 0 || slowness < slowRun {
				continue // the job's declared time may be wrong
			}
			left := time.Duration(r.slowness * float64(r.expected) * float64(100-r.percent) / 100)
			fresh := stopTime + r.expected
			if now-j.submitted+left < objective || float64(left) < moveGain*float64(fresh) {
				continue
			}
			klog.InfoS("duty: slow run stopped", "job", j.graph.Spec.GetId(), "step", t.Ref.Step, "index", t.Ref.Index,
				"worker", t.Place.Worker, "percent", r.percent, "slowness", r.slowness, "left_ms", left.Milliseconds())
			j.moved = true
			st.stopUnit(j, t.Ref)
		}
	}
}
