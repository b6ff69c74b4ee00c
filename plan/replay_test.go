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
	// replayStop is how long a stop takes.
	replayStop = 500 * time.Millisecond
)

// arrival is a job of a recorded load. Tasks take took; their declared time is
// in the step.
type arrival struct {
	at   time.Duration
	job  *graph.Job
	took time.Duration
}

// replayed is what became of a load.
type replayed struct {
	onTime, late map[int32]int // by priority
	stops        int
	thrown       float64 // core-seconds that stops threw away
}

type replayRun struct {
	arrival *arrival
	ref     graph.Ref
	run     int64
	place   graph.Place
	need    Amount
	began   time.Duration
	stopAt  time.Duration // 0: not stopped
}

// replay plays a load through Decide on workers that do what they are told.
func replay(workers []Worker, load []arrival, length time.Duration) replayed {
	out := replayed{onTime: map[int32]int{}, late: map[int32]int{}}
	var running []*replayRun
	readySince := map[*graph.Job]map[graph.Ref]time.Duration{}
	over := map[*graph.Job]bool{}
	held := map[string][]graph.Place{}
	for now := time.Duration(0); now < length; now += replayTick {
		var next []*replayRun
		for _, r := range running {
			stopped := r.stopAt > 0 && now >= r.stopAt
			switch {
			case !stopped && now < r.began+r.arrival.took:
				next = append(next, r)
				continue
			case stopped:
				out.thrown += r.need.Cores() * (r.stopAt - replayStop - r.began).Seconds()
				r.arrival.job.End(r.ref, r.run, graph.EndStopped, "")
			default:
				r.arrival.job.End(r.ref, r.run, graph.EndDone, "")
			}
		}
		running = next
		var requests []Request
		for i := range load {
			a := &load[i]
			if a.at > now || over[a.job] {
				continue
			}
			objective := time.Duration(graph.ObjectiveMS(a.job.Spec)) * time.Millisecond
			if a.job.Advance(1) {
				over[a.job] = true
				if now-a.at <= objective {
					out.onTime[a.job.Spec.GetPriority()]++
				} else {
					out.late[a.job.Spec.GetPriority()]++
				}
				continue
			}
			if readySince[a.job] == nil {
				readySince[a.job] = map[graph.Ref]time.Duration{}
			}
			for _, r := range requestsOf(a.job, nil) {
				since, ok := readySince[a.job][r.Unit.Tasks[0]]
				if !ok {
					since = now
					readySince[a.job][r.Unit.Tasks[0]] = now
				}
				r.Duration = time.Duration(r.Unit.Step.GetEstimateMs()) * time.Millisecond
				r.Ready, r.Slack = now-since, objective-(now-a.at)-r.Duration
				r.Lateness = 3*objective - (now - a.at) - r.Duration
				r.Held = held[heldKey(r.Unit)]
				requests = append(requests, r)
			}
		}
		in := Input{Workers: make([]Worker, len(workers)), Requests: requests}
		copy(in.Workers, workers)
		for _, r := range running {
			for i := range in.Workers {
				if in.Workers[i].Place == r.place {
					in.Workers[i].Free = in.Workers[i].Free.Minus(r.need)
				}
			}
			estimate := time.Duration(r.arrival.job.Step(r.ref).GetEstimateMs()) * time.Millisecond
			in.Running = append(in.Running, Running{
				Job: r.arrival.job, Ref: r.ref, Run: r.run, At: r.place, Need: r.need,
				Remaining: max(0, r.began+estimate-now), Unsaved: now - r.began, Stopping: r.stopAt > 0, Expected: estimate,
				Spare: time.Duration(graph.ObjectiveMS(r.arrival.job.Spec))*time.Millisecond - (now - r.arrival.at) - estimate,
			})
		}
		d := Decide(in)
		clear(held)
		for _, h := range d.Holds {
			held[heldKey(h.Unit)] = h.Places
		}
		for _, stop := range d.Stops {
			out.stops++
			for _, r := range running {
				if r.arrival.job == stop.Job && r.ref == stop.Ref && r.stopAt == 0 {
					r.stopAt = now + replayStop
				}
			}
		}
		for _, start := range d.Starts {
			number := start.Unit.Job.Assign(start.Unit, start.Places)
			for i := range load {
				if load[i].job != start.Unit.Job {
					continue
				}
				for n, ref := range start.Unit.Tasks {
					step := start.Unit.Step
					running = append(running, &replayRun{
						arrival: &load[i], ref: ref, run: number, place: start.Places[n], began: now,
						need: Amount{CPU: step.GetCpu(), Memory: step.GetMemoryMb(), Accelerators: step.GetAccelerators()},
					})
				}
			}
		}
	}
	return out
}

