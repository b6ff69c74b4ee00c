package plan

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"catkinpoint/flow"
	"catkinpoint/graph"
)

// overload returns the load of three queues whose arrivals are four times as many as the
// workers can serve for 12 s: urgent gangs, wide gangs of the middle queue and batch jobs
// of many small tasks.
func overload(seed uint64, burst float64) []arrival {
	random := rand.New(rand.NewPCG(seed, 7))
	var load []arrival
	accelerators := []int64{1, 2, 4, 8, 8}
	width := func(mean float64, highest int32) int32 { return min(highest, 1+int32(random.ExpFloat64()*mean)) }
	off := func(estimate int64) time.Duration {
		return time.Duration(float64(estimate)*math.Exp(0.4*random.NormFloat64())) * time.Millisecond
	}
	for at := time.Duration(0); at < 34*time.Second; at += 50 * time.Millisecond {
		rate := 1.0 * 0.05 // jobs in 50 ms
		if at >= 2*time.Second && at < 14*time.Second {
			rate *= burst
		}
		if random.Float64() > rate {
			continue
		}
		id := fmt.Sprintf("%016x", len(load))
		scale := 0.6 + 0.8*random.Float64()
		ms := func(mean float64) int64 { return int64(mean * scale) }
		switch n := random.Float64(); {
		case n < 0.54:
			step := &flow.Step{Count: width(4.4, 32), Cpu: 7500, MemoryMb: 39000, Accelerators: accelerators[random.IntN(5)], EstimateMs: ms(2100), Gang: true, SameRack: true}
			load = append(load, arrival{at: at, job: withObjective(newJob(id, 0, step), 1.5, 600*time.Millisecond), runTime: off(step.EstimateMs)})
		case n < 0.8:
			step := &flow.Step{Count: width(5.3, 38), Cpu: 26000, MemoryMb: 110000, Accelerators: accelerators[random.IntN(5)], EstimateMs: ms(9400), Gang: true}
			load = append(load, arrival{at: at, job: withObjective(newJob(id, 1, step), 1.6, 1500*time.Millisecond), runTime: off(step.EstimateMs)})
		default:
			step := &flow.Step{Count: width(38, 230), Cpu: 5600, MemoryMb: 29000, Accelerators: 1, EstimateMs: ms(5200)}
			load = append(load, arrival{at: at, job: withObjective(newJob(id, 2, step), 3, 3*time.Second), runTime: off(step.EstimateMs)})
		}
	}
	return load
}

// Guards against an overload in which jobs wait past all use while room is given to jobs
// that cost their callers less: with the order by cost, more jobs are of use, and what they
// are worth is not less.
func TestOverload(t *testing.T) {
	var results [2]replayResult
	var worth [2]float64
	for n := range results {
		sum := replayResult{onTime: map[int32]int{}, late: map[int32]int{}, useless: map[int32]int{}, unended: map[int32]int{}}
		for seed := range uint64(2) {
			load := overload(seed, 4)
			out := replayWith(newWorkers(4, 5), load, 50*time.Second, replayOptions{change: func(in *Input) { in.OrderByCost = n == 1 }})
			for p := range int32(3) {
				sum.onTime[p] += out.onTime[p]
				sum.late[p] += out.late[p] - out.useless[p]
				sum.useless[p] += out.useless[p]
				sum.unended[p] += out.unended[p]
			}
			sum.shortages += out.shortages
			worth[n] += out.worth
		}
		t.Logf("order by cost %v: in time %v, late %v, of no use %v, not ended %v, worth %.0f", n == 1, sum.onTime, sum.late, sum.useless, sum.unended, worth[n])
		results[n] = sum
	}
	lost := func(r replayResult) (n int) {
		for p := range int32(3) {
			n += r.useless[p] + r.unended[p]
		}
		return n
	}
	if lost(results[1])*10 > lost(results[0])*9 || worth[1] < worth[0] || results[1].shortages == 0 {
		t.Errorf("%d jobs of no use and worth %.0f, without the order by cost %d and %.0f; want a tenth fewer and not less worth", lost(results[1]), worth[1], lost(results[0]), worth[0])
	}
}

// Guards against decisions that change while nothing is short: with room for all that waits,
// and with more than there is room for now but time for all of it.
func TestOrderByCostWithoutShortage(t *testing.T) {
	random := rand.New(rand.NewPCG(11, 12))
	compared := 0
	for range 200 {
		in := Input{Workers: newWorkers(3, 2)}
		for n := range 1 + random.IntN(12) {
			step := &flow.Step{Count: 1 + random.Int32N(4), Cpu: 1000 * (1 + random.Int64N(30)), Accelerators: random.Int64N(9), EstimateMs: 4000, Gang: random.IntN(2) == 0}
			j := withObjective(newJob(fmt.Sprintf("%016x", n), random.Int32N(3), step), 3, 3*time.Second)
			slack := time.Duration(random.IntN(60)-5) * time.Second
			in.Requests = append(in.Requests, readyRequests(j, func(r *Request) {
				r.Slack, r.DeadlineSlack, r.Duration = slack, slack+20*time.Second, 4*time.Second
			})...)
		}
		before := Decide(in)
		in.OrderByCost = true
		after := Decide(in)
		if after.Shortage != nil {
			continue
		}
		compared++
		if !reflect.DeepEqual(before, after) {
			t.Fatalf("decisions differ without a shortage:\n%+v\n%+v", before, after)
		}
	}
	if compared < 50 {
		t.Errorf("only %d of 200 inputs are without a shortage", compared)
	}
}

