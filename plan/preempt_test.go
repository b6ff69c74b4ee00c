package plan

import (
	"testing"
	"time"

	"catkinpoint/flow"
	"catkinpoint/graph"
)

// runningOn returns a run of a job that takes a whole worker.
func runningOn(w *Worker, id string, priority int32, change func(*Running)) Running {
	j := jobOf(id, priority, &flow.Step{Count: 1, Cpu: 1000, Accelerators: 8})
	unit := j.Ready(0)[0]
	run := j.Assign(unit, []graph.Place{w.Place})
	r := Running{
		Job: j, Ref: unit.Tasks[0], Run: run, At: w.Place, Need: Amount{CPU: 1000, Accelerators: 8},
		Remaining: 10 * time.Second, Expected: 12 * time.Second, Spare: 20 * time.Second, Unsaved: time.Second,
	}
	if change != nil {
		change(&r)
	}
	w.Free = w.Free.Minus(r.Need)
	return r
}

// Of two runs on full workers, the one whose job stays on time is stopped, also
// if a little more work is thrown away.
func TestStopSparesJobsThatWouldBeLate(t *testing.T) {
	workers := []Worker{workerAt(1, "r1"), workerAt(2, "r1")}
	in := Input{Running: []Running{
		runningOn(&workers[0], "0000000000000001", 2, func(r *Running) { r.Spare = time.Second }),
		runningOn(&workers[1], "0000000000000002", 2, func(r *Running) { r.Unsaved = 2 * time.Second }),
	}}
	in.Workers = workers
	urgent := jobOf("00000000000000ff", 0, &flow.Step{Count: 1, Cpu: 1000, Accelerators: 8, EstimateMs: 5000})
	in.Requests = requestsOf(urgent, nil)
	d := Decide(in)
	if len(d.Stops) != 1 || d.Stops[0].At.Worker != "w2" {
		t.Errorf("stops: %+v; want the run on w2", d.Stops)
	}
}

// Nothing is stopped for a unit that would miss its objective all the same.
func TestNoStopForLateUnit(t *testing.T) {
	workers := []Worker{workerAt(1, "r1")}
	in := Input{Running: []Running{runningOn(&workers[0], "0000000000000001", 2, nil)}, Workers: workers}
	urgent := jobOf("00000000000000ff", 0, &flow.Step{Count: 1, Cpu: 1000, Accelerators: 8, EstimateMs: 5000})
	in.Requests = requestsOf(urgent, func(r *Request) { r.Slack = -time.Second })
	if d := Decide(in); len(d.Stops) != 0 {
		t.Errorf("stops: %+v", d.Stops)
	}
	// A guarantee reclaims its room in any case.
	in.Requests = requestsOf(urgent, func(r *Request) { r.Slack, r.Reclaims = -time.Second, true })
	if d := Decide(in); len(d.Stops) != 1 {
		t.Errorf("stops for a guarantee: %+v", d.Stops)
	}
}

// Room that is being made for a wide unit is not taken by another urgent one
// that fits elsewhere, although it would fill that worker better.
func TestHeldRoomIsNotGivenAway(t *testing.T) {
	workers := []Worker{workerAt(1, "r1"), workerAt(2, "r1")}
	in := Input{Running: []Running{
		runningOn(&workers[0], "0000000000000001", 2, func(r *Running) {
			r.Stopping = true
			r.Need = Amount{CPU: 1000, Accelerators: 4}
		}),
	}}
	in.Workers = workers
	wide := jobOf("00000000000000fe", 0, &flow.Step{Count: 1, Cpu: 1000, Accelerators: 8, EstimateMs: 5000, RequiredLabel: "a"})
	small := jobOf("00000000000000ff", 0, &flow.Step{Count: 1, Cpu: 1000, Accelerators: 2, EstimateMs: 5000})
	in.Workers[1].Free.Accelerators = 6
	in.Requests = append(
		requestsOf(wide, func(r *Request) { r.Held = []graph.Place{workers[0].Place} }),
		requestsOf(small, func(r *Request) { r.Reclaims = true })...)
	d := Decide(in)
	if len(d.Starts) != 1 || d.Starts[0].Places[0].Worker != "w2" {
		t.Errorf("starts: %+v; want the small unit on w2", d.Starts)
	}
	if len(d.Holds) != 1 || d.Holds[0].Places[0].Worker != "w1" || len(d.Stops) != 0 {
		t.Errorf("holds %+v, stops %+v; want w1 to be held without more stops", d.Holds, d.Stops)
	}
}
