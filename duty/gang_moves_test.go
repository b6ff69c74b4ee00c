package duty

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against tasks of an urgent job that stay on a stalled worker because the others of
// the job there have used up its moves: the stall is one event.
func TestAllTasksOfJobAreMovedOffStalledWorker(t *testing.T) {
	tests := []struct {
		tasks int32
		gang  bool
	}{
		{tasks: 3},
		{tasks: 4},
		{tasks: 8},
		{tasks: 8, gang: true},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%+v", test), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 1)
				f.workers[0].hangs = true
				spec := simpleJob(jobID, test.tasks)
				spec.Priority, spec.Steps[0].Gang = 0, test.gang
				j := f.submit(spec, 5*time.Second)
				f.run(time.Second)
				f.workers = append(f.workers, &fleetWorker{number: 2, rack: "r0", running: map[string]*fleetRun{}})
				f.run(40 * time.Second)
				if _, ok := f.elapsed(j); !ok {
					t.Errorf("job not completed after 40 s beside an idle worker; %d tasks are on the stalled one, moves %d", len(f.workers[0].running), f.state.jobs[jobID].moves)
				}
			})
		})
	}
}
