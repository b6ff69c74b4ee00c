package trace

import (
	"time"

	"catkinpoint/place"

	"github.com/zeebo/errs"
)

// Error is the class of the errors of this package.
var Error = errs.Class("trace")

// Trace is a recorded load with everything that happened to the deployment.
// All times are offsets from the start of the trace.
type Trace struct {
	Name        string
	Seed        uint64
	Load        float64 // submitted work over capacity and length
	Length      time.Duration
	DataCentres []DataCentre
	Customers   []place.Customer
	Classes     []Class
	Faults      []Fault
	Jobs        []Job
}

// DataCentre is one data centre with the guarantees it holds.
type DataCentre struct {
	Name           string
	Region         string
	Workers        int
	Accelerators   int // of one worker
	Slots          int // of one worker
	WorkersPerRack int
	Leaves         time.Duration // zero if it stays in service
	Returns        time.Duration
	Guarantees     []place.Guarantee
}

// Class is a job class as the operators declared it.
type Class struct {
	Name            string
	Tasks           int
	Accelerators    int
	Adjacency       place.Adjacency
	Declared        time.Duration // run time
	Idempotent      bool
	Checkpointable  bool
	Urgent          bool
	StopTime        time.Duration
	CheckpointEvery time.Duration
}

// Fault is a time in which a worker fails every task that it starts.
type Fault struct {
	Worker string
	From   time.Duration
	Until  time.Duration
}

// Job is one recorded job.
type Job struct {
	ID        string
	Submitted time.Duration
	Region    string // of the caller
	Customer  string
	Class     int // index in Classes
	// Tasks and Accelerators are what the job asks for; they often differ
	// from the class.
	Tasks        int
	Accelerators int
	RunTime      time.Duration // actual
	Stop         time.Duration // actual time of a checkpoint and stop
	Cancelled    time.Duration // zero if the caller waits for the end
	Faulty       bool          // fails on every worker
}

// Capacity is the number of accelerators of the deployment.
func (t *Trace) Capacity() int {
	sum := 0
	for _, d := range t.DataCentres {
		sum += d.Workers * d.Accelerators
	}
	return sum
}

// work is the accelerator-seconds of the job without any loss.
func (j *Job) work() float64 {
	return j.RunTime.Seconds() * float64(j.Tasks*j.Accelerators)
}
