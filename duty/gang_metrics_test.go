package duty

import (
	"testing"
	"testing/synctest"
	"time"

	otelmetric "go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"

	"catkinpoint/clock"
	"catkinpoint/flow"
	"catkinpoint/graph"
)

// sumOf returns what a function adds to a counter, over all labels.
func sumOf(t *testing.T, counter *otelmetric.Int64Counter, f func()) int64 {
	t.Helper()
	reader := metric.NewManualReader()
	replaced, err := metric.NewMeterProvider(metric.WithReader(reader)).Meter("test").Int64Counter("test")
	if err != nil {
		t.Fatal(err)
	}
	original := *counter
	*counter = replaced
	defer func() { *counter = original }()
	f()
	var data metricdata.ResourceMetrics
	if err := reader.Collect(t.Context(), &data); err != nil {
		t.Fatal(err)
	}
	sum := int64(0)
	for _, scope := range data.ScopeMetrics {
		for _, m := range scope.Metrics {
			for _, point := range m.Data.(metricdata.Sum[int64]).DataPoints {
				sum += point.Value
			}
		}
	}
	return sum
}

// Guards against a run that was taken as over and is counted as a contradiction twice: once
// as its worker lists it as running, and once more as it lists the end.
func TestRunThatWasOverIsOneContradiction(t *testing.T) {
	tests := []struct {
		name    string
		running bool // the worker lists the run before its end
	}{
		{"its end", false},
		{"the run and its end", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCountsFixture(t, simpleJob(jobID, 1), 1)
				f.workers[0].reconciled = true
				f.start(0)
				f.conclude(0, 1)
				contradictions := sumOf(t, &contradictionsCounter, func() {
					if test.running {
						f.state.applyLists(nil, f.workers[0], &flow.Report{Running: []*flow.Run{{Task: firstTaskName, Run: 1}}})
					}
					f.list(0, 0, 1, graph.EndStopped)
				})
				if contradictions != 1 {
					t.Errorf("%d contradictions of one run", contradictions)
				}
			})
		})
	}
}

// Guards against work of a gang that counts as lost although the gang is done: the success of
// one member counts for all, and the end of another is not heard of.
func TestNoWorkOfDoneGangIsLost(t *testing.T) {
	tests := []struct {
		name string
		ends func(f *countsFixture)
		lost int64 // core-seconds
	}{
		{"a member is done", func(f *countsFixture) {
			f.list(0, 0, 1, graph.EndDone)
			f.conclude(1, 1)
		}, 0},
		{"no member is done", func(f *countsFixture) {
			f.conclude(0, 1)
			f.conclude(1, 1)
		}, 180},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCountsFixture(t, gangJob(jobID, 2), 2)
				f.start(0, 1)
				for _, r := range f.job.runs {
					r.begunAt = clock.Monotonic()
				}
				time.Sleep(10 * time.Second)
				if lost := sumOf(t, &lostWorkCounter, func() { test.ends(f) }); lost != test.lost {
					t.Errorf("%d core-seconds lost; want %d", lost, test.lost)
				}
			})
		})
	}
}
