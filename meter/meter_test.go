package meter

import (
	"net/http/httptest"
	"strings"
	"testing"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Guards against a change of the exporter that renames metrics or drops labels.
func TestMetricsPage(t *testing.T) {
	m, err := New("entry", "e1")
	if err != nil {
		t.Fatal(err)
	}
	counter, err := m.Counter("requests", "Requests.")
	if err != nil {
		t.Fatal(err)
	}
	counter.Add(t.Context(), 2, metric.WithAttributes(attribute.String("customer", "c1")))
	latency, err := m.Latency("start_seconds", "Time to start.")
	if err != nil {
		t.Fatal(err)
	}
	latency.Record(t.Context(), 3.5)
	if err := m.Gauge("queued_jobs", "Jobs.", func(observe Observe) { observe(7) }); err != nil {
		t.Fatal(err)
	}

	page := httptest.NewRecorder()
	m.Handler().ServeHTTP(page, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{
		`catkinpoint_requests_total{customer="c1",node="e1",role="entry"} 2`,
		`catkinpoint_start_seconds_bucket{node="e1",role="entry",le="3"} 0`,
		`catkinpoint_start_seconds_bucket{node="e1",role="entry",le="3.6"} 1`,
		`catkinpoint_queued_jobs{node="e1",role="entry"} 7`,
		`catkinpoint_process_cpu_seconds_total{node="e1",role="entry"} `,
		`catkinpoint_process_memory_bytes{node="e1",role="entry"} `,
		`catkinpoint_process_memory_peak_bytes{node="e1",role="entry"} `,
	} {
		if !strings.Contains(page.Body.String(), want) {
			t.Errorf("the metrics page does not contain %q:\n%s", want, page.Body)
		}
	}
	if err := m.Shutdown(t.Context()); err != nil {
		t.Error(err)
	}
}

// Guards against metric names that are not in snake case.
func TestCounterRejectsInvalidNames(t *testing.T) {
	m, err := New("entry", "e1")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"", "Requests", "a-b", "a__b", "a_", "1a"} {
		if _, err := m.Counter(name, ""); err == nil {
			t.Errorf("name %q was accepted", name)
		}
	}
}
