package plan

import (
	"math"
	"time"

	"catkinpoint/graph"
)

// Resources holds the resources of a worker or the demand of a task.
type Resources struct {
	// MilliCPU is in thousandths of a processor core.
	MilliCPU int64
	// MemoryMB is in megabytes.
	MemoryMB     int64
	Accelerators int64
}

// Add returns the sum of a and b.
func (a Resources) Add(b Resources) Resources {
	return Resources{a.MilliCPU + b.MilliCPU, a.MemoryMB + b.MemoryMB, a.Accelerators + b.Accelerators}
}

// Sub returns a less b; its values may be negative.
func (a Resources) Sub(b Resources) Resources {
	return Resources{a.MilliCPU - b.MilliCPU, a.MemoryMB - b.MemoryMB, a.Accelerators - b.Accelerators}
}

// Covers reports whether need fits into a.
func (a Resources) Covers(need Resources) bool {
	return a.MilliCPU >= need.MilliCPU && a.MemoryMB >= need.MemoryMB && a.Accelerators >= need.Accelerators
}

// maxTasks returns how many tasks with the given need fit into a at once, and
// math.MaxInt32 if need is zero.
func (a Resources) maxTasks(need Resources) int64 {
	fit := int64(math.MaxInt32)
	for _, pair := range [][2]int64{{a.MilliCPU, need.MilliCPU}, {a.MemoryMB, need.MemoryMB}, {a.Accelerators, need.Accelerators}} {
		if pair[1] > 0 {
			fit = min(fit, pair[0]/pair[1])
		}
	}
	return fit
}

// coresPerAccelerator is the weight of an accelerator, in processor cores.
const coresPerAccelerator = 8

// CoreEquivalents returns the processor cores and the accelerators as one number
// of cores; see coresPerAccelerator. Memory is not counted.
func (a Resources) CoreEquivalents() float64 {
	return float64(a.MilliCPU)/1000 + coresPerAccelerator*float64(a.Accelerators)
}

// Worker is the state of a worker as the scheduler knows it.
type Worker struct {
	Place   graph.Place
	Service string
	Labels  []string
	// Rack is the label that names the worker's rack.
	Rack     string
	Capacity Resources
	// Free are the resources that no run holds. A run that is being stopped holds
	// its resources until it has ended.
	Free Resources
	// Usable reports whether runs may be started on the worker.
	Usable bool
	// Runs is the number of runs on the worker.
	Runs int
	// Slowness is the run time of tasks on this worker divided by that on a healthy
	// one.
	Slowness float64
	// Pace is the run time of tasks on this worker divided by that on a typical one, as
	// learned from earlier runs; 1 if it is not known. Unlike Slowness it is a lasting
	// property of the worker.
	Pace float64
	// Unreliable reports whether the worker is on trial, or tasks have failed on
	// it recently and none has succeeded since.
	Unreliable bool
	// OnTrial reports whether the worker was banned recently, for failed tasks or a
	// stall, and no task has succeeded there since. Such a worker takes only one
	// task at a time, except from guaranteed units.
	OnTrial bool
	// FewTrusted reports whether most workers of its service are on trial.
	FewTrusted bool
}

func (w *Worker) hasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Request is a unit that is ready to start.
type Request struct {
	Unit graph.Unit
	// Need is the demand of each task of the unit.
	Need Resources
	// ReadyFor is the time since the unit became ready.
	ReadyFor time.Duration
	// Slack is the time left until the unit must start to meet its job's
	// objective. It is negative if the objective can no longer be met.
	Slack time.Duration
	// DeadlineSlack is the time left until the unit must start for the job's result
	// to be of any use.
	DeadlineSlack time.Duration
	// Duration is the expected run time of a task on a typical worker.
	Duration time.Duration
	// Guaranteed reports whether the customer's guarantee covers the unit and the
	// unit was never started, so that it may preempt any run that no guarantee
	// covers.
	Guaranteed bool
	// Held are the workers on which earlier decisions have freed or are freeing
	// resources for the unit, one for each task, or nil.
	Held []graph.Place
	// Failures is the highest number of failures of any of the unit's tasks, and
	// FailedOn are the workers on which they failed.
	Failures int32
	FailedOn []graph.Place
	// Isolated reports whether the unit may make its workers crash. It gets workers
	// without other runs, and none that others are stopped for.
	Isolated bool
}

// Running is a run that holds resources on a worker.
type Running struct {
	Job   *graph.Job
	Ref   graph.Ref
	Run   int64
	Place graph.Place
	Need  Resources
	// Remaining is the expected time until the run ends.
	Remaining time.Duration
	// Unsaved is the run time that would be lost if the run were stopped now.
	Unsaved time.Duration
	// ExpectedDuration is the expected time from the start of the run to its end.
	ExpectedDuration time.Duration
	// SlackAfterStop is the slack that the job would have left if the run were
	// stopped now.
	SlackAfterStop time.Duration
	// Stopping reports whether a stop of the run was ordered.
	Stopping bool
	// Guaranteed reports whether a guarantee covers the run; such a run is not
	// preempted.
	Guaranteed bool
}

// Input is the state on which Decide bases its decision.
type Input struct {
	Workers  []Worker
	Requests []Request
	Running  []Running
	// RemoteFactor is the run time of a task that runs outside the rack of its data,
	// or whose gang spans racks, divided by its run time otherwise.
	RemoteFactor float64
	// UrgentWaitedRecently reports whether an urgent unit has recently had to wait
	// for resources.
	UrgentWaitedRecently bool
	// OrderByCost is set if, while room is short, the units wait and the runs are stopped
	// whose delay costs callers least.
	OrderByCost bool
}

// Assignment is a unit with one worker for each of its tasks.
type Assignment struct {
	Unit   graph.Unit
	Places []graph.Place
}

// Decision is what the scheduler is to do next.
type Decision struct {
	// Starts are the units to start now.
	Starts []Assignment
	// Stops are the runs to preempt.
	Stops []Stop
	// Holds are the units that cannot start yet and the workers on which resources
	// are being freed for them.
	Holds []Assignment
	// Shortage is set if room is short and the order by cost was applied.
	Shortage *Shortage
}

// Stop is a run to preempt.
type Stop struct {
	Running
	// Preemptor is the unit for which the run is stopped.
	Preemptor graph.Unit
}
