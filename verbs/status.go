package verbs

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"

	"catkinpoint/decl"
	"catkinpoint/wire"
)

// Status is the verb status.
type Status struct {
	Remote
}

// Run prints the published version, the data centres and what lacks the version.
func (v *Status) Run(ctx context.Context, out *Output) error {
	set, _, err := v.fetch(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(out.Stdout, "version %d, %d objects\n", set.Version(), set.Len())
	table := tabwriter.NewWriter(out.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "data centre\tregion\tin service\tdraining endpoints")
	for name, dc := range decl.All[*wire.DataCentre](set) {
		fmt.Fprintf(table, "%s\t%s\t%t\t%s\n", name, dc.GetRegion(), dc.GetInService(), strings.Join(dc.GetDrainingEndpoints(), ", "))
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print table: %w", err)
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
