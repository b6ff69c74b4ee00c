package trace

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Scenario selects what a generated trace contains.
type Scenario struct {
	Name             string
	Seed             uint64
	Load             float64 // submitted work / (capacity * length), without the jobs that addFaults adds
	Length           time.Duration
	Bursts           int  // number of bursts, alternately of small and of large jobs
	DataCentreLeaves bool // the second data centre leaves service and returns
	Faults           bool // add failing workers, jobs that fail or never fit, and cancelled bursts
}

// Scenarios returns the scenarios of the recorded traces of both reference
// deployments.
func Scenarios() []Scenario {
	const length = 8 * time.Hour
	return []Scenario{
		{Name: "kivilaud_bursty", Seed: 7101, Load: 0.8, Length: length, Bursts: 8, Faults: true},
		{Name: "kivilaud_load90", Seed: 7102, Load: 0.9, Length: length},
		{Name: "kivilaud_leave", Seed: 7103, Load: 0.7, Length: length, Bursts: 4, DataCentreLeaves: true, Faults: true},
		{Name: "banc_clair_bursty", Seed: 8101, Load: 0.8, Length: length, Bursts: 8, Faults: true},
		{Name: "banc_clair_load90", Seed: 8102, Load: 0.9, Length: length},
		{Name: "banc_clair_leave", Seed: 8103, Load: 0.7, Length: length, Bursts: 4, DataCentreLeaves: true, Faults: true},
	}
}

// Generate returns the trace of a scenario. The result depends on the scenario
// only.
func Generate(s Scenario) *Trace {
	profile := kivilaud()
	if len(s.Name) > 4 && s.Name[:4] == "banc" {
		profile = bancClair()
	}
	g := &generator{
		Scenario: s,
		profile:  profile,
		rand:     rand.New(rand.NewPCG(s.Seed, 0)),
		trace:    &Trace{Name: s.Name, Seed: s.Seed, Load: s.Load, Length: s.Length, DataCentres: profile.dataCentres, Customers: profile.customers},
	}
	for _, c := range profile.classes {
		g.trace.Classes = append(g.trace.Classes, c.Class)
	}
	if s.DataCentreLeaves {
		dc := &g.trace.DataCentres[1]
		dc.LeavesAt, dc.ReturnsAt = s.Length*3/8, s.Length*5/8
	}
	g.addLoad()
	if s.Faults {
		g.addFaults()
	}
	g.sortAndNumberJobs()
	return g.trace
}

// generator holds a trace while it is generated.
type generator struct {
	Scenario
	profile   deploymentProfile
	rand      *rand.Rand
	trace     *Trace
	totalWork float64 // of the jobs so far, in accelerator-seconds
}

// addLoad adds all bursts and then single jobs until the load is reached.
func (g *generator) addLoad() {
	target := g.Load * float64(g.trace.Capacity()) * g.Length.Seconds()
	for i := range g.Bursts {
		start := time.Duration(float64(g.Length) * (float64(i) + g.rand.Float64()) / float64(g.Bursts))
		g.addBurst(start, i%2 == 1)
	}
	for g.totalWork < target {
		submitted := time.Duration(g.rand.Float64() * float64(g.Length))
		g.addJob(submitted, g.pickClass())
	}
}

// addBurst adds 60 to 119 small or 3 to 5 large jobs, submitted within half a
// minute. With faults, one in three bursts of small jobs is a cancel wave: the
// callers cancel about half of its jobs at once, five minutes after its start.
func (g *generator) addBurst(start time.Duration, large bool) {
	var classes []int
	for i, c := range g.profile.classes {
		if c.large == large && !c.Urgent {
			classes = append(classes, i)
		}
	}
	count := 60 + g.rand.IntN(60)
	if large {
		count = 3 + g.rand.IntN(3)
	}
	cancelWave := g.Faults && !large && g.rand.IntN(3) == 0
	for range count {
		j := g.addJob(start+time.Duration(g.rand.IntN(30_000))*time.Millisecond, classes[g.rand.IntN(len(classes))])
		if cancelWave && g.rand.IntN(2) == 0 {
			j.CancelledAt = start + 5*time.Minute
		}
	}
}

// pickClass returns the index of a class, drawn by the classes' shares.
func (g *generator) pickClass() int {
	x := g.rand.Float64()
	for i, c := range g.profile.classes {
		if x -= c.share; x < 0 {
			return i
		}
	}
	return 0
}

// addJob adds a job of the class with the given index. The result is valid until
// the next call.
func (g *generator) addJob(submitted time.Duration, class int) *Job {
	c := &g.profile.classes[class]
	runTime := time.Duration(float64(c.median) * math.Exp(c.sigma*g.rand.NormFloat64()))
	runTime = min(max(runTime, time.Second), g.Length/2).Round(10 * time.Millisecond)
	dc := g.profile.dataCentres[g.rand.IntN(len(g.profile.dataCentres))]
	j := Job{
		Submitted: submitted.Round(time.Millisecond), Region: dc.Region,
		Customer: c.customers[g.rand.IntN(len(c.customers))], Class: class,
		Tasks: c.Tasks, Accelerators: c.Accelerators, RunTime: runTime,
		StopTime: time.Duration(float64(c.StopTime) * (0.2 + 0.8*g.rand.Float64())).Round(time.Millisecond),
	}
	// One small job in five requests twice the accelerators that its class declares.
	if c.Tasks == 1 && c.Accelerators < 4 && g.rand.IntN(5) == 0 {
		j.Accelerators *= 2
	}
	g.totalWork += j.acceleratorSeconds()
	g.trace.Jobs = append(g.trace.Jobs, j)
	return &g.trace.Jobs[len(g.trace.Jobs)-1]
}

// addFaults adds two workers that each fail every task for an eighth of the trace,
// six jobs that fail on every worker, and six jobs whose tasks need more
// accelerators than a worker has.
func (g *generator) addFaults() {
	g.trace.Faults = []Fault{
		{Worker: g.trace.DataCentres[0].Name + "-1", From: g.Length / 8, Until: g.Length / 4},
		{Worker: g.trace.DataCentres[2].Name + "-2", From: g.Length / 2, Until: g.Length * 5 / 8},
	}
	for range 6 {
		submitted := time.Duration(g.rand.Float64() * float64(g.Length))
		g.addJob(submitted, g.pickClass()).Faulty = true
		oversized := g.addJob(submitted, len(g.profile.classes)-1)
		oversized.Tasks, oversized.Accelerators = 5, 16
	}
}

// sortAndNumberJobs sorts the jobs by submission and assigns their IDs.
func (g *generator) sortAndNumberJobs() {
	slices.SortStableFunc(g.trace.Jobs, func(a, b Job) int { return cmp.Compare(a.Submitted, b.Submitted) })
	for i := range g.trace.Jobs {
		g.trace.Jobs[i].ID = fmt.Sprintf("j%04d", i+1)
	}
}
