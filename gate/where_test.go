package gate

import (
	"testing"
	"time"

	"catkinpoint/duty"
	"catkinpoint/flow"
	"catkinpoint/stand/fakekv"
)

// Guards against a question that submits its job, that is answered by a gate without the
// scheduler, or that accepts a job which a submission would refuse.
func TestWhereAsksTheSchedulerAndStoresNothing(t *testing.T) {
	withGate(t, func(t *testing.T, kv *fakekv.Server, g *Gate) {
		time.Sleep(5 * time.Second) // until the first gate runs the scheduler
		other := startGate(t, kv, "g2")
		job := func(queue string, steps ...*flow.Step) *flow.WhereRequest {
			return &flow.WhereRequest{Job: &flow.Job{Queue: queue, Customer: "c", Steps: steps}}
		}
		step := &flow.Step{Count: 2, Gang: true, EstimateMs: 1000}
		tests := []struct {
			name    string
			gate    *Gate
			request *flow.WhereRequest
			holder  string
			units   int
			fails   bool
		}{
			{name: "without the scheduler", gate: other, request: job("q", step), holder: g.opts.Address.String()},
			{name: "not known to the scheduler", gate: g, request: job("q", step), units: 1},
			{name: "no such queue", gate: g, request: job("r", step), fails: true},
			{name: "not valid", gate: g, request: job("q"), fails: true},
			{name: "no such job", gate: g, request: &flow.WhereRequest{Id: testID}, fails: true},
		}
		for _, test := range tests {
			answer := &flow.WhereAnswer{}
			err := RPCHandlers{test.gate}.Where(test.request, answer)
			if (err != nil) != test.fails || answer.GetHolder() != test.holder || len(answer.GetUnits()) != test.units {
				t.Errorf("%s: error %v, holder %q, %d units", test.name, err, answer.GetHolder(), len(answer.GetUnits()))
			}
			for _, unit := range answer.GetUnits() {
				if unit.GetOutcome() != "does not fit" || unit.GetTasks() != 2 {
					t.Errorf("%s: unit %v; want 2 tasks that do not fit without workers", test.name, unit)
				}
			}
		}
		if items, _, err := kv.Range(t.Context(), duty.JobKey("")); err != nil || len(items) > 0 {
			t.Errorf("records of jobs: %v, %v; want none", items, err)
		}
	})
}
