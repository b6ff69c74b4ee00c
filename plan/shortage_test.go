package plan

import (
	"fmt"
	"testing"
	"time"

	"catkinpoint/flow"
	"catkinpoint/graph"
)

// Guards against a unit that fits on no worker, even an empty one, and a unit of another
// service, that keep others which exceed the starvation bound from their turn.
func TestStarvingUnitFits(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*flow.Job)
	}{
		{"too wide", func(j *flow.Job) { j.Steps[0].Count, j.Steps[0].Gang = 2, true }},
		{"label", func(j *flow.Job) { j.Steps[0].RequiredLabel = "none" }},
		{"other service", func(j *flow.Job) { j.Service = "other" }},
	} {
		in := Input{Workers: []Worker{newWorker(1, "r1")}, OrderByCost: true}
		add := func(id string, priority int32, wait, slack time.Duration, change func(*flow.Job)) {
			j := withObjective(newJob(id, priority, &flow.Step{Count: 1, Cpu: 1000, Accelerators: 8, EstimateMs: 5000}), 1, time.Second)
			change(j.Spec)
			j = graph.New(j.Spec, nil)
			in.Requests = append(in.Requests, readyRequests(j, func(r *Request) { r.Slack, r.DeadlineSlack, r.ReadyFor = slack, slack+time.Second, wait })...)
		}
		add("0000000000000001", 2, 80*time.Second, -time.Minute, c.change)
		add("0000000000000002", 2, 70*time.Second, -time.Minute, func(*flow.Job) {})
		for n := range 20 {
			add(fmt.Sprintf("%016x", 16+n), 1, 0, time.Second, func(*flow.Job) {})
		}
		if d := Decide(in); d.Shortage == nil || len(d.Starts) != 1 || d.Starts[0].Unit.Job.Spec.GetId() != "0000000000000002" {
			t.Errorf("%s: shortage %v, starts %+v; want the job that has waited longest of those that fit", c.name, d.Shortage, d.Starts)
		}
	}
}

// Guards against stops of a run that lasts, which is of use until it ends, as if it were of no
// use any more because its job is older than three objectives.
func TestLongRunningIsOfUse(t *testing.T) {
	workers := []Worker{newWorker(1, "r1"), newWorker(2, "r1")}
	in := Input{OrderByCost: true, Running: []Running{
		newRunning(&workers[0], "0000000000000001", 2, func(r *Running) { r.Unsaved, r.SlackAfterStop = 2*time.Second, -time.Hour }),
		newRunning(&workers[1], "0000000000000002", 2, func(r *Running) { r.Unsaved, r.SlackAfterStop = 2*time.Second, -time.Hour }),
	}}
	in.Workers = workers
	in.Running[0].Job.Step(in.Running[0].Ref).LongRunning = true
	urgent := newJob("00000000000000ff", 0, &flow.Step{Count: 1, Cpu: 1000, Accelerators: 8, EstimateMs: 5000})
	in.Requests = readyRequests(urgent, func(r *Request) { r.Slack = time.Second })
	waiting := newJob("00000000000000fe", 2, &flow.Step{Count: 9, Cpu: 1000, Accelerators: 8, EstimateMs: 5000})
	in.Requests = append(in.Requests, readyRequests(waiting, nil)...)
	if d := Decide(in); d.Shortage == nil || len(d.Stops) != 1 || d.Stops[0].Place.Worker != "w2" {
		t.Errorf("shortage %v, stops %+v; want the run on w2", d.Shortage, d.Stops)
	}
}

// Guards against a shortage, and a backlog of an hour, for all services as one has lost its
// workers.
func TestServiceWithoutWorkers(t *testing.T) {
	in := Input{Workers: []Worker{newWorker(1, "r1")}, OrderByCost: true}
	j := withObjective(newJob("0000000000000001", 2, &flow.Step{Count: 30, Cpu: 1000, Accelerators: 8, EstimateMs: 5000}), 1, time.Second)
	j.Spec.Service = "other"
	in.Requests = readyRequests(j, nil)
	if d := Decide(in); d.Shortage != nil {
		t.Errorf("shortage %+v; want none", d.Shortage)
	}
}

// Guards against small units that wait on workers with much room, as each worker is reserved for
// a gang that waits for the end of a run which hangs.
func TestReservationsLeaveRoom(t *testing.T) {
	in := Input{OrderByCost: true}
	workers := newWorkers(4, 5)
	for i := range workers {
		in.Running = append(in.Running, newRunning(&workers[i], fmt.Sprintf("%016x", 100+i), 2, func(r *Running) {
			r.Need.Accelerators, r.Remaining = 1, 0
		}))
	}
	in.Workers = workers
	for n := range 12 {
		gang := newJob(fmt.Sprintf("%016x", n), 1, &flow.Step{Count: 2, Gang: true, Cpu: 1000, Accelerators: 8, EstimateMs: 5000})
		in.Requests = append(in.Requests, readyRequests(gang, func(r *Request) { r.Slack, r.DeadlineSlack = -time.Second, 10*time.Second })...)
	}
	small := newJob("00000000000000ff", 2, &flow.Step{Count: 20, Cpu: 1000, Accelerators: 1, EstimateMs: 5000})
	in.Requests = append(in.Requests, readyRequests(small, nil)...)
	if d := Decide(in); d.Shortage == nil || len(d.Starts) != 20 {
		t.Errorf("shortage %v, %d starts; want 20", d.Shortage, len(d.Starts))
	}
}
