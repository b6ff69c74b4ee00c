package shed

import (
	"fmt"
	"testing"
	"time"

	"catkinpoint/flow"
	"catkinpoint/graph"
	"catkinpoint/plan"
)

// testWorkers is the room of workers with 32 cores and 8 accelerators each.
func testWorkers(n int) []Worker {
	workers := make([]Worker, n)
	for i := range workers {
		workers[i].Free = plan.Resources{MilliCPU: 32000, MemoryMB: 131072, Accelerators: 8}
	}
	return workers
}

// testJob returns a job with a gang whose tasks take half of a worker each.
func testJob(id string, priority, tasks int32, estimate time.Duration) *flow.Job {
	return &flow.Job{
		Id: id, Queue: "q", Service: "s", Priority: priority, SlackFactor: 1.5, TargetMs: 600,
		Steps: []*flow.Step{{Count: tasks, Cpu: 3000, MemoryMb: 10000, Accelerators: 4, EstimateMs: estimate.Milliseconds(), Gang: true}},
	}
}

// requestOf returns the unit of a testJob that has waited for a time.
func requestOf(job *flow.Job, waited time.Duration) plan.Request {
	g := graph.New(job, nil)
	step := job.GetSteps()[0]
	objective := time.Duration(graph.ObjectiveMS(job)) * time.Millisecond
	duration := time.Duration(step.GetEstimateMs()) * time.Millisecond
	return plan.Request{
		Unit:     graph.Unit{Job: g, Step: step, Tasks: g.Members(graph.Ref{})},
		Need:     plan.Resources{MilliCPU: step.GetCpu(), MemoryMB: step.GetMemoryMb(), Accelerators: step.GetAccelerators()},
		ReadyFor: waited, Slack: objective - waited - duration, DeadlineSlack: usefulFactor*objective - waited - duration, Duration: duration,
	}
}

func questionOf(job *flow.Job) Question {
	return Question{Job: job, Steps: []plan.Request{requestOf(job, 0)}}
}

// BenchmarkDecide measures the answer to one question in a burst: 60 full workers, 150 jobs
// that wait and 100 that have come lately.
func BenchmarkDecide(b *testing.B) {
	load := &Load{Workers: testWorkers(60)}
	for i := range load.Workers {
		load.Workers[i].Free = plan.Resources{}
		for n := range 4 {
			load.Holds = append(load.Holds, Hold{Worker: i, Need: plan.Resources{MilliCPU: 8000, MemoryMB: 32768, Accelerators: 2}, Until: time.Duration(n+i%7) * time.Second})
		}
	}
	for i := range 150 {
		load.Waiting = append(load.Waiting, requestOf(testJob(fmt.Sprintf("%016x", i), 0, int32(1+i%10), 4*time.Second), 0))
	}
	for i := range 100 {
		load.Arrivals = append(load.Arrivals, Arrival{Age: time.Duration(i) * 100 * time.Millisecond, Steps: []plan.Request{requestOf(testJob("f", 0, 5, 2*time.Second), 0)}})
	}
	for b.Loop() {
		Decide(load, questionOf(testJob("aa", 0, 6, time.Second)), &Promises{}, 0)
	}
}
