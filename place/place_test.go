package place_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"catkinpoint/place"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// drawState draws a data centre without jobs. It drops the drawn guarantees that
// can't be met beside the earlier ones.
func drawState(t *rapid.T) *place.State {
	s := &place.State{InService: true, CapacityShare: 1}
	workers := rapid.IntRange(1, 9).Draw(t, "workers")
	for i := range workers {
		s.Workers = append(s.Workers, place.Worker{
			Name: fmt.Sprintf("w%d", i), Rack: fmt.Sprintf("r%d", i/3),
			Accelerators: 8, Slots: 8, Ready: true,
		})
	}
	for i := range rapid.IntRange(0, 4).Draw(t, "guarantees") {
		g := place.Guarantee{
			Name:          fmt.Sprintf("g%d", i),
			Customer:      fmt.Sprintf("c%d", rapid.IntRange(0, 3).Draw(t, "holder")),
			Adjacency:     place.Adjacency(rapid.IntRange(0, 2).Draw(t, "adjacency")),
			Count:         rapid.IntRange(1, 3).Draw(t, "count"),
			ReclaimWithin: time.Duration(rapid.IntRange(1, 3).Draw(t, "reclaim")) * 10 * time.Second,
		}
		g.Accelerators = rapid.IntRange(1, []int{8, 24, 40}[g.Adjacency]).Draw(t, "accelerators")
		s.Guarantees = append(s.Guarantees, g)
		if place.Reclaimable(s) != nil {
			s.Guarantees = s.Guarantees[:len(s.Guarantees)-1]
		}
	}
	for i := range 4 {
		s.Customers = append(s.Customers, place.Customer{
			Name: fmt.Sprintf("c%d", i), Weight: 1,
			Quota: rapid.SampledFrom([]int{0, 0, 20}).Draw(t, "quota"),
		})
	}
	return s
}

func drawJob(t *rapid.T, id int, now time.Time) place.Job {
	return place.Job{
		ID:              fmt.Sprintf("j%d", id),
		Customer:        fmt.Sprintf("c%d", rapid.IntRange(0, 3).Draw(t, "customer")),
		Tasks:           rapid.SampledFrom([]int{1, 1, 1, 2, 3, 5}).Draw(t, "tasks"),
		Accelerators:    rapid.SampledFrom([]int{0, 1, 1, 2, 4, 8}).Draw(t, "accelerators"),
		Adjacency:       place.Adjacency(rapid.IntRange(0, 2).Draw(t, "adjacency")),
		Idempotent:      rapid.Bool().Draw(t, "idempotent"),
		Checkpointable:  rapid.Bool().Draw(t, "checkpointable"),
		Urgent:          rapid.IntRange(0, 4).Draw(t, "urgent") == 0,
		StopTime:        time.Duration(rapid.IntRange(0, 4).Draw(t, "stop")) * 10 * time.Second,
		ExpectedRunTime: time.Duration(rapid.IntRange(1, 1000).Draw(t, "expected")) * time.Second,
		Submitted:       now,
	}
}

// checkRunning fails if running jobs use more accelerators or slots than their
// workers have, or if a job runs only some of its tasks or is spread beyond its
// adjacency.
func checkRunning(t *rapid.T, s *place.State) {
	byName := make(map[string]*place.Worker)
	used, usedSlots := make(map[string]int), make(map[string]int)
	for i := range s.Workers {
		byName[s.Workers[i].Name] = &s.Workers[i]
	}
	for _, r := range s.Running {
		if len(r.Workers) != r.Job.Tasks {
			t.Fatalf("job %s has %d of %d tasks", r.Job.ID, len(r.Workers), r.Job.Tasks)
		}
		for _, name := range r.Workers {
			used[name] += r.Job.Accelerators
			usedSlots[name]++
			if r.Job.Adjacency == place.SameWorker && name != r.Workers[0] ||
				r.Job.Adjacency == place.SameRack && byName[name].Rack != byName[r.Workers[0]].Rack {
				t.Fatalf("job %s is spread beyond its adjacency: %v", r.Job.ID, r.Workers)
			}
		}
	}
	for name, w := range byName {
		if used[name] > w.Accelerators || usedSlots[name] > w.Slots {
			t.Fatalf("worker %s holds %d accelerators and %d tasks", name, used[name], usedSlots[name])
		}
	}
}

// apply carries out one action on the state.
func apply(t *rapid.T, s *place.State, a place.Action, now time.Time) {
	dequeue := func(id string) place.Job {
		i := slices.IndexFunc(s.Queue, func(j place.Job) bool { return j.ID == id })
		if i < 0 {
			t.Fatalf("action for job %s, which is not queued", id)
		}
		j := s.Queue[i]
		s.Queue = slices.Delete(s.Queue, i, i+1)
		return j
	}
	switch {
	case a.Place != nil:
		s.Running = append(s.Running, place.Running{Job: dequeue(a.Place.JobID), Workers: a.Place.Workers, Started: now})
	case a.Preempt != nil:
		i := slices.IndexFunc(s.Running, func(r place.Running) bool { return r.Job.ID == a.Preempt.JobID })
		if i < 0 || s.Running[i].Stopping || !s.Running[i].Job.Checkpointable {
			t.Fatalf("job %s cannot be preempted", a.Preempt.JobID)
		}
		s.Running[i].Stopping = true
	case a.Refuse != nil:
		dequeue(a.Refuse.JobID)
	case a.Reserve != nil:
		s.Reservation = a.Reserve
	}
}

