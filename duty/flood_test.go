package duty

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"catkinpoint/clock"
	"catkinpoint/flow"
	"catkinpoint/store"
)

// flood is a number of legal jobs with far more tasks than the workers can take.
type flood struct {
	name                      string
	jobs, steps, tasks, times int
	chain, gang, varied       bool
	cpu                       int64
	spec                      int // bytes
}

// floods have the shapes in which many tasks come; each has about 100,000.
var floods = []flood{
	{name: "occurrences", jobs: 1, steps: 1000, tasks: 10, times: 10, cpu: 16000},
	{name: "jobs", jobs: 10, steps: 10, tasks: 1000, cpu: 16000},
	{name: "small jobs", jobs: 1000, steps: 10, tasks: 10, cpu: 16000},
	{name: "small tasks", jobs: 10, steps: 10, tasks: 1000, cpu: 1, spec: 3900},
	{name: "needs that differ", jobs: 10, steps: 1000, tasks: 10, cpu: 1000, varied: true},
	{name: "chains", jobs: 10, steps: 100, tasks: 10, times: 10, chain: true, cpu: 16000},
	{name: "gangs", jobs: 10, steps: 300, tasks: 32, gang: true, cpu: 4000},
}

// specs returns the jobs of the flood, of the customer "flooder".
func (fl flood) specs() []*flow.Job {
	var specs []*flow.Job
	for n := range fl.jobs {
		spec := &flow.Job{
			Id: fmt.Sprintf("%016x", 0xf0000+n), Queue: "q", Customer: "flooder", Service: "care", Priority: 2, MaxAttempts: 3, SlackFactor: 3, TargetMs: 1000,
			AcceptedUnixMs: time.Now().UnixMilli(), Spec: fmt.Sprintf("%*s", fl.spec, ""),
		}
		if fl.times > 0 {
			spec.Repeats, spec.PeriodMs, spec.StartUnixMs = int32(fl.times), 1000, time.Now().UnixMilli()-int64(fl.times)*1000
		}
		for i := range fl.steps {
			step := &flow.Step{Count: int32(fl.tasks), Cpu: fl.cpu, MemoryMb: 1, EstimateMs: 2000, Gang: fl.gang}
			if fl.varied {
				step.Cpu, step.MemoryMb = fl.cpu+int64(i)*7, 100+int64(fl.steps-i)*5
			}
			if fl.chain && i > 0 {
				step.After = []int32{int32(i - 1)}
			}
			spec.Steps = append(spec.Steps, step)
		}
		specs = append(specs, spec)
	}
	return specs
}

// Guards against a decision that considers each task that is due: one job with many
// occurrences, or many jobs together, stopped all scheduling.
func TestDecisionOnManyTasksIsBounded(t *testing.T) {
	for _, fl := range floods {
		t.Run(fl.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 6)
				f.run(fleetTick)
				for _, spec := range fl.specs() {
					f.submit(spec, time.Second)
				}
				f.run(fleetTick)
				ordinary := simpleJob(jobID, 1)
				j := f.submit(ordinary, 500*time.Millisecond)
				f.run(4 * fleetTick)
				tasks := 0
				for _, r := range f.state.planInput.Requests {
					tasks += len(r.Unit.Tasks)
				}
				// One tenth of what the shapes bring, which is any multiple of it.
				if limit := 10000; tasks > limit || len(f.state.planInput.Running) > limit {
					t.Errorf("a decision considers %d waiting and %d running tasks; want at most %d", tasks, len(f.state.planInput.Running), limit)
				}
				f.run(2500 * time.Millisecond)
				if _, done := f.elapsed(j); !done {
					t.Error("the job of another customer is not completed")
				}
				started := 0
				for _, w := range f.state.workers {
					started += len(f.state.activeByRelay[w.relay])
				}
				if started == 0 {
					t.Error("no task of the many runs")
				}
			})
		})
	}
}

// BenchmarkFlood measures decisions while floods wait and run on 60 workers.
func BenchmarkFlood(b *testing.B) {
	wide := flood{name: "wide gangs", jobs: 10, steps: 1, tasks: 10000, gang: true, cpu: 1}
	for _, fl := range append(slices.Clip(floods), wide) {
		b.Run(fl.name, func(b *testing.B) {
			s, st := newLoadedState(b, 60, 0, 0)
			for i, spec := range fl.specs() {
				st.apply(store.Event{Item: itemOf(b, JobKey(spec.GetId()), spec, int64(i+1))})
			}
			for b.Loop() {
				st.placeUnits(s, clock.Monotonic())
				for _, j := range st.jobs {
					clear(j.changes)
				}
			}
			b.ReportMetric(float64(len(st.planInput.Requests)), "requests")
			b.ReportMetric(float64(len(st.planInput.Running)), "running")
		})
	}
}
