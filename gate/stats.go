package gate

import (
	"context"
	"strings"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"catkinpoint/flow"
)

var (
	answersCount     metric.Int64Counter
	peerAnswersCount metric.Int64Counter
	acceptTime       metric.Float64Histogram
)

func init() {
	meter := otel.Meter("catkinpoint/gate")
	var err error
	if answersCount, err = meter.Int64Counter("catkinpoint_gate_answers", metric.WithDescription("Answers to callers by call and verdict.")); err != nil {
		otel.Handle(err)
	}
	if peerAnswersCount, err = meter.Int64Counter("catkinpoint_gate_peer_answers", metric.WithDescription("Answers to calls that other gates forwarded, by call and verdict.")); err != nil {
		otel.Handle(err)
	}
	if acceptTime, err = meter.Float64Histogram("catkinpoint_gate_accept_seconds", metric.WithDescription("Time to store a job."), metric.WithUnit("s")); err != nil {
		otel.Handle(err)
	}
}

// countAnswer counts the answer to a caller and returns it. A call counts once, with the
// answer that its caller gets, also if another gate had to be asked.
func countAnswer(operation flow.Operation, a Answer) Answer {
	answersCount.Add(context.Background(), 1, answerLabels(operation, a))
	return a
}

// countPeerAnswer counts the answer to another gate that has forwarded a caller's call.
func countPeerAnswer(operation flow.Operation, a Answer) {
	peerAnswersCount.Add(context.Background(), 1, answerLabels(operation, a))
}

// answerLabels returns the labels "call" and "verdict" of an answer.
func answerLabels(operation flow.Operation, a Answer) metric.MeasurementOption {
	call := strings.ToLower(operation.String())
	if a.ForQueue {
		call = "pending"
	}
	return metric.WithAttributes(attribute.String("call", call), attribute.String("verdict", a.Verdict.String()))
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
