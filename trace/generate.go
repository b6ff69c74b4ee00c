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
	Name   string
	Seed   uint64
	Load   float64 // submitted work over capacity and length
	Length time.Duration
	Bursts int  // bursts of small and of large jobs
	Leave  bool // the second data centre leaves and returns
	Faults bool // workers that fail everything, faulty jobs and cancel waves
}

// Scenarios are the recorded traces of both reference deployments.
func Scenarios() []Scenario {
	const length = 8 * time.Hour
	return []Scenario{
		{Name: "kivilaud_bursty", Seed: 7101, Load: 0.8, Length: length, Bursts: 8, Faults: true},
		{Name: "kivilaud_load90", Seed: 7102, Load: 0.9, Length: length},
		{Name: "kivilaud_leave", Seed: 7103, Load: 0.7, Length: length, Bursts: 4, Leave: true, Faults: true},
		{Name: "banc_clair_bursty", Seed: 8101, Load: 0.8, Length: length, Bursts: 8, Faults: true},
		{Name: "banc_clair_load90", Seed: 8102, Load: 0.9, Length: length},
		{Name: "banc_clair_leave", Seed: 8103, Load: 0.7, Length: length, Bursts: 4, Leave: true, Faults: true},
	}
}

// Generate returns the trace of a scenario; the same scenario gives the same trace.
func Generate(s Scenario) *Trace {
	p := kivilaud()
	if len(s.Name) > 4 && s.Name[:4] == "banc" {
		p = bancClair()
	}
	g := &generator{
		Scenario: s,
		profile:  p,
		rand:     rand.New(rand.NewPCG(s.Seed, 0)),
		trace:    &Trace{Name: s.Name, Seed: s.Seed, Load: s.Load, Length: s.Length, DataCentres: p.dataCentres, Customers: p.customers},
	}
	for _, k := range p.kinds {
		g.trace.Classes = append(g.trace.Classes, k.Class)
	}
	if s.Leave {
		dc := &g.trace.DataCentres[1]
		dc.Leaves, dc.Returns = s.Length*3/8, s.Length*5/8
	}
	g.fill()
	if s.Faults {
		g.addFaults()
	}
	g.finish()
	return g.trace
}

type generator struct {
	Scenario
	profile profile
	rand    *rand.Rand
	trace   *Trace
	work    float64
}

// fill adds bursts and then single jobs until the load is reached.
func (g *generator) fill() {
	target := g.Load * float64(g.trace.Capacity()) * g.Length.Seconds()
	for i := range g.Bursts {
		at := time.Duration(float64(g.Length) * (float64(i) + g.rand.Float64()) / float64(g.Bursts))
		g.burst(at, i%2 == 1)
	}
	for g.work < target {
		at := time.Duration(g.rand.Float64() * float64(g.Length))
		g.add(at, g.pick())
	}
}

// burst adds many small or several large jobs within half a minute; a third
// of the bursts of small jobs are cancelled in a wave.
func (g *generator) burst(at time.Duration, large bool) {
	var kinds []int
	for i, k := range g.profile.kinds {
		if k.large == large && !k.Urgent {
			kinds = append(kinds, i)
		}
	}
	count := 60 + g.rand.IntN(60)
	if large {
		count = 3 + g.rand.IntN(3)
	}
	wave := g.Faults && !large && g.rand.IntN(3) == 0
	for range count {
		j := g.add(at+time.Duration(g.rand.IntN(30_000))*time.Millisecond, kinds[g.rand.IntN(len(kinds))])
		if wave && g.rand.IntN(2) == 0 {
			j.Cancelled = at + 5*time.Minute
		}
	}
}

// pick draws a class by its share.
func (g *generator) pick() int {
	x := g.rand.Float64()
	for i, k := range g.profile.kinds {
		if x -= k.share; x < 0 {
			return i
		}
	}
	return 0
}

func (g *generator) add(at time.Duration, class int) *Job {
	k := &g.profile.kinds[class]
	run := time.Duration(float64(k.median) * math.Exp(k.tail*g.rand.NormFloat64()))
	run = min(max(run, time.Second), g.Length/2).Round(10 * time.Millisecond)
	dc := g.profile.dataCentres[g.rand.IntN(len(g.profile.dataCentres))]
	j := Job{
		Submitted: at.Round(time.Millisecond), Region: dc.Region,
		Customer: k.owners[g.rand.IntN(len(k.owners))], Class: class,
		Tasks: k.Tasks, Accelerators: k.Accelerators, RunTime: run,
		Stop: time.Duration(float64(k.StopTime) * (0.2 + 0.8*g.rand.Float64())).Round(time.Millisecond),
	}
	// One small job in five asks for twice what its class declares.
	if k.Tasks == 1 && k.Accelerators < 4 && g.rand.IntN(5) == 0 {
		j.Accelerators *= 2
	}
	g.work += j.work()
	g.trace.Jobs = append(g.trace.Jobs, j)
	return &g.trace.Jobs[len(g.trace.Jobs)-1]
}

// addFaults adds workers that fail everything, jobs that can never run and
// jobs that fail everywhere.
func (g *generator) addFaults() {
	g.trace.Faults = []Fault{
		{Worker: g.trace.DataCentres[0].Name + "-1", From: g.Length / 8, Until: g.Length / 4},
		{Worker: g.trace.DataCentres[2].Name + "-2", From: g.Length / 2, Until: g.Length * 5 / 8},
	}
	for range 6 {
		at := time.Duration(g.rand.Float64() * float64(g.Length))
		g.add(at, g.pick()).Faulty = true
		j := g.add(at, len(g.profile.kinds)-1)
		j.Tasks, j.Accelerators = 5, 16
	}
}

func (g *generator) finish() {
	slices.SortStableFunc(g.trace.Jobs, func(a, b Job) int { return cmp.Compare(a.Submitted, b.Submitted) })
	for i := range g.trace.Jobs {
		g.trace.Jobs[i].ID = fmt.Sprintf("j%04d", i+1)
	}
}
