package plan

import (
	"fmt"
	"testing"

	"catkinpoint/flow"
	"catkinpoint/graph"
)

// Guards against small tasks that are started as long as they fit: a worker took tens of
// thousands, which exceeded the memory of its relay and of the scheduler.
func TestSmallRunsOnWorkerAreBounded(t *testing.T) {
	tests := []struct {
		name      string
		customers []string // of one job each
		step      *flow.Step
		want      []int // runs of each job on the only worker
	}{
		{"one job", []string{"a"}, &flow.Step{Cpu: 1, MemoryMb: 1}, []int{256}},
		{"no demand", []string{"a"}, &flow.Step{}, []int{256}},
		{"jobs of one customer", []string{"a", "a", "a"}, &flow.Step{Cpu: 1}, []int{256, 86, 28}},
		{"customers", []string{"a", "b"}, &flow.Step{Cpu: 1}, []int{256, 171}},
		{"not small", []string{"a"}, &flow.Step{Cpu: 250}, []int{256}},
		{"narrow gangs", []string{"a"}, &flow.Step{Cpu: 1, Gang: true, Count: 100}, []int{200}},
		{"a wide gang", []string{"a", "b"}, &flow.Step{Cpu: 1, Gang: true, Count: 1000}, []int{1000, 0}},
		{"beside a wide gang", []string{"a", "wide", "a"}, &flow.Step{Cpu: 1}, []int{256, 1000, 86}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			in := Input{Workers: newWorkers(1, 1)}
			index := map[*graph.Job]int{}
			for n, customer := range test.customers {
				step := &flow.Step{Count: 1000, Cpu: test.step.GetCpu(), MemoryMb: test.step.GetMemoryMb(), EstimateMs: 1000, Gang: test.step.GetGang()}
				j := newJob(fmt.Sprintf("%016x", n), 1, step)
				if test.step.GetCount() > 0 && test.step.GetCount() < 1000 {
					step.Count = test.step.GetCount()
					j = newJob(fmt.Sprintf("%016x", n), 1, step, step, step, step)
				}
				if customer == "wide" {
					step.Gang = true
				}
				j.Spec.Customer, j.Spec.AcceptedUnixMs = customer, int64(n)
				index[j] = n
				in.Requests = append(in.Requests, readyRequests(j, nil)...)
			}
			got := make([]int, len(test.want))
			for _, a := range Decide(in).Starts {
				got[index[a.Unit.Job]] += len(a.Places)
			}
			if fmt.Sprint(got) != fmt.Sprint(test.want) {
				t.Errorf("%v runs; want %v", got, test.want)
			}
		})
	}
}
