package speed

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"catkinpoint/graph"
)

// value is a number with its weight.
type value struct{ x, weight float64 }

// weightedMedian returns the weighted median of the values, which it sorts, and 0 if there
// are none. If the weights split evenly it is the middle between the two neighbours.
func weightedMedian(values []value) float64 {
	slices.SortFunc(values, func(a, b value) int { return cmp.Compare(a.x, b.x) })
	total := 0.0
	for _, v := range values {
		total += v.weight
	}
	sum := 0.0
	for i, v := range values {
		sum += v.weight
		switch {
		case sum > total/2*(1+1e-9):
			return v.x
		case sum >= total/2*(1-1e-9) && i+1 < len(values):
			return (v.x + values[i+1].x) / 2
		}
	}
	return 0
}

// fitting is one fit of the samples of a window.
type fitting struct {
	now       time.Duration
	logTimes  []float64
	precision []float64 // of each sample, 1/variance
	groups    [][]int   // samples of each group with more than one worker
	byWorker  map[graph.Place][]int
	residual  []float64 // of each sample, without the effect of its group
	worker    map[graph.Place]float64
	seconds   map[graph.Place]float64 // of evidence in the window
}

// fitSamples sets the present estimates from the prior and the samples of the window.
func (p *Paces) fitSamples(now time.Duration) {
	maps.DeleteFunc(p.prior, func(_ graph.Place, e estimate) bool { return e.faded(now) < minKeptWeight })
	f := p.newFitting(now)
	// All estimates are in the frame of the prior until normalise moves them.
	p.present = maps.Clone(p.prior)
	order := make([]graph.Place, 0, len(f.byWorker))
	for w := range f.byWorker {
		order = append(order, w)
	}
	slices.SortFunc(order, func(a, b graph.Place) int {
		return cmp.Or(cmp.Compare(a.Relay, b.Relay), cmp.Compare(a.Worker, b.Worker), cmp.Compare(a.StartUnixMS, b.StartUnixMS))
	})
	for range iterations {
		f.fitGroups(p.samples)
		for _, w := range order {
			f.worker[w] = f.combine(w, p.prior[w])
		}
	}
	f.fitGroups(p.samples)
	for _, w := range order {
		prior := p.prior[w]
		sum := 0.0
		for _, i := range f.byWorker[w] {
			sum += f.precision[i]
		}
		weight := min(maxWeight, f.seconds[w]+f.priorWeight(w, prior))
		variance := passingNoise*passingNoise/weight + math.Pi/2/sum*f.seconds[w]/weight
		p.present[w] = estimate{logTime: f.worker[w], weight: weight, error: math.Sqrt(variance), at: now}
	}
	p.measureNoise(f)
	p.normalise(order)
}

func (p *Paces) newFitting(now time.Duration) *fitting {
	n := len(p.samples)
	f := &fitting{
		now: now, logTimes: make([]float64, n), precision: make([]float64, n), residual: make([]float64, n),
		byWorker: map[graph.Place][]int{}, worker: map[graph.Place]float64{}, seconds: map[graph.Place]float64{},
	}
	byGroup := map[Group][]int{}
	var keys []Group
	for i := range p.samples {
		s := &p.samples[i]
		noise := p.stepNoise
		if s.Group.Gang {
			noise = p.gangNoise
		}
		rounding := quantisation / max(s.Percent, minPercent)
		f.logTimes[i], f.precision[i] = s.logTime(), 1/(noise*noise+rounding*rounding)
		if byGroup[s.Group] == nil {
			keys = append(keys, s.Group)
		}
		byGroup[s.Group] = append(byGroup[s.Group], i)
	}
	seen := map[graph.Place]map[int64]bool{}
	for _, key := range keys {
		list := byGroup[key]
		first := p.samples[list[0]].Worker
		if !slices.ContainsFunc(list, func(i int) bool { return p.samples[i].Worker != first }) {
			continue
		}
		f.groups = append(f.groups, list)
		for _, i := range list {
			s := &p.samples[i]
			if seen[s.Worker] == nil {
				seen[s.Worker] = map[int64]bool{}
				f.worker[s.Worker] = p.prior[s.Worker].logTime
			}
			// A sample is evidence of each second of its stretch, up to the weight that counts.
			for second := int64((s.At - min(s.Elapsed, maxWeight*time.Second)) / time.Second); second <= int64(s.At/time.Second); second++ {
				seen[s.Worker][second] = true
			}
			f.byWorker[s.Worker] = append(f.byWorker[s.Worker], i)
		}
	}
	for w, seconds := range seen {
		f.seconds[w] = float64(len(seconds))
	}
	return f
}

// fitGroups sets the residuals of all samples from the effects of the workers.
func (f *fitting) fitGroups(samples []Sample) {
	var values []value
	for _, list := range f.groups {
		values = values[:0]
		for _, i := range list {
			values = append(values, value{f.logTimes[i] - f.worker[samples[i].Worker], f.precision[i]})
		}
		effect := weightedMedian(values)
		for _, i := range list {
			f.residual[i] = min(maxLogTime, max(-maxLogTime, f.logTimes[i]-effect))
		}
	}
}

// combine returns the effect of a worker from its samples and the prior.
func (f *fitting) combine(w graph.Place, prior estimate) float64 {
	values := make([]value, 0, len(f.byWorker[w]))
	for _, i := range f.byWorker[w] {
		values = append(values, value{f.residual[i], f.precision[i]})
	}
	earlier := f.priorWeight(w, prior)
	return (weightedMedian(values)*f.seconds[w] + prior.logTime*earlier) / (f.seconds[w] + earlier)
}

// priorWeight returns the weight of the prior, which falls with the time without evidence and
// with new evidence.
func (f *fitting) priorWeight(w graph.Place, prior estimate) float64 {
	return prior.faded(f.now) * math.Exp2(-f.seconds[w]/priorHalving)
}

// measureNoise sets the noise from the residuals that remain, by halves with the last.
func (p *Paces) measureNoise(f *fitting) {
	var gang, step []value
	for w, list := range f.byWorker {
		for _, i := range list {
			v := value{math.Abs(f.residual[i] - f.worker[w]), 1}
			if p.samples[i].Group.Gang {
				gang = append(gang, v)
			} else {
				step = append(step, v)
			}
		}
	}
	const enough = 30 // samples
	if len(gang) >= enough {
		p.gangNoise = (p.gangNoise + max(minNoise, madToDeviation*weightedMedian(gang))) / 2
	}
	if len(step) >= enough {
		p.stepNoise = (p.stepNoise + max(minNoise, madToDeviation*weightedMedian(step))) / 2
	}
}

// normalise makes the median of all workers 0, and shrinks the estimates of the workers of
// this fit by what the spread between workers leaves to their errors.
func (p *Paces) normalise(fitted []graph.Place) {
	const enough = 3 // workers
	var values []value
	for _, e := range p.present {
		if e.weight >= 1 {
			values = append(values, value{e.logTime, 1})
		}
	}
	if len(values) < enough {
		return
	}
	median, spread, noise := weightedMedian(values), 0.0, 0.0
	for w, e := range p.present {
		e.logTime -= median
		p.present[w] = e
		if e.weight >= 1 {
			spread += e.logTime * e.logTime
			noise += e.error * e.error
		}
	}
	spread = max(minSpread*minSpread, (spread-noise)/float64(len(values)))
	for _, w := range fitted {
		e := p.present[w]
		e.logTime *= spread / (spread + e.error*e.error)
		p.present[w] = e
	}
}
