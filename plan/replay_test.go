package plan

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"catkinpoint/flow"
	"catkinpoint/graph"
)

const (
	replayTick = 50 * time.Millisecond
	// replayStopDelay is the time from a stop order to the end of the run.
	replayStopDelay = 500 * time.Millisecond
)

// arrival is a job of a simulated load. runTime is the real run time of its tasks;
// the declared one is in the step.
type arrival struct {
	at      time.Duration
	job     *graph.Job
	runTime time.Duration
}

// replayResult is the outcome of a simulated load.
type replayResult struct {
	onTime, late map[int32]int // jobs by priority
	useless      map[int32]int // of late, those that ended after LateFactor objectives
	unended      map[int32]int
	shortages    int     // decisions for which room was short
	worth        float64 // sum of Value of the jobs that ended
	stops        int
	lostWork     float64 // core-seconds lost by stops
}

// replayRun is a run on a simulated worker.
type replayRun struct {
	arrival   *arrival
	ref       graph.Ref
	run       int64
	place     graph.Place
	need      Resources
	startedAt time.Duration
	stopAt    time.Duration // 0: not stopped
	pace      float64
}

// replay simulates a load for the given duration on workers that obey every start
// and stop, and calls Decide every replayTick.
func replay(workers []Worker, load []arrival, duration time.Duration) replayResult {
	return replayWith(workers, load, duration, replayOptions{})
}

// replayOptions change a replay from that on equal workers.
type replayOptions struct {
	// pace is the pace of each worker, which Decide knows only if it is in the workers too; a
	// gang takes as long as its slowest member. Without it all have the pace 1.
	pace func(graph.Place) float64
	// change is called on the input of each decision.
	change func(*Input)
}

// replayWith is like replay, with options.
func replayWith(workers []Worker, load []arrival, duration time.Duration, options replayOptions) replayResult {
	pace, change := options.pace, options.change
	if pace == nil {
		pace = func(graph.Place) float64 { return 1 }
	}
	out := replayResult{onTime: map[int32]int{}, late: map[int32]int{}, useless: map[int32]int{}, unended: map[int32]int{}}
	var running []*replayRun
	readySince := map[*graph.Job]map[graph.Ref]time.Duration{}
	ended := map[*graph.Job]bool{}
	held := map[string][]graph.Place{}
	for now := time.Duration(0); now < duration; now += replayTick {
		var next []*replayRun
		for _, r := range running {
			stopped := r.stopAt > 0 && now >= r.stopAt
			switch {
			case !stopped && now < r.startedAt+time.Duration(r.pace*float64(r.arrival.runTime)):
				next = append(next, r)
				continue
			case stopped:
				out.lostWork += r.need.CoreEquivalents() * (r.stopAt - replayStopDelay - r.startedAt).Seconds()
				r.arrival.job.End(r.ref, r.run, graph.EndStopped, "")
			default:
				r.arrival.job.End(r.ref, r.run, graph.EndDone, "")
			}
		}
		running = next
		var requests []Request
		for i := range load {
			a := &load[i]
			if a.at > now || ended[a.job] {
				continue
			}
			objective := time.Duration(graph.ObjectiveMS(a.job.Spec)) * time.Millisecond
			if a.job.Advance(1) {
				ended[a.job] = true
				if now-a.at <= objective {
					out.onTime[a.job.Spec.GetPriority()]++
				} else {
					out.late[a.job.Spec.GetPriority()]++
				}
				out.worth += Value(a.job.Spec, now-a.at)
				if now-a.at > LateFactor*objective {
					out.useless[a.job.Spec.GetPriority()]++
				}
				continue
			}
			if readySince[a.job] == nil {
				readySince[a.job] = map[graph.Ref]time.Duration{}
			}
			for _, r := range readyRequests(a.job, nil) {
				since, ok := readySince[a.job][r.Unit.Tasks[0]]
				if !ok {
					since = now
					readySince[a.job][r.Unit.Tasks[0]] = now
				}
				r.Duration = time.Duration(r.Unit.Step.GetEstimateMs()) * time.Millisecond
				r.ReadyFor, r.Slack = now-since, objective-(now-a.at)-r.Duration
				r.DeadlineSlack = 3*objective - (now - a.at) - r.Duration
				r.Held = held[unitKey(r.Unit)]
				requests = append(requests, r)
			}
		}
		in := Input{Workers: make([]Worker, len(workers)), Requests: requests}
		copy(in.Workers, workers)
		for _, r := range running {
			for i := range in.Workers {
				if in.Workers[i].Place == r.place {
					in.Workers[i].Free = in.Workers[i].Free.Sub(r.need)
				}
			}
			estimate := time.Duration(r.arrival.job.Step(r.ref).GetEstimateMs()) * time.Millisecond
			in.Running = append(in.Running, Running{
				Job: r.arrival.job, Ref: r.ref, Run: r.run, Place: r.place, Need: r.need,
				Remaining: max(0, r.startedAt+estimate-now), Unsaved: now - r.startedAt, Stopping: r.stopAt > 0, ExpectedDuration: estimate,
				SlackAfterStop: time.Duration(graph.ObjectiveMS(r.arrival.job.Spec))*time.Millisecond - (now - r.arrival.at) - estimate,
			})
		}
		if change != nil {
			change(&in)
		}
		d := Decide(in)
		if d.Shortage != nil {
			out.shortages++
		}
		clear(held)
		for _, h := range d.Holds {
			held[unitKey(h.Unit)] = h.Places
		}
		for _, stop := range d.Stops {
			out.stops++
			for _, r := range running {
				if r.arrival.job == stop.Job && r.ref == stop.Ref && r.stopAt == 0 {
					r.stopAt = now + replayStopDelay
				}
			}
		}
		for _, start := range d.Starts {
			run := start.Unit.Job.Assign(start.Unit, start.Places)
			for i := range load {
				if load[i].job != start.Unit.Job {
					continue
				}
				slowest := 1.0
				for _, p := range start.Places {
					slowest = max(slowest, pace(p))
				}
				for n, ref := range start.Unit.Tasks {
					step := start.Unit.Step
					running = append(running, &replayRun{
						arrival: &load[i], ref: ref, run: run, place: start.Places[n], startedAt: now, pace: slowest,
						need: Resources{MilliCPU: step.GetCpu(), MemoryMB: step.GetMemoryMb(), Accelerators: step.GetAccelerators()},
					})
				}
			}
		}
	}
	for _, a := range load {
		if !ended[a.job] {
			out.unended[a.job.Spec.GetPriority()]++
		}
	}
	return out
}

