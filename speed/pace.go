package speed

import (
	"cmp"
	"math"
	"slices"
	"time"

	"catkinpoint/flow"
	"catkinpoint/graph"
)

const (
	// window is how long samples are fitted together. After it the estimates become the
	// prior of the next window.
	window = 6 * time.Second
	// iterations is the number of turns in which the effects of steps and workers are
	// fitted; with two kinds of workers the error falls to a half or less in each.
	iterations = 12
	// minWeight is the evidence, in seconds, from which a pace counts. A worker that is
	// slow for a shorter time is not yet told from a lastingly slow one.
	minWeight = 2
	// minKeptWeight is the evidence, in seconds, below which an estimate is dropped.
	minKeptWeight = 0.5
	// maxWeight bounds the weight of an estimate, so that a change is followed.
	maxWeight = 20
	// priorHalving is the new evidence, in seconds, that halves the weight of the prior.
	priorHalving = 3
	// idleHalving is the time without evidence, in multiples of the weight in seconds,
	// that halves the weight of an estimate.
	idleHalving = 30
	// passingNoise is the standard deviation of the logarithm of a worker's run times
	// between seconds, from passing causes that all its tasks share.
	passingNoise = 0.1
	// minStandardErrors is how many standard errors a pace must differ from 1 to count.
	minStandardErrors = 3
	// maxLogTime clips what a sample says about a worker, to a factor of 4: a run that
	// stands still says no more than a slow one.
	maxLogTime = 1.386
	// quantisation is the standard deviation of the difference of two percentages that
	// are rounded down, in percent.
	quantisation = 0.41
	// madToDeviation makes a standard deviation of a median absolute deviation.
	madToDeviation = 1.4826
	// minNoise is the least noise of a sample.
	minNoise = 0.02
	// minSpread is the least standard deviation between workers for which estimates are
	// not shrunk to nothing.
	minSpread = 0.03
	// maxStretch bounds the stretch of a sample. Lists come several times a second, so that a
	// longer one shows a clock that has jumped.
	maxStretch = 24 * time.Hour
	// unevenRatio is the pace of the slowest worker divided by that of a fast one, which is
	// the lower quartile, from which paces count at all. Workers that differ by half take
	// little longer than what the slack of most jobs allows for, and setting them aside costs
	// more than it saves.
	unevenRatio = 2
	// maxSamples bounds the samples of a window.
	maxSamples = 8192
)

// Group identifies tasks that do the same work but for noise.
type Group struct {
	Job        string
	Occurrence int32
	Step       int32
	// Gang is set if the tasks are members of a gang, which are of equal size.
	Gang bool
}

// Sample is what a stretch of one run shows.
type Sample struct {
	Group  Group
	Worker graph.Place
	// Elapsed is the length of the stretch on the worker's clock, and Percent the progress
	// in it.
	Elapsed time.Duration
	Percent float64
	// At is when the sample was taken.
	At time.Duration
}

// minPercent stands for no progress at all.
const minPercent = 0.5

// logTime returns the logarithm of the time in seconds that the whole task takes at the
// speed of the stretch.
func (s *Sample) logTime() float64 {
	return math.Log(s.Elapsed.Seconds() * 100 / max(s.Percent, minPercent))
}

// estimate is what is known of a worker.
type estimate struct {
	logTime float64 // relative to the median worker
	weight  float64 // seconds of evidence
	error   float64 // standard error of logTime
	at      time.Duration
}

// Paces estimates the pace of each worker. It is not safe for concurrent use.
type Paces struct {
	samples     []Sample
	windowStart time.Duration
	// prior has the estimates at the start of the window, and present those with its samples.
	prior, present map[graph.Place]estimate
	// noise is the standard deviation of samples of gangs and of other steps.
	gangNoise, stepNoise float64
	changed              bool // samples were added since the last fit
	uneven               bool // the workers differ by more than unevenRatio
}

// NewPaces returns an estimator that knows nothing.
func NewPaces() *Paces {
	return &Paces{prior: map[graph.Place]estimate{}, present: map[graph.Place]estimate{}, gangNoise: 0.1, stepNoise: 0.3}
}

