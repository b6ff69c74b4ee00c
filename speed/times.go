package speed

import (
	"cmp"
	"math"
	"slices"
	"time"

	"catkinpoint/flow"
)

const (
	// timesMemory is the number of observations that is remembered, so that a change of the
	// work is followed.
	timesMemory = 60
	// priorOffset is how many observations the assumption is worth that times are as declared
	// on average, and priorSlope that of a time that grows as the declared one, in squared
	// logarithms.
	priorOffset = 3
	priorSlope  = 2
	// priorShare is how many observations those of the whole queue are worth beside those of
	// the customer and image.
	priorShare = 8
	// maxTimeFactor clips an observation and an expectation, relative to what was declared.
	maxTimeFactor = 30
	// maxKeys bounds the keys that are remembered: those of the last observations.
	maxKeys = 2000
)

// TimesKey identifies work that is expected to have like run times. Customer and Image are
// empty for the whole queue.
type TimesKey struct{ Queue, Customer, Image string }

// moments are those of the logarithms of declared and actual times.
type moments struct {
	weight                            float64
	meanDeclared, meanActual          float64
	varDeclared, varActual, covariant float64
	used                              int64 // the number of the last observation
}

// add adds an observation, and lowers the weight of earlier ones.
func (m *moments) add(declared, actual float64) {
	m.weight = m.weight*(1-1.0/timesMemory) + 1
	share := 1 / m.weight
	d, a := declared-m.meanDeclared, actual-m.meanActual
	m.meanDeclared += share * d
	m.meanActual += share * a
	m.varDeclared = (1 - share) * (m.varDeclared + share*d*d)
	m.varActual = (1 - share) * (m.varActual + share*a*a)
	m.covariant = (1 - share) * (m.covariant + share*d*a)
}

// expect returns the expected logarithm of the actual time: a regression on the declared one,
// shrunk to what is expected otherwise.
func (m *moments) expect(declared, otherwise float64) float64 {
	if m.weight <= 0 {
		return otherwise
	}
	slope := (m.weight*m.covariant + priorSlope) / (m.weight*m.varDeclared + priorSlope)
	slope = min(1, max(0, slope))
	own := m.meanActual + slope*(declared-m.meanDeclared)
	return (m.weight*own + priorOffset*otherwise) / (m.weight + priorOffset)
}

// Times expects run times from the declared ones. It is not safe for concurrent use.
type Times struct {
	byKey map[TimesKey]*moments
	added int64 // observations
}

// NewTimes returns an estimator that expects what is declared.
func NewTimes() *Times { return &Times{byKey: map[TimesKey]*moments{}} }

// Add adds the run time of one job's step on a typical worker. Times that are not positive
// are ignored.
func (t *Times) Add(key TimesKey, declared, actual time.Duration) {
	if declared <= 0 || actual <= 0 {
		return
	}
	d, a := math.Log(declared.Seconds()), math.Log(actual.Seconds())
	a = d + clip(a-d)
	t.added++
	for _, k := range []TimesKey{{Queue: key.Queue}, key} {
		m := t.byKey[k]
		if m == nil {
			if len(t.byKey) >= maxKeys {
				t.dropOldest()
			}
			m = &moments{}
			t.byKey[k] = m
		}
		m.add(d, a)
		m.used = t.added
	}
}

// dropOldest drops the key whose last observation is the oldest, and of equal ones the first.
func (t *Times) dropOldest() {
	var oldest TimesKey
	var found *moments
	for k, m := range t.byKey {
		if found == nil || cmp.Or(cmp.Compare(m.used, found.used), compareKeys(k, oldest)) < 0 {
			oldest, found = k, m
		}
	}
	delete(t.byKey, oldest)
}

func compareKeys(a, b TimesKey) int {
	return cmp.Or(cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Image, b.Image))
}

func clip(x float64) float64 {
	limit := math.Log(maxTimeFactor)
	return min(limit, max(-limit, x))
}

