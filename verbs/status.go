package verbs

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"

	"google.golang.org/protobuf/encoding/protojson"

	"catkinpoint/decl"
	"catkinpoint/wire"
)

// Status is the verb status.
type Status struct {
	Remote
	Output string `enum:"text,json" default:"text" help:"Form of the result: text or json."`
}

// Run prints the published version, the data centres with their schedulers, and
// what lacks the version.
func (v *Status) Run(ctx context.Context, out *Output) error {
	system := &wire.SystemStatus{}
	if err := v.call(ctx, http.MethodGet, "/v1/status", nil, nil, system); err != nil {
		return fmt.Errorf("read status: %w", err)
	}
	if v.Output == "json" {
		text, err := protojson.MarshalOptions{UseProtoNames: true, Multiline: true, EmitUnpopulated: true}.Marshal(system)
		if err != nil {
			return fmt.Errorf("encode status: %w", err)
		}
		fmt.Fprintf(out.Stdout, "%s\n", text)
		return nil
	}
	set, _, err := v.fetch(ctx)
	if err != nil {
		// During an outage of the store the operator still sees the schedulers.
		return errors.Join(printSystem(out, system), err)
	}
	if err := printStatus(out, set, system); err != nil {
		return err
	}
	if set.Version() == 0 {
		return nil
	}
	response, err := v.inForce(ctx, set.Version())
	if err != nil {
		return err
	}
	if !response.GetInForce() {
		return notInForce(set.Version(), response.GetMissing())
	}
	fmt.Fprintln(out.Stdout, "in force everywhere")
	return nil
}

func printStatus(out *Output, set *decl.Set, system *wire.SystemStatus) error {
	fmt.Fprintf(out.Stdout, "version %d, %d objects, %d entries\n", set.Version(), set.Len(), len(system.GetEntries()))
	if !system.GetStoreReachable() {
		fmt.Fprintf(out.Stdout, "entry %s cannot reach the store\n", system.GetId())
	}
	duties := make(map[string]*wire.DutyStatus)
	for _, d := range system.GetDuties() {
		duties[d.GetDataCentre()] = d
	}
	table := tabwriter.NewWriter(out.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "data centre\tregion\tin service\tscheduler\tworkers\tfree accelerators\tqueued\trunning\tdraining endpoints")
	for name, dc := range decl.All[*wire.DataCentre](set) {
		d := duties[name]
		fmt.Fprintf(table, "%s\t%s\t%t\t%s\t%d\t%d of %d\t%d\t%d\t%s\n", name, dc.GetRegion(), dc.GetInService(),
			d.GetHolder(), d.GetWorkers(), d.GetFreeAccelerators(), d.GetAccelerators(), d.GetQueued(), d.GetRunning(),
			strings.Join(dc.GetDrainingEndpoints(), ", "))
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print table: %w", err)
	}
	return nil
}

// printSystem prints what an entry knows without the store.
func printSystem(out *Output, system *wire.SystemStatus) error {
	fmt.Fprintf(out.Stdout, "version %d as entry %s last read it\n", system.GetVersion(), system.GetId())
	table := tabwriter.NewWriter(out.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "data centre\tscheduler\tworkers\tfree accelerators\tqueued\trunning")
	for _, d := range system.GetDuties() {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d of %d\t%d\t%d\n", d.GetDataCentre(),
			d.GetHolder(), d.GetWorkers(), d.GetFreeAccelerators(), d.GetAccelerators(), d.GetQueued(), d.GetRunning())
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print table: %w", err)
	}
	return nil
}
