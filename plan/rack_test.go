package plan

import (
	"testing"
	"time"

	"catkinpoint/flow"
	"catkinpoint/graph"
)

// A gang for one rack waits for its rack as long as that ends sooner than a run
// across racks, which takes three times as long; it does so as well when its
// objective is out of reach, and no longer when there is room for it elsewhere
// that it should use.
func TestGangWaitsForItsRackWhileItGains(t *testing.T) {
	tests := []struct {
		name     string
		duration time.Duration
		ready    time.Duration
		slack    time.Duration
		reclaims bool
		starts   int
	}{
		{name: "a short wait", duration: 5 * time.Second, ready: 2 * time.Second, slack: 4 * time.Second},
		{name: "late already", duration: 5 * time.Second, ready: 2 * time.Second, slack: -time.Second},
		{name: "longer than it gains", duration: 500 * time.Millisecond, ready: 1200 * time.Millisecond, slack: time.Second, starts: 1},
		{name: "longer than anything waits", duration: 5 * time.Second, ready: 9 * time.Second, slack: time.Second, starts: 1},
		{name: "a guarantee that has to begin", duration: 5 * time.Second, ready: 3 * time.Second, slack: time.Second, reclaims: true, starts: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			// One worker of each rack is taken, so that no rack holds two wide tasks.
			in := Input{RemoteFactor: 3}
			for n := 1; n <= 4; n++ {
				in.Workers = append(in.Workers, workerAt(n, []string{"", "r1", "r1", "r2", "r2"}[n]))
			}
			in.Running = []Running{
				runningOn(&in.Workers[0], "0000000000000001", 0, nil), runningOn(&in.Workers[2], "0000000000000002", 0, nil),
			}
			gang := jobOf("00000000000000ff", 1, &flow.Step{Count: 2, Cpu: 1000, Accelerators: 8, Gang: true, SameRack: true})
			in.Requests = requestsOf(gang, func(r *Request) {
				r.Duration, r.Ready, r.Slack, r.Reclaims = test.duration, test.ready, test.slack, test.reclaims
			})
			if d := Decide(in); len(d.Starts) != test.starts {
				t.Errorf("%d starts; want %d", len(d.Starts), test.starts)
			}
		})
	}
}

// An urgent gang for which room is being made in one rack does not leave it for
// a run across racks when its slack runs out, and holds the room until it comes.
func TestGangKeepsTheRoomThatIsMadeForIt(t *testing.T) {
	in := Input{RemoteFactor: 3}
	for n := 1; n <= 4; n++ {
		in.Workers = append(in.Workers, workerAt(n, []string{"", "r1", "r1", "r2", "r2"}[n]))
	}
	stopping := func(r *Running) { r.Stopping = true }
	in.Running = []Running{
		runningOn(&in.Workers[0], "0000000000000001", 2, stopping), runningOn(&in.Workers[2], "0000000000000002", 0, nil),
	}
	gang := jobOf("00000000000000ff", 0, &flow.Step{Count: 2, Cpu: 1000, Accelerators: 8, Gang: true, SameRack: true})
	in.Requests = requestsOf(gang, func(r *Request) {
		r.Duration, r.Ready, r.Slack = 2*time.Second, 700*time.Millisecond, -100*time.Millisecond
		r.Held = []graph.Place{in.Workers[0].Place, in.Workers[1].Place}
	})
	d := Decide(in)
	if len(d.Starts) != 0 || len(d.Holds) != 1 || len(d.Stops) != 0 {
		t.Errorf("starts %+v, holds %+v, stops %+v; want the room to be held", d.Starts, d.Holds, d.Stops)
	}
}

// While urgent units have to wait, other work leaves the emptiest racks to them
// however little time it has; data keeps its rack.
func TestUrgentPressureKeepsRacksOpen(t *testing.T) {
	tests := []struct {
		name    string
		pressed bool
		data    string
		starts  int
	}{
		{name: "no pressure", starts: 8},
		{name: "pressure", pressed: true},
		{name: "data there", pressed: true, data: "r2", starts: 8},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			in := Input{Pressed: test.pressed}
			for n := 1; n <= 4; n++ {
				in.Workers = append(in.Workers, workerAt(n, []string{"", "r1", "r1", "r2", "r2"}[n]))
			}
			for i := range 2 {
				in.Running = append(in.Running, runningOn(&in.Workers[i], "0000000000000001", 1, nil))
			}
			in.Workers[0].Free, in.Workers[1].Free, in.Workers[2].Free.Accelerators = Amount{}, Amount{}, 6
			job := jobOf("00000000000000ff", 2, &flow.Step{Count: 8, Cpu: 100, Accelerators: 1, DataRack: test.data})
			in.Requests = requestsOf(job, func(r *Request) { r.Slack = time.Second })
			if d := Decide(in); len(d.Starts) != test.starts {
				t.Errorf("%d starts; want %d", len(d.Starts), test.starts)
			}
		})
	}
}
