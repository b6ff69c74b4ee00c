package graph

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"catkinpoint/flow"
)

func testPlace(n int) Place { return Place{Worker: fmt.Sprint("w", n), StartUnixMS: 1, Relay: "r"} }

func testPlaces(u Unit) []Place {
	places := make([]Place, len(u.Tasks))
	for i := range places {
		places[i] = testPlace(i)
	}
	return places
}

func TestStepsWaitForDependencies(t *testing.T) {
	j := New(&flow.Job{Id: "a", MaxAttempts: 2, Steps: []*flow.Step{{Count: 2}, {Count: 1, After: []int32{0}}}}, nil)
	first := j.Ready(0)
	if len(first) != 2 {
		t.Fatalf("%d units are ready; want the 2 tasks of the first step", len(first))
	}
	for i, u := range first {
		j.Assign(u, testPlaces(u))
		if len(j.Ready(0)) != 1-i {
			t.Errorf("after %d starts: %d units are ready", i+1, len(j.Ready(0)))
		}
		j.End(u.Tasks[0], 1, EndDone, "")
	}
	second := j.Ready(0)
	if len(second) != 1 || second[0].Tasks[0].Step != 1 {
		t.Fatalf("after the first step: ready units %v; want the task of step 1", second)
	}
	j.Assign(second[0], testPlaces(second[0]))
	j.End(second[0].Tasks[0], 1, EndDone, "")
	if !j.Advance(7) || j.Phase != flow.Phase_COMPLETED || j.EndedUnixMS != 7 {
		t.Errorf("phase %v", j.Phase)
	}
}

func TestEndsOfGangMembers(t *testing.T) {
	tests := []struct {
		name     string
		outcomes [2]string // of the two members, in order
		phase    flow.Phase
		ready    int
		failed   int32
	}{
		{"success of one member counts for all", [2]string{EndDone, EndGangBroken}, flow.Phase_COMPLETED, 0, 0},
		{"a failure counts once for the gang", [2]string{EndFailed, EndGangBroken}, flow.Phase_RUNNING, 1, 1},
		{"an incomplete gang is no failure", [2]string{EndGangIncomplete, EndStopped}, flow.Phase_RUNNING, 1, 0},
		{"a lost run is no failure", [2]string{"gone", EndGangBroken}, flow.Phase_RUNNING, 1, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			j := New(&flow.Job{Id: "a", MaxAttempts: 2, Steps: []*flow.Step{{Count: 2, Gang: true}}}, nil)
			u := j.Ready(0)[0]
			run := j.Assign(u, testPlaces(u))
			j.End(u.Tasks[0], run, test.outcomes[0], "")
			if test.phase == flow.Phase_RUNNING && len(j.Ready(0)) != 0 {
				t.Error("the gang is ready although a member is active")
			}
			j.End(u.Tasks[1], run, test.outcomes[1], "")
			j.Advance(1)
			if j.Phase != test.phase || len(j.Ready(0)) != test.ready || j.Task(u.Tasks[1]).Failures != test.failed {
				t.Errorf("phase %v, %d ready, %d failures", j.Phase, len(j.Ready(0)), j.Task(u.Tasks[1]).Failures)
			}
		})
	}
}

func TestJobFailsAfterMaxAttempts(t *testing.T) {
	j := New(&flow.Job{Id: "a", MaxAttempts: 2, Steps: []*flow.Step{{Count: 1}}}, nil)
	for run := int64(1); run <= 2; run++ {
		u := j.Ready(0)[0]
		if got := j.Assign(u, testPlaces(u)); got != run {
			t.Errorf("run %d; want %d", got, run)
		}
		if j.End(u.Tasks[0], run-1, EndFailed, "") {
			t.Error("the end of an earlier run was recorded")
		}
		j.End(u.Tasks[0], run, EndFailed, "")
		if j.End(u.Tasks[0], run, EndFailed, "") {
			t.Error("an end was recorded twice")
		}
		j.Advance(1)
	}
	if j.Phase != flow.Phase_FAILED || len(j.Ready(0)) != 0 {
		t.Errorf("phase %v, %d ready", j.Phase, len(j.Ready(0)))
	}
}

