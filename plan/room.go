package plan

import (
	"slices"

	"catkinpoint/flow"
)

// CouldHold tells whether workers that are otherwise empty could run the widest
// unit of each of the job's steps. It bounds from above what Decide can place:
// a job that it refuses would wait for ever.
func CouldHold(rooms []*flow.Room, job *flow.Job) bool {
	for _, step := range job.GetSteps() {
		tasks := int64(1)
		if step.GetGang() {
			tasks = int64(step.GetCount())
		}
		if places(rooms, job.GetService(), step) < tasks {
			return false
		}
	}
	return true
}

// places returns how many tasks of a step the workers hold at once.
func places(rooms []*flow.Room, service string, step *flow.Step) int64 {
	need := Amount{CPU: step.GetCpu(), Memory: step.GetMemoryMb(), Accelerators: step.GetAccelerators()}
	if step.GetFills() {
		need.CPU = 0
	}
	sum := int64(0)
	for _, room := range rooms {
		label := step.GetRequiredLabel()
		if room.GetService() != service || label != "" && !slices.Contains(room.GetLabels(), label) {
			continue
		}
		fits := Amount{CPU: room.GetCpu(), Memory: room.GetMemoryMb(), Accelerators: room.GetAccelerators()}.holds(need)
		if most := int64(step.GetMaxPerWorker()); most > 0 {
			fits = min(fits, most)
		}
		sum += fits * int64(room.GetWorkers())
	}
	return sum
}
