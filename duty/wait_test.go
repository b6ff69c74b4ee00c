package duty

import (
	"testing"
	"testing/synctest"
	"time"

	"catkinpoint/clock"
	"catkinpoint/flow"
	"catkinpoint/graph"
)

// The time that a unit has waited decides whether it waits on for a rack or for a worker
// that is not on trial. It must not begin anew with each holder.
func TestWaitOfUnitSurvivesHandover(t *testing.T) {
	const age = 7 * time.Second
	later := simpleJob(jobID, 1)
	later.Steps = append(later.Steps, &flow.Step{Count: 1, After: []int32{0}})
	scheduled := simpleJob(jobID, 1)
	scheduled.Repeats = 1
	tests := []struct {
		name string
		spec *flow.Job
		edit func(j *graph.Job)
		want time.Duration
	}{
		{"first step", simpleJob(jobID, 1), func(*graph.Job) {}, age},
		{"step after another", later, func(j *graph.Job) { assignAll(j, true); j.End(graph.Ref{}, 1, graph.EndDone, "") }, 0},
		{"task that ran before", simpleJob(jobID, 1), func(j *graph.Job) { assignAll(j, true); j.End(graph.Ref{}, 1, graph.EndStopped, "") }, 0},
		{"occurrence that is due", scheduled, func(*graph.Job) {}, age - 3*time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				time.Sleep(time.Hour)
				accepted := time.Now().Add(-age)
				test.spec.AcceptedUnixMs = accepted.UnixMilli()
				if test.spec.GetRepeats() > 0 {
					test.spec.StartUnixMs = accepted.Add(3 * time.Second).UnixMilli()
				}
				job := graph.New(test.spec, nil)
				test.edit(job)
				st := newState(clock.Monotonic())
				st.addJob(jobID, itemOf(t, JobKey(jobID), test.spec, 1))
				st.loadedProgress[jobID] = itemOf(t, ProgressKey(jobID), job.Record(), 2)
				st.finishLoad()
				j := st.jobs[jobID]
				unit := j.graph.Ready(time.Now().UnixMilli())[0]
				if got := st.planRequest(j, unit, false, clock.Monotonic()).ReadyFor; got != test.want {
					t.Errorf("unit has waited for %v; want %v", got, test.want)
				}
			})
		})
	}
}
