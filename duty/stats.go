package duty

import (
	"context"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Instruments of the process; they are forwarded to the provider that it sets.
var (
	counters     = otel.Meter("catkinpoint/duty")
	startsCount  = counter("catkinpoint_duty_starts", "Tasks given a run.")
	endsCount    = counter("catkinpoint_duty_ends", "Runs that are over, by how they ended.")
	thrownCount  = counter("catkinpoint_duty_thrown_core_seconds", "Work that ended without being saved, core-seconds.")
	stopsCount   = counter("catkinpoint_duty_preemptions", "Runs stopped for more urgent units.")
	claimsCount  = counter("catkinpoint_duty_claims", "Claims of the duty by this process.")
	doubtsCount  = counter("catkinpoint_duty_unconfirmed_writes", "Writes whose outcome was not known at once.")
	waitTime     = latency("catkinpoint_duty_wait_seconds", "Time from a job's acceptance to the placement of a unit.")
	decisionTime = latency("catkinpoint_duty_decision_seconds", "Time of one placement decision.")
	writeTime    = latency("catkinpoint_duty_write_seconds", "Time until a write of progress was confirmed.")
)

func counter(name, help string) metric.Int64Counter {
	c, err := counters.Int64Counter(name, metric.WithDescription(help))
	if err != nil {
		otel.Handle(err)
	}
	return c
}

func latency(name, help string) metric.Float64Histogram {
	h, err := counters.Float64Histogram(name, metric.WithDescription(help), metric.WithUnit("s"))
	if err != nil {
		otel.Handle(err)
	}
	return h
}

func count(c metric.Int64Counter, n int64, label, value string) {
	c.Add(context.Background(), n, metric.WithAttributes(attribute.String(label, value)))
}

func observe(h metric.Float64Histogram, d time.Duration) {
	h.Record(context.Background(), d.Seconds())
}
