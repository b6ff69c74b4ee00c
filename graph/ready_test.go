package graph

import (
	"testing"

	"pgregory.net/rapid"

	"catkinpoint/flow"
)

// drawJob draws a job with steps that wait for earlier ones, gangs and occurrences.
func drawJob(t *rapid.T) *Job {
	spec := &flow.Job{Id: "00000000000000aa", MaxAttempts: 1000, Repeats: int32(rapid.IntRange(1, 3).Draw(t, "repeats")), PeriodMs: 1}
	for n := range rapid.IntRange(1, 4).Draw(t, "steps") {
		step := &flow.Step{Count: int32(rapid.IntRange(1, 5).Draw(t, "count")), Gang: rapid.Bool().Draw(t, "gang"), Cpu: int64(n + 1), EstimateMs: 10}
		for earlier := range n {
			if rapid.Bool().Draw(t, "after") {
				step.After = append(step.After, int32(earlier))
			}
		}
		spec.Steps = append(spec.Steps, step)
	}
	return New(spec, nil)
}

// scan calls f for each task of a step of an occurrence.
func (j *Job) scan(occurrence, step int32, f func(t *Task)) {
	for i := range j.Spec.GetSteps()[step].GetCount() {
		ref := Ref{occurrence, step, i}
		if t := j.Task(ref); t != nil {
			f(t)
		} else {
			f(&Task{Ref: ref})
		}
	}
}

// Guards against counts that differ from what scanning all tasks shows, after any order of
// starts and ends: the job would stand still, or a task would run twice.
func TestCountsAgreeWithTasks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := drawJob(t)
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			ready, active := j.Ready(100), j.Active()
			switch change := rapid.IntRange(0, 4).Draw(t, "change"); {
			case change <= 1 && len(ready) > 0:
				u := ready[rapid.IntRange(0, len(ready)-1).Draw(t, "unit")]
				j.Assign(u, testPlaces(u))
			case change == 2 && len(active) > 0:
				a := active[rapid.IntRange(0, len(active)-1).Draw(t, "started")]
				j.MarkStarted(a.Ref, a.Run)
			case change >= 3 && len(active) > 0:
				a := active[rapid.IntRange(0, len(active)-1).Draw(t, "ended")]
				how := rapid.SampledFrom([]string{EndDone, EndDone, EndFailed, EndStopped, EndGangBroken, EndUnreachable}).Draw(t, "how")
				run := a.Run
				j.End(a.Ref, run, how, "")
				if how == EndUnreachable && rapid.Bool().Draw(t, "late") {
					j.RecordLateSuccess(a.Ref, run)
				}
			}
			checkCounts(t, j)
		}
	})
}

func checkCounts(t *rapid.T, j *Job) {
	ready := map[Ref]int{} // tasks of units, by their first
	for _, u := range j.Ready(100) {
		ready[u.Tasks[0]] = len(u.Tasks)
	}
	want := map[Ref]int{}
	tasks := 0
	for occurrence := range j.Occurrences() {
		waiting := Demand{}
		done := make([]bool, len(j.Spec.GetSteps()))
		for n, step := range j.Spec.GetSteps() {
			blocked := false
			for _, earlier := range step.GetAfter() {
				blocked = blocked || !done[earlier]
			}
			var idle []Ref
			doneTasks, begun, over, run := int32(0), int32(0), int32(0), int64(0)
			j.scan(occurrence, int32(n), func(t *Task) { run = max(run, t.Run) })
			j.scan(occurrence, int32(n), func(t *Task) {
				doneTasks += one(t.Done)
				if !t.busy() {
					idle = append(idle, t.Ref)
					waiting = waiting.plus(1, j.facts.demands[n])
				}
				begun += one(t.Run == run && run > 0 && (t.Started || t.Done))
				over += one(t.Run == run && run > 0 && !t.Started && !t.Done && !t.Active())
			})
			done[n] = doneTasks == step.GetCount()
			switch {
			case blocked:
			case !step.GetGang():
				for _, ref := range idle {
					want[ref] = 1
				}
				tasks += len(idle)
			case len(idle) == int(step.GetCount()):
				want[idle[0]] = len(idle)
				tasks += len(idle)
			}
			first := Ref{occurrence, int32(n), 0}
			if step.GetGang() && run > 0 && occurrence >= j.openFrom {
				if got := j.MembersStarted(first, run); got != (begun == step.GetCount()) {
					t.Fatalf("members of %v have started run %d: %t; %d of %d have", first, run, got, begun, step.GetCount())
				}
				if got := j.GangBroken(first, run); got != (over > 0) {
					t.Fatalf("run %d of gang %v is broken: %t; %d members are over", run, first, got, over)
				}
			}
		}
		if got := j.WaitingDemand(occurrence); got != waiting {
			t.Fatalf("waiting demand of occurrence %d is %v; want %v", occurrence, got, waiting)
		}
	}
	if len(ready) != len(want) {
		t.Fatalf("%d units are ready; want %d", len(ready), len(want))
	}
	for ref, n := range want {
		if ready[ref] != n {
			t.Fatalf("unit of %v has %d tasks; want %d", ref, ready[ref], n)
		}
	}
	if got, _ := j.ReadyTasks(100, 1000); got != tasks {
		t.Fatalf("%d tasks are ready; want %d", got, tasks)
	}
	checkTurns(t, j, len(want))
}

// checkTurns checks that ReadyUpTo keeps to its limit and reaches each step of the first
// occurrence that is ready.
func checkTurns(t *rapid.T, j *Job, units int) {
	limit := rapid.IntRange(1, 4).Draw(t, "limit")
	reached, want := map[int32]bool{}, map[int32]bool{}
	for _, u := range j.Ready(100) {
		if u.Tasks[0].Occurrence == j.openFrom {
			want[u.Tasks[0].Step] = true
		}
	}
	for offset := range 12 {
		tasks := 0
		found := j.ReadyUpTo(100, limit, offset)
		for _, u := range found {
			tasks += len(u.Tasks)
			if u.Tasks[0].Occurrence == j.openFrom {
				reached[u.Tasks[0].Step] = true
			}
		}
		if len(found) == 0 && units > 0 || tasks > limit && len(found) > 1 {
			t.Fatalf("%d units of %d tasks with a limit of %d; %d are ready", len(found), tasks, limit, units)
		}
	}
	if len(reached) != len(want) {
		t.Fatalf("steps %v of %v are reached", reached, want)
	}
}

// Guards against tasks in memory without a bound, of pages that are begun and not done, and
// against a job that then stands still.
func TestLimitedTasksBeginNoFurtherPages(t *testing.T) {
	const tasks, limit = 4000, 600
	j := New(&flow.Job{Id: "00000000000000aa", Steps: []*flow.Step{{Count: tasks}}}, nil)
	j.SplitPages(100)
	j.LimitTasks(limit)
	for round := 0; j.openFrom == 0; round++ {
		units := j.Ready(0)
		if len(units) == 0 || round > tasks {
			t.Fatalf("nothing is ready in round %d", round)
		}
		for _, u := range units {
			if !j.mayOpen(u.Tasks[0]) {
				continue // as the decision before this one would have
			}
			j.Assign(u, testPlaces(u))
		}
		if n := j.StartedTasks(); n > limit+100 {
			t.Fatalf("%d tasks in memory; want at most %d", n, limit+100)
		}
		for _, a := range j.Active() {
			j.End(a.Ref, a.Run, EndDone, "")
		}
		for page := range int64(tasks / 100) {
			if !j.donePages.contains(page) && j.PageDone(page) {
				j.ForgetPage(page)
			}
		}
	}
}
