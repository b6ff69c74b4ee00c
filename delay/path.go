package delay

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"
)

// Step is a step of the path of a job after its acceptance. Its text is printed in the
// report.
type Step string

// Steps of the path of a job.
const (
	StepKnown  Step = "known to the scheduler"
	StepPlaced Step = "first unit placed"
	StepEnded  Step = "ended"
)

// steps has all steps in their order.
var steps = []Step{StepKnown, StepPlaced, StepEnded}

// percentiles are the percentages of jobs for which Report.Write prints the time of each
// step.
var percentiles = []int{50, 95, 99}

// stepTimes holds the times from the acceptance of jobs to a step, by priority.
type stepTimes map[Step]map[int64][]time.Duration

func (s stepTimes) add(step Step, priority int64, after time.Duration) {
	if s[step] == nil {
		s[step] = map[int64][]time.Duration{}
	}
	s[step][priority] = append(s[step][priority], after)
}

// Percentile returns the time from acceptance within which the given percentage of the
// jobs of a priority took a step, and false if no job did.
func (r *Report) Percentile(step Step, priority int64, percent int) (time.Duration, bool) {
	times := slices.Sorted(slices.Values(r.times[step][priority]))
	if len(times) == 0 {
		return 0, false
	}
	return times[(len(times)-1)*percent/100], true
}

// writePath prints the times of the steps.
func (r *Report) writePath(out io.Writer) error {
	if len(r.times) == 0 {
		return nil
	}
	if _, err := fmt.Fprintf(out, "time since acceptance of %v of 100 jobs\n", percentiles); err != nil {
		return fmt.Errorf("writing steps: %w", err)
	}
	for _, step := range steps {
		for _, priority := range slices.Sorted(maps.Keys(r.times[step])) {
			line := fmt.Sprintf("  %-32s priority %d", step, priority)
			for _, percent := range percentiles {
				after, _ := r.Percentile(step, priority, percent)
				line += fmt.Sprintf(" %8v", after)
			}
			if _, err := fmt.Fprintln(out, line); err != nil {
				return fmt.Errorf("writing steps: %w", err)
			}
		}
	}
	return nil
}