func TestScheduledAndLongRunningJobs(t *testing.T) {
	scheduled := New(&flow.Job{Id: "a", Repeats: 3, StartUnixMs: 1000, PeriodMs: 500, Steps: []*flow.Step{{Count: 1}}}, nil)
	for _, test := range []struct{ now, want int64 }{{999, 0}, {1000, 1}, {1500, 2}, {9000, 3}} {
		if got := len(scheduled.Ready(test.now)); got != int(test.want) {
			t.Errorf("at %d: %d units are ready; want %d", test.now, got, test.want)
		}
	}
	longRunning := New(&flow.Job{Id: "b", MaxAttempts: 1, Steps: []*flow.Step{{Count: 1, LongRunning: true}}}, nil)
	for range 5 {
		u := longRunning.Ready(0)
		if len(u) != 1 {
			t.Fatal("the long-running task is not ready again after a failure")
		}
		longRunning.End(u[0].Tasks[0], longRunning.Assign(u[0], testPlaces(u[0])), EndFailed, "")
		if longRunning.Advance(1) {
			t.Fatalf("the long-running job reached phase %v", longRunning.Phase)
		}
	}
}

func TestNextRunResumesFromCheckpoint(t *testing.T) {
	j := New(&flow.Job{Id: "a", MaxAttempts: 3, Steps: []*flow.Step{{Count: 2, Gang: true, Checkpointing: true}}}, nil)
	u := j.Ready(0)[0]
	run := j.Assign(u, testPlaces(u))
	j.End(u.Tasks[0], run, EndStopped, "c1")
	j.End(u.Tasks[1], run, EndGangBroken, "")
	next := j.Ready(0)[0]
	j.Assign(next, testPlaces(next))
	for _, ref := range next.Tasks {
		if got := j.Task(ref).Checkpoint; got != "c1" {
			t.Errorf("checkpoint of %v: %q", ref, got)
		}
	}
}

// TestRecordRoundTrip guards against progress that is lost when a job is read back
// from its record, and against ready tasks that are done or active, after random
// starts and ends.
func TestRecordRoundTrip(t *testing.T) {
	outcomes := []string{EndDone, EndFailed, EndStopped, EndLeaseExpired, EndGangBroken, EndGangIncomplete, "gone"}
	rapid.Check(t, func(t *rapid.T) {
		spec := &flow.Job{Id: "a", MaxAttempts: 3, Steps: []*flow.Step{
			{Count: 2, Gang: true, Checkpointing: true}, {Count: 2, After: []int32{0}},
		}}
		j := New(spec, nil)
		for range rapid.IntRange(0, 20).Draw(t, "operations") {
			units := j.Ready(0)
			active := j.Active()
			if len(units) > 0 && rapid.Bool().Draw(t, "start") {
				u := units[rapid.IntRange(0, len(units)-1).Draw(t, "unit")]
				j.Assign(u, testPlaces(u))
			} else if len(active) > 0 {
				a := active[rapid.IntRange(0, len(active)-1).Draw(t, "task")]
				j.End(a.Ref, a.Run, rapid.SampledFrom(outcomes).Draw(t, "outcome"), "c")
			}
			j.Advance(5)
			again := New(spec, j.Record())
			if diff := cmp.Diff(j.Record().String(), again.Record().String()); diff != "" || !proto.Equal(j.Record(), again.Record()) {
				t.Fatalf("record differs: %s", diff)
			}
			for _, u := range again.Ready(0) {
				for _, ref := range u.Tasks {
					if task := again.Task(ref); task != nil && (task.Done || task.Active()) {
						t.Fatalf("%v is ready: %+v", ref, task)
					}
				}
			}
		}
	})
}

