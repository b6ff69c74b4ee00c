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

// Status is the verb status: it shows the published version and whether it is in
// force.
type Status struct {
	APIClient
	Output string `enum:"text,json" default:"text" help:"Form of the result: text or json."`
}

// Run prints the published version and the data centres with their schedulers. It
// fails if some processes lack the version, and names them.
func (v *Status) Run(ctx context.Context, out *Output) error {
	status := &wire.SystemStatus{}
	if err := v.call(ctx, http.MethodGet, "/v1/status", nil, nil, status); err != nil {
		return fmt.Errorf("read status: %w", err)
	}
	if v.Output == "json" {
		text, err := protojson.MarshalOptions{UseProtoNames: true, Multiline: true, EmitUnpopulated: true}.Marshal(status)
		if err != nil {
			return fmt.Errorf("encode status: %w", err)
		}
		fmt.Fprintf(out.Stdout, "%s\n", text)
		return nil
	}
	set, _, err := v.fetchConfig(ctx)
	if err != nil {
		// The entry can report the schedulers even while the store is unreachable.
		return errors.Join(printCachedStatus(out, status), err)
	}
	if err := printStatus(out, set, status); err != nil {
		return err
	}
	if set.Version() == 0 {
		return nil
	}
	response, err := v.queryInForce(ctx, set.Version())
	if err != nil {
		return err
	}
	if !response.GetInForce() {
		return notInForceError(set.Version(), response.GetMissing())
	}
	fmt.Fprintln(out.Stdout, "in force everywhere")
	return nil
}

// printStatus prints the published data centres with the state of their schedulers.
func printStatus(out *Output, set *decl.Set, status *wire.SystemStatus) error {
	fmt.Fprintf(out.Stdout, "version %d, %d objects, %d entries\n", set.Version(), set.Len(), len(status.GetEntries()))
	if !status.GetStoreReachable() {
		fmt.Fprintf(out.Stdout, "entry %s cannot reach the store\n", status.GetId())
	}
	schedulers := make(map[string]*wire.DutyStatus)
	for _, d := range status.GetDuties() {
		schedulers[d.GetDataCentre()] = d
	}
	table := tabwriter.NewWriter(out.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "data centre\tregion\tin service\tscheduler\tworkers\tfree accelerators\tqueued\trunning\tdraining endpoints")
	for name, dc := range decl.All[*wire.DataCentre](set) {
		d := schedulers[name]
		fmt.Fprintf(table, "%s\t%s\t%t\t%s\t%d\t%d of %d\t%d\t%d\t%s\n", name, dc.GetRegion(), dc.GetInService(),
			d.GetHolder(), d.GetWorkers(), d.GetFreeAccelerators(), d.GetAccelerators(), d.GetQueued(), d.GetRunning(),
			strings.Join(dc.GetDrainingEndpoints(), ", "))
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print table: %w", err)
	}
	return nil
}

// printCachedStatus prints the schedulers and the version that the entry last read.
// It is used while the store is unreachable.
func printCachedStatus(out *Output, status *wire.SystemStatus) error {
	fmt.Fprintf(out.Stdout, "version %d as entry %s last read it\n", status.GetVersion(), status.GetId())
	table := tabwriter.NewWriter(out.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "data centre\tscheduler\tworkers\tfree accelerators\tqueued\trunning")
	for _, d := range status.GetDuties() {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d of %d\t%d\t%d\n", d.GetDataCentre(),
			d.GetHolder(), d.GetWorkers(), d.GetFreeAccelerators(), d.GetAccelerators(), d.GetQueued(), d.GetRunning())
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print table: %w", err)
	}
	return nil
}
