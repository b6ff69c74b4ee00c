package decl

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"catkinpoint/wire"
)

// worker is one worker of the exhaustive search, which shares no code with the solver.
type worker struct{ dc, rack, free, slots int }

// canMeetExhaustively reports whether all shapes can be placed. It tries every
// worker for every part of every shape; largest holds the accelerators of the
// largest worker of each data centre.
func canMeetExhaustively(workers []worker, shapes []demand, largest []int) bool {
	if len(shapes) == 0 {
		return true
	}
	d := shapes[0]
	for _, dc := range d.sites {
		chunk := d.size
		if d.adjacency != AdjacentWorker {
			chunk = min(chunk, largest[dc])
		}
		if chunk > 0 && placePartsExhaustively(workers, shapes, largest, dc, -1, d.size, chunk) {
			return true
		}
	}
	return false
}

// placePartsExhaustively places the remaining accelerators of the first shape in
// parts of up to chunk accelerators, then the other shapes. The rack is that of
// the part before, or -1 for the first part.
func placePartsExhaustively(workers []worker, shapes []demand, largest []int, dc, rack, remaining, chunk int) bool {
	if remaining == 0 {
		return canMeetExhaustively(workers, shapes[1:], largest)
	}
	part := min(remaining, chunk)
	for i := range workers {
		w := &workers[i]
		if w.dc != dc || w.free < part || w.slots < 1 || shapes[0].adjacency == AdjacentRack && rack >= 0 && w.rack != rack {
			continue
		}
		w.free -= part
		w.slots--
		ok := placePartsExhaustively(workers, shapes, largest, dc, w.rack, remaining-part, chunk)
		w.free += part
		w.slots++
		if ok {
			return true
		}
	}
	return false
}

// TestGuaranteesAgainstExhaustiveSearch guards against accepting guarantees that
// cannot be met and, within the limits of the exact search, against rejecting
// guarantees that can be met.
func TestGuaranteesAgainstExhaustiveSearch(t *testing.T) {
	met, unmet := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		inventory := Inventory{}
		objects := []*wire.Object{{Kind: "customer", Name: "c", Body: &wire.Object_Customer{Customer: &wire.Customer{QueueLimit: 1, Weight: 1}}}}
		slots := rapid.SampledFrom([]int{1, 2, 8}).Draw(t, "slots")
		service := &wire.Service{Slots: int64(slots), Connections: 1}
		objects = append(objects, &wire.Object{Kind: "service", Name: "s", Body: &wire.Object_Service{Service: service}})
		var workers []worker
		names := []string{"d0", "d1"}[:rapid.IntRange(1, 2).Draw(t, "sites")]
		largest, mayLeave := make([]int, len(names)), make([]bool, len(names))
		for dc, name := range names {
			size := rapid.IntRange(2, 5).Draw(t, "size")
			mayLeave[dc] = rapid.IntRange(0, 3).Draw(t, "leaves") == 0
			body := &wire.DataCentre{Region: "r", AcceleratorsPerWorker: 1, WorkersPerRack: 1, MayLeave: mayLeave[dc]}
			objects = append(objects, &wire.Object{Kind: "data_centre", Name: name, Body: &wire.Object_DataCentre{DataCentre: body}})
			for i := range rapid.IntRange(2, 5).Draw(t, "workers") {
				free := size
				if rapid.IntRange(0, 4).Draw(t, "smaller") == 0 {
					free = rapid.IntRange(0, size).Draw(t, "free")
				}
				inventory[name] = append(inventory[name], Worker{Rack: fmt.Sprint(i / 2), Accelerators: free})
				workers = append(workers, worker{dc, 10*dc + i/2, free, slots})
				largest[dc] = max(largest[dc], free)
			}
		}
		var shapes []demand
		for i := range rapid.IntRange(1, 4).Draw(t, "guarantees") {
			dcs := rapid.Permutation(names).Draw(t, "dcs")[:rapid.IntRange(1, len(names)).Draw(t, "n")]
			g := &wire.Guarantee{
				Customer: "c", Accelerators: int64(rapid.SampledFrom([]int{1, 2, 2, 3, 3, 4, 5, 7}).Draw(t, "shape")), Count: int64(rapid.IntRange(1, 2).Draw(t, "count")),
				Adjacency: rapid.SampledFrom(adjacencies).Draw(t, "adjacency"), DataCentres: dcs, ReclaimWithin: "1s",
			}
			objects = append(objects, &wire.Object{Kind: "guarantee", Name: fmt.Sprint("g", i), Body: &wire.Object_Guarantee{Guarantee: g}})
			for range g.Count {
				d := demand{size: int(g.Accelerators), adjacency: g.Adjacency}
				for _, dc := range dcs {
					d.sites = append(d.sites, int(dc[1]-'0'))
				}
				shapes = append(shapes, d)
			}
		}
		want := canMeetExhaustively(workers, shapes, largest)
		for dc := range names {
			if mayLeave[dc] {
				var rest []worker
				for _, w := range workers {
					if w.dc != dc {
						rest = append(rest, w)
					}
				}
				want = want && canMeetExhaustively(rest, shapes, largest)
			}
		}
		faults := Check(NewSet(1, objects), inventory)
		if (len(faults) == 0) != want {
			t.Fatalf("exhaustive search: guarantees can be met: %v; Check returned faults %v", want, faults)
		}
		if want {
			met++
		} else {
			unmet++
		}
	})
	t.Logf("sets whose guarantees can be met: %d, cannot be met: %d", met, unmet)
}

