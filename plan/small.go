package plan

import (
	"math"

	"catkinpoint/graph"
)

const (
	// smallShare is the number of tasks of one kind with which a worker is full if they are
	// not small: a task is small on a worker if it needs less than this part of each of the
	// worker's resources.
	smallShare = 256
	// smallRuns bounds the small runs on a worker, as resources do not: of one job alone a
	// third, so that there is always room for those of other jobs; see smallRoom.
	smallRuns = 3 * smallShare
)

// smallCounts has the numbers of small runs on workers.
type smallCounts struct {
	total      []int
	byCustomer map[customerOnWorker]int
	byJob      map[jobOnWorker]int
	// wideGang reports whether a gang runs that is wider than the bounds allow.
	wideGang bool
	// noRoom are steps of which no further unit starts in this decision, as the bounds leave
	// no room for one.
	noRoom map[stepOfJob]bool
	// wide caches the results of isWide.
	wide map[stepOfJob]bool
	// left is scratch space of fitAmong and of a victimSearch: the tasks of the unit that a
	// worker can still take.
	left []int
}

type customerOnWorker struct {
	customer string
	worker   int
}

type jobOnWorker struct {
	job    *graph.Job
	worker int
}

type stepOfJob struct {
	job  *graph.Job
	step int32
}

// isSmall reports whether a task is small on a worker.
func (s *state) isSmall(need Resources, w int) bool {
	capacity := s.workers[w].Capacity
	return (need.MilliCPU == 0 || smallShare*need.MilliCPU < capacity.MilliCPU) &&
		(need.MemoryMB == 0 || smallShare*need.MemoryMB < capacity.MemoryMB) &&
		(need.Accelerators == 0 || smallShare*need.Accelerators < capacity.Accelerators)
}

// countSmall adds a task on a worker to the small runs if it is small there. Those of a wide
// gang do not count, so that they leave room for others.
func (s *state) countSmall(job *graph.Job, ref graph.Ref, need Resources, w int) {
	if !s.isSmall(need, w) {
		return
	}
	if s.isWide(job, ref.Step) {
		s.small.wideGang = true
		return
	}
	s.small.total[w]++
	s.small.byCustomer[customerOnWorker{job.Spec.GetCustomer(), w}]++
	s.small.byJob[jobOnWorker{job, w}]++
}

// smallRoom returns how many tasks of a unit a worker takes besides its small runs. It takes
// a small task while all small runs, those of the task's customer and those of its job are
// fewer than smallRuns together. Each run thus counts twice for its customer and thrice for
// its job, so that customers and jobs with few runs find room where others have many.
func (s *state) smallRoom(r *Request, w int) int {
	job := r.Unit.Job
	if !s.isSmall(r.Need, w) || !s.small.wideGang && s.isWide(job, r.Unit.Tasks[0].Step) {
		return math.MaxInt32
	}
	used := s.small.total[w] + s.small.byCustomer[customerOnWorker{job.Spec.GetCustomer(), w}] + s.small.byJob[jobOnWorker{job, w}]
	return max(0, smallRuns-used+2) / 3
}

// roomForSmall reports whether the bounds on small runs leave room for a unit on all usable
// workers together, and whether they keep it from none of them.
func (s *state) roomForSmall(r *Request) (enough, everywhere bool) {
	tasks, room := len(r.Unit.Tasks), 0
	everywhere = true
	for w := range s.workers {
		if !s.workers[w].Usable || s.workers[w].Service != r.Unit.Job.Spec.GetService() {
			continue
		}
		here := min(s.smallRoom(r, w), tasks)
		room += here
		everywhere = everywhere && here == tasks
	}
	return room >= tasks, everywhere
}

// isWide reports whether a step is a gang that all usable workers together cannot take within
// the bounds on small runs. It starts without them, one such gang at a time.
func (s *state) isWide(job *graph.Job, n int32) bool {
	step := job.Spec.GetSteps()[n]
	if !step.GetGang() || step.GetCount() <= smallShare {
		return false
	}
	key := stepOfJob{job, n}
	if wide, known := s.small.wide[key]; known {
		return wide
	}
	room := 0
	for i := range s.workers {
		w, label := &s.workers[i], step.GetRequiredLabel()
		if w.Usable && w.Service == job.Spec.GetService() && (label == "" || w.hasLabel(label)) {
			room += smallShare
		}
	}
	s.small.wide[key] = int(step.GetCount()) > room
	return s.small.wide[key]
}
