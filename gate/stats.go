package gate

import (
	"context"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

var (
	answersCount metric.Int64Counter
	acceptTime   metric.Float64Histogram
)

func init() {
	meter := otel.Meter("catkinpoint/gate")
	var err error
	if answersCount, err = meter.Int64Counter("catkinpoint_gate_answers", metric.WithDescription("Answers to callers by call and verdict.")); err != nil {
		otel.Handle(err)
	}
	if acceptTime, err = meter.Float64Histogram("catkinpoint_gate_accept_seconds", metric.WithDescription("Time to store a job."), metric.WithUnit("s")); err != nil {
		otel.Handle(err)
	}
}

// countAnswer counts an answer to a caller; operation is the value of the label
// "call".
func countAnswer(operation string, verdict Verdict) {
	answersCount.Add(context.Background(), 1, metric.WithAttributes(attribute.String("call", operation), attribute.String("verdict", verdict.String())))
}

// recordAcceptTime records how long it took to store a job, failures included.
func recordAcceptTime(d time.Duration) { acceptTime.Record(context.Background(), d.Seconds()) }

// String returns the verdict's name for logs and metrics.
func (v Verdict) String() string {
	names := []string{"done", "refused", "busy", "unknown", "no_queue", "no_key", "no_job", "invalid"}
	if int(v) < len(names) {
		return names[v]
	}
	return "other"
}
