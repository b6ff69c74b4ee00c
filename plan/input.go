package plan

import (
	"math"
	"time"

	"catkinpoint/graph"
)

// Amount is room on a worker or the need of a task.
type Amount struct {
	// CPU is in thousandths of a processor.
	CPU int64
	// Memory is in MB.
	Memory       int64
	Accelerators int64
}

// Plus returns the sum of two amounts.
func (a Amount) Plus(b Amount) Amount {
	return Amount{a.CPU + b.CPU, a.Memory + b.Memory, a.Accelerators + b.Accelerators}
}

// Minus returns the difference of two amounts.
func (a Amount) Minus(b Amount) Amount {
	return Amount{a.CPU - b.CPU, a.Memory - b.Memory, a.Accelerators - b.Accelerators}
}

// Covers tells whether need fits into the amount.
func (a Amount) Covers(need Amount) bool {
	return a.CPU >= need.CPU && a.Memory >= need.Memory && a.Accelerators >= need.Accelerators
}

// holds returns how many tasks of a need fit into the amount.
func (a Amount) holds(need Amount) int64 {
	most := int64(math.MaxInt32)
	for _, part := range [][2]int64{{a.CPU, need.CPU}, {a.Memory, need.Memory}, {a.Accelerators, need.Accelerators}} {
		if part[1] > 0 {
			most = min(most, part[0]/part[1])
		}
	}
	return most
}

// acceleratorCores is what an accelerator counts for beside a processor core.
const acceleratorCores = 8

// Cores returns the amount as processor cores, with accelerators counted in.
func (a Amount) Cores() float64 {
	return float64(a.CPU)/1000 + acceleratorCores*float64(a.Accelerators)
}

// Worker is a worker as the scheduler knows it.
type Worker struct {
	Place   graph.Place
	Service string
	Labels  []string
	// Rack is the label that names the worker's rack.
	Rack     string
	Capacity Amount
	// Free is what no run holds; runs that are being stopped still hold theirs.
	Free Amount
	// Usable tells whether the worker takes starts.
	Usable bool
	// Slowness is how many times as long tasks take here as on a sound worker.
	Slowness float64
	// Doubtful tells that tasks have failed here and none has ended well since.
	Doubtful bool
	// Trial tells that the worker takes one task at a time until one ends well.
	Trial bool
}

func (w *Worker) hasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Request is a unit that may start.
type Request struct {
	Unit graph.Unit
	Need Amount
	// Ready is how long ago the unit became ready.
	Ready time.Duration
	// Slack is the time left until the unit must start to meet its job's
	// objective; it is negative when the objective is out of reach.
	Slack time.Duration
	// Lateness is the time that remains until the job's result is of no use.
	Lateness time.Duration
	Duration time.Duration
	// Reclaims tells that the customer's guarantee covers the unit.
	Reclaims bool
	// Held is where an earlier decision makes room for the unit, or nil.
	Held []graph.Place
	// Failures is the most that one of the unit's tasks has failed, and FailedAt
	// the workers on which they did.
	Failures int32
	FailedAt []graph.Place
}

// Running is a run that holds room.
type Running struct {
	Job  *graph.Job
	Ref  graph.Ref
	Run  int64
	At   graph.Place
	Need Amount
	// Remaining is the expected time to its end.
	Remaining time.Duration
	// Unsaved is the work that a stop would throw away.
	Unsaved time.Duration
	// Expected is the time that the run takes from its start.
	Expected time.Duration
	// Spare is the slack that its job would have left after a stop now.
	Spare time.Duration
	// Stopping tells that a stop was ordered.
	Stopping bool
	// Guaranteed tells that a guarantee covers the run, so that it is not stopped.
	Guaranteed bool
}

// Input is the state that Decide looks at.
type Input struct {
	Workers  []Worker
	Requests []Request
	Running  []Running
	// RemoteFactor is how many times as long a task takes away from its data or
	// its gang's rack.
	RemoteFactor float64
	// Pressed tells that urgent units have had to wait for room of late.
	Pressed bool
}

// Assignment is a unit to start, with the place of each of its tasks.
type Assignment struct {
	Unit   graph.Unit
	Places []graph.Place
}

// Decision is what to do.
type Decision struct {
	Starts []Assignment
	// Stops are runs to end so that more urgent units find room.
	Stops []Stop
	// Holds are the units for which room is being made, with where.
	Holds []Assignment
}

// Stop is a run to end for a unit.
type Stop struct {
	Running
	For graph.Unit
}
