package shed

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"catkinpoint/flow"
	"catkinpoint/plan"
)

// busyLoad returns a load of full workers whose runs end after a time, and of waiting gangs of
// priority 0 that take all workers for as long each.
func busyLoad(gangs int, runTime time.Duration) *Load {
	load := &Load{Workers: testWorkers(4)}
	for i := range load.Workers {
		load.Holds = append(load.Holds, Hold{Worker: i, Need: load.Workers[i].Free, Until: runTime})
		load.Workers[i].Free = plan.Resources{}
	}
	for i := range gangs {
		load.Waiting = append(load.Waiting, requestOf(testJob(fmt.Sprint("w", i), 0, 8, runTime), 0))
	}
	return load
}

// overtakingLoad returns a load of workers that are full for 2 s, and of gangs that take them
// whole, come all the time and have less slack than those that wait.
func overtakingLoad() *Load {
	load := busyLoad(0, 2*time.Second)
	for i := range 100 {
		load.Arrivals = append(load.Arrivals, Arrival{Age: time.Duration(i) * 100 * time.Millisecond, Steps: []plan.Request{requestOf(testJob("f", 0, 8, time.Second), 0)}})
	}
	load.Waiting = []plan.Request{requestOf(testJob("w", 0, 8, 600*time.Millisecond), 0), requestOf(testJob("v", 0, 8, 300*time.Millisecond), 0)}
	return load
}

// Guards against refusals that a doubt should have prevented, and against jobs that are
// accepted although they cannot be of use.
func TestDecide(t *testing.T) {
	const short = 500 * time.Millisecond // of use for 4 s
	away := busyLoad(8, 5*time.Second)
	away.Workers[0].Away, away.Workers[1].Away = true, true
	soon := busyLoad(8, 5*time.Second)
	tests := []struct {
		name     string
		load     *Load
		job      *flow.Job
		starts   bool
		admitted bool
		firm     bool
	}{
		{"room only after its time of use", busyLoad(8, 5*time.Second), testJob("a", 0, 1, short), false, false, false},
		{"overtaken by who comes later", overtakingLoad(), testJob("a", 0, 8, short), false, false, true},
		{"half of the workers are away", away, testJob("a", 0, 1, short), false, true, false},
		{"placed at once", soon, testJob("a", 0, 1, short), true, true, false},
		{"of use for longer than the wait", busyLoad(8, 5*time.Second), testJob("a", 0, 1, 12*time.Second), false, true, false},
		{"late, but of use", busyLoad(1, 2*time.Second), testJob("a", 0, 1, short), false, true, false},
		{"of use by the least that it takes", busyLoad(1, 2500*time.Millisecond), testJob("a", 0, 1, short), false, true, false},
		{"empty workers", &Load{Workers: testWorkers(4)}, testJob("a", 0, 1, short), false, true, false},
		{"no workers", &Load{}, testJob("a", 0, 1, short), false, true, false},
	}
	for _, test := range tests {
		q := questionOf(test.job)
		q.StartsNow = test.starts
		d := Decide(test.load, q, &Promises{}, 1000)
		if d.Admitted != test.admitted {
			t.Errorf("%s: %+v; want admitted %v", test.name, d, test.admitted)
		}
		if !d.Admitted && (d.Promised != test.firm || d.RetryAfter < returnUnit) {
			t.Errorf("%s: %+v; want a firm promise: %v", test.name, d, test.firm)
		}
	}
	if quiet := (&Load{Workers: testWorkers(4)}); Refusing(quiet, &Promises{}) {
		t.Error("refusing without waiting work")
	}
	if !Refusing(soon, &Promises{}) {
		t.Error("not refusing with a queue of 40 s")
	}
}

// Guards against the refusal of a job that lasts, as if it were of no use after three objectives.
func TestLongRunningJobIsAdmitted(t *testing.T) {
	job := testJob("a", 0, 1, 500*time.Millisecond)
	job.Steps[0].LongRunning = true
	if d := Decide(busyLoad(8, 5*time.Second), questionOf(job), &Promises{}, 1000); !d.Admitted {
		t.Errorf("%+v; want the job admitted", d)
	}
}

