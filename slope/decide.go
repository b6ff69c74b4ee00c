package slope

import (
	"fmt"
	"time"

	"catkinpoint/place"
)

// Values of a data centre at the target size: 73,000 tasks on 5,600 workers are
// 13 on each, so a worker here has 16 accelerators and 16 slots.
const (
	sampleAccelerators  = 16
	sampleSlots         = 16
	sampleTasks         = 13
	sampleRack          = 20
	sampleTeams         = 300
	sampleGuarantees    = 60
	guaranteedPerWorker = 8
)

// DecideShape is the size of the state of one placement decision.
type DecideShape struct {
	Workers int
	Tasks   int // running on each worker
	Queued  int
}

// decideSeries are the varied inputs; what is not varied is at the target size.
var decideSeries = []struct {
	input  string
	shapes []DecideShape
}{
	{"workers", []DecideShape{{40, sampleTasks, 100}, {160, sampleTasks, 100}, {320, sampleTasks, 100}, {620, sampleTasks, 100}, {1240, sampleTasks, 100}}},
	{"tasks on each worker", []DecideShape{{620, 0, 100}, {620, 4, 100}, {620, 8, 100}, {620, sampleTasks, 100}}},
	{"queued jobs", []DecideShape{{620, sampleTasks, 10}, {620, sampleTasks, 100}, {620, sampleTasks, 300}, {620, sampleTasks, 1000}}},
}

func (s DecideShape) value(input string) int {
	switch input {
	case "workers":
		return s.Workers
	case "tasks on each worker":
		return s.Tasks
	}
	return s.Queued
}

// MeasureDecide measures one decision of the policy in use. With full, each
// worker has as many one-accelerator tasks of others as it has accelerators, so
// that nothing fits and urgent jobs must preempt.
func MeasureDecide(options Options, full bool) ([]Series, error) {
	options = options.withDefaults()
	subject := "decision, room for some"
	if full {
		subject = "decision, no room"
	}
	var all []Series
	for _, d := range decideSeries {
		if full && d.input == "tasks on each worker" {
			continue
		}
		cpu := Series{Subject: subject, Input: d.input, Output: "us CPU"}
		allocations := Series{Subject: subject, Input: d.input, Output: "allocations"}
		for _, shape := range d.shapes {
			if options.Small && (shape.Workers > 40 || shape.Queued > 100) {
				shape.Workers, shape.Queued = min(shape.Workers, 40+shape.Queued/100), min(shape.Queued, 100)
			}
			state := NewState(shape, full)
			policy := place.New(place.Options{})
			c, err := measureCost(func() error {
				policy.Decide(state, sampleNow)
				return nil
			}, options)
			if err != nil {
				return nil, Error.New("deciding on %+v: %w", shape, err)
			}
			x := float64(shape.value(d.input))
			cpu.Points = append(cpu.Points, Point{x, c.nanoseconds / 1000})
			allocations.Points = append(allocations.Points, Point{x, c.allocations})
		}
		all = append(all, cpu, allocations)
	}
	return all, nil
}

var sampleNow = time.UnixMilli(sampleUnixMS)

// NewState returns a data centre at work. Guarantees take half of the
// accelerators; half of the tasks belong to their holders, and the others are
// checkpointable and may be reclaimed. Of the queued jobs, one in eight is a
// gang of 8 tasks with 4 accelerators and one in 16 is urgent.
func NewState(shape DecideShape, full bool) *place.State {
	s := &place.State{DataCentre: "sainte-foy", InService: true, CapacityShare: 1}
	for i := range shape.Workers {
		s.Workers = append(s.Workers, place.Worker{
			Name: fmt.Sprintf("w%05d", i), Rack: fmt.Sprintf("r%04d", i/sampleRack), Service: "planrestauro",
			Accelerators: sampleAccelerators, Slots: sampleSlots, Ready: true,
		})
	}
	for i := range sampleTeams {
		s.Customers = append(s.Customers, place.Customer{Name: team(i), Weight: 1})
	}
	for i := range sampleGuarantees {
		s.Guarantees = append(s.Guarantees, place.Guarantee{
			Name: fmt.Sprintf("g%03d", i), Customer: team(i), Accelerators: guaranteedPerWorker, Adjacency: place.SameWorker,
			Count: max(1, shape.Workers*sampleAccelerators/2/guaranteedPerWorker/sampleGuarantees), ReclaimWithin: 30 * time.Second,
		})
	}
	tasks := shape.Tasks
	if full {
		tasks = sampleAccelerators
	}
	for i := range shape.Workers * tasks {
		holder := i % sampleTeams
		if i%2 == 0 {
			holder = i % sampleGuarantees
		}
		s.Running = append(s.Running, place.Running{
			Job:     sampleJob(id("running", i), holder, 1, 1),
			Workers: []string{fmt.Sprintf("w%05d", i%shape.Workers)},
			Started: sampleNow.Add(-time.Hour - time.Duration(i)*time.Second),
		})
	}
	for i := range shape.Queued {
		j := sampleJob(id("queued", i), i%sampleTeams, 1, 1+i%4)
		if i%8 == 7 {
			j.Tasks, j.Accelerators, j.Adjacency = 8, 4, place.SameDataCentre
		}
		j.Urgent = i%16 == 3
		s.Queue = append(s.Queue, j)
	}
	return s
}

func sampleJob(id string, customer, tasks, accelerators int) place.Job {
	return place.Job{
		ID: id, Customer: team(customer), Class: "training", Service: "planrestauro",
		Tasks: tasks, Accelerators: accelerators, Adjacency: place.SameDataCentre,
		Idempotent: true, Checkpointable: true, StopTime: 5 * time.Second,
		ExpectedRunTime: 3 * time.Hour, Submitted: sampleNow.Add(-time.Minute),
	}
}

func team(i int) string { return fmt.Sprintf("team-%03d", i) }
