package place

import (
	"fmt"
	"slices"
)

// refusal returns why the job can never run in the data centre, or "".
//
// It looks at the workers as if they were empty, and counts planned workers
// that have not announced themselves, so that a scheduler that has just taken
// over refuses nothing for lack of reports.
func refusal(s *State, j *Job) string {
	if j.Tasks < 1 || j.Accelerators < 0 {
		return fmt.Sprintf("job has %d tasks with %d accelerators each", j.Tasks, j.Accelerators)
	}
	need := j.Tasks * j.Accelerators
	for _, c := range s.Customers {
		if c.Name == j.Customer && c.Quota > 0 && need > c.Quota {
			return fmt.Sprintf("job needs %d accelerators, the quota of %s is %d", need, c.Name, c.Quota)
		}
	}
	if len(s.Workers) == 0 && s.Planned.Workers == 0 {
		return ""
	}
	most := mostTasks(s, j)
	if most >= j.Tasks {
		return ""
	}
	domain := [...]string{"worker", "rack", "data centre"}[j.Adjacency]
	return fmt.Sprintf("%d tasks with %d accelerators each are needed in one %s, the largest holds %d when empty",
		j.Tasks, j.Accelerators, domain, most)
}

// mostTasks is the largest number of tasks that one domain of the job's
// adjacency holds when empty.
func mostTasks(s *State, j *Job) int {
	worker, all := 0, 0
	racks := make(map[string]int)
	largestRack := 0
	for i := range s.Workers {
		w := &s.Workers[i]
		if w.Service != j.Service && w.Service != "" && j.Service != "" {
			continue
		}
		tasks := emptyTasks(w.Slots, w.Accelerators, j)
		worker = max(worker, tasks)
		racks[w.Rack] += tasks
		largestRack = max(largestRack, racks[w.Rack])
		all += tasks
	}
	if missing := s.Planned.Workers - len(s.Workers); missing > 0 {
		tasks := emptyTasks(s.Planned.Slots, s.Planned.Accelerators, j)
		worker = max(worker, tasks)
		largestRack = max(largestRack, tasks*max(1, s.Planned.WorkersPerRack))
		all += tasks * missing
	}
	switch j.Adjacency {
	case SameWorker:
		return worker
	case SameRack:
		return largestRack
	default:
		return all
	}
}

// Fits says whether the workers in use, without those that the job avoids,
// would hold the job if they were empty.
func Fits(s *State, j *Job) bool {
	unusable := func(w Worker) bool { return !w.Ready || w.SetAside || slices.Contains(j.Avoid, w.Name) }
	rest := &State{Workers: slices.DeleteFunc(slices.Clone(s.Workers), unusable)}
	return mostTasks(rest, j) >= j.Tasks
}

func emptyTasks(slots, accelerators int, j *Job) int {
	if j.Accelerators == 0 {
		return slots
	}
	return min(slots, accelerators/j.Accelerators)
}
