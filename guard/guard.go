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

// Error is the class of panics that were confined.
var Error = errs.Class("panic")

var panics = func() metric.Int64Counter {
	c, err := otel.Meter("catkinpoint/guard").Int64Counter("catkinpoint_panics", metric.WithDescription("Panics that were confined, by the work that they ended."))
	if err != nil {
		otel.Handle(err)
	}
	return c
}()

// Call runs f and returns its error, or an Error if it panics. what names the
// work in the log.
func Call(what string, f func() error) (err error) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		err = Error.New("%s: %v", what, cause)
		panics.Add(context.Background(), 1, metric.WithAttributes(attribute.String("work", what)))
		klog.ErrorS(err, "guard: panic confined", "work", what, "stack", string(debug.Stack()))
	}()
	return f()
}

// Run is Call for work that returns nothing.
func Run(what string, f func()) error {
	return Call(what, func() error {
		f()
		return nil
	})
}
