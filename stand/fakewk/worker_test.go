package fakewk

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"catkinpoint/flow"
	"catkinpoint/graph"
	"catkinpoint/relay"
)

const task = "a.0.0.0"

var started = relay.Done()

// startOf returns the start of a run of task.
func startOf(run int64) *flow.Start { return &flow.Start{Task: task, Run: run} }

// Guards against a fake whose epochs, run numbers, leases or process ends differ
// from those of a real worker.
func TestRunOutcomes(t *testing.T) {
	call := func(epoch int64, lease time.Duration) relay.Call {
		return relay.Call{Worker: "w", Epoch: epoch, Deadline: time.Second + lease}
	}
	tests := []struct {
		name  string
		calls func(t *testing.T, w *Worker)
		// want holds how the runs in the record ended.
		want []string
	}{
		{"a task ends when its time is over", func(t *testing.T, w *Worker) {
			expectStart(t, w, call(1, 9*time.Second), startOf(1), started)
			time.Sleep(3 * time.Second)
		}, []string{graph.EndDone}},
		{"a run ends when the task lease expires", func(t *testing.T, w *Worker) {
			expectStart(t, w, call(1, time.Second), startOf(1), started)
			time.Sleep(3 * time.Second)
		}, []string{graph.EndLeaseExpired}},
		{"a start after its deadline is rejected", func(t *testing.T, w *Worker) {
			time.Sleep(2 * time.Second)
			expectStart(t, w, call(1, time.Second), startOf(1), relay.NothingDone(graph.RefusedExpired))
		}, nil},
		{"a call with a lower epoch is rejected", func(t *testing.T, w *Worker) {
			expectStart(t, w, call(2, 9*time.Second), startOf(1), started)
			expectStart(t, w, call(1, 9*time.Second), startOf(2), relay.NothingDone(graph.RefusedStaleEpoch))
		}, []string{""}},
		{"a run that was stopped before its start is rejected", func(t *testing.T, w *Worker) {
			if answer := w.Stop(t.Context(), call(1, 0), &flow.Stop{Task: task, Run: 2}); answer != relay.Done() {
				t.Errorf("stop: %v", answer)
			}
			expectStart(t, w, call(1, 9*time.Second), startOf(1), relay.NothingDone(graph.RefusedStaleRun))
			expectStart(t, w, call(1, 9*time.Second), startOf(2), relay.NothingDone(graph.RefusedStaleRun))
			expectStart(t, w, call(1, 9*time.Second), startOf(3), started)
		}, []string{""}},
		{"a delayed start has no effect on a new process", func(t *testing.T, w *Worker) {
			w.SetStartDelay(2 * time.Second)
			if answer := w.Start(t.Context(), call(1, 9*time.Second), startOf(1)); answer != relay.Unknown(ErrNoAnswer) {
				t.Errorf("delayed start: %v", answer)
			}
			time.Sleep(time.Second)
			w.CrashAndRestart()
			time.Sleep(2 * time.Second)
		}, nil},
		{"a killed process starts nothing", func(t *testing.T, w *Worker) {
			w.Kill()
			if answer := w.Start(t.Context(), call(1, 9*time.Second), startOf(1)); answer != relay.NotReached(relay.ErrNoWorker) {
				t.Errorf("start: %v", answer)
			}
		}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := New(NewCoordinator(), "w", 2*time.Second)
				test.calls(t, w)
				record := w.Record()
				if len(record) != len(test.want) {
					t.Fatalf("record: %v; want %d runs", record, len(test.want))
				}
				for i, r := range record {
					if r.How != test.want[i] {
						t.Errorf("run %d: %q; want %q", r.Run, r.How, test.want[i])
					}
				}
			})
		})
	}
}

// expectStart starts a run and checks the answer.
func expectStart(t *testing.T, w *Worker, call relay.Call, start *flow.Start, want relay.Answer) {
	t.Helper()
	if got := w.Start(t.Context(), call, start); got != want {
		t.Errorf("start of run %d: %v; want %v", start.GetRun(), got, want)
	}
}

// Guards against ends that get lost: an end must be listed until it is observed,
// and a waiting Hold must return as soon as a run ends.
func TestEndsAreListedUntilObserved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := New(NewCoordinator(), "w", time.Second)
		call := relay.Call{Worker: "w", Epoch: 1, Deadline: 20 * time.Second}
		expectStart(t, w, call, startOf(1), started)
		began := time.Now()
		for range 2 {
			lists, answer := w.Hold(t.Context(), call, 0, 5*time.Second)
			if answer != relay.Done() || len(lists.Ends) != 1 || len(lists.Running) != 0 {
				t.Fatalf("lists: %+v, %v", lists, answer)
			}
		}
		if took := time.Since(began); took > 1100*time.Millisecond {
			t.Errorf("the end was listed after %v", took)
		}
		if lists, answer := w.Hold(t.Context(), call, 1, 0); answer != relay.Done() || len(lists.Ends) != 0 {
			t.Errorf("lists after the end was observed: %+v, %v", lists, answer)
		}
	})
}

// Guards against gang members that run alone: the work must begin when all members
// have started, all must end together, and all must end when one of them ends early
// or is not started in time.
func TestGangMembersEndTogether(t *testing.T) {
	tests := []struct {
		name        string
		started     int
		afterStarts func(t *testing.T, workers []*Worker, call relay.Call)
		want        string
		wantAfter   time.Duration // from the first start to the end; not checked for EndGangIncomplete
	}{
		{"all started", 3, func(*testing.T, []*Worker, relay.Call) {}, graph.EndDone, 3 * time.Second},
		{"one not started", 2, func(*testing.T, []*Worker, relay.Call) {}, graph.EndGangIncomplete, joinTimeout},
		{"one stopped", 3, func(t *testing.T, workers []*Worker, call relay.Call) {
			call.Worker = "w0"
			if answer := workers[0].Stop(t.Context(), call, &flow.Stop{Task: "a.0.0.0", Run: 1}); answer != relay.Done() {
				t.Errorf("stop: %v", answer)
			}
		}, graph.EndGangBroken, time.Second},
		{"one crashed", 3, func(_ *testing.T, workers []*Worker, _ relay.Call) { workers[0].CrashAndRestart() }, graph.EndGangBroken, time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				coordinator := NewCoordinator()
				var workers []*Worker
				call := relay.Call{Epoch: 1, Deadline: 20 * time.Second}
				began := time.Now()
				for n := range 3 {
					workers = append(workers, New(coordinator, fmt.Sprint("w", n), 2*time.Second))
				}
				for n := range test.started {
					if n == test.started-1 {
						time.Sleep(time.Second)
					}
					call.Worker = fmt.Sprint("w", n)
					expectStart(t, workers[n], call, &flow.Start{Task: fmt.Sprint("a.0.0.", n), Run: 1, Spec: GangSpec(3)}, started)
				}
				test.afterStarts(t, workers, call)
				time.Sleep(10 * time.Second)
				run := workers[1].Record()[0]
				if got := run.Ended.Sub(began); run.How != test.want || test.want != graph.EndGangIncomplete && got != test.wantAfter {
					t.Errorf("ended %q after %v; want %q after %v", run.How, got, test.want, test.wantAfter)
				}
			})
		})
	}
}
