package intake

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"k8s.io/klog/v2"
)

var (
	meter            = otel.Meter("catkinpoint/intake")
	decisionsCounter = newCounter()
)

func newCounter() metric.Int64Counter {
	c, err := meter.Int64Counter("catkinpoint_intake_decisions", metric.WithDescription("Clients refused or closed, by reason."))
	if err != nil {
		otel.Handle(err)
	}
	return c
}

func countDecision(listeners, decision, reason string) {
	decisionsCounter.Add(context.Background(), 1, metric.WithAttributes(attribute.String("listeners", listeners), attribute.String("decision", decision), attribute.String("reason", reason)))
}

// observe shows what is held and how many connections are open.
func (i *Intake) observe() {
	held, err1 := meter.Int64ObservableGauge("catkinpoint_intake_held_bytes", metric.WithDescription("Memory counted for what clients make the process hold."), metric.WithUnit("By"))
	open, err2 := meter.Int64ObservableGauge("catkinpoint_intake_connections", metric.WithDescription("Open connections of clients."))
	if err1 != nil || err2 != nil {
		klog.InfoS("intake: metrics not registered", "held_err", err1, "connections_err", err2)
		return
	}
	if _, err := meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		i.mu.Lock()
		defer i.mu.Unlock()
		name := metric.WithAttributes(attribute.String("listeners", i.resources.Name))
		o.ObserveInt64(held, i.ledger.Held(), name)
		o.ObserveInt64(open, int64(i.ledger.Connections()), name)
		return nil
	}, held, open); err != nil {
		otel.Handle(err)
	}
}
