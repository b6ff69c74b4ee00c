package duty

import (
	"testing"
	"testing/synctest"
	"time"

	"catkinpoint/flow"
	"catkinpoint/graph"
)

// A task that makes each worker crash which starts it went from worker to worker until
// the end of the day: no end of its runs was listed, so none counted.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		j := f.submit(simpleJob(jobID, 1), 5*time.Second)
		j.crashes = func(graph.Ref) bool { return true }
		f.run(30 * time.Second)
		if phase := f.state.jobs[jobID].graph.Phase; phase != flow.Phase_FAILED || f.crashes < 2 || f.crashes > 3 {
			t.Errorf("phase %v after %d crashes; want FAILED after 2 or 3", phase, f.crashes)
		}
	})
}
