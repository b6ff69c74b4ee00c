package plan

import (
	"testing"
	"time"

	"catkinpoint/flow"
	"catkinpoint/graph"
)

// Guards against a gang that runs across racks, which takes three times as long,
// when waiting for one rack would end sooner, even if its objective can no longer
// be met; and against one that keeps waiting when it should run across racks.
func TestGangWaitsForOneRackWhileItSavesTime(t *testing.T) {
	tests := []struct {
		name       string
		duration   time.Duration
		ready      time.Duration
		slack      time.Duration
		guaranteed bool
		starts     int
	}{
		{name: "short wait", duration: 5 * time.Second, ready: 2 * time.Second, slack: 4 * time.Second},
		{name: "objective already missed", duration: 5 * time.Second, ready: 2 * time.Second, slack: -time.Second},
		{name: "wait longer than the time saved", duration: 500 * time.Millisecond, ready: 1200 * time.Millisecond, slack: time.Second, starts: 1},
		{name: "wait longer than the maximum", duration: 5 * time.Second, ready: 9 * time.Second, slack: time.Second, starts: 1},
		{name: "guaranteed, wait longer than the maximum", duration: 5 * time.Second, ready: 3 * time.Second, slack: time.Second, guaranteed: true, starts: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			// One worker of each rack is full, so that no rack can hold both tasks.
			in := Input{RemoteFactor: 3}
			for n := 1; n <= 4; n++ {
				in.Workers = append(in.Workers, newWorker(n, []string{"", "r1", "r1", "r2", "r2"}[n]))
			}
			in.Running = []Running{
				newRunning(&in.Workers[0], "0000000000000001", 0, nil), newRunning(&in.Workers[2], "0000000000000002", 0, nil),
			}
			gang := newJob("00000000000000ff", 1, &flow.Step{Count: 2, Cpu: 1000, Accelerators: 8, Gang: true, SameRack: true})
			in.Requests = readyRequests(gang, func(r *Request) {
				r.Duration, r.ReadyFor, r.Slack, r.Guaranteed = test.duration, test.ready, test.slack, test.guaranteed
			})
			if d := Decide(in); len(d.Starts) != test.starts {
				t.Errorf("%d starts; want %d", len(d.Starts), test.starts)
			}
		})
	}
}

// Guards against an urgent gang that gives up its hold on one rack and runs across
// racks when its slack runs out while the resources are still being freed.
func TestGangWaitsForItsHeldRack(t *testing.T) {
	in := Input{RemoteFactor: 3}
	for n := 1; n <= 4; n++ {
		in.Workers = append(in.Workers, newWorker(n, []string{"", "r1", "r1", "r2", "r2"}[n]))
	}
	stopping := func(r *Running) { r.Stopping = true }
	in.Running = []Running{
		newRunning(&in.Workers[0], "0000000000000001", 2, stopping), newRunning(&in.Workers[2], "0000000000000002", 0, nil),
	}
	gang := newJob("00000000000000ff", 0, &flow.Step{Count: 2, Cpu: 1000, Accelerators: 8, Gang: true, SameRack: true})
	in.Requests = readyRequests(gang, func(r *Request) {
		r.Duration, r.ReadyFor, r.Slack = 2*time.Second, 700*time.Millisecond, -100*time.Millisecond
		r.Held = []graph.Place{in.Workers[0].Place, in.Workers[1].Place}
	})
	d := Decide(in)
	if len(d.Starts) != 0 || len(d.Holds) != 1 || len(d.Stops) != 0 {
		t.Errorf("starts %+v, holds %+v, stops %+v; want one hold only", d.Starts, d.Holds, d.Stops)
	}
}

// Guards against units that use the racks set aside for urgent units while urgent
// units have to wait, however little slack they have; units whose data is on such
// a rack may still use it.
func TestWaitingUrgentUnitsSetRacksAside(t *testing.T) {
	tests := []struct {
		name         string
		urgentWaited bool
		data         string
		starts       int
	}{
		{name: "no urgent unit has waited", starts: 8},
		{name: "an urgent unit has waited", urgentWaited: true},
		{name: "an urgent unit has waited, data on the rack", urgentWaited: true, data: "r2", starts: 8},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			in := Input{UrgentWaitedRecently: test.urgentWaited}
			for n := 1; n <= 4; n++ {
				in.Workers = append(in.Workers, newWorker(n, []string{"", "r1", "r1", "r2", "r2"}[n]))
			}
			for i := range 2 {
				in.Running = append(in.Running, newRunning(&in.Workers[i], "0000000000000001", 1, nil))
			}
			in.Workers[0].Free, in.Workers[1].Free, in.Workers[2].Free.Accelerators = Resources{}, Resources{}, 6
			job := newJob("00000000000000ff", 2, &flow.Step{Count: 8, Cpu: 100, Accelerators: 1, DataRack: test.data})
			in.Requests = readyRequests(job, func(r *Request) { r.Slack = time.Second })
			if d := Decide(in); len(d.Starts) != test.starts {
				t.Errorf("%d starts; want %d", len(d.Starts), test.starts)
			}
		})
	}
}
