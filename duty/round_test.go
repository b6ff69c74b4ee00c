package duty

import (
	"context"
	"fmt"
	"testing"
	"time"

	"catkinpoint/clock"
	"catkinpoint/flow"
	"catkinpoint/graph"
	"catkinpoint/route"
	"catkinpoint/store"
)

// newLoadedState returns a scheduler with workers that are mostly occupied, jobs of
// which some units are waiting, and jobs that have ended.
func newLoadedState(tb testing.TB, workers, jobs, ended int) (*Scheduler, *state) {
	tb.Helper()
	claim := &Claim{Epoch: 1, Revision: 1, ttl: time.Hour, lost: make(chan struct{})}
	claim.extend(clock.Monotonic())
	operator := staticOperator{route.New(1, 1000, nil, []route.Customer{{Name: "c", Guaranteed: 16}}, nil)}
	s := NewScheduler(context.Background(), testSettings, nil, operator, claim, func() []string { return nil })
	st := newState(clock.Monotonic())
	st.loaded = true
	for n := range workers {
		st.applyReport(s, loadedReport(st, n, 1), make(chan *flow.Orders, 1))
	}
	for n := range jobs + ended {
		id := fmt.Sprintf("%016x", n)
		spec := &flow.Job{
			Id: id, Queue: "q", Customer: "c", Service: "care", Priority: int32(n % 3), MaxAttempts: 3, SlackFactor: 3, TargetMs: 1000,
			AcceptedUnixMs: time.Now().UnixMilli() + int64(n),
			Steps:          []*flow.Step{{Count: 8, Cpu: 4000, MemoryMb: 20000, Accelerators: int64(1 + n%4), EstimateMs: 5000, Gang: n%3 < 2, SameRack: n%3 == 0}},
		}
		st.apply(store.Event{Item: itemOf(tb, JobKey(id), spec, int64(n+1))})
		if n < ended {
			st.jobs[id].graph.Cancelled = true
			st.jobs[id].graph.Advance(time.Now().UnixMilli())
		}
	}
	st.placeUnits(s, clock.Monotonic())
	for _, j := range st.jobs {
		clear(j.changes)
		for _, r := range j.runs {
			r.stored = true
		}
	}
	return s, st
}

// loadedReport returns a report of worker n that lists the runs assigned to it.
func loadedReport(st *state, n int, sequence int64) *flow.Report {
	r := idleReport(n, sequence, 1)
	r.Worker.Labels = []string{"a", fmt.Sprint("r", n/5)}
	for _, j := range st.jobs {
		for _, t := range j.graph.Active() {
			if t.Place == placeOf(n) {
				r.Running = append(r.Running, &flow.Run{Task: graph.TaskName(j.graph.Spec.GetId(), t.Ref), Run: t.Run, Percent: 50})
			}
		}
	}
	return r
}

// BenchmarkRound measures a report of each worker with its reply, and a placement
// decision after each 20 reports, while the state also holds ended jobs.
func BenchmarkRound(b *testing.B) {
	sizes := []struct{ workers, jobs, ended int }{{60, 80, 200}, {160, 400, 400}}
	for _, size := range sizes {
		b.Run(fmt.Sprint(size.workers), func(b *testing.B) {
			s, st := newLoadedState(b, size.workers, size.jobs, size.ended)
			reports := make([]*flow.Report, size.workers)
			running := 0
			for n := range reports {
				reports[n] = loadedReport(st, n, 2)
				running += len(reports[n].GetRunning())
			}
			b.ReportMetric(float64(running), "running")
			sequence := int64(2)
			for b.Loop() {
				for n, r := range reports {
					sequence++
					r.Sequence = sequence
					answer := make(chan *flow.Orders, 1)
					st.applyReport(s, r, answer)
					st.planNeeded = n%20 == 0
					st.writing = true // so that nothing is written to the store
					s.afterBatch(st)
					st.reply(s, r.GetRelay(), answer)
				}
			}
		})
	}
}
