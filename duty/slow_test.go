package duty

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"catkinpoint/flow"
	"catkinpoint/graph"
	"catkinpoint/stand/fakekv"
	"catkinpoint/store"
)

// Guards against restarting an urgent job whose declared run time is too short: a
// slow job is moved off its worker only if other jobs are slow there too. If they
// are not, the job takes longer than declared and would do so on any worker.
func TestSlowWorkerIsDistinguishedFromWrongDeclaredTime(t *testing.T) {
	tests := []struct {
		name string
		// progress of each job in a step of 500 ms, in percent
		urgent, other int32
		others        int
		want          bool
	}{
		{name: "worker slow", urgent: 1, others: 1, want: true},
		{name: "declared time wrong", urgent: 1, other: 5, others: 1},
		{name: "one sound job of two", urgent: 1, other: 5, others: 2},
		{name: "alone on its worker", urgent: 1},
		{name: "sound", urgent: 20, other: 5, others: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t, fakekv.New(), 1)
				for n := range test.others + 1 {
					spec := simpleJob(fmt.Sprintf("%016x", n), 1)
					spec.Priority = int32(min(n, 1))
					spec.Steps[0].EstimateMs = 2000
					if n > 0 {
						spec.Steps[0].EstimateMs = 20000
					}
					b.scheduler.Apply([]store.Event{storeMessage(t, b.kv, JobKey(spec.GetId()), spec)})
				}
				percent := map[string]int32{}
				stopped := false
				orders := &flow.Orders{}
				for sequence := int64(1); sequence < 12 && !stopped; sequence++ {
					r := idleReport(1, sequence, 1)
					for task := range percent {
						r.Running = append(r.Running, &flow.Run{Task: task, Run: 1, Percent: min(99, percent[task])})
					}
					r.OrdersVersion = orders.GetVersion()
					orders = b.report(r)
					for _, s := range orders.GetStarts() {
						percent[s.GetTask()] = 0
					}
					for _, s := range orders.GetStops() {
						stopped = stopped || s.GetTask() == graph.TaskName(fmt.Sprintf("%016x", 0), graph.Ref{})
					}
					time.Sleep(500 * time.Millisecond)
					for task := range percent {
						if task == graph.TaskName(fmt.Sprintf("%016x", 0), graph.Ref{}) {
							percent[task] += test.urgent
						} else {
							percent[task] += test.other
						}
					}
				}
				if len(percent) != test.others+1 || stopped != test.want {
					t.Errorf("%d tasks started, urgent run stopped: %v; want %v", len(percent), stopped, test.want)
				}
			})
		})
	}
}
