package place

import "time"

// Adjacency is the domain that must contain all accelerators of a job or of a
// guaranteed shape.
type Adjacency int

// The adjacency domains, smallest first.
const (
	SameWorker Adjacency = iota
	SameRack
	SameDataCentre
)

// Worker is one worker as its agent last reported it.
type Worker struct {
	Name         string
	Rack         string
	Service      string // that the worker runs; "" means any
	Accelerators int
	Slots        int // tasks that can run at once
	// Ready is false while the agent is silent, draining, or has not
	// acknowledged the scheduler's epoch.
	Ready bool
	// Probing is true while a worker that was set aside may run one idempotent
	// task, to find out whether it works again.
	Probing bool
	// SetAside is true while the worker gets no tasks because jobs failed on it.
	SetAside bool
}

// Job is one job as the policy sees it.
type Job struct {
	ID              string
	Customer        string
	Class           string
	Service         string // that the job needs; "" means any
	Tasks           int
	Accelerators    int // of one task
	Adjacency       Adjacency
	Idempotent      bool
	Checkpointable  bool
	Urgent          bool
	StopTime        time.Duration // longest time that a checkpoint and stop take
	ExpectedRunTime time.Duration // run time, learned from ended jobs or else declared
	// CompletedWork is the part of the run time whose work earlier runs have
	// checkpointed.
	CompletedWork time.Duration
	Submitted     time.Time
	Deadline      time.Time // zero means none
	// Avoid lists workers on which the job has failed.
	Avoid []string
}

// Running is a job that holds accelerators, from its placement to its end.
type Running struct {
	Job     Job
	Workers []string // worker of each rank
	Started time.Time
	// Stopping is set once the job was told to stop; its accelerators count as
	// used until it has ended.
	Stopping bool
	// CheckpointedWork is the run time since Started whose work a preemption would
	// keep: up to the last checkpoint or, if tasks are checkpointed as they are
	// stopped, an estimate.
	CheckpointedWork time.Duration
}

// Guarantee is the part of a customer's guarantee that this data centre
// provides: Count shapes of Accelerators each.
type Guarantee struct {
	Name         string
	Customer     string
	Accelerators int // of one shape
	Adjacency    Adjacency
	Count        int
	// ReclaimWithin is the longest time in which borrowers of the shapes must
	// have stopped once the customer needs them.
	ReclaimWithin time.Duration
}

// Customer holds the quota and the weight of one customer.
type Customer struct {
	Name   string
	Quota  int     // accelerators in use at once; 0 means no limit
	Weight float64 // in the fair share; 0 means 1
}

// State is everything a decision in one data centre depends on.
type State struct {
	DataCentre string
	InService  bool
	// CapacityShare limits the share of accelerators and of slots in use while
	// a data centre returns to service, 0 to 1; 1 means no limit.
	CapacityShare float64
	Workers       []Worker
	Running       []Running
	Queue         []Job // in fair order at a scheduler, by submission in replays
	Guarantees    []Guarantee
	Customers     []Customer
	// Planned describes all workers, also those that have not reported yet.
	Planned Planned
	// Reservation is the latest one that the policy returned; nil means none.
	Reservation *Reservation
}

// Planned is the declared size of the data centre; 0 workers means unknown.
type Planned struct {
	Workers        int
	Accelerators   int // of one worker
	Slots          int // of one worker
	WorkersPerRack int
}

// Reservation reserves workers for a large job that waits.
type Reservation struct {
	JobID   string
	Workers []string  // worker of each rank
	Start   time.Time // when the job is expected to start
}

// Action is one action of a policy; exactly one field is set.
//
// The owner of the State carries out the actions in order before the next call:
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

// Refuse ends a queued job that can never run in the data centre.
type Refuse struct {
	JobID  string
	Reason string
}

// Policy decides on the next actions of one data centre.
type Policy interface {
	// Name returns the policy's name in reports.
	Name() string
	// Decide returns the actions to take now, in order.
	Decide(s *State, now time.Time) []Action
}