// Guards against a forecast that goes far beyond maxChecks, as thousands of small units
// start at once.
func TestChecksAreBounded(t *testing.T) {
	load := &Load{Workers: testWorkers(400)}
	for range 20 {
		job := testJob("w", 1, 10000, time.Second)
		job.Steps[0].Gang, job.Steps[0].Cpu, job.Steps[0].MemoryMb, job.Steps[0].Accelerators = false, 1, 1, 0
		r := requestOf(job, 0)
		r.Unit.Tasks = r.Unit.Tasks[:1]
		for range 1000 {
			load.Waiting = append(load.Waiting, r)
		}
	}
	groups := groupsOf(load.Waiting)
	s := newSimulation(load, groups)
	s.run(0, len(groups), Horizon)
	if s.checks > maxChecks+10*len(load.Workers) {
		t.Errorf("%d tests of a worker for room; want about %d at most", s.checks, maxChecks)
	}
}

// Guards against a caller that obtains a promise for a small job and returns with a large one, in
// another queue or as another customer, which then needs no forecast.
func TestPromiseIsForOneJob(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*flow.Job)
		want   bool
	}{
		{"the same job", func(*flow.Job) {}, true},
		{"more tasks", func(j *flow.Job) { j.Steps[0].Count = 80 }, false},
		{"larger tasks", func(j *flow.Job) { j.Steps[0].Accelerators = 8 }, false},
		{"another queue", func(j *flow.Job) { j.Queue = "r" }, false},
		{"another customer", func(j *flow.Job) { j.Customer = "c" }, false},
	} {
		load, promises := overtakingLoad(), &Promises{}
		first := Decide(load, questionOf(testJob("a", 0, 8, 500*time.Millisecond)), promises, 0)
		job := testJob("a", 0, 8, 500*time.Millisecond)
		c.change(job)
		if d := Decide(load, questionOf(job), promises, first.RetryAfter.Milliseconds()); !first.Promised || (d.Admitted && d.Promised) != c.want {
			t.Errorf("%s: promised %+v, at its time %+v", c.name, first, d)
		}
	}
}

// Guards against room that is promised twice, against callers that gain by returning early or
// more often, and against callers that return in time and are refused.
func TestPromises(t *testing.T) {
	for _, firm := range []bool{true, false} {
		load, promises := busyLoad(8, 5*time.Second), &Promises{}
		if firm {
			load = overtakingLoad()
		}
		ask := func(book *Promises, id string, now time.Duration) Decision {
			return Decide(load, questionOf(testJob(id, 0, 8, 500*time.Millisecond)), book, now.Milliseconds())
		}
		first, second := ask(promises, "a", 0), ask(promises, "b", 0)
		if first.Admitted || second.Admitted || first.Promised != firm || second.RetryAfter < first.RetryAfter+500*time.Millisecond {
			t.Fatalf("two questions, firm %v: %+v, %+v; want two times with room for one job between", firm, first, second)
		}
		early := ask(promises, "a", time.Second)
		if early.Admitted || early.RetryAfter != first.RetryAfter-time.Second || promises.Open() != 2 {
			t.Errorf("early return, firm %v: %+v; want the same time again", firm, early)
		}
		restored := &Promises{}
		restored.Restore(promises.List())
		for _, book := range []*Promises{promises, restored} {
			for _, at := range []time.Duration{first.RetryAfter - earlyTime, first.RetryAfter, first.RetryAfter + returnWindow} { // by a clock that runs fast; again, as the job was not stored
				if d := ask(book, "a", at); firm && !(d.Admitted && d.Promised) || !firm && d.Promised {
					t.Errorf("return after %v, firm %v: %+v", at, firm, d)
				}
			}
			ended := book.Settle(func(id string) bool { return id == "a" }, first.RetryAfter.Milliseconds())
			if !slices.Equal(ended.Kept, []string{"a"}) || len(ended.Expired) != 0 {
				t.Errorf("ended, firm %v: %+v; want a kept", firm, ended)
			}
			if d := ask(book, "b", second.RetryAfter+returnWindow+time.Millisecond); d.Admitted || !d.New {
				t.Errorf("return after the window, firm %v: %+v; want it judged anew", firm, d)
			}
		}
	}
}

