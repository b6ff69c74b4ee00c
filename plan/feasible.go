package plan

import (
	"slices"

	"catkinpoint/flow"
)

// Feasible reports whether the workers counted in rooms, if they were empty, could
// run the widest unit of each of the job's steps. It is an upper bound on what
// Decide can place: a job that is not feasible would wait forever.
func Feasible(rooms []*flow.Room, job *flow.Job) bool {
	for _, step := range job.GetSteps() {
		tasks := int64(1)
		if step.GetGang() {
			tasks = int64(step.GetCount())
		}
		if maxConcurrentTasks(rooms, job.GetService(), step) < tasks {
			return false
		}
	}
	return true
}

// maxConcurrentTasks returns how many tasks of a step fit on the workers at once.
func maxConcurrentTasks(rooms []*flow.Room, service string, step *flow.Step) int64 {
	need := Resources{MilliCPU: step.GetCpu(), MemoryMB: step.GetMemoryMb(), Accelerators: step.GetAccelerators()}
	if step.GetFills() {
		need.MilliCPU = 0
	}
	total := int64(0)
	for _, room := range rooms {
		label := step.GetRequiredLabel()
		if room.GetService() != service || label != "" && !slices.Contains(room.GetLabels(), label) {
			continue
		}
		perWorker := Resources{MilliCPU: room.GetCpu(), MemoryMB: room.GetMemoryMb(), Accelerators: room.GetAccelerators()}.maxTasks(need)
		if limit := int64(step.GetMaxPerWorker()); limit > 0 {
			perWorker = min(perWorker, limit)
		}
		total += perWorker * int64(room.GetWorkers())
	}
	return total
}
