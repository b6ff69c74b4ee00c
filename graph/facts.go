package graph

import "catkinpoint/flow"

// Demand is work by the resources that it takes, each multiplied by declared run time.
type Demand struct {
	// MilliCPUMS is in thousandths of a processor core times milliseconds, and
	// AcceleratorMS in accelerators times milliseconds.
	MilliCPUMS, AcceleratorMS float64
}

// plus returns the sum of a and n times b.
func (a Demand) plus(n int32, b Demand) Demand {
	return Demand{a.MilliCPUMS + float64(n)*b.MilliCPUMS, a.AcceleratorMS + float64(n)*b.AcceleratorMS}
}

// facts is what follows from the specification of a job alone. A decision needs it for each
// task, and a job may have many steps with many dependencies.
type facts struct {
	tailsMS      []int64 // see TailMS
	criticalMS   int64   // see CriticalPathMS
	accelerators int64
	// roots are the steps without an earlier one, in order.
	roots []int32
	// demands has the demand of one task of each step, and whole that of an occurrence.
	demands []Demand
	whole   Demand
}

func newFacts(spec *flow.Job) facts {
	f := facts{tailsMS: tailsMS(spec), criticalMS: CriticalPathMS(spec)}
	for n, step := range spec.GetSteps() {
		if len(step.GetAfter()) == 0 {
			f.roots = append(f.roots, int32(n))
		}
		ms := float64(step.GetEstimateMs())
		demand := Demand{float64(step.GetCpu()) * ms, float64(step.GetAccelerators()) * ms}
		f.demands = append(f.demands, demand)
		f.whole = f.whole.plus(step.GetCount(), demand)
		f.accelerators += int64(step.GetCount()) * step.GetAccelerators()
	}
	return f
}

// TailMS returns the declared run time from the start of a step to the end of the longest
// chain of steps that begins with it, in milliseconds.
func (j *Job) TailMS(step int32) int64 { return j.facts.tailsMS[step] }

// ObjectiveMS returns the time from its acceptance within which callers expect the job to
// end, in milliseconds.
func (j *Job) ObjectiveMS() int64 { return objectiveMS(j.Spec, j.facts.criticalMS) }

// Accelerators returns the accelerators of all tasks of an occurrence together.
func (j *Job) Accelerators() int64 { return j.facts.accelerators }

// Demand returns the declared demand of an occurrence.
func (j *Job) Demand() Demand { return j.facts.whole }

// WaitingDemand returns the declared demand of the tasks of an occurrence that are neither
// done nor active.
func (j *Job) WaitingDemand(occurrence int32) Demand {
	if occurrence < j.openFrom {
		return Demand{}
	}
	if o := j.open[occurrence]; o != nil {
		return j.facts.whole.plus(-1, o.busy)
	}
	return j.facts.whole
}
