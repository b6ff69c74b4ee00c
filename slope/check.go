package slope

import (
	"fmt"

	"catkinpoint/decl"
	"catkinpoint/wire"
)

// Data centres, regions, and workers in each data centre at the target size.
const (
	dataCentreCount      = 9
	regionCount          = 4
	workersPerDataCentre = 620
)

// NewObjects returns a valid set of configuration objects: the data centres of the
// target size, one service, and the given number of customers with two job
// classes each. Customers with an index below guaranteed have one guarantee each. A
// guarantee has as many shapes as fit in its part of a third of all accelerators,
// divided evenly among 300 customers, but at least one shape.
func NewObjects(customers, guaranteed int) []*wire.Object {
	objects := []*wire.Object{{Kind: "service", Name: "planrestauro", Body: &wire.Object_Service{Service: &wire.Service{Slots: slotsPerWorker, Connections: 64}}}}
	for i := range dataCentreCount {
		objects = append(objects, &wire.Object{Kind: "data_centre", Name: dataCentreName(i), Body: &wire.Object_DataCentre{DataCentre: &wire.DataCentre{
			Region: fmt.Sprintf("region-%d", i%regionCount), InService: true, MayLeave: i%3 == 0,
			Workers: workersPerDataCentre, AcceleratorsPerWorker: acceleratorsPerWorker, WorkersPerRack: workersPerRack,
		}}})
	}
	guaranteeShapes := []struct {
		accelerators int64
		adjacency    string
	}{{8, "worker"}, {16, "worker"}, {64, "rack"}, {512, "data_centre"}}
	guaranteedAccelerators := int64(dataCentreCount * workersPerDataCentre * acceleratorsPerWorker / 3)
	for i := range customers {
		objects = append(objects,
			&wire.Object{Kind: "customer", Name: customerName(i), Body: &wire.Object_Customer{Customer: &wire.Customer{AcceleratorQuota: 4096, QueueLimit: 200, Weight: 1}}},
			newJobClass(i, "small", 1), newJobClass(i, "large", 64))
		if i >= guaranteed {
			continue
		}
		shape := guaranteeShapes[i%len(guaranteeShapes)]
		objects = append(objects, &wire.Object{Kind: "guarantee", Name: customerName(i), Body: &wire.Object_Guarantee{Guarantee: &wire.Guarantee{
			Customer: customerName(i), Accelerators: shape.accelerators, Adjacency: shape.adjacency,
			Count: max(1, guaranteedAccelerators/customerCount/shape.accelerators), ReclaimWithin: "30s",
			DataCentres: []string{dataCentreName(i % 9), dataCentreName((i + 1) % 9), dataCentreName((i + 4) % 9)},
		}}})
	}
	return objects
}

// newJobClass returns a class for jobs of the given number of tasks.
func newJobClass(customer int, size string, tasks int64) *wire.Object {
	return &wire.Object{Kind: "job_class", Name: fmt.Sprintf("%s-%s", customerName(customer), size), Body: &wire.Object_JobClass{JobClass: &wire.JobClass{
		Service: "planrestauro", Tasks: tasks, Accelerators: 1, Adjacency: "data_centre",
		ExpectedRunTime: "2h", Checkpointable: true, StopTime: "5s", Deadline: "0s",
	}}}
}

func dataCentreName(i int) string { return fmt.Sprintf("dc-%d", i) }

// MeasureSetCheck measures the check of a whole set of objects, and the reclaimable
// shapes that the scheduler of one data centre computes from the set, against
// the number of customers, each with a guarantee and two job classes.
func MeasureSetCheck(options Options) ([]Series, error) {
	options = options.withDefaults()
	sizes := []int{30, 75, 150, 300}
	if options.Small {
		sizes = []int{3, 6}
	}
	var all []Series
	for _, operation := range []struct {
		name string
		call func(*decl.Set) error
	}{
		{"decl.Check", func(s *decl.Set) error { return decl.Check(s, nil).Err() }},
		{"decl.Holdings of one data centre", func(s *decl.Set) error { decl.ReclaimableShapes(s, nil, dataCentreName(0)); return nil }},
	} {
		cpu := Series{Subject: operation.name, Input: "teams", Output: "us CPU"}
		allocations := Series{Subject: operation.name, Input: "teams", Output: "allocations"}
		for _, customers := range sizes {
			set := decl.NewSet(1, NewObjects(customers, customers))
			measured, err := measureCost(func() error { return operation.call(set) }, options)
			if err != nil {
				return nil, Error.New("%s of %d customers: %w", operation.name, customers, err)
			}
			cpu.Points = append(cpu.Points, Point{float64(customers), measured.nanoseconds / 1000})
			allocations.Points = append(allocations.Points, Point{float64(customers), measured.allocations})
		}
		all = append(all, cpu, allocations)
	}
	return all, nil
}
