package plan

import (
	"math"
	"time"

	"catkinpoint/flow"
	"catkinpoint/graph"
)

const (
	// LateFactor is the number of objectives after which a result is of no use.
	LateFactor = 3
	// LateShare is the share of its worth that a result keeps after the objective. It is
	// the share of the useful time in which the worth is whole, as no price is configured.
	LateShare = 1.0 / LateFactor
	// priorityRatio is the worth of a job relative to one of the same work and the next
	// priority number. The configuration only says that the lower number comes first; with
	// a ratio of 2, no priority outweighs any amount of work.
	priorityRatio = 2
	// workExponent makes the worth grow less than in proportion to the work, so that a
	// small job is worth more per unit of work. With the square root this holds at any
	// scale, so that no typical work has to be known.
	workExponent = 0.5
)

// Work returns the declared work of one occurrence of a job, in core-equivalent seconds.
func Work(job *flow.Job) float64 {
	work := 0.0
	for _, step := range job.GetSteps() {
		need := Resources{MilliCPU: step.GetCpu(), Accelerators: step.GetAccelerators()}
		work += float64(step.GetCount()) * need.CoreEquivalents() * float64(step.GetEstimateMs()) / 1000
	}
	return work
}

// workOf returns a demand in core-equivalent seconds.
func workOf(d graph.Demand) float64 {
	return (d.MilliCPUMS/1000 + coresPerAccelerator*d.AcceleratorMS) / 1000
}

// Worth returns what the result of a job is worth to its caller within the objective, for
// a priority and the work in core-equivalent seconds. Only ratios of it have a meaning.
func Worth(priority int32, work float64) float64 {
	return math.Pow(priorityRatio, -float64(priority)) * math.Pow(max(work, 0), workExponent)
}

// ShareLeft returns the share of its worth that a job's result keeps if the job ends at
// the given age, counted from its acceptance.
func ShareLeft(age, objective time.Duration) float64 {
	switch {
	case age <= objective:
		return 1
	case age <= LateFactor*objective:
		return LateShare
	}
	return 0
}

// Value returns what the result of a job is worth to its caller if the job ends at the
// given age: Worth of its declared work, less what it loses by being late.
func Value(job *flow.Job, age time.Duration) float64 {
	objective := time.Duration(graph.ObjectiveMS(job)) * time.Millisecond
	return Worth(job.GetPriority(), Work(job)) * ShareLeft(age, objective)
}