func heldKey(u graph.Unit) string { return graph.TaskName(u.Job.Spec.GetId(), u.Tasks[0]) }

func racksOf(racks, each int) []Worker {
	var workers []Worker
	for i := range racks * each {
		workers = append(workers, workerAt(10+i, fmt.Sprintf("r%d", i/each)))
	}
	return workers
}

// withObjective gives a job its objective.
func withObjective(j *graph.Job, factor float64, target time.Duration) *graph.Job {
	j.Spec.SlackFactor, j.Spec.TargetMs = factor, target.Milliseconds()
	return j
}

// Workers full of small tasks that run longer than declared, and an urgent gang
// that needs a whole rack: it stops work once, and nothing takes the room that
// is freed for it.
func TestUrgentGangOnOverdueWorkersStopsOnce(t *testing.T) {
	var load []arrival
	for n := range 40 {
		small := jobOf(fmt.Sprintf("%016x", n), 2, &flow.Step{Count: 6, Cpu: 100, Accelerators: 1, EstimateMs: 2000})
		load = append(load, arrival{at: 0, job: withObjective(small, 3, 3*time.Second), took: 6 * time.Second})
	}
	gang := jobOf("00000000000000ff", 0, &flow.Step{Count: 3, Cpu: 100, Accelerators: 8, EstimateMs: 2500, Gang: true, SameRack: true})
	load = append(load, arrival{at: 3 * time.Second, job: withObjective(gang, 1.5, 2*time.Second), took: 2500 * time.Millisecond})
	out := replay(racksOf(3, 3), load, 40*time.Second)
	if out.onTime[0] != 1 || out.stops > 24 {
		t.Errorf("urgent on time %d, late %d, %d stops; want 1 on time and at most a rack's 24 tasks stopped", out.onTime[0], out.late[0], out.stops)
	}
}

// Urgent gangs, wide jobs and many small ones over more than the room for a
// while: urgent work keeps its objective and little work is thrown away.
func TestMixedBurst(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var load []arrival
	add := func(at time.Duration, j *graph.Job, took time.Duration) {
		load = append(load, arrival{at: at, job: j, took: took})
	}
	sizes := []int64{1, 2, 4, 8, 8}
	for n := range 60 {
		at := time.Duration(random.IntN(30000)) * time.Millisecond
		id := fmt.Sprintf("%016x", n)
		switch n % 3 {
		case 0:
			j := jobOf(id, 0, &flow.Step{Count: 1 + random.Int32N(3), Cpu: 7500, MemoryMb: 39000, Accelerators: sizes[random.IntN(5)], EstimateMs: 2500, Gang: true, SameRack: true})
			add(at, withObjective(j, 1.5, 600*time.Millisecond), 2400*time.Millisecond)
		case 1:
			j := jobOf(id, 1, &flow.Step{Count: 1 + random.Int32N(2), Cpu: 26000, MemoryMb: 140000, Accelerators: sizes[random.IntN(5)], EstimateMs: 8500, Gang: true})
			add(at, withObjective(j, 3, 1500*time.Millisecond), 8800*time.Millisecond)
		default:
			j := jobOf(id, 2, &flow.Step{Count: 4 + random.Int32N(12), Cpu: 5600, MemoryMb: 23000, Accelerators: 1, EstimateMs: 6100})
			add(at, withObjective(j, 3, 3*time.Second), 6500*time.Millisecond)
		}
	}
	out := replay(racksOf(4, 3), load, 120*time.Second)
	t.Logf("on time %v, late %v, stops %d, thrown away %.0f core-seconds", out.onTime, out.late, out.stops, out.thrown)
	const wantUrgent, wantOthers, mostThrown = 17, 36, 2500
	if out.onTime[0] < wantUrgent || out.onTime[1]+out.onTime[2] < wantOthers || out.thrown > mostThrown {
		t.Errorf("on time %v, late %v, thrown away %.0f; want at least %d urgent and %d others on time, at most %d thrown away",
			out.onTime, out.late, out.thrown, wantUrgent, wantOthers, mostThrown)
	}
}

