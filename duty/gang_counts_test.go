package duty

import (
	"testing"
	"testing/synctest"

	"catkinpoint/clock"
	"catkinpoint/flow"
	"catkinpoint/graph"
	"catkinpoint/store"
)

// countsFixture has a job and workers that list ends of its runs, without a store.
type countsFixture struct {
	state   *state
	job     *job
	workers []*worker
	ends    int64
}

func newCountsFixture(t *testing.T, spec *flow.Job, workers int) *countsFixture {
	t.Helper()
	f := &countsFixture{state: newState(clock.Monotonic())}
	f.state.addJob(spec.GetId(), itemOf(t, JobKey(spec.GetId()), spec, 1))
	f.job = f.state.jobs[spec.GetId()]
	f.addWorkers(workers)
	return f
}

func (f *countsFixture) addWorkers(workers int) {
	f.workers = nil
	for n := range workers {
		w := &worker{relay: placeOf(n + 1).Relay, place: placeOf(n + 1), lastReport: clock.Monotonic(), bootOrder: map[string]int{}}
		f.state.workers[w.relay], f.state.byPlace[w.place] = w, w
		f.workers = append(f.workers, w)
	}
}

// start starts the job's first ready unit, with its tasks on the given workers.
func (f *countsFixture) start(workers ...int) {
	unit := f.job.graph.Ready(0)[0]
	var places []graph.Place
	for _, n := range workers {
		places = append(places, f.workers[n].place)
	}
	number := f.job.graph.Assign(unit, places)
	for _, ref := range unit.Tasks {
		f.job.runs[ref] = &run{run: number, stored: true, knownSince: clock.Monotonic()}
		f.state.addActive(f.job, f.job.graph.Task(ref))
	}
}

// list has a worker list the end of a run.
func (f *countsFixture) list(worker int, index int32, number int64, how string) {
	f.ends++
	name := graph.TaskName(f.job.graph.Spec.GetId(), graph.Ref{Index: index})
	f.state.applyEnd(f.workers[worker], &flow.End{Number: f.ends, Task: name, Run: number, How: how})
}

// conclude takes a run as over although its worker has not listed an end.
func (f *countsFixture) conclude(index int32, number int64) {
	f.state.endRun(f.job, graph.Ref{Index: index}, number, "gone", "")
}

// changeHolder replaces the state by that of a holder which knows what is stored.
func (f *countsFixture) changeHolder(t *testing.T) {
	t.Helper()
	id, last := f.job.graph.Spec.GetId(), f.job.graph
	f.state = newState(clock.Monotonic())
	f.state.apply(store.Event{Item: itemOf(t, JobKey(id), last.Spec, 1)})
	f.state.apply(store.Event{Item: itemOf(t, ProgressKey(id), last.Record(), 1)})
	f.state.finishLoad()
	f.state.loaded = true
	f.job = f.state.jobs[id]
	f.addWorkers(len(f.workers))
}

// Guards against a failed run of a gang that counts once for each member, where some members
// are listed as failed only after their run was taken as over.
func TestLateFailuresOfOneGangRunCountOnce(t *testing.T) {
	tests := []struct {
		name         string
		inTime, late []int32 // members that are listed as failed before, and after, the others are taken as over
	}{
		{"one late member", nil, []int32{0}},
		{"two late members", nil, []int32{0, 1}},
		{"one late member beside one in time", []int32{0}, []int32{1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCountsFixture(t, gangJob(jobID, 2), 2)
				f.start(0, 1)
				for _, index := range test.inTime {
					f.list(int(index), index, 1, graph.EndFailed)
				}
				f.conclude(0, 1)
				f.conclude(1, 1)
				for _, index := range test.late {
					f.list(int(index), index, 1, graph.EndFailed)
				}
				if got := f.job.graph.MaxFailures(); got != 1 {
					t.Errorf("%d failures after one failed run", got)
				}
			})
		})
	}
}

// Guards against a late failure that the next holder acknowledges without counting it: it does
// not know that the run was taken as over.
func TestLateFailureCountsUnderNextHolder(t *testing.T) {
	tests := []struct {
		name string
		spec *flow.Job
		late []int32 // tasks that the next holder hears of as failed
	}{
		{"a single task", simpleJob(jobID, 1), []int32{0}},
		{"one member of a gang", gangJob(jobID, 2), []int32{0}},
		{"two members of a gang", gangJob(jobID, 2), []int32{0, 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCountsFixture(t, test.spec, 2)
				f.start([]int{0, 1}[:test.spec.GetSteps()[0].GetCount()]...)
				for index := range test.spec.GetSteps()[0].GetCount() {
					f.conclude(index, 1)
				}
				f.changeHolder(t)
				for _, index := range test.late {
					f.list(int(index), index, 1, graph.EndFailed)
				}
				if got := f.job.graph.MaxFailures(); got != 1 {
					t.Errorf("%d failures after one failed run", got)
				}
			})
		})
	}
}

// Guards against late failures that are lost because a later run of the task was taken as
// over too: each run counts once.
func TestLateFailuresOfSeveralRunsCountOnceEach(t *testing.T) {
	tests := []struct {
		name    string
		spec    *flow.Job
		members int
		late    []int64 // runs in the order in which they are listed as failed
	}{
		{"a single task, in order", simpleJob(jobID, 1), 1, []int64{1, 2}},
		{"a single task, the last run first", simpleJob(jobID, 1), 1, []int64{2, 1}},
		{"a gang of two, in order", gangJob(jobID, 2), 2, []int64{1, 2}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCountsFixture(t, test.spec, 4)
				for number := range int64(2) {
					f.start([]int{int(2 * number), int(2*number + 1)}[:test.members]...)
					for index := range test.members {
						f.conclude(int32(index), number+1)
					}
				}
				for _, number := range test.late {
					for index := range test.members {
						f.list(int(2*(number-1))+index, int32(index), number, graph.EndFailed)
					}
				}
				if got := f.job.graph.MaxFailures(); got != 2 {
					t.Errorf("%d failures after two failed runs", got)
				}
			})
		})
	}
}
