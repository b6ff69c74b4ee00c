package meter

import (
	"context"
	"net/http"
	"regexp"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

// Error is the class of all errors of this package.
var Error = errs.Class("meter")

// Prefix starts the name of every metric on the page.
const Prefix = "catkinpoint_"

var snakeCase = regexp.MustCompile(`^[a-z][a-z0-9]*(_[a-z0-9]+)*$`)

// latencyBuckets are the upper bounds of histogram buckets in seconds. They
// include 1 ms, a hop within a region; 30 ms, a hop between regions; 3 s, the
// default task lease of entries and agents; 3.6 s, the bound on the start of urgent
// work; and 19 s, the bound on a configuration change.
var latencyBuckets = []float64{
	0.0005, 0.001, 0.002, 0.005, 0.01, 0.03, 0.06, 0.1, 0.25,
	0.5, 1, 2, 3, 3.6, 5, 10, 19, 60, 300, 1800, 7200,
}

// Meter creates the metrics of one process and serves them.
type Meter struct {
	meter    metric.Meter
	provider *sdkmetric.MeterProvider
	handler  http.Handler
}

// New returns a Meter whose metrics have the given role and node as labels. The
// metrics of the process's own CPU and memory use are already registered.
func New(role, node string) (*Meter, error) {
	registry := prometheus.NewRegistry()
	labelledRegistry := prometheus.WrapRegistererWith(prometheus.Labels{"role": role, "node": node}, registry)
	exporter, err := otelprom.New(
		otelprom.WithRegisterer(labelledRegistry),
		otelprom.WithoutScopeInfo(),
		otelprom.WithoutTargetInfo(),
	)
	if err != nil {
		return nil, Error.New("create exporter: %w", err)
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	m := &Meter{
		meter:    provider.Meter("catkinpoint"),
		provider: provider,
		handler:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}
	if err := m.registerProcess(); err != nil {
		return nil, err
	}
	return m, nil
}

// Meter returns the OpenTelemetry meter, for kinds of instruments that this
// package has no method for. Their names must begin with Prefix.
func (m *Meter) Meter() metric.Meter {
	return m.meter
}

// Handler serves the metrics page in the Prometheus text format.
func (m *Meter) Handler() http.Handler {
	return m.handler
}

// Shutdown stops collection. Instruments can still be called, but record nothing.
func (m *Meter) Shutdown(ctx context.Context) error {
	if err := m.provider.Shutdown(ctx); err != nil {
		return Error.New("shut down provider: %w", err)
	}
	return nil
}

// Counter creates a counter, whose name on the metrics page ends in _total. It
// fails if name is not in snake case.
func (m *Meter) Counter(name, help string) (metric.Int64Counter, error) {
	if err := checkName(name); err != nil {
		return nil, err
	}
	counter, err := m.meter.Int64Counter(Prefix+name, metric.WithDescription(help))
	if err != nil {
		return nil, Error.New("counter %s: %w", name, err)
	}
	return counter, nil
}

// Observe reports the current value of a gauge for one set of attributes.
type Observe func(value float64, attributes ...attribute.KeyValue)

// Gauge creates a gauge whose values callback reports. callback runs at each
// scrape, on the scraper's goroutine, and must not block. Gauge fails if name is
// not in snake case.
func (m *Meter) Gauge(name, help string, callback func(Observe)) error {
	if err := checkName(name); err != nil {
		return err
	}
	_, err := m.meter.Float64ObservableGauge(Prefix+name,
		metric.WithDescription(help),
		metric.WithFloat64Callback(observer(callback)))
	if err != nil {
		return Error.New("gauge %s: %w", name, err)
	}
	return nil
}

// Latency creates a histogram of durations in seconds; name should end in
// _seconds. It fails if name is not in snake case.
func (m *Meter) Latency(name, help string) (metric.Float64Histogram, error) {
	if err := checkName(name); err != nil {
		return nil, err
	}
	histogram, err := m.meter.Float64Histogram(Prefix+name,
		metric.WithDescription(help),
		metric.WithExplicitBucketBoundaries(latencyBuckets...))
	if err != nil {
		return nil, Error.New("histogram %s: %w", name, err)
	}
	return histogram, nil
}

// observer adapts callback to the OpenTelemetry API.
func observer(callback func(Observe)) metric.Float64Callback {
	return func(_ context.Context, o metric.Float64Observer) error {
		callback(func(value float64, attributes ...attribute.KeyValue) {
			o.Observe(value, metric.WithAttributes(attributes...))
		})
		return nil
	}
}

func checkName(name string) error {
	if !snakeCase.MatchString(name) {
		return Error.New("name %q is not in snake case", name)
	}
	return nil
}

// Provider returns the meter provider, for libraries that create their own
// instruments.
func (m *Meter) Provider() metric.MeterProvider { return m.provider }
