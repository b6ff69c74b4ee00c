package duty

import (
	"k8s.io/klog/v2"

	"catkinpoint/flow"
	"catkinpoint/graph"
	"catkinpoint/plan"
)

// freeRoom returns the resources that no run holds on each worker. A run holds them
// from its assignment until its end is known, also while it is being stopped and if it
// was assigned to an earlier process of the worker, which the present one may still
// start. Runs that the worker lists but should not have hold them too. The result is
// negative where the worker's capacity has shrunk below what its runs hold.
func (st *state) freeRoom() map[graph.Place]plan.Resources {
	free := make(map[graph.Place]plan.Resources, len(st.byPlace))
	for p, w := range st.byPlace {
		free[p] = capacity(w.info)
		for task := range w.unexpectedRuns {
			free[p] = free[p].Sub(st.needOfTask(task, w.info))
		}
	}
	for _, j := range st.openJobs() {
		for _, t := range j.graph.Active() {
			p := st.presentPlace(t.Place)
			free[p] = free[p].Sub(needOf(j.graph.Step(t.Ref)))
		}
	}
	return free
}

// presentPlace returns the place of the worker's present process if p is one of an
// earlier process, and otherwise p.
func (st *state) presentPlace(p graph.Place) graph.Place {
	if w := st.workers[p.Relay]; w != nil && w.sameWorker(p) {
		return w.place
	}
	return p
}

// needOfTask returns the resources that a run of a task holds, and the whole capacity
// of its worker if the task is not known.
func (st *state) needOfTask(name string, info *flow.Worker) plan.Resources {
	id, ref, err := graph.ParseTask(name)
	if j := st.jobs[id]; err == nil && j != nil && j.graph.Step(ref) != nil {
		return needOf(j.graph.Step(ref))
	}
	return capacity(info)
}

// takeBackStarts orders a stop of runs that have not started on workers whose room
// has shrunk below what their runs hold, the last assigned first: the start may be
// carried out long after. Runs that have started go on.
func (st *state) takeBackStarts(free map[graph.Place]plan.Resources) {
	for p, w := range st.byPlace {
		room := free[p]
		if room.Covers(plan.Resources{}) {
			continue
		}
		active := st.activeOn(w.relay)
		for i := len(active) - 1; i >= 0 && !room.Covers(plan.Resources{}); i-- {
			t := active[i]
			if r := t.job.runs[t.Ref]; r != nil && r.stopOrdered || t.Started || t.Place != p || t.Done {
				continue
			}
			klog.InfoS("duty: start taken back", "job", t.job.graph.Spec.GetId(), "step", t.Ref.Step, "index", t.Ref.Index, "run", t.Run, "worker", p.Worker,
				"over_cpu", -room.MilliCPU, "over_memory_mb", -room.MemoryMB, "over_accelerators", -room.Accelerators)
			room = room.Add(needOf(t.job.graph.Step(t.Ref)))
			st.stopUnit(t.job, t.Ref)
		}
	}
}
