package duty

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"catkinpoint/flow"
	"catkinpoint/graph"
)

// Guards against gangs that make their workers crash at the same time as others and are
// started without end, because a gang with several members on a worker is not alone there.
func TestGangsThatCrashWorkersTogetherAreGivenUp(t *testing.T) {
	const maxCrashes = 5
	tests := []struct {
		members int32
		age     time.Duration
		jobs    int
		holders int
	}{
		{members: 1, age: 1500 * time.Millisecond, jobs: 3},
		{members: 2, age: 1500 * time.Millisecond, jobs: 2},
		{members: 2, age: 1500 * time.Millisecond, jobs: 3},
		{members: 2, age: 700 * time.Millisecond, jobs: 5},
		{members: 2, age: 4 * time.Second, jobs: 3},
		{members: 2, age: 4 * time.Second, jobs: 3, holders: 12},
		{members: 4, age: 700 * time.Millisecond, jobs: 5, holders: 12},
		{members: 8, age: 1500 * time.Millisecond, jobs: 5},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%+v", test), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 8)
				for n := range test.jobs {
					spec := gangJob(jobNumber(n), test.members)
					spec.Steps[0].Accelerators = int64(8 / test.members)
					j := f.submit(spec, 8*time.Second)
					j.crashes, j.crashAge = everyTask, test.age
				}
				for range test.holders {
					f.run(4 * time.Second)
					f.changeHolder()
				}
				f.run(60 * time.Second)
				for n := range test.jobs {
					g := f.state.jobs[jobNumber(n)].graph
					if crashes := len(g.UnitCrashes(graph.Ref{})); g.Phase != flow.Phase_FAILED || crashes > maxCrashes {
						t.Errorf("job %d: phase %v after %d crashes; want FAILED after at most %d", n, g.Phase, crashes, maxCrashes)
					}
				}
			})
		})
	}
}

// Guards against taking the members of a gang on one worker for runs beside each other: the
// gang was alone there, and the crash weighs like that of a single task.
func TestGangWithoutOthersIsAloneInCrash(t *testing.T) {
	const other = "00000000000000bb"
	tests := []struct {
		name   string
		beside bool // a run of another job is on the worker too
	}{
		{name: "two members"},
		{name: "two members beside another job", beside: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCountsFixture(t, gangJob(jobID, 2), 1)
				f.state.addJob(other, itemOf(t, JobKey(other), simpleJob(other, 1), 1))
				f.start(0, 0)
				c := &flow.Crash{Number: 1, Worker: "w1"}
				for index := range int32(2) {
					c.Runs = append(c.Runs, &flow.CrashedRun{Task: graph.TaskName(jobID, graph.Ref{Index: index}), Run: 1, AgeMs: 1500})
				}
				if test.beside {
					c.Runs = append(c.Runs, &flow.CrashedRun{Task: graph.TaskName(other, graph.Ref{}), Run: 1, AgeMs: 1500})
				}
				f.state.applyCrash(f.workers[0], c)
				if got := f.job.graph.UnitCrashes(graph.Ref{}); len(got) != 1 || got[0].Alone == test.beside {
					t.Errorf("crashes %+v; want one, alone: %v", got, !test.beside)
				}
			})
		})
	}
}
