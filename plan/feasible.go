package plan

import (
	"slices"

	"catkinpoint/flow"
)

// Feasible reports whether the workers counted in groups, if they were empty, could
// run the widest unit of each of the job's steps. It is an upper bound on what
// Decide can place: a job that is not feasible would wait forever.
func Feasible(groups []*flow.WorkerGroup, job *flow.Job) bool {
	for _, step := range job.GetSteps() {
		tasks := int64(1)
		if step.GetGang() {
			tasks = int64(step.GetCount())
		}
		if maxConcurrentTasks(groups, job.GetService(), step) < tasks {
			return false
		}
	}
	return true
}

// maxConcurrentTasks returns how many tasks of a step fit on the workers at once.
func maxConcurrentTasks(groups []*flow.WorkerGroup, service string, step *flow.Step) int64 {
	need := Resources{MilliCPU: step.GetCpu(), MemoryMB: step.GetMemoryMb(), Accelerators: step.GetAccelerators()}
	if step.GetFills() {
		need.MilliCPU = 0
	}
	total := int64(0)
	for _, group := range groups {
		label := step.GetRequiredLabel()
		if group.GetService() != service || label != "" && !slices.Contains(group.GetLabels(), label) {
			continue
		}
		perWorker := Resources{MilliCPU: group.GetCpu(), MemoryMB: group.GetMemoryMb(), Accelerators: group.GetAccelerators()}.maxTasks(need)
		if limit := int64(step.GetMaxPerWorker()); limit > 0 {
			perWorker = min(perWorker, limit)
		}
		total += perWorker * int64(group.GetWorkers())
	}
	return total
}
