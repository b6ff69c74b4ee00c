package place

import (
	"fmt"
	"slices"
)

// refusalReason returns why the job can never run in the data centre, or "" if
// it knows no reason. It ignores guarantees.
//
// It assumes that all workers are empty, and counts planned workers that have not
// reported yet, so that a scheduler that has just taken over the data centre
// doesn't refuse jobs because of workers that are still missing.
func refusalReason(s *State, j *Job) string {
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
	largest := maxTasks(s, j)
	if largest >= j.Tasks {
		return ""
	}
	domain := [...]string{"worker", "rack", "data centre"}[j.Adjacency]
	reason := fmt.Sprintf("%d tasks with %d accelerators each are needed in one %s, the largest holds %d when empty",
		j.Tasks, j.Accelerators, domain, largest)
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

// excludedReason is the reason of a refusal by excludedByGuarantees.
const excludedReason = "guarantees of other customers leave no place for a job that cannot be stopped in time"

// refusalChecker finds the jobs of one decision that can never run. It caches its
// results because many queued jobs have the same size.
type refusalChecker struct {
	state       *State
	sizeReasons map[sizeKey]string // reasons by size, "" if there is none
	excluded    map[sizeKey]bool   // whether guarantees exclude the job
	empty       *view              // result of emptyView, nil before its first call
}

func newRefusalChecker(s *State) *refusalChecker {
	return &refusalChecker{state: s, sizeReasons: make(map[sizeKey]string), excluded: make(map[sizeKey]bool)}
}

// sizeReason returns why the job is too large for the data centre or its
// customer's quota, or "" if it is not.
func (r *refusalChecker) sizeReason(j *queuedJob) string {
	if len(j.Avoid) > 0 {
		return refusalReason(r.state, j.Job)
	}
	key := j.sizeKey()
	reason, ok := r.sizeReasons[key]
	if !ok {
		reason = refusalReason(r.state, j.Job)
		r.sizeReasons[key] = reason
	}
	return reason
}

// guaranteeReason returns why the guarantees of other customers never let the
// job run, or "" if they can. The job must be one that doesn't fit now.
func (r *refusalChecker) guaranteeReason(j *queuedJob) string {
	if j.borrower {
		return ""
	}
	key := j.sizeKey()
	excluded, ok := r.excluded[key]
	if !ok || len(j.Avoid) > 0 {
		excluded = r.excludedByGuarantees(j.Job)
	}
	if len(j.Avoid) == 0 {
		r.excluded[key] = excluded
	}
	if excluded {
		return excludedReason
	}
	return ""
}

func (j *queuedJob) sizeKey() sizeKey {
	return sizeKey{j.Customer, j.Service, j.Tasks, j.Accelerators, j.Adjacency}
}

// maxTasks returns the largest number of tasks of the job that one domain of its
// adjacency holds when empty.
func maxTasks(s *State, j *Job) int {
	largestWorker, total := 0, 0
	racks := make(map[string]int)
	largestRack := 0
	for i := range s.Workers {
		w := &s.Workers[i]
		if w.Service != j.Service && w.Service != "" && j.Service != "" || slices.Contains(j.Avoid, w.Name) {
			continue
		}
		tasks := tasksPerEmptyWorker(w.Slots, w.Accelerators, j)
		largestWorker = max(largestWorker, tasks)
		racks[w.Rack] += tasks
		largestRack = max(largestRack, racks[w.Rack])
		total += tasks
	}
	if missing := s.Planned.Workers - len(s.Workers); missing > 0 {
		tasks := tasksPerEmptyWorker(s.Planned.Slots, s.Planned.Accelerators, j)
		largestWorker = max(largestWorker, tasks)
		largestRack = max(largestRack, tasks*max(1, s.Planned.WorkersPerRack))
		total += tasks * missing
	}
	switch j.Adjacency {
	case SameWorker:
		return largestWorker
	case SameRack:
		return largestRack
	default:
		return total
	}
}

// Fits reports whether the ready workers would hold the job if they were empty.
// Workers that are set aside or on which the job has failed don't count.
func Fits(s *State, j *Job) bool {
	unusable := func(w Worker) bool { return !w.Ready || w.SetAside || slices.Contains(j.Avoid, w.Name) }
	eligible := &State{Workers: slices.DeleteFunc(slices.Clone(s.Workers), unusable)}
	return maxTasks(eligible, j) >= j.Tasks
}

func tasksPerEmptyWorker(slots, accelerators int, j *Job) int {
	if j.Accelerators == 0 {
		return slots
	}
	return min(slots, accelerators/j.Accelerators)
}

// excludedByGuarantees reports whether the guarantees of other customers exclude
// the job, which is no borrower, from every domain of its adjacency even when all
// known workers are empty and usable. For jobs within a worker or rack it tries
// every domain, so that the answer is certain unless a search exceeds
// maxAssignmentSteps. A job that may span the data centre counts as excluded only
// if the sum of accelerators is too small.
func (r *refusalChecker) excludedByGuarantees(j *Job) bool {
	if len(r.state.Guarantees) == 0 || r.state.Planned.Workers > len(r.state.Workers) {
		return false
	}
	v := r.emptyView(j)
	job := v.newQueuedJob(j)
	if v.shapeUnassigned && !v.needsSearch || v.fit(&job, firstFit) != nil {
		return false
	}
	if j.Adjacency == SameDataCentre && j.Tasks > 1 {
		return v.exceedsCapacity(&job)
	}
	job.borrower = true // fitNodes then ignores the guarantees, which the search checks
	for _, domain := range v.domains(j.Adjacency) {
		for first := range domain {
			nodes := slices.Concat(domain[first:], domain[:first])
			fromFirst := func(a, b *node) bool { return slices.Index(nodes, a.index) < slices.Index(nodes, b.index) }
			if placement := v.fitNodes(&job, nodes, fromFirst); placement != nil && v.assignmentExists(v.asRunning(&job, placement)) {
				return false
			}
		}
	}
	return true
}

// emptyView returns a view of the data centre without running jobs and with all
// known workers usable.
func (r *refusalChecker) emptyView(j *Job) *view {
	if r.empty != nil {
		r.empty.reassignments = 0
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

// exceedsCapacity reports whether the job and the guarantees of other customers
// together need more accelerators than there are.
func (v *view) exceedsCapacity(j *queuedJob) bool {
	excess := j.Tasks * j.Accelerators
	for i := range v.totals {
		if i != j.customer {
			excess += v.totals[i].guaranteed
		}
	}
	for i := range v.nodes {
		excess -= v.nodes[i].worker.Accelerators
	}
	return excess > 0
}

// domains returns the racks for SameRack, else each node as a domain of its own.
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
