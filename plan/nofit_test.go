package plan

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"catkinpoint/flow"
)

// Guards against requests that fit rejects by the shortcut of noFit, without a
// search, although a search finds workers for them.
func TestNoFitShortcutAgreesWithSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := Input{}
		for n := range rapid.IntRange(1, 8).Draw(t, "workers") {
			w := newWorker(n, fmt.Sprint("r", n/3))
			taken := rapid.Int64Range(0, 8).Draw(t, "taken")
			w.Free.Accelerators -= taken
			in.Running = append(in.Running, Running{
				Job: newJob(fmt.Sprintf("%016x", 100+n), 1, &flow.Step{Count: 1, Accelerators: taken}), Place: w.Place, Need: Resources{Accelerators: taken},
				Remaining: time.Duration(rapid.Int64Range(0, 9).Draw(t, "remaining")) * time.Second,
			})
			in.Workers = append(in.Workers, w)
		}
		for n := range rapid.IntRange(2, 12).Draw(t, "jobs") {
			step := &flow.Step{
				Count: rapid.Int32Range(1, 4).Draw(t, "count"), Accelerators: rapid.Int64Range(1, 8).Draw(t, "accelerators"),
				Cpu: 1000 * rapid.Int64Range(0, 40).Draw(t, "cpu"), Gang: rapid.Bool().Draw(t, "gang"), SameRack: rapid.Bool().Draw(t, "same_rack"),
				DataRack:      rapid.SampledFrom([]string{"", "r0", "r1", "r9"}).Draw(t, "data_rack"),
				RequiredLabel: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "label"),
				MaxPerWorker:  rapid.Int32Range(0, 2).Draw(t, "max_per_worker"),
			}
			priority := rapid.Int32Range(0, 2).Draw(t, "priority")
			j := newJob(fmt.Sprintf("%016x", n), priority, step)
			seconds := func(name string, low, high int64) time.Duration {
				return time.Duration(rapid.Int64Range(low, high).Draw(t, name)) * time.Second
			}
			slack, ready, duration := seconds("slack", -2, 8), seconds("ready", 0, 4), seconds("duration", 0, 9)
			in.Requests = append(in.Requests, readyRequests(j, func(r *Request) { r.Slack, r.ReadyFor, r.Duration = slack, ready, duration })...)
		}
		s := newState(in)
		for i := range in.Requests {
			r := &in.Requests[i]
			places, ok := s.fit(r, false)
			if foundWorkers, fits := s.fitInto(r, s.free, false); fits != ok {
				t.Fatalf("unit of job %s: search found %v, fit found %v", r.Unit.Job.Spec.GetId(), foundWorkers, places)
			}
			switch {
			case ok:
				s.allocate(r, places)
			case rapid.Bool().Draw(t, "reserve"):
				s.reserveEarliest(r)
			}
		}
	})
}
