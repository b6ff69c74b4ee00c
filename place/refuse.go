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

// refuser finds the jobs of one decision that can never run.
type refuser struct {
	view  *view
	known map[sizeKey]bool // whether guarantees exclude the job
}

// reason returns why the job can never run, or "".
func (r *refuser) reason(j *request) string {
	if reason := refusal(r.view.state, j.Job); reason != "" || j.lent {
		return reason
	}
	if len(j.Avoid) > 0 {
		if neverBeside(r.view.state, j.Job) {
			return besideReason
		}
		return ""
	}
	key := sizeKey{j.Customer, j.Service, j.Tasks, j.Accelerators, j.Adjacency}
	never, ok := r.known[key]
	if !ok {
		never = neverBeside(r.view.state, j.Job)
		if r.known == nil {
			r.known = make(map[sizeKey]bool)
		}
		r.known[key] = never
	}
	if never {
		return besideReason
	}
	return ""
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
func neverBeside(s *State, j *Job) bool {
	if len(s.Guarantees) == 0 || s.Planned.Workers > len(s.Workers) {
		return false
	}
	empty := *s
	empty.Running = nil
	empty.CapacityShare = 1
	empty.Workers = slices.Clone(s.Workers)
	for i := range empty.Workers {
		w := &empty.Workers[i]
		w.Ready, w.SetAside, w.Probing = true, false, false
	}
	v := newView(&empty, j.Submitted)
	r := v.request(j)
	if v.unmet && !v.tight || v.fit(&r, firstFit) != nil {
		return false
	}
	if j.Adjacency == SameDataCentre && j.Tasks > 1 {
		return v.exceeds(&r)
	}
	r.lent = true // looks at free workers alone; the search judges the guarantees
	for _, domain := range v.domains(j.Adjacency) {
		for turn := range domain {
			nodes := slices.Concat(domain[turn:], domain[:turn])
			order := func(a, b *node) bool { return slices.Index(nodes, a.index) < slices.Index(nodes, b.index) }
			if seats := v.fitNodes(&r, nodes, order); seats != nil && v.keeps(v.started(&r, seats)) {
				return false
			}
		}
	}
	return true
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
