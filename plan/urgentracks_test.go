package plan

import (
	"testing"
	"time"

	"catkinpoint/flow"
)

// Guards against a stream of small tasks with slack that spreads over all racks, so
// that an urgent gang finds no free rack and has to preempt.
func TestEmptiestRackIsSetAsideForUrgentUnits(t *testing.T) {
	tests := []struct {
		name    string
		slack   time.Duration
		ready   time.Duration
		running int // running tasks, all on the first rack
		want    int // starts on the second rack
	}{
		{name: "with slack", slack: 10 * time.Second, running: 24, want: 0},
		{name: "with little slack", slack: time.Second, running: 24, want: 8},
		{name: "after a long wait on a mostly free site", slack: 10 * time.Second, ready: 3 * time.Second, running: 8, want: 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			in := Input{}
			for n := 1; n <= 6; n++ {
				rack := "r1"
				if n > 3 {
					rack = "r2"
				}
				in.Workers = append(in.Workers, newWorker(n, rack))
			}
			taken := test.running
			for i := range in.Workers[:3] {
				n := int64(min(8, taken))
				in.Workers[i].Free.Accelerators -= n
				taken -= int(n)
			}
			small := newJob("0000000000000001", 2, &flow.Step{Count: 8, Cpu: 100, Accelerators: 1})
			in.Requests = readyRequests(small, func(r *Request) { r.Slack, r.ReadyFor = test.slack, test.ready })
			onSecond := 0
			for _, a := range Decide(in).Starts {
				if a.Places[0].Worker >= "w4" {
					onSecond++
				}
			}
			if onSecond != test.want {
				t.Errorf("%d starts on the second rack; want %d", onSecond, test.want)
			}
		})
	}
}
