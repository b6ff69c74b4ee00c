package entry

import (
	"context"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"catkinpoint/meter"
	"catkinpoint/wire"
)

// metrics are the instruments of an entry.
type metrics struct {
	answers metric.Int64Counter
	latency metric.Float64Histogram
}

// register adds the instruments of the entry to the meter.
func (m *metrics) register(e *Entry, registry *meter.Meter) error {
	var err error
	if m.answers, err = registry.Counter("entry_answers", "Answers to callers, by fate."); err != nil {
		return fmt.Errorf("registering answers: %w", err)
	}
	if m.latency, err = registry.Latency("entry_answer_seconds", "Time from a request to its answer."); err != nil {
		return fmt.Errorf("registering latency: %w", err)
	}
	gauges := []struct {
		name, help string
		observe    func(meter.Observe)
	}{
		{"entry_waiting_requests", "Requests in this process.", func(o meter.Observe) { o(float64(e.admission.inProgress())) }},
		{"config_version", "Version of the configuration in force here.", func(o meter.Observe) { o(float64(e.follower.Current().Set.Version())) }},
		{"config_read_age_seconds", "Time since the last read of the configuration head.", func(o meter.Observe) {
			o((time.Since(e.startTime) - time.Duration(e.lastHeadRead.Load())).Seconds())
		}},
		{"region_bytes_sent", "Bytes of job bodies sent to other regions.", e.observeRegions},
		{"sched_decisions", "Decisions of the placement policy, by data centre.", e.observeDecisions},
		{"sched_jobs_ended", "Jobs that ended, by data centre and fate.", e.observeFates},
	}
	for _, g := range gauges {
		if err := registry.Gauge(g.name, g.help, g.observe); err != nil {
			return fmt.Errorf("registering %s: %w", g.name, err)
		}
	}
	return nil
}

// recordAnswer counts an answer to a caller, and the time that it took.
func (m *metrics) recordAnswer(fate wire.Fate, took time.Duration) {
	set := metric.WithAttributes(attribute.String("fate", fateName(fate)))
	m.answers.Add(context.Background(), 1, set)
	m.latency.Record(context.Background(), took.Seconds(), set)
}

func (e *Entry) observeRegions(observe meter.Observe) {
	for region, bytes := range e.admission.sentBytes() {
		observe(float64(bytes), attribute.String("region", region))
	}
}

func (e *Entry) observeDecisions(observe meter.Observe) {
	for _, s := range e.host.All() {
		observe(float64(s.Stats().Decisions), attribute.String("data_centre", s.DataCentre()))
	}
}

func (e *Entry) observeFates(observe meter.Observe) {
	for _, s := range e.host.All() {
		for fate, n := range s.Stats().Fates {
			observe(float64(n), attribute.String("data_centre", s.DataCentre()), attribute.String("fate", fateName(fate)))
		}
	}
}
