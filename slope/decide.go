package slope

import (
	"fmt"
	"time"

	"catkinpoint/place"
)

// A data centre at the target size. 73,000 tasks on 5,600 workers are 13 on each, so
// each worker has 16 accelerators and 16 slots. Each guarantee is for shapes of
// acceleratorsPerShape on one worker.
const (
	acceleratorsPerWorker = 16
	slotsPerWorker        = 16
	tasksPerWorker        = 13
	workersPerRack        = 20
	customerCount         = 300
	guaranteeCount        = 60
	acceleratorsPerShape  = 8
)

// DecisionSize is the size of the state on which one placement decision is made.
type DecisionSize struct {
	Workers        int
	TasksPerWorker int // running on each worker
	QueuedJobs     int
}

// decisionVariations lists the sizes at which decisions are measured. Each varies one
// input and has all others at the target size.
var decisionVariations = []struct {
	input string
	sizes []DecisionSize
}{
	{"workers", []DecisionSize{{40, tasksPerWorker, 100}, {160, tasksPerWorker, 100}, {320, tasksPerWorker, 100}, {620, tasksPerWorker, 100}, {1240, tasksPerWorker, 100}}},
	{"tasks on each worker", []DecisionSize{{620, 0, 100}, {620, 4, 100}, {620, 8, 100}, {620, tasksPerWorker, 100}}},
	{"queued jobs", []DecisionSize{{620, tasksPerWorker, 10}, {620, tasksPerWorker, 100}, {620, tasksPerWorker, 300}, {620, tasksPerWorker, 1000}}},
}

// inputValue returns the size in the named input.
func (d DecisionSize) inputValue(input string) int {
	switch input {
	case "workers":
		return d.Workers
	case "tasks on each worker":
		return d.TasksPerWorker
	}
	return d.QueuedJobs
}

// MeasureDecision measures one decision of place.Main with its default options. If
// full is set, each worker runs as many one-accelerator tasks as it has
// accelerators, so that no queued job fits and urgent ones must preempt others.
func MeasureDecision(options Options, full bool) ([]Series, error) {
	options = options.withDefaults()
	subject := "decision, room for some"
	if full {
		subject = "decision, no room"
	}
	var all []Series
	for _, variation := range decisionVariations {
		if full && variation.input == "tasks on each worker" {
			continue
		}
		cpu := Series{Subject: subject, Input: variation.input, Output: "us CPU"}
		allocations := Series{Subject: subject, Input: variation.input, Output: "allocations"}
		for _, size := range variation.sizes {
			if options.Small && (size.Workers > 40 || size.QueuedJobs > 100) {
				size.Workers, size.QueuedJobs = min(size.Workers, 40+size.QueuedJobs/100), min(size.QueuedJobs, 100)
			}
			state := NewPlacementState(size, full)
			policy := place.New(place.Options{})
			measured, err := measureCost(func() error {
				policy.Decide(state, sampleNow)
				return nil
			}, options)
			if err != nil {
				return nil, Error.New("deciding on %+v: %w", size, err)
			}
			x := float64(size.inputValue(variation.input))
			cpu.Points = append(cpu.Points, Point{x, measured.nanoseconds / 1000})
			allocations.Points = append(allocations.Points, Point{x, measured.allocations})
		}
		all = append(all, cpu, allocations)
	}
	return all, nil
}

// sampleNow is the time of all decisions.
var sampleNow = time.UnixMilli(sampleUnixMS)

// NewPlacementState returns a data centre with running and queued jobs. Guarantees
// cover half of the accelerators. Half of the running tasks belong to customers
// with a guarantee and the others to all customers in turn; all tasks are
// checkpointable, so that guarantees can reclaim the accelerators of others. Of
// the queued jobs, one in 8 is a gang of 8 tasks with 4 accelerators each, and one
// in 16 is urgent. If full is set, all accelerators are in use.
func NewPlacementState(size DecisionSize, full bool) *place.State {
	state := &place.State{DataCentre: "sainte-foy", InService: true, CapacityShare: 1}
	for i := range size.Workers {
		state.Workers = append(state.Workers, place.Worker{
			Name: fmt.Sprintf("w%05d", i), Rack: fmt.Sprintf("r%04d", i/workersPerRack), Service: "planrestauro",
			Accelerators: acceleratorsPerWorker, Slots: slotsPerWorker, Ready: true,
		})
	}
	for i := range customerCount {
		state.Customers = append(state.Customers, place.Customer{Name: customerName(i), Weight: 1})
	}
	for i := range guaranteeCount {
		state.Guarantees = append(state.Guarantees, place.Guarantee{
			Name: fmt.Sprintf("g%03d", i), Customer: customerName(i), Accelerators: acceleratorsPerShape, Adjacency: place.SameWorker,
			Count: max(1, size.Workers*acceleratorsPerWorker/2/acceleratorsPerShape/guaranteeCount), ReclaimWithin: 30 * time.Second,
		})
	}
	tasks := size.TasksPerWorker
	if full {
		tasks = acceleratorsPerWorker
	}
	for i := range size.Workers * tasks {
		customer := i % customerCount
		if i%2 == 0 {
			customer = i % guaranteeCount
		}
		state.Running = append(state.Running, place.Running{
			Job:     sampleJob(sampleUUID("running", i), customer, 1, 1),
			Workers: []string{fmt.Sprintf("w%05d", i%size.Workers)},
			Started: sampleNow.Add(-time.Hour - time.Duration(i)*time.Second),
		})
	}
	for i := range size.QueuedJobs {
		job := sampleJob(sampleUUID("queued", i), i%customerCount, 1, 1+i%4)
		if i%8 == 7 {
			job.Tasks, job.Accelerators, job.Adjacency = 8, 4, place.SameDataCentre
		}
		job.Urgent = i%16 == 3
		state.Queue = append(state.Queue, job)
	}
	return state
}

// sampleJob returns a job of the customer with the given index.
func sampleJob(id string, customer, tasks, accelerators int) place.Job {
	return place.Job{
		ID: id, Customer: customerName(customer), Class: "training", Service: "planrestauro",
		Tasks: tasks, Accelerators: accelerators, Adjacency: place.SameDataCentre,
		Idempotent: true, Checkpointable: true, StopTime: 5 * time.Second,
		ExpectedRunTime: 3 * time.Hour, Submitted: sampleNow.Add(-time.Minute),
	}
}

func customerName(i int) string { return fmt.Sprintf("team-%03d", i) }