func TestParseTask(t *testing.T) {
	job, ref, err := ParseTask(TaskName("ab", Ref{1, 2, 3}))
	if err != nil || job != "ab" || ref != (Ref{1, 2, 3}) {
		t.Errorf("parsed %q, %v, %v", job, ref, err)
	}
	for _, bad := range []string{"", "a", "a.1.2", "a.1.2.x", "a.1.-2.3", "a.1.2.3.4", "a.1.2.99999999999"} {
		if _, _, err := ParseTask(bad); err == nil {
			t.Errorf("%q was parsed", bad)
		}
	}
}

func TestCheckRejectsInvalidJobs(t *testing.T) {
	tests := []struct {
		name string
		job  *flow.Job
		ok   bool
	}{
		{"simple", &flow.Job{Steps: []*flow.Step{{Count: 1}}}, true},
		{"no steps", &flow.Job{}, false},
		{"no tasks", &flow.Job{Steps: []*flow.Step{{}}}, false},
		{"too many tasks", &flow.Job{Steps: []*flow.Step{{Count: MaxTasks}, {Count: 1}}}, false},
		{"step after itself", &flow.Job{Steps: []*flow.Step{{Count: 1, After: []int32{0}}}}, false},
		{"negative resources", &flow.Job{Steps: []*flow.Step{{Count: 1, Cpu: -1}}}, false},
		{"resources whose sum overflows", &flow.Job{Steps: []*flow.Step{{Count: 2, MemoryMb: 1 << 62}}}, false},
		{"run time too long", &flow.Job{Steps: []*flow.Step{{Count: 1, EstimateMs: 1 << 62}}}, false},
		{"repeated without a period", &flow.Job{Repeats: 2, Steps: []*flow.Step{{Count: 1}}}, false},
	}
	for _, test := range tests {
		if err := Check(test.job); (err == nil) != test.ok {
			t.Errorf("%s: %v", test.name, err)
		}
	}
}

func TestActiveAfterStartsAndEnds(t *testing.T) {
	j := New(&flow.Job{Id: "a", MaxAttempts: 3, Steps: []*flow.Step{{Count: 2}}}, nil)
	if n := len(j.Active()); n != 0 {
		t.Errorf("%d active tasks before a start", n)
	}
	for _, u := range j.Ready(0) {
		j.Assign(u, testPlaces(u))
	}
	before := j.Active()
	if len(before) != 2 || before[0].Ref.Index != 0 {
		t.Errorf("active tasks after two starts: %v", before)
	}
	j.End(Ref{0, 0, 0}, 1, EndStopped, "")
	if after := j.Active(); len(after) != 1 || after[0].Ref.Index != 1 || len(before) != 2 {
		t.Errorf("active tasks after an end: %v; the slice returned before the end: %v", after, before)
	}
}

// A job whose runs were assigned and never started counted as begun, so that it was not
// among the pending ones.
func TestJobIsQueuedUntilItsFirstStart(t *testing.T) {
	tests := []struct {
		name  string
		event func(j *Job, ref Ref)
		want  flow.Phase
	}{
		{"assigned", func(*Job, Ref) {}, flow.Phase_QUEUED},
		{"refused", func(j *Job, ref Ref) { j.End(ref, 1, "refused_"+RefusedNoRoom, "") }, flow.Phase_QUEUED},
		{"never started", func(j *Job, ref Ref) { j.End(ref, 1, "never_started", "") }, flow.Phase_QUEUED},
		{"started", func(j *Job, ref Ref) { j.MarkStarted(ref, 1) }, flow.Phase_RUNNING},
		{"started and lost", func(j *Job, ref Ref) { j.MarkStarted(ref, 1); j.End(ref, 1, "gone", "") }, flow.Phase_RUNNING},
		{"ended before it was listed", func(j *Job, ref Ref) { j.End(ref, 1, EndFailed, "") }, flow.Phase_RUNNING},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			j := New(&flow.Job{Id: "a", MaxAttempts: 2, Steps: []*flow.Step{{Count: 1}}}, nil)
			u := j.Ready(0)[0]
			j.Assign(u, testPlaces(u))
			test.event(j, u.Tasks[0])
			if j.Phase != test.want {
				t.Errorf("phase %v; want %v", j.Phase, test.want)
			}
		})
	}
}
