package plan

import (
	"testing"
	"time"

	"catkinpoint/flow"
)

// A stream of small tasks with time to spare, and then an urgent gang: the gang
// finds a rack without a stop.
func TestEmptiestRackStaysOpenForUrgentUnits(t *testing.T) {
	tests := []struct {
		name  string
		slack time.Duration
		ready time.Duration
		fill  int // tasks that already run
		want  int // starts on the second rack
	}{
		{name: "time to spare", slack: 10 * time.Second, fill: 24, want: 0},
		{name: "has to start", slack: time.Second, fill: 24, want: 8},
		{name: "long wait while most room is free", slack: 10 * time.Second, ready: 3 * time.Second, fill: 8, want: 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			in := Input{}
			for n := 1; n <= 6; n++ {
				rack := "r1"
				if n > 3 {
					rack = "r2"
				}
				in.Workers = append(in.Workers, workerAt(n, rack))
			}
			taken := test.fill
			for i := range in.Workers[:3] {
				n := int64(min(8, taken))
				in.Workers[i].Free.Accelerators -= n
				taken -= int(n)
			}
			small := jobOf("0000000000000001", 2, &flow.Step{Count: 8, Cpu: 100, Accelerators: 1})
			in.Requests = requestsOf(small, func(r *Request) { r.Slack, r.Ready = test.slack, test.ready })
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
