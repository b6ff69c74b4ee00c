package trace

import (
	"time"

	"catkinpoint/place"

	"github.com/zeebo/errs"
)

// Error is the class of the errors of this package.
var Error = errs.Class("trace")

// Trace is a recorded workload: a deployment, the jobs submitted to it, and the
// faults and absences that it had. Points in time are offsets from the start of
// the trace.
type Trace struct {
	Name        string
	Seed        uint64
	Load        float64 // see Scenario.Load
	Length      time.Duration
	DataCentres []DataCentre
	Customers   []place.Customer
	Classes     []Class
	Faults      []Fault
	Jobs        []Job
}

// DataCentre describes one data centre and the parts of guarantees that it
// provides.
type DataCentre struct {
	Name                  string
	Region                string
	Workers               int
	AcceleratorsPerWorker int
	SlotsPerWorker        int // tasks that can run at once
	WorkersPerRack        int
	LeavesAt              time.Duration // when it leaves service; zero if it never does
	ReturnsAt             time.Duration // when it returns; zero if it never leaves
	Guarantees            []place.Guarantee
}

// Class is a job class as the operators declare it. The jobs of a class may differ
// from it.
type Class struct {
	Name               string
	Tasks              int
	Accelerators       int // of one task
	Adjacency          place.Adjacency
	ExpectedRunTime    time.Duration
	Idempotent         bool
	Checkpointable     bool
	Urgent             bool
	StopTime           time.Duration // longest time of a checkpoint and stop
	CheckpointInterval time.Duration // between periodic checkpoints; zero means none
}

// Fault is a period in which a worker fails every task that starts on it.
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
	Class     int // index in Trace.Classes
	// Tasks, and Accelerators of each task, are what the job requests; they
	// often differ from the class.
	Tasks        int
	Accelerators int
	RunTime      time.Duration // actual run time without interruption
	StopTime     time.Duration // actual time of a checkpoint and stop
	CancelledAt  time.Duration // when the caller cancels it; zero if never
	Faulty       bool          // fails on every worker
}

// Capacity returns the number of accelerators of the deployment.
func (t *Trace) Capacity() int {
	sum := 0
	for _, d := range t.DataCentres {
		sum += d.Workers * d.AcceleratorsPerWorker
	}
	return sum
}

// acceleratorSeconds returns the work of the job if it runs once without
// interruption.
func (j *Job) acceleratorSeconds() float64 {
	return j.RunTime.Seconds() * float64(j.Tasks*j.Accelerators)
}
