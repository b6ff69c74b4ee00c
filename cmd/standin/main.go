package main

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"catkinpoint/stand/fakeep"
	"catkinpoint/stand/fakekv"
)

// cli has one field for each verb.
type cli struct {
	KV       kvVerb       `cmd:"" name:"kv" help:"Run the stand-in of the key-value service."`
	Endpoint endpointVerb `cmd:"" help:"Run the stand-in of an endpoint."`
}

// listenAddresses has the flags that both verbs share.
type listenAddresses struct {
	Listen      netip.AddrPort `required:"" placeholder:"IP:PORT" help:"Address of the service."`
	FaultListen netip.AddrPort `placeholder:"IP:PORT" help:"Address of the HTTP API that injects faults; none if not given."`
}

type kvVerb struct {
	listenAddresses
}

type endpointVerb struct {
	listenAddresses
	Slots        int           `default:"8" help:"Tasks that run at once."`
	Connections  int           `default:"64" help:"Connections that are accepted."`
	Accelerators int           `default:"8" help:"Accelerators of the worker."`
	UsageLag     time.Duration `default:"2s" help:"Age of the reported usage."`
	RecordFile   string        `type:"path" placeholder:"FILE" help:"File to which each event is appended as a line of JSON."`
	Drain        time.Duration `default:"5s" help:"Time that running tasks get to end after a signal to stop."`
}

// serveFunc serves one listener until the context ends.
type serveFunc func(ctx context.Context, l net.Listener) error

func main() {
	var commands cli
	parsed := kong.Parse(&commands, kong.Name("standin"))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	err := parsed.Run()
	klog.Flush()
	parsed.FatalIfErrorf(err)
}

// Run implements the verb kv.
func (v *kvVerb) Run(ctx context.Context) error {
	server := fakekv.New()
	return v.serve(ctx, server.Serve, server.ServeFaults)
}

// Run implements the verb endpoint.
func (v *endpointVerb) Run(ctx context.Context) error {
	record, err := openRecord(v.RecordFile)
	if err != nil {
		return fmt.Errorf("open record: %w", err)
	}
	defer func() { _ = record.Close() }()
	endpoint := fakeep.New(fakeep.Options{
		RecordTo:     record,
		Slots:        v.Slots,
		Connections:  v.Connections,
		Accelerators: v.Accelerators,
		UsageLag:     v.UsageLag,
		DrainTimeout: v.Drain,
	})
	return v.serve(ctx, endpoint.Serve, endpoint.ServeFaults)
}

// openRecord opens the named file for appending, and creates it if needed. If name is
// empty, it opens the null device.
func openRecord(name string) (*os.File, error) {
	if name == "" {
		name = os.DevNull
	}
	return os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
}

// serve serves service, and faults if it has an address, until ctx ends.
func (a listenAddresses) serve(ctx context.Context, service, faults serveFunc) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return listenAndServe(ctx, "service", a.Listen, service) })
	if a.FaultListen.IsValid() {
		group.Go(func() error { return listenAndServe(ctx, "faults", a.FaultListen, faults) })
	}
	return group.Wait()
}

// listenAndServe serves on a new listener at addr until ctx ends. The name identifies
// the listener in log lines and errors.
func listenAndServe(ctx context.Context, name string, addr netip.AddrPort, serve serveFunc) error {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return fmt.Errorf("listen for %s: %w", name, err)
	}
	klog.Infof("standin: %s listens on %s", name, l.Addr())
	if err := serve(ctx, l); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	klog.Infof("standin: %s stopped", name)
	return nil
}