// Expect returns the expected run time on a typical worker, which is the declared one as long
// as nothing else is known.
func (t *Times) Expect(key TimesKey, declared time.Duration) time.Duration {
	queue := t.byKey[TimesKey{Queue: key.Queue}]
	if queue == nil || declared <= 0 {
		return declared
	}
	d := math.Log(declared.Seconds())
	expected := queue.expect(d, d)
	if m := t.byKey[key]; m != nil && m != queue {
		// The queue's expectation counts as priorShare observations.
		own := m.expect(d, expected)
		expected = (m.weight*own + priorShare*expected) / (m.weight + priorShare)
	}
	return time.Duration(math.Exp(d+clip(expected-d)) * float64(time.Second))
}

// Record returns the statistics in the order of their keys.
func (t *Times) Record() []*flow.RunTimes {
	list := make([]*flow.RunTimes, 0, len(t.byKey))
	for k, m := range t.byKey {
		list = append(list, &flow.RunTimes{
			Queue: k.Queue, Customer: k.Customer, Image: k.Image, Weight: m.weight, MeanDeclared: m.meanDeclared, MeanActual: m.meanActual,
			VarianceDeclared: m.varDeclared, VarianceActual: m.varActual, Covariance: m.covariant,
		})
	}
	slices.SortFunc(list, func(a, b *flow.RunTimes) int {
		return cmp.Or(cmp.Compare(a.GetQueue(), b.GetQueue()), cmp.Compare(a.GetCustomer(), b.GetCustomer()), cmp.Compare(a.GetImage(), b.GetImage()))
	})
	return list
}

// Restore takes over the statistics of a record. Those that make no sense are left out.
func (t *Times) Restore(list []*flow.RunTimes) {
	for _, r := range list {
		sane := r.GetVarianceDeclared() >= 0 && r.GetVarianceActual() >= 0
		for _, x := range []float64{r.GetMeanDeclared(), r.GetMeanActual(), r.GetVarianceDeclared(), r.GetVarianceActual(), r.GetCovariance()} {
			sane = sane && math.Abs(x) < 1000
		}
		if !sane || !(r.GetWeight() > 0) || len(t.byKey) >= maxKeys {
			continue
		}
		t.byKey[TimesKey{r.GetQueue(), r.GetCustomer(), r.GetImage()}] = &moments{
			weight: min(timesMemory, r.GetWeight()), meanDeclared: r.GetMeanDeclared(), meanActual: r.GetMeanActual(),
			varDeclared: r.GetVarianceDeclared(), varActual: r.GetVarianceActual(), covariant: r.GetCovariance(),
		}
	}
}

// GroupTime is the time that a task of a group takes on a typical worker.
type GroupTime struct {
	Group Group
	Took  time.Duration
}

// minMeasured is the mean progress of a group's samples, in percent, from which its time is
// more than the rounding of percentages.
const minMeasured = 2

// GroupTimes returns the times of the groups with samples in the window, as the medians of the
// samples, in the order of their first samples. Groups whose samples show too little progress
// are left out (tasks of more than about 150 s, and runs that stand still).
func (p *Paces) GroupTimes(now time.Duration) []GroupTime {
	byGroup, progress := map[Group][]value{}, map[Group]float64{}
	var groups []GroupTime
	for i := range p.samples {
		s := &p.samples[i]
		if byGroup[s.Group] == nil {
			groups = append(groups, GroupTime{Group: s.Group})
		}
		byGroup[s.Group] = append(byGroup[s.Group], value{s.logTime() - math.Log(p.Pace(s.Worker, now)), 1})
		progress[s.Group] += s.Percent
	}
	groups = slices.DeleteFunc(groups, func(g GroupTime) bool {
		return progress[g.Group] < minMeasured*float64(len(byGroup[g.Group]))
	})
	for i := range groups {
		groups[i].Took = time.Duration(math.Exp(weightedMedian(byGroup[groups[i].Group])) * float64(time.Second))
	}
	return groups
}
