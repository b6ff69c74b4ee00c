package place

import (
	"testing"
	"time"
)

// Guards against a division by zero in a data centre whose workers have not
// reported yet or have all been lost; it ended the entry that held the duty.
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
				t.Errorf("%s: %+v without any worker", p.Name(), a)
			}
		}
	}
}
