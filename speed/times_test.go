package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"catkinpoint/flow"
)

// Guards against run times that are taken as declared where declarations say little, that
// are learned from too few jobs, and that differ from precise declarations. The loads are
// those of tocynglas-sched-grown: urgent jobs of 2.1 s on average declare with a deviation of
// 0.9 in logarithms, wide jobs of 5.2 s with one of 0.2.
func TestExpectedTimes(t *testing.T) {
	key := TimesKey{Queue: "q", Customer: "c", Image: "i"}
	tests := []struct {
		name              string
		jobs              int
		spread, noise     float64
		scale             float64 // actual time divided by the one that declarations mean
		declared          time.Duration
		shortest, longest time.Duration
	}{
		{name: "nothing known", spread: 0.5, noise: 0.9, scale: 1, declared: 400 * time.Millisecond, shortest: 400 * time.Millisecond, longest: 400 * time.Millisecond},
		{name: "one job", jobs: 1, spread: 0.5, noise: 0.9, scale: 1, declared: 2 * time.Second, shortest: time.Second, longest: 4 * time.Second},
		{name: "far too short a declaration", jobs: 40, spread: 0.5, noise: 0.9, scale: 1, declared: 400 * time.Millisecond, shortest: 800 * time.Millisecond, longest: 2 * time.Second},
		{name: "far too long a declaration", jobs: 40, spread: 0.5, noise: 0.9, scale: 1, declared: 12 * time.Second, shortest: 2 * time.Second, longest: 5 * time.Second},
		{name: "precise declarations", jobs: 40, spread: 0.7, noise: 0.1, scale: 1, declared: time.Second, shortest: 900 * time.Millisecond, longest: 1200 * time.Millisecond},
		{name: "precise but for a factor", jobs: 40, spread: 0.7, noise: 0.1, scale: 0.7, declared: time.Second, shortest: 600 * time.Millisecond, longest: 850 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(3, 4))
			times := NewTimes()
			for range test.jobs {
				work := 2.1 * math.Exp(test.spread*r.NormFloat64())
				declared := work * math.Exp(test.noise*r.NormFloat64())
				times.Add(key, time.Duration(declared*1e9), time.Duration(test.scale*work*1e9))
			}
			if got := times.Expect(key, test.declared); got < test.shortest-time.Microsecond || got > test.longest+time.Microsecond {
				t.Errorf("expected %v; want %v to %v", got, test.shortest, test.longest)
			}
		})
	}
}

// Guards against statistics that are lost or changed by a handover, and against a record with
// values that make no sense.
func TestTimesAreHandedOver(t *testing.T) {
	key := TimesKey{Queue: "q", Customer: "c"}
	times := NewTimes()
	for i := range 20 {
		times.Add(key, time.Second, time.Duration(1+i%3)*time.Second)
	}
	next := NewTimes()
	next.Restore(times.Record())
	next.Restore([]*flow.RunTimes{{Queue: "x", Weight: math.NaN()}, {Queue: "y", Weight: 3, MeanActual: math.Inf(1)}, {Queue: "z", Weight: 3, VarianceDeclared: -1}})
	if a, b := times.Expect(key, time.Second), next.Expect(key, time.Second); a != b {
		t.Errorf("expected %v before and %v after a handover", a, b)
	}
	if a, b := times.Record(), next.Record(); len(a) != len(b) || !proto.Equal(a[0], b[0]) {
		t.Errorf("the record is %v after a handover; want %v", b, a)
	}
}

// Guards against long tasks, and runs that stand still, that count as tasks of 600 s, as their
// progress between lists is less than the rounding of percentages.
func TestLongTasksAreNotMeasured(t *testing.T) {
	for _, whole := range []time.Duration{2 * time.Second, 20 * time.Second, 100 * time.Second, time.Hour, 100 * time.Hour} {
		p := NewPaces()
		var s Stretch
		for now := time.Duration(0); now < min(whole, 6*time.Second); now += 250 * time.Millisecond {
			if elapsed, gained, ok := s.Listed(now, int32(100*now/whole)); ok {
				p.Add(Sample{Group: Group{Job: "j"}, Worker: placeOf(0), Elapsed: elapsed, Percent: gained, At: now})
			}
		}
		measured := p.GroupTimes(6 * time.Second)
		if len(measured) == 0 && whole <= 100*time.Second {
			t.Errorf("a task of %v is not measured", whole)
		}
		for _, g := range measured {
			if ratio := g.Took.Seconds() / whole.Seconds(); ratio < 0.7 || ratio > 1.4 {
				t.Errorf("a task of %v is measured as %v", whole, g.Took)
			}
		}
	}
}

// Guards against run times that are no longer learned once maxKeys customers and images have
// been seen (image names change with each release).
func TestTimesOfNewKeysReplaceOld(t *testing.T) {
	times := NewTimes()
	const steady = "steady"
	for n := range maxKeys + 10 {
		times.Add(TimesKey{"q", "c", fmt.Sprint(n)}, time.Second, time.Second)
		times.Add(TimesKey{"q", "c", steady}, time.Second, 4*time.Second)
	}
	for range 50 {
		times.Add(TimesKey{"new", "c", "image"}, time.Second, 4*time.Second)
	}
	for _, key := range []TimesKey{{"new", "c", "image"}, {"q", "c", steady}} {
		if took := times.Expect(key, time.Second); took < 3*time.Second {
			t.Errorf("%v is expected to take %v; want about 4s", key, took)
		}
	}
	if n := len(times.byKey); n > maxKeys {
		t.Errorf("%d keys are kept", n)
	}
}
