package plan

import (
	"testing"
	"time"

	"catkinpoint/flow"
)

// Guards against a suspected task that takes other runs down with its worker: it waits
// for a worker without runs, then takes the one with least at stake, and nothing else
// starts beside it.
func TestSuspectRunsApart(t *testing.T) {
	const first, second, third = "w1", "w2", "w3"
	tests := []struct {
		name     string
		used     [3]int64 // accelerators that runs hold on each worker
		readyFor time.Duration
		want     string // worker of the suspect, or "" if it waits
	}{
		{name: "an empty worker", used: [3]int64{4, 0, 2}, want: second},
		{name: "no empty worker", used: [3]int64{4, 3, 2}},
		{name: "no empty worker for long", used: [3]int64{4, 3, 2}, readyFor: 2 * time.Second, want: third},
		{name: "an empty worker after a long wait", used: [3]int64{0, 3, 2}, readyFor: 2 * time.Second, want: first},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			workers := []Worker{newWorker(1, "r1"), newWorker(2, "r1"), newWorker(3, "r1")}
			var running []Running
			for i, used := range test.used {
				if used > 0 {
					workers[i].Runs = 1
					running = append(running, newRunning(&workers[i], "00000000000000b"+workers[i].Place.Worker[1:], 2, func(r *Running) { r.Need.Accelerators = used }))
				}
			}
			suspect := newJob("0000000000000001", 0, &flow.Step{Count: 1, Cpu: 1000, Accelerators: 1})
			others := newJob("0000000000000002", 1, &flow.Step{Count: 20, Cpu: 1000, Accelerators: 1})
			requests := readyRequests(suspect, func(r *Request) { r.Isolated, r.ReadyFor = true, test.readyFor })
			requests = append(requests, readyRequests(others, nil)...)
			d := Decide(Input{Workers: workers, Requests: requests, Running: running})
			got := ""
			for _, a := range d.Starts {
				if a.Unit.Job == suspect {
					got = a.Places[0].Worker
				}
			}
			if got != test.want {
				t.Errorf("the suspect starts on %q; want %q", got, test.want)
			}
			for _, a := range d.Starts {
				if a.Unit.Job == others && a.Places[0].Worker == got {
					t.Errorf("task %d of another job starts beside the suspect on %s", a.Unit.Tasks[0].Index, got)
				}
			}
			for _, s := range d.Stops {
				if s.Preemptor.Job == suspect {
					t.Errorf("a run of %s is stopped for the suspect", s.Job.Spec.GetId())
				}
			}
		})
	}
}