// targetSet returns a set of the target size: 9 data centres, 5,600 workers, 300
// customers. The guarantees add up to about guaranteedFraction of the accelerators
// of 8 data centres.
func targetSet(guaranteedFraction float64) *Set {
	var objects []*wire.Object
	const sites, workers, customers = 9, 622, 300
	var names []string
	for i := range sites {
		names = append(names, fmt.Sprint("dc-", i))
		dc := &wire.DataCentre{Region: "r", InService: true, MayLeave: true, Workers: workers, AcceleratorsPerWorker: 8, WorkersPerRack: 3}
		objects = append(objects, &wire.Object{Kind: "data_centre", Name: names[i], Body: &wire.Object_DataCentre{DataCentre: dc}})
	}
	guaranteedAccelerators := int(guaranteedFraction * 8 * workers * (sites - 1))
	sizes := []struct {
		n         int64
		adjacency string
	}{{24, AdjacentRack}, {8, AdjacentWorker}, {4, AdjacentWorker}, {256, AdjacentDataCentre}, {3, AdjacentWorker}, {12, AdjacentRack}}
	for i := range customers {
		name := fmt.Sprint("team-", i)
		objects = append(objects, &wire.Object{Kind: "customer", Name: name, Body: &wire.Object_Customer{Customer: &wire.Customer{QueueLimit: 1, Weight: 1}}})
		shape := sizes[i%len(sizes)]
		g := &wire.Guarantee{
			Customer: name, Accelerators: shape.n, Adjacency: shape.adjacency, Count: max(1, int64(guaranteedAccelerators/customers)/shape.n),
			DataCentres: []string{names[i%sites], names[(i+1)%sites], names[(i+4)%sites]}, ReclaimWithin: "30s",
		}
		objects = append(objects, &wire.Object{Kind: "guarantee", Name: name, Body: &wire.Object_Guarantee{Guarantee: g}})
	}
	return NewSet(1, objects)
}

// TestCheckerDetectsPlanChanges guards against a Checker that skips the guarantees
// of a changed plan because it takes the plan for the one that it checked before.
// Each step sets one value of the plan.
func TestCheckerDetectsPlanChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checker := &Checker{}
		var values [18]int64
		for i := range values {
			values[i] = int64(rapid.IntRange(1, 3).Draw(t, "initial"))
		}
		for range 40 {
			values[rapid.IntRange(0, len(values)-1).Draw(t, "which")] = int64(rapid.IntRange(1, 3).Draw(t, "value"))
			set, inventory := planFromValues(values)
			if have, want := checker.Check(set, inventory).Error(), Check(set, inventory).Error(); have != want {
				t.Fatalf("plan %v: Check returned %q, Checker returned %q", values, want, have)
			}
		}
	})
}

// planFromValues returns the set and the inventory that the values describe.
func planFromValues(values [18]int64) (*Set, Inventory) {
	names := []string{"d0", "d1"}
	var objects []*wire.Object
	for i, name := range names {
		dc := &wire.DataCentre{
			Region: "r", InService: values[i] > 1, MayLeave: values[2+i] > 2, Workers: values[4+i],
			AcceleratorsPerWorker: values[6+i], WorkersPerRack: values[8+i],
		}
		objects = append(objects, &wire.Object{Kind: "data_centre", Name: name, Body: &wire.Object_DataCentre{DataCentre: dc}})
	}
	g := &wire.Guarantee{
		Customer: "c", Accelerators: values[10], Count: values[11], ReclaimWithin: "1s",
		Adjacency: adjacencies[values[12]-1], DataCentres: names[:min(2, values[13])],
	}
	service := &wire.Service{Slots: values[14], Connections: 1, DataCentres: names[:min(2, values[15]-1)]}
	objects = append(objects,
		&wire.Object{Kind: "guarantee", Name: "g", Body: &wire.Object_Guarantee{Guarantee: g}},
		&wire.Object{Kind: "service", Name: "s", Body: &wire.Object_Service{Service: service}},
		&wire.Object{Kind: "customer", Name: "c", Body: &wire.Object_Customer{Customer: &wire.Customer{QueueLimit: 1, Weight: 1}}})
	inventory := Inventory{}
	if values[16] > 1 {
		inventory["d0"] = []Worker{{"r1", int(values[17])}, {fmt.Sprint("r", values[16]-1), 1}}
	}
	if values[16] > 1 && values[17] == 3 {
		inventory["d0"] = nil
	}
	return NewSet(1, objects), inventory
}

func BenchmarkCheck(b *testing.B) {
	for _, fraction := range []float64{0.3, 0.7, 1.1} {
		set := targetSet(fraction)
		b.Run(fmt.Sprintf("target_size/guaranteed_%.0f%%", fraction*100), func(b *testing.B) {
			b.ReportAllocs()
			faults := 0
			for b.Loop() {
				faults = len(Check(set, nil))
			}
			b.ReportMetric(float64(faults), "faults")
		})
	}
	set, checker := targetSet(0.7), &Checker{}
	b.Run("target_size/plan_unchanged", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			checker.Check(set, nil)
		}
	})
}