func unitKey(u graph.Unit) string { return graph.TaskName(u.Job.Spec.GetId(), u.Tasks[0]) }

func newWorkers(racks, perRack int) []Worker {
	var workers []Worker
	for i := range racks * perRack {
		workers = append(workers, newWorker(10+i, fmt.Sprintf("r%d", i/perRack)))
	}
	return workers
}

// withObjective sets the objective of a job and returns the job.
func withObjective(j *graph.Job, factor float64, target time.Duration) *graph.Job {
	j.Spec.SlackFactor, j.Spec.TargetMs = factor, target.Milliseconds()
	return j
}

// Guards against an urgent gang that preempts again and again because other units
// take the resources freed for it. The workers are full of small tasks that run
// longer than declared, and the gang needs a whole rack.
func TestUrgentGangPreemptsOnlyOnce(t *testing.T) {
	var load []arrival
	for n := range 40 {
		small := newJob(fmt.Sprintf("%016x", n), 2, &flow.Step{Count: 6, Cpu: 100, Accelerators: 1, EstimateMs: 2000})
		load = append(load, arrival{at: 0, job: withObjective(small, 3, 3*time.Second), runTime: 6 * time.Second})
	}
	gang := newJob("00000000000000ff", 0, &flow.Step{Count: 3, Cpu: 100, Accelerators: 8, EstimateMs: 2500, Gang: true, SameRack: true})
	load = append(load, arrival{at: 3 * time.Second, job: withObjective(gang, 1.5, 2*time.Second), runTime: 2500 * time.Millisecond})
	out := replay(newWorkers(3, 3), load, 40*time.Second)
	if out.onTime[0] != 1 || out.stops > 24 {
		t.Errorf("urgent gangs on time %d, late %d, %d stops; want 1 on time and at most 24 stops, the tasks of one rack", out.onTime[0], out.late[0], out.stops)
	}
}

// Guards against urgent gangs that miss their objectives, and against much lost
// work, while urgent gangs, wide jobs and many small ones exceed the capacity for
// a while.
func TestMixedBurst(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var load []arrival
	add := func(at time.Duration, j *graph.Job, runTime time.Duration) {
		load = append(load, arrival{at: at, job: j, runTime: runTime})
	}
	sizes := []int64{1, 2, 4, 8, 8}
	for n := range 60 {
		at := time.Duration(random.IntN(30000)) * time.Millisecond
		id := fmt.Sprintf("%016x", n)
		switch n % 3 {
		case 0:
			j := newJob(id, 0, &flow.Step{Count: 1 + random.Int32N(3), Cpu: 7500, MemoryMb: 39000, Accelerators: sizes[random.IntN(5)], EstimateMs: 2500, Gang: true, SameRack: true})
			add(at, withObjective(j, 1.5, 600*time.Millisecond), 2400*time.Millisecond)
		case 1:
			j := newJob(id, 1, &flow.Step{Count: 1 + random.Int32N(2), Cpu: 26000, MemoryMb: 140000, Accelerators: sizes[random.IntN(5)], EstimateMs: 8500, Gang: true})
			add(at, withObjective(j, 3, 1500*time.Millisecond), 8800*time.Millisecond)
		default:
			j := newJob(id, 2, &flow.Step{Count: 4 + random.Int32N(12), Cpu: 5600, MemoryMb: 23000, Accelerators: 1, EstimateMs: 6100})
			add(at, withObjective(j, 3, 3*time.Second), 6500*time.Millisecond)
		}
	}
	out := replay(newWorkers(4, 3), load, 120*time.Second)
	t.Logf("on time %v, late %v, stops %d, lost work %.0f core-seconds", out.onTime, out.late, out.stops, out.lostWork)
	const wantUrgent, wantOthers, maxLostWork = 17, 36, 2500
	if out.onTime[0] < wantUrgent || out.onTime[1]+out.onTime[2] < wantOthers || out.lostWork > maxLostWork {
		t.Errorf("on time %v, late %v, lost work %.0f core-seconds; want at least %d urgent jobs and %d others on time, and at most %d core-seconds lost",
			out.onTime, out.late, out.lostWork, wantUrgent, wantOthers, maxLostWork)
	}
}

