package place

import "time"

// Adjacency says how close together the accelerators of a shape must be.
type Adjacency int

// The domains of adjacency, smallest first.
const (
	SameWorker Adjacency = iota
	SameRack
	SameDataCentre
)

// Worker is one worker as its agent last reported it.
type Worker struct {
	Name         string
	Rack         string
	Service      string
	Accelerators int
	Slots        int
	// Ready is false while the agent is silent, draining, or has not
	// acknowledged the scheduler's epoch.
	Ready bool
	// Probing limits a worker that was set aside to one idempotent task.
	Probing bool
	// SetAside is true while the worker fails every task.
	SetAside bool
}

// Job is one job as the policy sees it.
type Job struct {
	ID             string
	Customer       string
	Class          string
	Service        string
	Tasks          int
	Accelerators   int // of one task
	Adjacency      Adjacency
	Idempotent     bool
	Checkpointable bool
	Urgent         bool
	StopTime       time.Duration // longest time of a checkpoint and stop
	Expected       time.Duration // learned, else declared, run time
	// Done is the work that earlier runs have kept.
	Done      time.Duration
	Submitted time.Time
	Deadline  time.Time // zero means none
	// Avoid lists workers on which the job has failed.
	Avoid []string
}

// Running is a job that holds accelerators, from its placement to its end.
type Running struct {
	Job     Job
	Workers []string // worker of each rank
	Started time.Time
	// Stopping is set once the job was told to stop; its accelerators count as used.
	Stopping bool
	// Checkpointed is the work done until the last checkpoint.
	Checkpointed time.Duration
}

// Guarantee is the part of a customer's guarantee that this data centre holds.
type Guarantee struct {
	Name          string
	Customer      string
	Accelerators  int // of one shape
	Adjacency     Adjacency
	Count         int
	ReclaimWithin time.Duration
}

// Customer has the limits of one customer.
type Customer struct {
	Name   string
	Quota  int // accelerators in use at once; 0 means no limit
	Weight float64
}

// State is everything a decision in one data centre depends on.
type State struct {
	DataCentre string
	InService  bool
	// CapacityShare limits the share of accelerators in use while a data
	// centre returns to service, 0 to 1; 1 means no limit.
	CapacityShare float64
	Workers       []Worker
	Running       []Running
	Queue         []Job // in order of submission
	Guarantees    []Guarantee
	Customers     []Customer
	// Planned describes workers that have not announced themselves yet.
	Planned Planned
	// Reservation carries the policy's own reservation from one call to the next.
	Reservation *Reservation
}

// Planned is the declared size of the data centre; zero workers means unknown.
type Planned struct {
	Workers        int
	Accelerators   int // of one worker
	Slots          int // of one worker
	WorkersPerRack int
}

// Reservation holds workers for a large job that waits.
type Reservation struct {
	JobID   string
	Workers []string // worker of each rank
	Start   time.Time
}

// Action is a decision; exactly one field is set.
//
// The owner of the State carries actions out in order before the next call:
// a placed job moves from Queue to Running, a preempted one is marked
// Stopping, a refused one leaves Queue, and a reservation is kept in
// Reservation until the next one replaces it.
type Action struct {
	Place   *Place
	Preempt *Preempt
	Reserve *Reservation
	Refuse  *Refuse
}

// Place starts a queued job on the given workers.
type Place struct {
	JobID   string
	Workers []string // worker of each rank
}

// Preempt checkpoints and stops a running job; it is queued again.
type Preempt struct {
	JobID  string
	Reason string
}

// Refuse ends a queued job that can never run.
type Refuse struct {
	JobID  string
	Reason string
}

// Policy decides on the next actions of one data centre.
type Policy interface {
	// Name is the policy's name in reports.
	Name() string
	// Decide returns the actions to take now, in order.
	Decide(s *State, now time.Time) []Action
}