// Guards against memory and records that grow with the number of refused callers.
func TestPromisesAreBounded(t *testing.T) {
	load, promises := busyLoad(8, 5*time.Second), &Promises{}
	for i := range maxPromises + 20 {
		id := fmt.Sprint("x", i)
		promises.add(promiseOf(questionOf(testJob(id, 1, 1, time.Second)), 0, time.Minute, false))
	}
	d := Decide(load, questionOf(testJob("a", 0, 8, 500*time.Millisecond)), promises, 0)
	if d.Admitted || d.New || d.RetryAfter < time.Minute || promises.Open() != maxPromises {
		t.Errorf("one more: %+v with %d promises; want none, and to return after the others", d, promises.Open())
	}
	ended := promises.Settle(func(string) bool { return false }, time.Hour.Milliseconds())
	if promises.Open() != 0 || len(ended.Expired) != maxPromises {
		t.Errorf("%d promises are open after an hour", promises.Open())
	}
}

// burstJob is a job of the replay.
type burstJob struct {
	*flow.Job
	arrives, accepted, began, ends time.Duration
	factor                         float64 // of its run time
	returns                        time.Duration
	refused, promised, done        bool
}

// outcome counts jobs of a burst.
type outcome struct {
	useless, useful, refused int // accepted and of no use; of use from the first attempt; refused
	promised, ended, served  int // that were promised room; of these, that ended; of use from the first attempt
	broken, overtaken        int // that returned in time and were refused; that one overtook which came later, needs as much and is as patient
}

