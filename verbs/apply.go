package verbs

import (
	"context"
	"errors"
)

// Apply is the verb apply.
type Apply struct {
	Publishing
	Declarations
	Prune  bool `help:"Delete published objects that are not declared."`
	DryRun bool `help:"Check the change at the entry without publishing it."`
}

// Run publishes the declarations on top of the published set.
func (v *Apply) Run(ctx context.Context, out *Output) error {
	src, faults, err := v.load()
	if err != nil {
		return err
	}
	if err := faults.Err(); err != nil {
		return err
	}
	base, _, err := v.fetch(ctx)
	if err != nil {
		return err
	}
	err = v.publish(ctx, out, base, src.Diff(base, v.Prune), v.DryRun)
	var refused *apiError
	if errors.As(err, &refused) && len(refused.response.GetFaults()) > 0 {
		// The entry knows no files; the source does.
		return src.Locate(faultsOf(refused.response.GetFaults()))
	}
	return err
}
