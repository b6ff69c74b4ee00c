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
	logTimes  []float64
	precision []float64 // of each sample, 1/variance
	groups    [][]int   // samples of each group with more than one worker
	workers   []fittedWorker
	workerOf  []int     // index into workers of each sample in groups
	residual  []float64 // of each sample, without the effect of its group
	values    []value   // reused
}

// fittedWorker is a worker with samples in the window.
type fittedWorker struct {
	place   graph.Place
	samples []int
	effect  float64
	seconds float64 // of evidence in the window
	// prior is the earlier effect, and priorWeight its weight, which falls with the time
	// without evidence and with new evidence.
	prior, priorWeight float64
}

// fitSamples sets the present estimates from the prior and the samples of the window.
func (p *Paces) fitSamples(now time.Duration) {
	maps.DeleteFunc(p.prior, func(_ graph.Place, e estimate) bool { return e.faded(now) < minKeptWeight })
	f := p.newFitting(now)
	// All estimates are in the frame of the prior until normalise moves them.
	p.present = maps.Clone(p.prior)
	for range iterations {
		f.fitGroups()
		for i := range f.workers {
			f.workers[i].effect = f.combine(&f.workers[i])
		}
	}
	f.fitGroups()
	for i := range f.workers {
		w := &f.workers[i]
		sum := 0.0
		for _, n := range w.samples {
			sum += f.precision[n]
		}
		weight := min(maxWeight, w.seconds+w.priorWeight)
		variance := passingNoise*passingNoise/weight + math.Pi/2/sum*w.seconds/weight
		p.present[w.place] = estimate{logTime: w.effect, weight: weight, error: math.Sqrt(variance), at: now}
	}
	p.measureNoise(f)
	p.normalise(f)
}

func (p *Paces) newFitting(now time.Duration) *fitting {
	n := len(p.samples)
	f := &fitting{logTimes: make([]float64, n), precision: make([]float64, n), residual: make([]float64, n), workerOf: make([]int, n)}
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
	index := map[graph.Place]int{}
	var seen []map[int64]bool
	for _, key := range keys {
		list := byGroup[key]
		first := p.samples[list[0]].Worker
		if !slices.ContainsFunc(list, func(i int) bool { return p.samples[i].Worker != first }) {
			continue
		}
		f.groups = append(f.groups, list)
		for _, i := range list {
			s := &p.samples[i]
			w, ok := index[s.Worker]
			if !ok {
				w = len(f.workers)
				index[s.Worker] = w
				f.workers = append(f.workers, fittedWorker{place: s.Worker})
				seen = append(seen, map[int64]bool{})
			}
			// A sample is evidence of each second of its stretch, up to the weight that counts.
			for second := int64((s.At - min(s.Elapsed, maxWeight*time.Second)) / time.Second); second <= int64(s.At/time.Second); second++ {
				seen[w][second] = true
			}
			f.workerOf[i] = w
			f.workers[w].samples = append(f.workers[w].samples, i)
		}
	}
	for i := range f.workers {
		w := &f.workers[i]
		prior := p.prior[w.place]
		w.seconds, w.effect, w.prior = float64(len(seen[i])), prior.logTime, prior.logTime
		w.priorWeight = prior.faded(now) * math.Exp2(-w.seconds/priorHalving)
	}
	return f
}

// fitGroups sets the residuals of all samples from the effects of the workers.
func (f *fitting) fitGroups() {
	for _, list := range f.groups {
		f.values = f.values[:0]
		for _, i := range list {
			f.values = append(f.values, value{f.logTimes[i] - f.workers[f.workerOf[i]].effect, f.precision[i]})
		}
		effect := weightedMedian(f.values)
		for _, i := range list {
			f.residual[i] = min(maxLogTime, max(-maxLogTime, f.logTimes[i]-effect))
		}
	}
}

// combine returns the effect of a worker from its samples and the prior.
func (f *fitting) combine(w *fittedWorker) float64 {
	f.values = f.values[:0]
	for _, i := range w.samples {
		f.values = append(f.values, value{f.residual[i], f.precision[i]})
	}
	return (weightedMedian(f.values)*w.seconds + w.prior*w.priorWeight) / (w.seconds + w.priorWeight)
}

// measureNoise sets the noise from the residuals that remain, by halves with the last.
func (p *Paces) measureNoise(f *fitting) {
	var gang, step []value
	for _, w := range f.workers {
		for _, i := range w.samples {
			v := value{math.Abs(f.residual[i] - w.effect), 1}
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
func (p *Paces) normalise(f *fitting) {
	const enough = 3 // workers
	var values []value
	var variances []float64
	for _, e := range p.present {
		if e.weight >= 1 {
			values, variances = append(values, value{e.logTime, 1}), append(variances, e.error*e.error)
		}
	}
	if len(values) < enough {
		return
	}
	median, spread, noise := weightedMedian(values), 0.0, 0.0
	for w, e := range p.present {
		e.logTime -= median
		p.present[w] = e
	}
	// Sums in sorted order don't depend on the order of the map.
	slices.Sort(variances)
	for i, v := range values {
		spread += (v.x - median) * (v.x - median)
		noise += variances[i]
	}
	spread = max(minSpread*minSpread, (spread-noise)/float64(len(values)))
	for i := range f.workers {
		e := p.present[f.workers[i].place]
		e.logTime *= spread / (spread + e.error*e.error)
		p.present[f.workers[i].place] = e
	}
}
