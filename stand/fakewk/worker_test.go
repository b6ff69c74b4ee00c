package fakewk

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"catkinpoint/flow"
	"catkinpoint/graph"
	"catkinpoint/relay"
)

const task = "a.0.0.0"

func order(run int64) *flow.Start { return &flow.Start{Task: task, Run: run} }

func TestRules(t *testing.T) {
	call := func(epoch int64, lease time.Duration) relay.Call {
		return relay.Call{Worker: "w", Epoch: epoch, Deadline: time.Second + lease}
	}
	tests := []struct {
		name string
		do   func(t *testing.T, w *Worker)
		// want are the ends of the runs in the record.
		want []string
	}{
		{"a task ends when its time is over", func(t *testing.T, w *Worker) {
			must(t, w, call(1, 9*time.Second), order(1), relay.AnswerStarted)
			time.Sleep(3 * time.Second)
		}, []string{graph.EndDone}},
		{"the lease kills what runs", func(t *testing.T, w *Worker) {
			must(t, w, call(1, time.Second), order(1), relay.AnswerStarted)
			time.Sleep(3 * time.Second)
		}, []string{graph.EndLeaseExpired}},
		{"a start after its deadline", func(t *testing.T, w *Worker) {
			time.Sleep(2 * time.Second)
			must(t, w, call(1, time.Second), order(1), graph.RefusedExpired)
		}, nil},
		{"a lower epoch", func(t *testing.T, w *Worker) {
			must(t, w, call(2, 9*time.Second), order(1), relay.AnswerStarted)
			must(t, w, call(1, 9*time.Second), order(2), graph.RefusedStaleEpoch)
		}, []string{""}},
		{"a run that was stopped before it came", func(t *testing.T, w *Worker) {
			if reason, err := w.Stop(t.Context(), call(1, 0), &flow.Stop{Task: task, Run: 2}); reason != "" || err != nil {
				t.Errorf("stop: %q, %v", reason, err)
			}
			must(t, w, call(1, 9*time.Second), order(1), graph.RefusedStaleRun)
			must(t, w, call(1, 9*time.Second), order(2), graph.RefusedStaleRun)
			must(t, w, call(1, 9*time.Second), order(3), relay.AnswerStarted)
		}, []string{""}},
		{"a late start does not reach a new process", func(t *testing.T, w *Worker) {
			w.SetLate(2 * time.Second)
			if _, err := w.Start(t.Context(), call(1, 9*time.Second), order(1)); !errors.Is(err, ErrSilent) {
				t.Errorf("late start: %v", err)
			}
			time.Sleep(time.Second)
			w.Crash()
			time.Sleep(2 * time.Second)
		}, nil},
		{"a process that has left", func(t *testing.T, w *Worker) {
			w.Leave()
			if _, err := w.Start(t.Context(), call(1, 9*time.Second), order(1)); !errors.Is(err, relay.ErrNoWorker) {
				t.Errorf("start: %v", err)
			}
		}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := New(NewSite(), "w", 2*time.Second)
				test.do(t, w)
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

func must(t *testing.T, w *Worker, call relay.Call, start *flow.Start, want string) {
	t.Helper()
	if got, err := w.Start(t.Context(), call, start); got != want || err != nil {
		t.Errorf("start of run %d: %q, %v; want %q", start.GetRun(), got, err, want)
	}
}

// Ends are listed until they are observed, and a call that waits for one gets it
// at once.
func TestEndsAreListedUntilObserved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := New(NewSite(), "w", time.Second)
		call := relay.Call{Worker: "w", Epoch: 1, Deadline: 20 * time.Second}
		must(t, w, call, order(1), relay.AnswerStarted)
		began := time.Now()
		for range 2 {
			lists, err := w.Hold(t.Context(), call, 0, 5*time.Second)
			if err != nil || len(lists.Ends) != 1 || len(lists.Running) != 0 {
				t.Fatalf("lists: %+v, %v", lists, err)
			}
		}
		if took := time.Since(began); took > 1100*time.Millisecond {
			t.Errorf("the end was listed after %v", took)
		}
		if lists, err := w.Hold(t.Context(), call, 1, 0); err != nil || len(lists.Ends) != 0 {
			t.Errorf("lists after the end was observed: %+v, %v", lists, err)
		}
	})
}

// A gang's members work from when all are there, end together, and give up when
// one of them ends or does not come.
func TestGangs(t *testing.T) {
	tests := []struct {
		name   string
		starts int
		then   func(t *testing.T, workers []*Worker, call relay.Call)
		want   string
		after  time.Duration // from the first start to the end
	}{
		{"all come", 3, func(*testing.T, []*Worker, relay.Call) {}, graph.EndDone, 3 * time.Second},
		{"one does not come", 2, func(*testing.T, []*Worker, relay.Call) {}, graph.EndGangIncomplete, gangWait},
		{"one is stopped", 3, func(t *testing.T, workers []*Worker, call relay.Call) {
			call.Worker = "w0"
			if reason, err := workers[0].Stop(t.Context(), call, &flow.Stop{Task: "a.0.0.0", Run: 1}); reason != "" || err != nil {
				t.Errorf("stop: %q, %v", reason, err)
			}
		}, graph.EndGangBroken, time.Second},
		{"one crashes", 3, func(_ *testing.T, workers []*Worker, _ relay.Call) { workers[0].Crash() }, graph.EndGangBroken, time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				site := NewSite()
				var workers []*Worker
				call := relay.Call{Epoch: 1, Deadline: 20 * time.Second}
				began := time.Now()
				for n := range 3 {
					workers = append(workers, New(site, fmt.Sprint("w", n), 2*time.Second))
				}
				for n := range test.starts {
					if n == test.starts-1 {
						time.Sleep(time.Second)
					}
					call.Worker = fmt.Sprint("w", n)
					must(t, workers[n], call, &flow.Start{Task: fmt.Sprint("a.0.0.", n), Run: 1, Spec: Gang(3)}, relay.AnswerStarted)
				}
				test.then(t, workers, call)
				time.Sleep(10 * time.Second)
				last := workers[1].Record()[0]
				if got := last.Ended.Sub(began); last.How != test.want || test.want != graph.EndGangIncomplete && got != test.after {
					t.Errorf("ended %q after %v; want %q after %v", last.How, got, test.want, test.after)
				}
			})
		})
	}
}