// Guards against a job of no use any more that waits for ever behind a stream of others:
// once it exceeds the starvation bound it reserves its room. A guaranteed unit still goes
// first.
func TestStarvationBound(t *testing.T) {
	decide := func(wait time.Duration, guaranteed bool) Decision {
		in := Input{Workers: []Worker{newWorker(1, "r1")}, OrderByCost: true}
		late := withObjective(newJob("0000000000000001", 2, &flow.Step{Count: 1, Cpu: 1000, Accelerators: 8, EstimateMs: 5000}), 1, time.Second)
		in.Requests = readyRequests(late, func(r *Request) { r.Slack, r.DeadlineSlack, r.ReadyFor = -wait, -wait, wait })
		for n := range 20 {
			j := withObjective(newJob(fmt.Sprintf("%016x", 16+n), 1, &flow.Step{Count: 1, Cpu: 1000, Accelerators: 8, EstimateMs: 5000}), 1, time.Second)
			in.Requests = append(in.Requests, readyRequests(j, func(r *Request) { r.Slack, r.Guaranteed = time.Second, guaranteed && n == 0 })...)
		}
		return Decide(in)
	}
	for _, c := range []struct {
		wait       time.Duration
		guaranteed bool
		want       string
	}{
		{30 * time.Second, false, "0000000000000010"},
		{61 * time.Second, false, "0000000000000001"},
		{61 * time.Second, true, "0000000000000010"},
	} {
		d := decide(c.wait, c.guaranteed)
		if d.Shortage == nil || len(d.Starts) != 1 || d.Starts[0].Unit.Job.Spec.GetId() != c.want {
			t.Errorf("after %v, guaranteed %v: shortage %v, starts %v; want job %s", c.wait, c.guaranteed, d.Shortage, d.Starts, c.want)
		}
	}
}

// Guards against many jobs that are begun and few that are finished: of two jobs of the same
// kind, the units of the one that has begun go first, although it was accepted later.
func TestBegunJobsAreFinishedFirst(t *testing.T) {
	in := Input{Workers: []Worker{newWorker(1, "r1")}, OrderByCost: true}
	jobs := make([]*graph.Job, 2)
	for n := range jobs {
		jobs[n] = withObjective(newJob(fmt.Sprintf("%016x", n), 2, &flow.Step{Count: 20, Cpu: 1000, Accelerators: 4, EstimateMs: 5000}), 2, time.Second)
		jobs[n].Spec.AcceptedUnixMs = int64(n)
	}
	for _, unit := range jobs[1].Ready(0)[:10] {
		run := jobs[1].Assign(unit, []graph.Place{in.Workers[0].Place})
		jobs[1].End(unit.Tasks[0], run, graph.EndDone, "")
	}
	for _, j := range jobs {
		in.Requests = append(in.Requests, readyRequests(j, nil)...)
	}
	d := Decide(in)
	if len(d.Starts) != 2 || d.Starts[0].Unit.Job != jobs[1] || d.Starts[1].Unit.Job != jobs[1] {
		t.Errorf("starts %+v; want two units of the job that has begun", d.Starts)
	}
}

// Guards against stops that lose little work but much worth: in a shortage the run of a job
// that is of no use any more is stopped before that of one which would become late, and a
// run near its end is stopped last.
func TestStopsByCostInShortage(t *testing.T) {
	for _, c := range []struct {
		name  string
		first func(*Running) // the other run is of use, in time, and has run for 2 s
		want  string
	}{
		{"of no use any more", func(r *Running) { r.Unsaved, r.SlackAfterStop = 5*time.Second, -time.Minute }, "w1"},
		{"would become late", func(r *Running) { r.Unsaved, r.SlackAfterStop = time.Second, -500*time.Millisecond }, "w2"},
		{"nearly done", func(r *Running) { r.Unsaved, r.Remaining = 11*time.Second, time.Second }, "w2"},
	} {
		workers := []Worker{newWorker(1, "r1"), newWorker(2, "r1")}
		in := Input{OrderByCost: true, Running: []Running{
			newRunning(&workers[0], "0000000000000001", 2, c.first),
			newRunning(&workers[1], "0000000000000002", 2, func(r *Running) { r.Unsaved = 2 * time.Second }),
		}}
		in.Workers = workers
		for _, run := range in.Running {
			withObjective(run.Job, 1, 15*time.Second)
		}
		urgent := newJob("00000000000000ff", 0, &flow.Step{Count: 1, Cpu: 1000, Accelerators: 8, EstimateMs: 5000})
		in.Requests = readyRequests(urgent, func(r *Request) { r.Slack = time.Second })
		waiting := newJob("00000000000000fe", 2, &flow.Step{Count: 9, Cpu: 1000, Accelerators: 8, EstimateMs: 5000})
		in.Requests = append(in.Requests, readyRequests(waiting, nil)...)
		if d := Decide(in); d.Shortage == nil || len(d.Stops) != 1 || d.Stops[0].Place.Worker != c.want {
			t.Errorf("%s: shortage %v, stops %+v; want the run on %s", c.name, d.Shortage, d.Stops, c.want)
		}
	}
}
