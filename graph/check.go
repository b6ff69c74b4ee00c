package graph

import (
	"catkinpoint/flow"
)

// Limits on submitted jobs.
const (
	// MaxTasks limits the tasks of one occurrence of a job. Gangs are expected to
	// have at most 256, which Check does not enforce.
	MaxTasks = 10000
	// MaxSteps limits the steps of a job.
	MaxSteps = 1000
	// MaxRepeats limits the occurrences of a scheduled job.
	MaxRepeats = 10000
	// MaxAmount limits each amount of resources, in its own unit, and each time in
	// milliseconds, so that sums of them cannot overflow.
	MaxAmount = 1 << 40
	// MaxSpecBytes limits the text that workers are given with each start.
	MaxSpecBytes = 4000
)

// Check returns an error that says what is wrong with a submitted job, or nil.
func Check(job *flow.Job) error {
	switch {
	case len(job.GetSteps()) == 0:
		return Error.New("a job needs a step")
	case len(job.GetSteps()) > MaxSteps:
		return Error.New("%d steps are more than %d", len(job.GetSteps()), MaxSteps)
	case len(job.GetSpec()) > MaxSpecBytes:
		return Error.New("spec of %d bytes is longer than %d", len(job.GetSpec()), MaxSpecBytes)
	case job.GetRepeats() < 0 || job.GetRepeats() > MaxRepeats:
		return Error.New("%d repetitions are not between 0 and %d", job.GetRepeats(), MaxRepeats)
	case job.GetRepeats() > 1 && job.GetPeriodMs() <= 0:
		return Error.New("a repeated job needs a period")
	}
	tasks := int64(0)
	for s, step := range job.GetSteps() {
		if err := checkStep(s, step); err != nil {
			return err
		}
		tasks += int64(step.GetCount())
	}
	if tasks > MaxTasks {
		return Error.New("%d tasks are more than %d", tasks, MaxTasks)
	}
	return nil
}

func checkStep(s int, step *flow.Step) error {
	if step.GetCount() < 1 || step.GetCount() > MaxTasks {
		return Error.New("step %d: count %d is not between 1 and %d", s, step.GetCount(), MaxTasks)
	}
	if err := CheckAmounts(step.GetCpu(), step.GetMemoryMb(), step.GetAccelerators()); err != nil {
		return Error.New("step %d: %v", s, err)
	}
	if step.GetEstimateMs() < 0 || step.GetEstimateMs() > MaxAmount || step.GetMaxPerWorker() < 0 {
		return Error.New("step %d: estimate of %d ms or limit of %d tasks on one worker is out of range", s, step.GetEstimateMs(), step.GetMaxPerWorker())
	}
	for _, earlier := range step.GetAfter() {
		if earlier < 0 || int(earlier) >= s {
			return Error.New("step %d: after names step %d, which is not an earlier one", s, earlier)
		}
	}
	return nil
}

// CheckAmounts returns an error that says which amount of resources is negative or
// larger than MaxAmount, or nil.
func CheckAmounts(cpu, memoryMB, accelerators int64) error {
	for _, amount := range []struct {
		name  string
		value int64
	}{{"cpu", cpu}, {"memory", memoryMB}, {"accelerators", accelerators}} {
		if amount.value < 0 || amount.value > MaxAmount {
			return Error.New("%s %d is not between 0 and %d", amount.name, amount.value, int64(MaxAmount))
		}
	}
	return nil
}

// CriticalPathMS returns the declared run time of the longest chain of steps, in
// milliseconds.
func CriticalPathMS(job *flow.Job) int64 {
	ends := make([]int64, len(job.GetSteps()))
	longest := int64(0)
	for s, step := range job.GetSteps() {
		for _, earlier := range step.GetAfter() {
			ends[s] = max(ends[s], ends[earlier])
		}
		ends[s] += step.GetEstimateMs()
		longest = max(longest, ends[s])
	}
	return longest
}

// ObjectiveMS returns the time from its acceptance within which callers expect the
// job to end, in milliseconds.
func ObjectiveMS(job *flow.Job) int64 { return objectiveMS(job, CriticalPathMS(job)) }

func objectiveMS(job *flow.Job, criticalMS int64) int64 {
	return int64(job.GetSlackFactor()*float64(criticalMS)) + job.GetTargetMs()
}

// tailsMS returns, for each step, the declared run time from its start to the end of the
// longest chain of steps that begins with it, in milliseconds.
func tailsMS(job *flow.Job) []int64 {
	steps := job.GetSteps()
	tails := make([]int64, len(steps))
	for s := len(steps) - 1; s >= 0; s-- {
		tails[s] += steps[s].GetEstimateMs()
		for _, earlier := range steps[s].GetAfter() {
			tails[earlier] = max(tails[earlier], tails[s])
		}
	}
	return tails
}
