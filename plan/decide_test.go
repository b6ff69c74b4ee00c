package plan

import (
	"fmt"
	"testing"
	"time"

	"catkinpoint/flow"
	"catkinpoint/graph"
)

// newWorker returns the idle worker with number n and 8 accelerators on a rack.
func newWorker(n int, rack string) Worker {
	capacity := Resources{MilliCPU: 64000, MemoryMB: 262144, Accelerators: 8}
	return Worker{
		Place: graph.Place{Worker: fmt.Sprintf("w%d", n)}, Service: "care", Labels: []string{"a", rack}, Rack: rack,
		Capacity: capacity, Free: capacity, Usable: true, Slowness: 1,
	}
}

func newJob(id string, priority int32, steps ...*flow.Step) *graph.Job {
	return graph.New(&flow.Job{Id: id, Service: "care", Priority: priority, MaxAttempts: 3, Steps: steps}, nil)
}

// readyRequests returns the requests of a job's ready units, each after a call of
// change unless that is nil.
func readyRequests(j *graph.Job, change func(*Request)) []Request {
	var requests []Request
	for _, unit := range j.Ready(0) {
		r := Request{
			Unit: unit, Slack: 10 * time.Second, DeadlineSlack: time.Minute, Duration: 5 * time.Second,
			Need: Resources{MilliCPU: unit.Step.GetCpu(), MemoryMB: unit.Step.GetMemoryMb(), Accelerators: unit.Step.GetAccelerators()},
		}
		if change != nil {
			change(&r)
		}
		requests = append(requests, r)
	}
	return requests
}

// Guards against a step that exceeds its limit of tasks per worker because the
// starts of the same decision are not counted.
func TestMaxPerWorkerWithinOneDecision(t *testing.T) {
	j := newJob("0000000000000001", 1, &flow.Step{Count: 4, Cpu: 1000, MaxPerWorker: 1})
	d := Decide(Input{
		Workers:  []Worker{newWorker(1, "r1"), newWorker(2, "r1")},
		Requests: readyRequests(j, nil),
	})
	seen := map[graph.Place]int{}
	for _, a := range d.Starts {
		seen[a.Places[0]]++
	}
	if len(d.Starts) != 2 || seen[graph.Place{Worker: "w1"}] != 1 || seen[graph.Place{Worker: "w2"}] != 1 {
		t.Errorf("starts by worker: %v; want one on each", seen)
	}
}
