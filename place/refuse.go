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
	reason := fmt.Sprintf("%d tasks with %d accelerators each are needed in one %s, the largest holds %d when empty",
		j.Tasks, j.Accelerators, domain, most)
	if len(j.Avoid) > 0 {
		reason += fmt.Sprintf(" without the %d workers on which the job failed", len(j.Avoid))
	}
	return reason
}

// sizeKey identifies jobs that are refused for the same reason.
type sizeKey struct {
	customer, service   string
	tasks, accelerators int
	adjacency           Adjacency
}

const besideReason = "guarantees of other customers leave no place for a job that cannot be stopped in time"

// refuser finds the jobs of one decision that can never run. It keeps what it
// found, since many queued jobs have the same size.
type refuser struct {
	state  *State
	sizes  map[sizeKey]string // reasons by size, "" if there is none
	beside map[sizeKey]bool   // whether guarantees exclude the job
	empty  *view              // the data centre without running work
}

func newRefuser(s *State) *refuser {
	return &refuser{state: s, sizes: make(map[sizeKey]string), beside: make(map[sizeKey]bool)}
}

// size returns why the job is too large for the data centre or quota, or "".
func (r *refuser) size(j *request) string {
	if len(j.Avoid) > 0 {
		return refusal(r.state, j.Job)
	}
	key := j.sizeKey()
	reason, ok := r.sizes[key]
	if !ok {
		reason = refusal(r.state, j.Job)
		r.sizes[key] = reason
	}
	return reason
}

// guarantees returns why guarantees keep a job that does not fit now out for
// ever, or "".
func (r *refuser) guarantees(j *request) string {
	if j.lent {
		return ""
	}
	key := j.sizeKey()
	never, ok := r.beside[key]
	if !ok || len(j.Avoid) > 0 {
		never = r.neverBeside(j.Job)
	}
	if len(j.Avoid) == 0 {
		r.beside[key] = never
	}
	if never {
		return besideReason
	}
	return ""
}

func (r *request) sizeKey() sizeKey {
	return sizeKey{r.Customer, r.Service, r.Tasks, r.Accelerators, r.Adjacency}
}

// mostTasks is the largest number of tasks that one domain of the job's
// adjacency holds when empty.
func mostTasks(s *State, j *Job) int {
	worker, all := 0, 0
	racks := make(map[string]int)
	largestRack := 0
	for i := range s.Workers {
		w := &s.Workers[i]
		if w.Service != j.Service && w.Service != "" && j.Service != "" || slices.Contains(j.Avoid, w.Name) {
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

// neverBeside reports whether the guarantees of other customers keep the job,
// which cannot be lent to, from every place of its adjacency even when all
// known workers are empty and in use. It is certain for jobs within a worker
// or rack; wider ones are excluded only by their sum.
func (r *refuser) neverBeside(j *Job) bool {
	if len(r.state.Guarantees) == 0 || r.state.Planned.Workers > len(r.state.Workers) {
		return false
	}
	v := r.emptied(j)
	q := v.request(j)
	if v.unmet && !v.tight || v.fit(&q, firstFit) != nil {
		return false
	}
	if j.Adjacency == SameDataCentre && j.Tasks > 1 {
		return v.exceeds(&q)
	}
	q.lent = true // looks at free workers alone; the search judges the guarantees
	for _, domain := range v.domains(j.Adjacency) {
		for turn := range domain {
			nodes := slices.Concat(domain[turn:], domain[:turn])
			order := func(a, b *node) bool { return slices.Index(nodes, a.index) < slices.Index(nodes, b.index) }
			if seats := v.fitNodes(&q, nodes, order); seats != nil && v.keeps(v.started(&q, seats)) {
				return false
			}
		}
	}
	return true
}

// emptied is the data centre without running work and with all known workers
// in use.
func (r *refuser) emptied(j *Job) *view {
	if r.empty != nil {
		r.empty.searches = 0
		return r.empty
	}
	s := *r.state
	s.Running = nil
	s.CapacityShare = 1
	s.Workers = slices.Clone(s.Workers)
	for i := range s.Workers {
		w := &s.Workers[i]
		w.Ready, w.SetAside, w.Probing = true, false, false
	}
	r.empty = newView(&s, j.Submitted)
	return r.empty
}

// exceeds reports whether the job and the guarantees of others need more
// accelerators than there are.
func (v *view) exceeds(j *request) bool {
	sum := j.Tasks * j.Accelerators
	for i := range v.tallies {
		if i != j.customer {
			sum += v.tallies[i].guaranteed
		}
	}
	for i := range v.nodes {
		sum -= v.nodes[i].worker.Accelerators
	}
	return sum > 0
}

// domains are the sets of nodes within which the adjacency keeps a job.
func (v *view) domains(a Adjacency) [][]int {
	var domains [][]int
	switch a {
	case SameRack:
		for i := range v.racks {
			domains = append(domains, v.racks[i].nodes)
		}
	default:
		for i := range v.nodes {
			domains = append(domains, []int{i})
		}
	}
	return domains
}