// burst replays a burst: jobs come at four times the usual rate from second 2 to 14, a fifth
// of the workers hang from 8 to 16 s, and three in ten are slow by 8 from 20 to 28 s.
func burst(seed uint64, refuse bool) (o outcome) {
	const (
		tick    = 100 * time.Millisecond
		workers = 20
	)
	random := rand.New(rand.NewPCG(seed, 1))
	var jobs []*burstJob
	for now := time.Duration(0); now < 34*time.Second; now += tick {
		rate := 0.14
		if now >= 2*time.Second && now < 14*time.Second {
			rate *= 4
		}
		if random.Float64() < rate {
			estimate := time.Duration(500+random.IntN(3000)) * time.Millisecond
			jobs = append(jobs, &burstJob{
				Job: testJob(fmt.Sprintf("%016x", len(jobs)), int32(random.IntN(2)), int32(2+random.IntN(8)), estimate), arrives: now,
				factor: 0.5 * float64(1+random.IntN(4)), returns: now,
			})
		}
	}
	slots := make([]int, workers) // free halves of each worker
	for i := range slots {
		slots[i] = 2
	}
	held := map[*burstJob][]int{}
	promises := &Promises{}
	waiting := func(now time.Duration) (requests []plan.Request, of map[string]*burstJob) {
		of = map[string]*burstJob{}
		for _, j := range jobs {
			if j.accepted > 0 && j.began == 0 {
				r := requestOf(j.Job, now-j.accepted)
				requests, of[j.GetId()] = append(requests, r), j
			}
		}
		slices.SortStableFunc(requests, func(a, b plan.Request) int {
			if plan.Before(a, b) {
				return -1
			}
			return 1
		})
		return requests, of
	}
	for now := tick; now < 3*time.Minute; now += tick {
		for j, on := range held {
			if j.ends <= now {
				for _, w := range on {
					slots[w]++
				}
				j.done = true
				delete(held, j)
			}
		}
		promises.Settle(func(id string) bool {
			i := slices.IndexFunc(jobs, func(j *burstJob) bool { return j.GetId() == id })
			return jobs[i].accepted > 0
		}, now.Milliseconds())
		for _, j := range jobs {
			if j.accepted > 0 || now < j.returns || j.arrives > now {
				continue
			}
			if !refuse {
				j.accepted = now
				continue
			}
			load := &Load{Workers: testWorkers(workers)}
			load.Waiting, _ = waiting(now)
			for other, on := range held {
				left := other.began + time.Duration(other.GetSteps()[0].GetEstimateMs())*time.Millisecond - now
				for _, w := range on {
					need := requestOf(other.Job, 0).Need
					load.Workers[w].Free = load.Workers[w].Free.Sub(need)
					load.Holds = append(load.Holds, Hold{Worker: w, Need: need, Until: max(left, -left)})
				}
			}
			for _, other := range jobs {
				if age := now - other.accepted; other.accepted > 0 && age < ArrivalMemory {
					load.Arrivals = append(load.Arrivals, Arrival{Age: age, Steps: []plan.Request{requestOf(other.Job, 0)}})
				}
			}
			d := Decide(load, questionOf(j.Job), promises, now.Milliseconds())
			switch {
			case d.Admitted:
				j.accepted = now
			default:
				if j.promised {
					o.broken++
				}
				j.refused, j.promised, j.returns = true, d.Promised, now+d.RetryAfter
				if !d.Promised {
					j.returns = time.Hour // it is told that its result would be of no use
				}
			}
		}
		requests, of := waiting(now)
		for i := range requests {
			j := of[requests[i].Unit.Job.Spec.GetId()]
			var on []int
			for w := range slots {
				hangs := now >= 8*time.Second && now < 16*time.Second && w < workers/5
				for n := 0; n < slots[w] && len(on) < len(requests[i].Unit.Tasks) && !hangs; n++ {
					on = append(on, w)
				}
			}
			if len(on) < len(requests[i].Unit.Tasks) {
				continue
			}
			took := time.Duration(j.factor * float64(requests[i].Duration))
			for _, w := range on {
				slots[w]--
				if now >= 20*time.Second && now < 28*time.Second && w < 3*workers/10 {
					took = time.Duration(8 * j.factor * float64(requests[i].Duration))
				}
			}
			j.began, j.ends, held[j] = now, now+took, on
		}
	}
	for _, j := range jobs {
		use := requestOf(j.Job, 0).DeadlineSlack + requestOf(j.Job, 0).Duration
		inUse := j.done && j.ends-j.arrives <= use
		if j.refused {
			o.refused++
		}
		if j.promised {
			o.promised++
			if j.done {
				o.ended++
			}
			if inUse {
				o.served++
			}
			if slices.ContainsFunc(jobs, func(k *burstJob) bool {
				return k.GetPriority() == j.GetPriority() && k.GetSteps()[0].GetCount() >= j.GetSteps()[0].GetCount() &&
					k.accepted > j.accepted && !k.promised && k.began > 0 && k.began < min(j.began, j.accepted+requestOf(j.Job, 0).Slack) && requestOf(k.Job, 0).Slack >= requestOf(j.Job, 0).Slack
			}) {
				o.overtaken++
			}
		}
		switch {
		case inUse:
			o.useful++
		case j.accepted > 0:
			o.useless++
		}
	}
	return o
}

// Replays the load that refusals answer. Guards against refusals that cost callers more than
// they spare: jobs that are accepted and of no use must be fewer, and jobs that are of use hardly.
// Callers that return at their time must be admitted and served before who came later.
func TestBurst(t *testing.T) {
	var before, after outcome
	for seed := range uint64(12) {
		before.add(burst(seed, false))
		after.add(burst(seed, true))
	}
	t.Logf("without refusals %+v, with %+v", before, after)
	if after.useless*100 > before.useless*95 {
		t.Errorf("%d jobs were accepted and of no use; without refusals %d", after.useless, before.useless)
	}
	if after.useful*100 < before.useful*98 {
		t.Errorf("%d jobs were of use; without refusals %d", after.useful, before.useful)
	}
	if after.promised == 0 || after.ended < after.promised || after.served == 0 || after.broken > 0 || after.overtaken > 0 {
		t.Errorf("returning callers: %+v; want all admitted and served in order", after)
	}
}

func (o *outcome) add(other outcome) {
	o.useless += other.useless
	o.useful += other.useful
	o.refused += other.refused
	o.promised += other.promised
	o.ended += other.ended
	o.served += other.served
	o.broken += other.broken
	o.overtaken += other.overtaken
}