// Guards against small tasks that are spread over all workers, so that none has
// enough memory left for the tasks of a gang, which need half of a worker's memory
// each. The small tasks need a larger share of the memory than of the accelerators.
func TestSmallTasksLeaveWholeWorkersFree(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	var load []arrival
	for n := range 140 {
		at := time.Duration(random.IntN(40000)) * time.Millisecond
		id := fmt.Sprintf("%016x", n)
		if n%4 == 0 {
			j := newJob(id, 1, &flow.Step{Count: 4, Cpu: 26000, MemoryMb: 140000, Accelerators: 1 + random.Int64N(2), EstimateMs: 8500, Gang: true})
			load = append(load, arrival{at: at, job: withObjective(j, 1.5, 1500*time.Millisecond), runTime: 8500 * time.Millisecond})
			continue
		}
		j := newJob(id, 2, &flow.Step{Count: 3 + random.Int32N(3), Cpu: 1000 + 1000*random.Int64N(9), MemoryMb: 30000, Accelerators: random.Int64N(2), EstimateMs: 6000})
		load = append(load, arrival{at: at, job: withObjective(j, 3, 3*time.Second), runTime: 6 * time.Second})
	}
	out := replay(newWorkers(5, 3), load, 150*time.Second)
	t.Logf("on time %v, late %v", out.onTime, out.late)
	const wantGangs = 16
	if out.onTime[1] < wantGangs {
		t.Errorf("%d of 35 gangs on time; want at least %d", out.onTime[1], wantGangs)
	}
}

// Guards against a stream of wide jobs with slack that fills a large cluster and
// delays bursts of urgent gangs. With several racks set aside, the gangs do about as
// well as without other jobs, and the work lost to their preemptions is a small
// share of their own.
func TestUrgentBurstsOnLargeCluster(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	urgent := func(n int, at time.Duration) arrival {
		j := newJob(fmt.Sprintf("%016x", 1000+n), 0, &flow.Step{Count: 3 + random.Int32N(6), Cpu: 7500, MemoryMb: 39000, Accelerators: 1 + random.Int64N(8), EstimateMs: 2500, Gang: true})
		return arrival{at: at, job: withObjective(j, 1.2, 600*time.Millisecond), runTime: 2500 * time.Millisecond}
	}
	load := func(others bool) []arrival {
		random = rand.New(rand.NewPCG(5, 6))
		var load []arrival
		for n := range 60 {
			// Three bursts of 6 s, 10 s apart.
			at := time.Duration(10000*(n%3)+3000+random.IntN(6000)) * time.Millisecond
			load = append(load, urgent(n, at))
		}
		for n := range 40 {
			if !others {
				break
			}
			at := time.Duration(random.IntN(30000)) * time.Millisecond
			j := newJob(fmt.Sprintf("%016x", n), 2, &flow.Step{Count: 20 + random.Int32N(40), Cpu: 5600, MemoryMb: 23000, Accelerators: 1, EstimateMs: 6100})
			load = append(load, arrival{at: at, job: withObjective(j, 3, 10*time.Second), runTime: 6100 * time.Millisecond})
		}
		return load
	}
	urgentWork := 0.0 // core-seconds of the urgent gangs
	for _, a := range load(false) {
		step := a.job.Spec.GetSteps()[0]
		urgentWork += Resources{MilliCPU: step.GetCpu(), Accelerators: step.GetAccelerators()}.CoreEquivalents() * a.runTime.Seconds() * float64(step.GetCount())
	}
	alone := replay(newWorkers(12, 5), load(false), 60*time.Second)
	out := replay(newWorkers(12, 5), load(true), 120*time.Second)
	t.Logf("urgent gangs only: on time %v, late %v; with other jobs: on time %v, late %v, stops %d, lost work %.0f core-seconds",
		alone.onTime, alone.late, out.onTime, out.late, out.stops, out.lostWork)
	const (
		minShare     = 0.9 // of the urgent gangs that are on time without other jobs
		maxLostShare = 0.2 // of the work of the urgent gangs
	)
	if got, ideal := out.onTime[0], alone.onTime[0]; float64(got) < minShare*float64(ideal) {
		t.Errorf("%d urgent gangs on time; without other jobs %d of 60 are", got, ideal)
	}
	if out.lostWork > maxLostShare*urgentWork {
		t.Errorf("%.0f core-seconds lost for %.0f of urgent work", out.lostWork, urgentWork)
	}
}
