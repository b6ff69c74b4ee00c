package plan

import (
	"testing"
	"time"

	"catkinpoint/flow"
	"catkinpoint/graph"
)

// Guards against an explanation that differs from what Decide does, for each outcome.
func TestExplanationMatchesDecision(t *testing.T) {
	small := &flow.Step{Count: 1, Cpu: 1000, Accelerators: 1}
	whole := &flow.Step{Count: 2, Gang: true, Cpu: 64000, Accelerators: 8}
	tests := []struct {
		name     string
		step     *flow.Step
		priority int32
		change   func(*Input)
		outcome  Outcome
		obstacle Obstacle
		places   int
	}{
		{name: "starts", step: small, priority: 1, outcome: StartsNow, places: 1},
		{name: "waits for the end of a run", step: whole, priority: 1, outcome: WaitsForRoom, places: 2, obstacle: NoRoom},
		{name: "stops a run", step: whole, priority: 0, outcome: WaitsForStops, places: 2, obstacle: NoRoom},
		{name: "label that no worker has", step: &flow.Step{Count: 1, RequiredLabel: "b"}, priority: 1, outcome: NeverFits, obstacle: LacksLabel},
		{name: "larger than any worker", step: &flow.Step{Count: 1, Cpu: 65000}, priority: 1, outcome: NeverFits, obstacle: TooSmall},
		{
			name: "no worker takes starts", step: small, priority: 1, outcome: NeverFits, obstacle: NotUsable,
			change: func(in *Input) {
				for i := range in.Workers {
					in.Workers[i].Usable = false
				}
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			job := newJob("0000000000000001", test.priority, test.step)
			in := Input{Workers: []Worker{newWorker(1, "r1"), newWorker(2, "r1")}, Requests: readyRequests(job, nil)}
			running := newJob("0000000000000002", 2, &flow.Step{Count: 1, Cpu: 2000, Accelerators: 1})
			need := Resources{MilliCPU: 2000, Accelerators: 1}
			running.Assign(running.Ready(0)[0], []graph.Place{in.Workers[0].Place})
			in.Workers[0].Free, in.Workers[0].Runs = in.Workers[0].Free.Sub(need), 1
			in.Running = []Running{{
				Job: running, Ref: graph.Ref{}, Run: 1, Place: in.Workers[0].Place, Need: need,
				Remaining: 3 * time.Second, ExpectedDuration: 4 * time.Second, SlackAfterStop: time.Minute,
			}}
			if test.change != nil {
				test.change(&in)
			}
			d := Decide(in)
			got := Explain(in, job)
			if len(got) != 1 || got[0].Outcome != test.outcome || len(got[0].Places) != test.places {
				t.Fatalf("explained as %+v; want outcome %v on %d workers", got, test.outcome, test.places)
			}
			if started := len(d.Starts) > 0; started != (test.outcome == StartsNow) {
				t.Errorf("the decision starts the unit: %v", started)
			}
			if len(got[0].Stops) != len(d.Stops) {
				t.Errorf("%d stops explained; the decision has %d", len(got[0].Stops), len(d.Stops))
			}
			if test.obstacle != "" && got[0].Obstacles[0].Obstacle != test.obstacle && got[0].Obstacles[len(got[0].Obstacles)-1].Obstacle != test.obstacle {
				t.Errorf("obstacles %v; want %q", got[0].Obstacles, test.obstacle)
			}
		})
	}
}

// Guards against an explanation by which a unit never fits that only waits behind one which the
// same decision starts.
func TestExplainBehindStart(t *testing.T) {
	in := Input{Workers: []Worker{newWorker(1, "r1")}}
	first := newJob("0000000000000001", 0, &flow.Step{Count: 1, Cpu: 1000, Accelerators: 8, EstimateMs: 5000})
	second := newJob("0000000000000002", 2, &flow.Step{Count: 1, Cpu: 1000, Accelerators: 8, EstimateMs: 5000})
	in.Requests = append(readyRequests(first, nil), readyRequests(second, nil)...)
	if got := Explain(in, second); len(got) != 1 || got[0].Outcome != WaitsForRoom {
		t.Errorf("explanations %+v; want one unit that waits for room", got)
	}
	if got := Explain(in, newJob("0000000000000003", 2)); len(got) != 0 {
		t.Errorf("job without ready units: %+v; want no explanation", got)
	}
}