// Gangs whose tasks need half of a worker's memory each, beside a stream of
// small tasks that need more memory than accelerators: the small ones fill
// workers, so that the gangs find whole ones.
func TestMemoryStaysWholeForWideTasks(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	var load []arrival
	for n := range 140 {
		at := time.Duration(random.IntN(40000)) * time.Millisecond
		id := fmt.Sprintf("%016x", n)
		if n%4 == 0 {
			j := jobOf(id, 1, &flow.Step{Count: 4, Cpu: 26000, MemoryMb: 140000, Accelerators: 1 + random.Int64N(2), EstimateMs: 8500, Gang: true})
			load = append(load, arrival{at: at, job: withObjective(j, 1.5, 1500*time.Millisecond), took: 8500 * time.Millisecond})
			continue
		}
		j := jobOf(id, 2, &flow.Step{Count: 3 + random.Int32N(3), Cpu: 1000 + 1000*random.Int64N(9), MemoryMb: 30000, Accelerators: random.Int64N(2), EstimateMs: 6000})
		load = append(load, arrival{at: at, job: withObjective(j, 3, 3*time.Second), took: 6 * time.Second})
	}
	out := replay(racksOf(5, 3), load, 150*time.Second)
	t.Logf("on time %v, late %v", out.onTime, out.late)
	const wantGangs = 16
	if out.onTime[1] < wantGangs {
		t.Errorf("%d of 35 gangs on time; want %d", out.onTime[1], wantGangs)
	}
}

// Bursts of urgent gangs on a large site that a stream of wide jobs with time to
// spare would fill: several racks stay open, so that the gangs do about as well
// as on the site alone, and what is stopped for them is small beside their work.
func TestUrgentBurstsOnLargeSite(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	urgent := func(n int, at time.Duration) arrival {
		j := jobOf(fmt.Sprintf("%016x", 1000+n), 0, &flow.Step{Count: 3 + random.Int32N(6), Cpu: 7500, MemoryMb: 39000, Accelerators: 1 + random.Int64N(8), EstimateMs: 2500, Gang: true})
		return arrival{at: at, job: withObjective(j, 1.2, 600*time.Millisecond), took: 2500 * time.Millisecond}
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
			j := jobOf(fmt.Sprintf("%016x", n), 2, &flow.Step{Count: 20 + random.Int32N(40), Cpu: 5600, MemoryMb: 23000, Accelerators: 1, EstimateMs: 6100})
			load = append(load, arrival{at: at, job: withObjective(j, 3, 10*time.Second), took: 6100 * time.Millisecond})
		}
		return load
	}
	work := 0.0 // core-seconds of the urgent gangs
	for _, a := range load(false) {
		step := a.job.Spec.GetSteps()[0]
		work += Amount{CPU: step.GetCpu(), Accelerators: step.GetAccelerators()}.Cores() * a.took.Seconds() * float64(step.GetCount())
	}
	alone := replay(racksOf(12, 5), load(false), 60*time.Second)
	out := replay(racksOf(12, 5), load(true), 120*time.Second)
	t.Logf("alone: on time %v, late %v; beside others: on time %v, late %v, stops %d, thrown away %.0f core-seconds",
		alone.onTime, alone.late, out.onTime, out.late, out.stops, out.thrown)
	const (
		share      = 0.9 // of what the site could do for urgent work alone
		mostThrown = 0.2 // of the urgent work
	)
	if got, ideal := out.onTime[0], alone.onTime[0]; float64(got) < share*float64(ideal) {
		t.Errorf("%d urgent gangs on time; %d of 60 are on the site alone", got, ideal)
	}
	if out.thrown > mostThrown*work {
		t.Errorf("%.0f core-seconds thrown away for %.0f of urgent work", out.thrown, work)
	}
}
