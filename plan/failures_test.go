package plan

import (
	"testing"
	"time"

	"catkinpoint/flow"
	"catkinpoint/graph"
)

// Guards against units that fail again and again on a worker with recent failures,
// which on a busy cluster is the one with the most free resources: a unit that has
// failed before avoids it, and a worker on trial gets one task at a time.
func TestUnitsAvoidWorkersWithRecentFailures(t *testing.T) {
	tests := []struct {
		name     string
		priority int32
		count    int32
		gang     bool
		change   func(*Worker, *Request)
		want     int // starts on the only worker
	}{
		{name: "healthy worker", priority: 1, count: 4, want: 4},
		{name: "recent failures, first attempt", priority: 1, count: 4, change: func(w *Worker, _ *Request) { w.Unreliable = true }, want: 4},
		{name: "recent failures, unit has failed before", priority: 1, count: 4, change: func(w *Worker, r *Request) { w.Unreliable, r.Failures = true, 1 }},
		{name: "unit has failed on the worker", priority: 1, count: 4, change: func(w *Worker, r *Request) { r.Failures, r.FailedOn = 1, []graph.Place{w.Place} }},
		{
			name: "recent failures, unit has waited long", priority: 1, count: 4, want: 4,
			change: func(w *Worker, r *Request) { w.Unreliable, r.Failures, r.ReadyFor = true, 1, 10*time.Second },
		},
		{name: "on trial", priority: 1, count: 4, change: func(w *Worker, _ *Request) { w.OnTrial = true }, want: 1},
		{name: "on trial, gang", priority: 1, count: 4, gang: true, change: func(w *Worker, _ *Request) { w.OnTrial = true }},
		{name: "on trial, urgent", count: 4, change: func(w *Worker, _ *Request) { w.OnTrial = true }},
		// After all workers had failed for a while, tasks that had failed, gangs and urgent
		// tasks waited though all were sound again.
		{
			name: "on trial as most workers, unit that has failed and waited", count: 4, want: 1,
			change: func(w *Worker, r *Request) {
				w.OnTrial, w.FewTrusted, r.Failures, r.ReadyFor = true, true, 1, 4100*time.Millisecond
			},
		},
		{
			name: "on trial as most workers, urgent", count: 4,
			change: func(w *Worker, r *Request) { w.OnTrial, w.FewTrusted, r.ReadyFor = true, true, 3*time.Second },
		},
		{
			name: "on trial alone, unit that has failed and waited", count: 4,
			change: func(w *Worker, r *Request) { w.OnTrial, r.Failures, r.ReadyFor = true, 1, 10*time.Second },
		},
		{
			name: "on trial, guaranteed unit that has waited", count: 4, want: 4,
			change: func(w *Worker, r *Request) { w.OnTrial, r.Guaranteed, r.ReadyFor = true, true, 1100*time.Millisecond },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			worker := newWorker(1, "r1")
			j := newJob("0000000000000001", test.priority, &flow.Step{Count: test.count, Cpu: 1000, Accelerators: 1, Gang: test.gang})
			in := Input{}
			in.Requests = readyRequests(j, func(r *Request) {
				if test.change != nil {
					test.change(&worker, r)
				}
			})
			in.Workers = []Worker{worker}
			starts := 0
			for _, a := range Decide(in).Starts {
				starts += len(a.Places)
			}
			if starts != test.want {
				t.Errorf("%d starts; want %d", starts, test.want)
			}
		})
	}
}
