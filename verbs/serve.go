package verbs

import (
	"context"
	"fmt"
	"net"

	"go.opentelemetry.io/otel"
	"k8s.io/klog/v2"

	"catkinpoint/conf"
	"catkinpoint/entry"
	"catkinpoint/intake"
	"catkinpoint/meter"
	"catkinpoint/place"
	"catkinpoint/store"
)

// Serve is the verb serve: it runs an entry.
type Serve struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file with the sections node and entry."`
}

// Run serves until ctx ends.
func (v *Serve) Run(ctx context.Context) error {
	settings, err := conf.Load(v.Settings, "node", "entry")
	if err != nil {
		return fmt.Errorf("loading settings: %w", err)
	}
	opts := entry.FromSettings(settings.Node, settings.Entry)
	page, err := meter.New("entry", opts.ID)
	if err != nil {
		return fmt.Errorf("starting metrics: %w", err)
	}
	otel.SetMeterProvider(page.Provider()) // for the metrics of packages without one of their own
	opts.Store = store.New(conf.Address(settings.Entry.GetStoreAddress()), store.Options{
		Caller:        opts.ID,
		MeterProvider: page.Provider(),
	})
	opts.NewPolicy = func() place.Policy { return place.New(place.Options{}) }
	e, err := entry.New(opts, page)
	if err != nil {
		return err
	}
	rpcListener, err := net.Listen("tcp", opts.RPCAddress.String())
	if err != nil {
		return fmt.Errorf("listening for RPC connections: %w", err)
	}
	httpListener, err := intake.Listen(ctx, opts.HTTPAddress.String(), entry.SocketBytes)
	if err != nil {
		return fmt.Errorf("listening for HTTP requests: %w", err)
	}
	defer klog.Flush()
	return e.Run(ctx, entry.Listeners{RPC: rpcListener, HTTP: httpListener})
}
