package duty

import (
	"context"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Metric instruments. They use the global meter provider, which the process may
// set later.
var (
	meter                 = otel.Meter("catkinpoint/duty")
	startsCounter         = newCounter("catkinpoint_duty_starts", "Runs of tasks assigned to workers.")
	endsCounter           = newCounter("catkinpoint_duty_ends", "Runs that have ended, by how they ended.")
	lostWorkCounter       = newCounter("catkinpoint_duty_thrown_core_seconds", "Work lost in runs that ended without success, core-seconds.")
	preemptionsCounter    = newCounter("catkinpoint_duty_preemptions", "Runs ordered to stop for more urgent units of work.")
	leavingStopsCounter   = newCounter("catkinpoint_duty_leaving_stops", "Units of work stopped as a worker of theirs was about to leave.")
	claimsCounter         = newCounter("catkinpoint_duty_claims", "Times that this process claimed the scheduler role.")
	unconfirmedCounter    = newCounter("catkinpoint_duty_unconfirmed_writes", "Writes of progress whose outcome was at first unknown.")
	refusedCounter        = newCounter("catkinpoint_duty_refused_writes", "Writes of a job's progress that the store refuses.")
	waitHistogram         = newHistogram("catkinpoint_duty_wait_seconds", "Time from the acceptance of a job to the placement of one of its units of work.")
	crashesCounter        = newCounter("catkinpoint_duty_crashed_runs", "Runs that were on a worker when it crashed, by how far they are suspected.")
	failuresCounter       = newCounter("catkinpoint_duty_failed_runs", "Runs that a worker listed as failed, by whether they count as an attempt.")
	contradictionsCounter = newCounter("catkinpoint_duty_contradictions", "Runs that a worker listed after they had been taken as over, by how.")
	decisionHistogram     = newHistogram("catkinpoint_duty_decision_seconds", "Time of one placement decision.")
	pacedGauge            = newGauge("catkinpoint_duty_paced_workers", "Workers whose run times are known to differ from those of the median worker.")
	paceHistogram         = newRatioHistogram("catkinpoint_duty_worker_pace", "Learned run time on a worker relative to the median worker, each time that it is fitted.")
	// admissionRefusalsCounter counts refusals on arrival, also repeated ones of a caller that
	// returns early.
	admissionRefusalsCounter = newCounter("catkinpoint_duty_refusals", "Jobs refused on arrival, by queue.")
	promisesEndedCounter     = newCounter("catkinpoint_duty_ended_promises", "Promises to refused callers that have ended, by how.")
	promisesGauge            = newGauge("catkinpoint_duty_promises", "Open promises to refused callers.")
	writeHistogram           = newHistogram("catkinpoint_duty_write_seconds", "Time until a write of progress was confirmed.")
	backlogHistogram         = newHistogram("catkinpoint_duty_backlog_seconds", "Time that all workers need for what runs and waits and can still be of use, for each decision in a shortage.")
)

func newCounter(name, help string) metric.Int64Counter {
	c, err := meter.Int64Counter(name, metric.WithDescription(help))
	if err != nil {
		otel.Handle(err)
	}
	return c
}

func newGauge(name, help string) metric.Int64Gauge {
	g, err := meter.Int64Gauge(name, metric.WithDescription(help))
	if err != nil {
		otel.Handle(err)
	}
	return g
}

func observePromises(n int) { promisesGauge.Record(context.Background(), int64(n)) }

func newHistogram(name, help string) metric.Float64Histogram {
	h, err := meter.Float64Histogram(name, metric.WithDescription(help), metric.WithUnit("s"))
	if err != nil {
		otel.Handle(err)
	}
	return h
}

func newRatioHistogram(name, help string) metric.Float64Histogram {
	h, err := meter.Float64Histogram(name, metric.WithDescription(help), metric.WithExplicitBucketBoundaries(0.5, 0.67, 0.8, 0.9, 1.1, 1.25, 1.5, 2, 3))
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
