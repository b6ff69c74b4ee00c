package plan

import (
	"fmt"
	"testing"
	"time"

	"catkinpoint/flow"
)

// BenchmarkDecide measures a decision for a full cluster: 60 workers, 200 running
// tasks and 131 waiting units of 320 tasks.
func BenchmarkDecide(b *testing.B) {
	in := Input{Workers: newWorkers(12, 5)}
	for n := range 40 {
		j := newJob(fmt.Sprintf("%016x", n), int32(n%3), &flow.Step{Count: 8, Cpu: 4000, MemoryMb: 20000, Accelerators: int64(1 + n%4), EstimateMs: 5000, Gang: n%3 < 2, SameRack: n%3 == 0})
		in.Requests = append(in.Requests, readyRequests(j, nil)...)
	}
	// The units that start in a first decision are the running tasks of the second.
	for _, a := range Decide(in).Starts {
		need := Resources{MilliCPU: 4000, MemoryMB: 20000, Accelerators: a.Unit.Step.GetAccelerators()}
		run := a.Unit.Job.Assign(a.Unit, a.Places)
		for i, ref := range a.Unit.Tasks {
			for w := range in.Workers {
				if in.Workers[w].Place == a.Places[i] {
					in.Workers[w].Free = in.Workers[w].Free.Sub(need)
				}
			}
			in.Running = append(in.Running, Running{Job: a.Unit.Job, Ref: ref, Run: run, Place: a.Places[i], Need: need, Remaining: time.Duration(len(in.Running)) * 20 * time.Millisecond, Unsaved: time.Second, SlackAfterStop: 10 * time.Second})
		}
	}
	in.Requests = nil
	for n := range 40 {
		j := newJob(fmt.Sprintf("%016x", 100+n), int32(n%3), &flow.Step{Count: 8, Cpu: 4000, MemoryMb: 20000, Accelerators: int64(1 + n%8), EstimateMs: 5000, Gang: n%3 < 2, SameRack: n%3 == 0})
		in.Requests = append(in.Requests, readyRequests(j, nil)...)
	}
	b.ResetTimer()
	for b.Loop() {
		Decide(in)
	}
}
