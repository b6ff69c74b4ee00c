package slope

import (
	"fmt"

	"catkinpoint/decl"
	"catkinpoint/wire"
)

// dataCentres of the target size, with 620 workers each in 4 regions.
const (
	sampleDataCentres = 9
	sampleRegions     = 4
	sampleWorkers     = 620
)

// NewObjects returns a valid set: the data centres of the target size, a
// service, and teams; each team has two job classes and, if guaranteed, one
// guarantee. All guarantees together take a third of the accelerators.
func NewObjects(teams, guaranteed int) []*wire.Object {
	objects := []*wire.Object{{Kind: "service", Name: "planrestauro", Body: &wire.Object_Service{Service: &wire.Service{Slots: sampleSlots, Connections: 64}}}}
	for i := range sampleDataCentres {
		objects = append(objects, &wire.Object{Kind: "data_centre", Name: dataCentre(i), Body: &wire.Object_DataCentre{DataCentre: &wire.DataCentre{
			Region: fmt.Sprintf("region-%d", i%sampleRegions), InService: true, MayLeave: i%3 == 0,
			Workers: sampleWorkers, AcceleratorsPerWorker: sampleAccelerators, WorkersPerRack: sampleRack,
		}}})
	}
	shapes := []struct {
		size      int64
		adjacency string
	}{{8, "worker"}, {16, "worker"}, {64, "rack"}, {512, "data_centre"}}
	budget := int64(sampleDataCentres * sampleWorkers * sampleAccelerators / 3)
	for i := range teams {
		objects = append(objects,
			&wire.Object{Kind: "customer", Name: team(i), Body: &wire.Object_Customer{Customer: &wire.Customer{AcceleratorQuota: 4096, QueueLimit: 200, Weight: 1}}},
			newClass(i, "small", 1), newClass(i, "large", 64))
		if i >= guaranteed {
			continue
		}
		shape := shapes[i%len(shapes)]
		objects = append(objects, &wire.Object{Kind: "guarantee", Name: team(i), Body: &wire.Object_Guarantee{Guarantee: &wire.Guarantee{
			Customer: team(i), Accelerators: shape.size, Adjacency: shape.adjacency,
			Count: max(1, budget/sampleTeams/shape.size), ReclaimWithin: "30s",
			DataCentres: []string{dataCentre(i % 9), dataCentre((i + 1) % 9), dataCentre((i + 4) % 9)},
		}}})
	}
	return objects
}

func newClass(i int, size string, tasks int64) *wire.Object {
	return &wire.Object{Kind: "job_class", Name: fmt.Sprintf("%s-%s", team(i), size), Body: &wire.Object_JobClass{JobClass: &wire.JobClass{
		Service: "planrestauro", Tasks: tasks, Accelerators: 1, Adjacency: "data_centre",
		ExpectedRunTime: "2h", Checkpointable: true, StopTime: "5s", Deadline: "0s",
	}}}
}

func dataCentre(i int) string { return fmt.Sprintf("dc-%d", i) }

// MeasureCheck measures the whole-set check, and what one scheduler works out
// of a set, against the number of teams with a guarantee and two job classes.
func MeasureCheck(options Options) ([]Series, error) {
	options = options.withDefaults()
	sizes := []int{30, 75, 150, 300}
	if options.Small {
		sizes = []int{3, 6}
	}
	var all []Series
	for _, v := range []struct {
		name string
		call func(*decl.Set) error
	}{
		{"decl.Check", func(s *decl.Set) error { return decl.Check(s, nil).Err() }},
		{"decl.Holdings of one data centre", func(s *decl.Set) error { decl.ReclaimableShapes(s, nil, dataCentre(0)); return nil }},
	} {
		cpu := Series{Subject: v.name, Input: "teams", Output: "us CPU"}
		allocations := Series{Subject: v.name, Input: "teams", Output: "allocations"}
		for _, teams := range sizes {
			set := decl.NewSet(1, NewObjects(teams, teams))
			c, err := measureCost(func() error { return v.call(set) }, options)
			if err != nil {
				return nil, Error.New("%s of %d teams: %w", v.name, teams, err)
			}
			cpu.Points = append(cpu.Points, Point{float64(teams), c.nanoseconds / 1000})
			allocations.Points = append(allocations.Points, Point{float64(teams), c.allocations})
		}
		all = append(all, cpu, allocations)
	}
	return all, nil
}
