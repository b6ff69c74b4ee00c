package place

import (
	"testing"
	"time"
)

// TestDecideWithoutWorkers guards against a division by zero while no worker has
// reported yet or all have been lost. It crashed the entry process that was
// scheduling the data centre.
func TestDecideWithoutWorkers(t *testing.T) {
	s := &State{
		InService:     true,
		CapacityShare: 1,
		Queue:         []Job{{ID: "a", Tasks: 1, Accelerators: 1}, {ID: "b", Tasks: 2, Adjacency: SameRack}},
		Guarantees:    []Guarantee{{Name: "g", Customer: "c", Accelerators: 8, Count: 1}},
		Planned:       Planned{Workers: 3, Accelerators: 8, Slots: 8, WorkersPerRack: 3},
	}
	for _, p := range []Policy{FirstFit{}, FirstFit{Backfill: true}, New(Options{})} {
		for _, a := range p.Decide(s, time.Unix(0, 0)) {
			if a.Place != nil || a.Preempt != nil {
				t.Errorf("policy %s placed or preempted a job without any worker: %+v", p.Name(), a)
			}
		}
	}
}
