package plan

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"catkinpoint/flow"
	"catkinpoint/graph"
)

// unevenWorkers returns six workers of one rack, of which the last two are slow.
func unevenWorkers(pace float64) []Worker {
	var workers []Worker
	for n := 1; n <= 6; n++ {
		w := newWorker(n, "r1")
		if w.Pace = 1; n > 4 {
			w.Pace = pace
		}
		workers = append(workers, w)
	}
	return workers
}

// Guards against units that miss their objective for the pace of their worker, and against
// fast workers that are taken by units without urgency when room is short (a third of the
// workers takes 2.4 times as long).
func TestUnitsOnUnevenWorkers(t *testing.T) {
	tests := []struct {
		name       string
		priority   int32
		gang       bool
		count      int32
		slack      time.Duration
		ready      time.Duration
		guaranteed bool
		fastFree   int64 // accelerators on each of the fast workers
		want       string
	}{
		{name: "urgent gang takes fast workers", gang: true, count: 2, slack: time.Second, fastFree: 8, want: "fast"},
		{name: "urgent gang waits for fast workers", gang: true, count: 2, slack: time.Second, want: "none"},
		{name: "urgent gang with slack for slow workers", gang: true, count: 2, slack: 20 * time.Second, want: "slow"},
		{name: "urgent gang that is late anyway", gang: true, count: 2, slack: -time.Second, want: "slow"},
		{name: "guaranteed gang that has waited", gang: true, count: 2, slack: time.Second, ready: 1100 * time.Millisecond, guaranteed: true, want: "slow"},
		{name: "urgent gang that only fits with slow workers", gang: true, count: 6, slack: time.Second, fastFree: 8, want: "both"},
		{name: "gang with slack leaves fast workers", priority: 1, gang: true, count: 2, slack: 20 * time.Second, fastFree: 1, want: "slow"},
		{name: "task with slack leaves fast workers", priority: 2, count: 1, slack: 20 * time.Second, fastFree: 1, want: "slow"},
		{name: "task with slack on a cluster with room", priority: 2, count: 1, slack: 20 * time.Second, fastFree: 8, want: "fast"},
		{name: "gang is not mixed while one kind has room", priority: 1, gang: true, count: 4, slack: time.Second, fastFree: 8, want: "fast"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			need := int64(8)
			if test.fastFree == 1 {
				need = 1
			}
			in := Input{Workers: unevenWorkers(2.4)}
			for i := range in.Workers[:4] {
				in.Workers[i].Free.Accelerators, in.Workers[i].Free.MilliCPU = test.fastFree, test.fastFree*8000
			}
			j := newJob("0000000000000001", test.priority, &flow.Step{Count: test.count, Gang: test.gang, Cpu: 100, Accelerators: need, EstimateMs: 2000})
			in.Requests = readyRequests(j, func(r *Request) {
				r.Slack, r.ReadyFor, r.Guaranteed, r.Duration = test.slack, test.ready, test.guaranteed, 2*time.Second
			})
			kinds := map[string]bool{}
			for _, a := range Decide(in).Starts {
				for _, p := range a.Places {
					kinds[map[bool]string{false: "fast", true: "slow"}[p.Worker >= "w5"]] = true
				}
			}
			got := "none"
			switch {
			case len(kinds) == 2:
				got = "both"
			case kinds["fast"]:
				got = "fast"
			case kinds["slow"]:
				got = "slow"
			}
			if got != test.want {
				t.Errorf("the unit is placed on %s; want %s", got, test.want)
			}
		})
	}
}

// Guards against other decisions for workers that are alike, or of which nothing is known.
func TestLikePacesChangeNothing(t *testing.T) {
	decide := func(paces []float64) Decision {
		in := Input{Workers: unevenWorkers(1)}
		for i := range in.Workers {
			in.Workers[i].Pace = paces[i]
			in.Workers[i].Free.Accelerators = int64(i + 1)
		}
		j := newJob("0000000000000001", 0, &flow.Step{Count: 3, Gang: true, Cpu: 100, Accelerators: 2, EstimateMs: 2000})
		in.Requests = readyRequests(j, func(r *Request) { r.Duration = 2 * time.Second })
		d := Decide(in)
		for i := range d.Starts {
			d.Starts[i].Unit.Job = nil
		}
		return d
	}
	unknown := decide(slices.Repeat([]float64{0}, 6))
	for _, paces := range [][]float64{slices.Repeat([]float64{1}, 6), {0.9, 1, 1.1, 1.15, 0.95, 1}} {
		if d := decide(paces); !reflect.DeepEqual(d, unknown) {
			t.Errorf("decision with paces %v is %v; without, %v", paces, d, unknown)
		}
	}
}

