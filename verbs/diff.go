package verbs

import (
	"context"
	"fmt"

	"catkinpoint/decl"
)

// Diff is the verb diff: it shows what applying declarations would change.
type Diff struct {
	APIClient
	Declarations
	Prune bool `help:"Delete published objects that are not declared."`
}

// Run prints what applying the declarations would change.
func (v *Diff) Run(ctx context.Context, out *Output) error {
	src, faults, err := v.load()
	if err != nil {
		return err
	}
	if err := faults.Err(); err != nil {
		return err
	}
	base, _, err := v.fetchConfig(ctx)
	if err != nil {
		return err
	}
	operations := src.Diff(base, v.Prune)
	fmt.Fprint(out.Stdout, decl.Render(base, operations))
	if len(operations) == 0 {
		fmt.Fprintf(out.Stdout, "nothing to change at version %d\n", base.Version())
	}
	return nil
}
