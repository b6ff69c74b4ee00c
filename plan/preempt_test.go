package plan

import (
	"testing"
	"time"

	"catkinpoint/flow"
	"catkinpoint/graph"
)

// newRunning returns a run on a worker of a new job that takes all its accelerators,
// after a call of change unless that is nil. It takes the run's resources from
// the worker.
func newRunning(w *Worker, id string, priority int32, change func(*Running)) Running {
	j := newJob(id, priority, &flow.Step{Count: 1, Cpu: 1000, Accelerators: 8})
	unit := j.Ready(0)[0]
	run := j.Assign(unit, []graph.Place{w.Place})
	r := Running{
		Job: j, Ref: unit.Tasks[0], Run: run, Place: w.Place, Need: Resources{MilliCPU: 1000, Accelerators: 8},
		Remaining: 10 * time.Second, ExpectedDuration: 12 * time.Second, SlackAfterStop: 20 * time.Second, Unsaved: time.Second,
	}
	if change != nil {
		change(&r)
	}
	w.Free = w.Free.Sub(r.Need)
	return r
}

// Guards against the stop of a run whose job would then miss its objective, when
// stopping another run loses a little more work but keeps both jobs on time.
func TestPreemptionAvoidsJobsThatWouldBeLate(t *testing.T) {
	workers := []Worker{newWorker(1, "r1"), newWorker(2, "r1")}
	in := Input{Running: []Running{
		newRunning(&workers[0], "0000000000000001", 2, func(r *Running) { r.SlackAfterStop = time.Second }),
		newRunning(&workers[1], "0000000000000002", 2, func(r *Running) { r.Unsaved = 2 * time.Second }),
	}}
	in.Workers = workers
	urgent := newJob("00000000000000ff", 0, &flow.Step{Count: 1, Cpu: 1000, Accelerators: 8, EstimateMs: 5000})
	in.Requests = readyRequests(urgent, nil)
	d := Decide(in)
	if len(d.Stops) != 1 || d.Stops[0].Place.Worker != "w2" {
		t.Errorf("stops: %+v; want the run on w2", d.Stops)
	}
}

// Guards against work that is lost for an urgent unit that would miss its objective
// even with a preemption.
func TestNoPreemptionForLateUnit(t *testing.T) {
	workers := []Worker{newWorker(1, "r1")}
	in := Input{Running: []Running{newRunning(&workers[0], "0000000000000001", 2, nil)}, Workers: workers}
	urgent := newJob("00000000000000ff", 0, &flow.Step{Count: 1, Cpu: 1000, Accelerators: 8, EstimateMs: 5000})
	in.Requests = readyRequests(urgent, func(r *Request) { r.Slack = -time.Second })
	if d := Decide(in); len(d.Stops) != 0 {
		t.Errorf("stops: %+v; want none", d.Stops)
	}
	// A guaranteed unit preempts in any case.
	in.Requests = readyRequests(urgent, func(r *Request) { r.Slack, r.Guaranteed = -time.Second, true })
	if d := Decide(in); len(d.Stops) != 1 {
		t.Errorf("stops for a guaranteed unit: %+v; want one", d.Stops)
	}
}

// Guards against a unit that starts on resources that are being freed for a wide
// unit: it fits elsewhere, although it would fill the wide unit's worker better.
func TestHeldResourcesAreNotGivenToOtherUnits(t *testing.T) {
	workers := []Worker{newWorker(1, "r1"), newWorker(2, "r1")}
	in := Input{Running: []Running{
		newRunning(&workers[0], "0000000000000001", 2, func(r *Running) {
			r.Stopping = true
			r.Need = Resources{MilliCPU: 1000, Accelerators: 4}
		}),
	}}
	in.Workers = workers
	wide := newJob("00000000000000fe", 0, &flow.Step{Count: 1, Cpu: 1000, Accelerators: 8, EstimateMs: 5000, RequiredLabel: "a"})
	small := newJob("00000000000000ff", 0, &flow.Step{Count: 1, Cpu: 1000, Accelerators: 2, EstimateMs: 5000})
	in.Workers[1].Free.Accelerators = 6
	in.Requests = append(
		readyRequests(wide, func(r *Request) { r.Held = []graph.Place{workers[0].Place} }),
		readyRequests(small, func(r *Request) { r.Guaranteed = true })...)
	d := Decide(in)
	if len(d.Starts) != 1 || d.Starts[0].Places[0].Worker != "w2" {
		t.Errorf("starts: %+v; want the small unit on w2", d.Starts)
	}
	if len(d.Holds) != 1 || d.Holds[0].Places[0].Worker != "w1" || len(d.Stops) != 0 {
		t.Errorf("holds %+v, stops %+v; want a hold on w1 and no more stops", d.Holds, d.Stops)
	}
}

// Guards against a burst of urgent gangs in which guaranteed units stop the urgent runs
// of other customers: these have just started, so stopping them loses the least work,
// but their jobs have hardly any time to spare.
func TestGuaranteedUnitStopsUrgentRunsLast(t *testing.T) {
	workers := []Worker{newWorker(1, "r1"), newWorker(2, "r1")}
	in := Input{Running: []Running{
		newRunning(&workers[0], "0000000000000001", 0, func(r *Running) {
			r.Unsaved, r.ExpectedDuration = 100*time.Millisecond, 2500*time.Millisecond
		}),
		newRunning(&workers[1], "0000000000000002", 1, func(r *Running) { r.Unsaved = 4 * time.Second }),
	}}
	in.Workers = workers
	urgent := newJob("00000000000000ff", 0, &flow.Step{Count: 1, Cpu: 1000, Accelerators: 8, EstimateMs: 2500})
	in.Requests = readyRequests(urgent, func(r *Request) { r.Guaranteed = true })
	if d := Decide(in); len(d.Stops) != 1 || d.Stops[0].Place.Worker != "w2" {
		t.Errorf("stops: %+v; want the run of lower priority on w2", d.Stops)
	}
	// The guarantee holds if only urgent runs can make room.
	in.Workers, in.Running = in.Workers[:1], in.Running[:1]
	if d := Decide(in); len(d.Stops) != 1 || d.Stops[0].Place.Worker != "w1" {
		t.Errorf("stops: %+v; want the urgent run on w1", d.Stops)
	}
}