// Guards against urgent gangs that are late for the pace of their workers. A third of the
// workers takes 2.4 times as long, and urgent gangs and jobs with time to spare fill half of the
// room, as on tocynglas-sched-grown.
func TestReplayOnUnevenWorkers(t *testing.T) {
	truth := func(p graph.Place) float64 {
		number := 0
		if _, err := fmt.Sscanf(p.Worker, "w%d", &number); err == nil && number%3 == 0 {
			return 2.4
		}
		return 1
	}
	run := func(known bool) replayResult {
		random := rand.New(rand.NewPCG(5, 6))
		workers := newWorkers(4, 3)
		for i := range workers {
			if workers[i].Pace = 1; known {
				workers[i].Pace = truth(workers[i].Place)
			}
		}
		var load []arrival
		for n := range 60 {
			at := time.Duration(random.IntN(60000)) * time.Millisecond
			j := newJob(fmt.Sprintf("%016x", n), 0, &flow.Step{Count: 1 + random.Int32N(4), Cpu: 7500, MemoryMb: 39000, Accelerators: 4, EstimateMs: 2000, Gang: true})
			factor, target := 1.5, 600*time.Millisecond
			if n%2 == 0 {
				j = newJob(fmt.Sprintf("%016x", n), 1, &flow.Step{Count: 1 + random.Int32N(3), Cpu: 26000, MemoryMb: 110000, Accelerators: 4, EstimateMs: 6000, Gang: true})
				factor, target = 3, 1500*time.Millisecond
			}
			runTime := time.Duration(j.Spec.GetSteps()[0].GetEstimateMs()) * time.Millisecond
			load = append(load, arrival{at: at, job: withObjective(j, factor, target), runTime: runTime})
		}
		return replayWith(workers, load, 150*time.Second, replayOptions{pace: truth})
	}
	unknown, known := run(false), run(true)
	t.Logf("urgent jobs late: %d if paces are not known, %d if they are; others late: %d and %d", unknown.late[0], known.late[0], unknown.late[1], known.late[1])
	if known.late[0] > 3 || known.late[0] >= unknown.late[0] || known.late[1] > unknown.late[1]+2 {
		t.Errorf("late are %v with known paces and %v without", known.late, unknown.late)
	}
}

// Guards against an urgent job that waits for a fast worker for longer than a job may wait
// while there is room (long urgent jobs while urgent ones hold all fast workers).
func TestUrgentUnitTakesSlowWorkerInTime(t *testing.T) {
	for _, slack := range []time.Duration{2 * time.Second, 8 * time.Second, 14 * time.Second} {
		in := Input{Workers: unevenWorkers(2.4)}
		for i := range in.Workers[:4] {
			in.Workers[i].Free.Accelerators = 0
		}
		j := newJob("0000000000000001", 0, &flow.Step{Count: 1, Cpu: 100, Accelerators: 8, EstimateMs: 15000})
		in.Requests = readyRequests(j, func(r *Request) {
			r.Slack, r.ReadyFor, r.Duration = slack, 2500*time.Millisecond, 15*time.Second
		})
		if d := Decide(in); len(d.Starts) != 1 {
			t.Errorf("with a slack of %v the unit waits after 2.5s", slack)
		}
	}
}

// Guards against times on workers that are alike which move reservations (paces of 0.8 to 1.3).
func TestLikePacesKeepReservations(t *testing.T) {
	for _, pace := range []float64{0, 0.8, 1, 1.3} {
		in := Input{Workers: unevenWorkers(1)[:1]}
		in.Workers[0].Pace = pace
		s := newState(in)
		j := newJob("0000000000000001", 1, &flow.Step{Count: 1, Cpu: 100, Accelerators: 8, EstimateMs: 2000})
		r := readyRequests(j, func(r *Request) { r.Duration = 2 * time.Second })
		if d := s.durationOn(&r[0], 0); d != 2*time.Second {
			t.Errorf("with a pace of %v the time is %v; want 2s", pace, d)
		}
	}
}