// checkPlacement fails if the placement uses a worker that the job must not use,
// or exceeds a quota or the capacity share. s is the state before the placement.
func checkPlacement(t *rapid.T, s *place.State, p *place.Place) {
	i := slices.IndexFunc(s.Queue, func(j place.Job) bool { return j.ID == p.JobID })
	if i < 0 || !s.InService {
		t.Fatalf("placed job %s: index in queue %d, data centre in service %t; want a queued job and true", p.JobID, i, s.InService)
	}
	j := s.Queue[i]
	need, totalAccelerators, totalUsed, customerUsed := j.Tasks*j.Accelerators, 0, 0, 0
	tasks := make(map[string]int)
	for _, r := range s.Running {
		totalUsed += r.Job.Tasks * r.Job.Accelerators
		if r.Job.Customer == j.Customer {
			customerUsed += r.Job.Tasks * r.Job.Accelerators
		}
		for _, name := range r.Workers {
			tasks[name]++
		}
	}
	for _, w := range s.Workers {
		totalAccelerators += w.Accelerators
		if !slices.Contains(p.Workers, w.Name) {
			continue
		}
		if !w.Ready || w.SetAside || slices.Contains(j.Avoid, w.Name) ||
			w.Probing && (!j.Idempotent || j.Tasks > 1 || tasks[w.Name] > 0) {
			t.Fatalf("job %s with Avoid %v must not use worker %+v", j.ID, j.Avoid, w)
		}
	}
	if need > 0 && s.CapacityShare < 1 && float64(totalUsed+need) > s.CapacityShare*float64(totalAccelerators) {
		t.Fatalf("job %s exceeds the share %v: %d of %d in use", j.ID, s.CapacityShare, totalUsed, totalAccelerators)
	}
	for _, c := range s.Customers {
		if c.Name == j.Customer && c.Quota > 0 && customerUsed+need > c.Quota {
			t.Fatalf("job %s exceeds the quota of %s", j.ID, c.Name)
		}
	}
}

// TestDecideInvariants guards against an action that makes a guaranteed shape
// impossible to reclaim, exceeds the capacity of a worker, starts only part of a
// gang or spreads it beyond its adjacency, or depends on more than the state and
// the time.
func TestDecideInvariants(t *testing.T) {
	policies := []place.Policy{place.FirstFit{}, place.FirstFit{Backfill: true}, place.New(place.Options{})}
	for _, p := range policies {
		t.Run(p.Name(), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { checkRandomEvents(t, p) })
		})
	}
}

// checkRandomEvents applies random events to a random state, lets the policy
// decide after each, and checks every action.
func checkRandomEvents(t *rapid.T, p place.Policy) {
	s, now, lastID := drawState(t), start, 0
	for range rapid.IntRange(1, 30).Draw(t, "events") {
		now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "step")) * time.Second)
		applyRandomEvent(t, s, now, &lastID)
		unmetBefore := place.Reclaimable(s)
		actions := p.Decide(s, now)
		if d := cmp.Diff(actions, p.Decide(s, now)); d != "" {
			t.Fatalf("two decisions on one state differ: %s", d)
		}
		for _, a := range actions {
			if a.Place != nil {
				checkPlacement(t, s, a.Place)
			}
			apply(t, s, a, now)
			checkRunning(t, s)
			if err := place.Reclaimable(s); err != nil && unmetBefore == nil {
				t.Fatalf("after %s: %v", describe(a), err)
			}
		}
	}
}

// applyRandomEvent submits jobs, ends a running job, which may fail, or changes a
// worker and the capacity of the data centre.
func applyRandomEvent(t *rapid.T, s *place.State, now time.Time, lastID *int) {
	switch kind := rapid.IntRange(0, 9).Draw(t, "event"); {
	case kind < 6:
		for range rapid.IntRange(1, 6).Draw(t, "jobs") {
			*lastID++
			s.Queue = append(s.Queue, drawJob(t, *lastID, now))
		}
	case kind < 9 && len(s.Running) > 0:
		i := rapid.IntRange(0, len(s.Running)-1).Draw(t, "ended")
		r := s.Running[i]
		s.Running = slices.Delete(s.Running, i, i+1)
		if r.Stopping {
			s.Queue = append(s.Queue, r.Job)
		} else if rapid.IntRange(0, 3).Draw(t, "failed") == 0 {
			r.Job.Avoid = append(slices.Clone(r.Job.Avoid), r.Workers[0])
			s.Queue = append(s.Queue, r.Job)
		}
	case kind == 9:
		w := &s.Workers[rapid.IntRange(0, len(s.Workers)-1).Draw(t, "worker")]
		w.Ready = rapid.Bool().Draw(t, "ready")
		w.SetAside = rapid.IntRange(0, 3).Draw(t, "set_aside") == 0
		w.Probing = !w.SetAside && rapid.IntRange(0, 3).Draw(t, "probing") == 0
		s.InService = rapid.IntRange(0, 3).Draw(t, "in_service") > 0
		s.CapacityShare = rapid.SampledFrom([]float64{0.25, 0.5, 1, 1}).Draw(t, "share")
	}
}

// describe returns the action as one line of text.
func describe(a place.Action) string {
	switch {
	case a.Place != nil:
		return "place " + a.Place.JobID + " on " + strings.Join(a.Place.Workers, " ")
	case a.Preempt != nil:
		return "preempt " + a.Preempt.JobID + ": " + a.Preempt.Reason
	case a.Reserve != nil:
		return "reserve " + strings.Join(a.Reserve.Workers, " ") + " for " + a.Reserve.JobID +
			" at " + a.Reserve.Start.Sub(start).String()
	default:
		return "refuse " + a.Refuse.JobID + ": " + a.Refuse.Reason
	}
}
