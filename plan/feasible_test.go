package plan

import (
	"testing"

	"catkinpoint/flow"
)

func TestFeasible(t *testing.T) {
	groups := []*flow.WorkerGroup{
		{Service: "care", Labels: []string{"a", "r1"}, Cpu: 64000, MemoryMb: 256000, Accelerators: 8, Workers: 3},
		{Service: "care", Labels: []string{"b", "r2"}, Cpu: 64000, MemoryMb: 256000, Accelerators: 4, Workers: 2},
		{Service: "other", Labels: []string{"a", "r3"}, Cpu: 64000, MemoryMb: 256000, Accelerators: 8, Workers: 9},
	}
	tests := []struct {
		name string
		step *flow.Step
		want bool
	}{
		{"gang that takes all accelerators", &flow.Step{Count: 32, Accelerators: 1, Gang: true}, true},
		{"gang of one task more", &flow.Step{Count: 33, Accelerators: 1, Gang: true}, false},
		{"more tasks than fit at once, without a gang", &flow.Step{Count: 300, Accelerators: 1}, true},
		{"task wider than any worker", &flow.Step{Count: 1, Accelerators: 9}, false},
		{"gang on workers with one label", &flow.Step{Count: 3, Accelerators: 8, Gang: true, RequiredLabel: "a"}, true},
		{"gang that is too large for the workers with its label", &flow.Step{Count: 3, Accelerators: 4, Gang: true, RequiredLabel: "b"}, false},
		{"label that no worker has", &flow.Step{Count: 1, RequiredLabel: "c"}, false},
		{"more tasks than workers, one per worker", &flow.Step{Count: 6, Accelerators: 1, Gang: true, MaxPerWorker: 1}, false},
		{"tasks without demands", &flow.Step{Count: 256, Gang: true}, true},
	}
	for _, test := range tests {
		job := &flow.Job{Service: "care", Steps: []*flow.Step{{Count: 1, Cpu: 1000}, test.step}}
		if got := Feasible(groups, job); got != test.want {
			t.Errorf("%s: %v; want %v", test.name, got, test.want)
		}
	}
	if Feasible(groups, &flow.Job{Service: "unknown", Steps: []*flow.Step{{Count: 1}}}) {
		t.Error("a job of a service without workers is feasible")
	}
}
