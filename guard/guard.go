package guard

import (
	"context"
	"runtime/debug"

	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"k8s.io/klog/v2"
)

// Error is the class of errors that stand for a recovered panic.
var Error = errs.Class("panic")

var panics = func() metric.Int64Counter {
	c, err := otel.Meter("catkinpoint/guard").Int64Counter("catkinpoint_panics", metric.WithDescription("Recovered panics, by the work that they ended."))
	if err != nil {
		otel.Handle(err)
	}
	return c
}()

// Call runs f and returns its error, or an Error if f panics. A panic is logged
// with its stack and counted; work names what f does, in the error, in the log
// and as a label of the counter.
func Call(work string, f func() error) (err error) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		err = Error.New("%s: %v", work, value)
		panics.Add(context.Background(), 1, metric.WithAttributes(attribute.String("work", work)))
		klog.ErrorS(err, "guard: panic confined", "work", work, "stack", string(debug.Stack()))
	}()
	return f()
}

// Run is Call for an f that returns no error.
func Run(work string, f func()) error {
	return Call(work, func() error {
		f()
		return nil
	})
}
