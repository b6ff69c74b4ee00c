package duty

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Some workers fail all that they start, beside jobs with a task that fails
// wherever it runs: sound jobs complete, faulty ones fail, and sound workers go
// on working.
func TestJobsOutliveWorkersThatFailAll(t *testing.T) {
	tests := []struct {
		name   string
		bad    int // workers that fail all, of 12
		gang   bool
		faulty bool // every third job has a task that always fails
	}{
		{name: "one worker", bad: 1},
		{name: "a quarter of the workers", bad: 3},
		{name: "a quarter of the workers, gangs", bad: 3, gang: true},
		{name: "a quarter of the workers, faulty jobs", bad: 3, faulty: true},
		{name: "faulty jobs alone", faulty: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 12)
				for n := range test.bad {
					f.workers[4*n].fails = true
				}
				var jobs []*fleetJob
				for n := range 24 {
					spec := simpleJob(fmt.Sprintf("%016x", n+1), 40)
					if test.gang {
						spec.Steps[0].Gang, spec.Steps[0].Count, spec.Steps[0].Accelerators = true, 6, 4
					}
					spec.Steps[0].EstimateMs = 2000
					j := f.submit(spec, 2*time.Second)
					if test.faulty && n%3 == 0 {
						j.faulty = 0
					}
					jobs = append(jobs, j)
					f.play(700 * time.Millisecond)
				}
				f.play(30 * time.Second)
				for n, j := range jobs {
					if _, ok := f.took(j); ok != (j.faulty < 0) {
						t.Errorf("job %d: completed %v, faulty task %d", n, ok, j.faulty)
					}
				}
				for _, w := range f.st.workers {
					if bad := f.workers[workerNumber(w.place.Worker)-1].fails; !bad && w.health.bannedUntil > 0 {
						t.Errorf("%s: got no work for some time, though it is sound", w.place.Worker)
					}
				}
			})
		})
	}
}

func workerNumber(id string) (n int) {
	_, _ = fmt.Sscanf(id, "w%d", &n)
	return n
}