// Add adds a sample. One whose stretch is empty or longer than maxStretch is ignored.
func (p *Paces) Add(s Sample) {
	if s.Elapsed <= 0 || s.Elapsed > maxStretch || len(p.samples) >= maxSamples {
		return
	}
	p.samples = append(p.samples, s)
	p.changed = true
}

// Forget drops what is known of a worker.
func (p *Paces) Forget(worker graph.Place) {
	delete(p.prior, worker)
	delete(p.present, worker)
	p.samples = slices.DeleteFunc(p.samples, func(s Sample) bool { return s.Worker == worker })
}

// Pace returns the run time on a worker relative to that on the median worker, or 1 if
// it is not known or does not differ from 1 by more than its uncertainty. It is 1 for all
// workers if these do not differ by more than unevenRatio.
func (p *Paces) Pace(worker graph.Place, now time.Duration) float64 {
	if !p.uneven {
		return 1
	}
	return p.estimated(worker, now)
}

// estimated is like Pace, however much the workers differ.
func (p *Paces) estimated(worker graph.Place, now time.Duration) float64 {
	e, ok := p.present[worker]
	if !ok {
		return 1
	}
	faded := e.faded(now)
	if faded < minWeight || math.Abs(e.logTime) < minStandardErrors*e.error*math.Sqrt(e.weight/faded) {
		return 1
	}
	return math.Exp(e.logTime)
}

// Weight returns the seconds of evidence of a worker's pace, less what has faded.
func (p *Paces) Weight(worker graph.Place, now time.Duration) float64 {
	e, ok := p.present[worker]
	if !ok {
		return 0
	}
	return e.faded(now)
}

// faded returns the weight after a time without evidence.
func (e estimate) faded(now time.Duration) float64 {
	if e.weight <= 0 {
		return 0
	}
	return e.weight * math.Exp2(-max(0, now-e.at).Seconds()/(idleHalving*e.weight))
}

// Fit brings the estimates up to date, and reports whether there was anything new.
func (p *Paces) Fit(now time.Duration) bool {
	if !p.changed {
		return false
	}
	p.changed = false
	p.fitSamples(now)
	p.compare(now)
	if now-p.windowStart >= window {
		p.prior = make(map[graph.Place]estimate, len(p.present))
		for w, e := range p.present {
			p.prior[w] = e
		}
		p.samples, p.windowStart = p.samples[:0], now
	}
	return true
}

// Record returns the estimates in the order of the relays' names.
func (p *Paces) Record(now time.Duration) []*flow.WorkerPace {
	var list []*flow.WorkerPace
	for w, e := range p.present {
		if weight := e.faded(now); weight >= minKeptWeight {
			list = append(list, &flow.WorkerPace{Relay: w.Relay, Worker: w.Worker, BornMs: w.StartUnixMS, LogTime: e.logTime, Weight: weight})
		}
	}
	slices.SortFunc(list, func(a, b *flow.WorkerPace) int {
		return cmp.Or(cmp.Compare(a.GetRelay(), b.GetRelay()), cmp.Compare(a.GetWorker(), b.GetWorker()))
	})
	return list
}

// Restore takes over the estimates of a record. Those that make no sense are left out.
func (p *Paces) Restore(list []*flow.WorkerPace, now time.Duration) {
	for _, r := range list {
		weight := min(maxWeight, r.GetWeight())
		if !(weight > 0) || !(math.Abs(r.GetLogTime()) <= 2*maxLogTime) {
			continue
		}
		w := graph.Place{Relay: r.GetRelay(), Worker: r.GetWorker(), StartUnixMS: r.GetBornMs()}
		e := estimate{logTime: r.GetLogTime(), weight: weight, error: passingNoise / math.Sqrt(weight), at: now}
		p.prior[w], p.present[w] = e, e
	}
	p.compare(now)
}

// compare sets whether the workers differ by more than unevenRatio.
func (p *Paces) compare(now time.Duration) {
	paces := make([]float64, 0, len(p.present))
	for w := range p.present {
		paces = append(paces, p.estimated(w, now))
	}
	slices.Sort(paces)
	p.uneven = len(paces) > 0 && paces[len(paces)-1] >= unevenRatio*paces[len(paces)/4]
}
