package verbs

import (
	"context"
	"errors"
)

// Apply is the verb apply: it publishes declarations.
type Apply struct {
	Publishing
	Declarations
	Prune  bool `help:"Delete published objects that are not declared."`
	DryRun bool `help:"Check the change at the entry without publishing it."`
}

// Run publishes the difference between the declarations and the published ones.
func (v *Apply) Run(ctx context.Context, out *Output) error {
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
	err = v.publish(ctx, out, base, src.Diff(base, v.Prune), v.DryRun)
	var apiErr *apiError
	if errors.As(err, &apiErr) && len(apiErr.response.GetFaults()) > 0 {
		// The entry does not know the files; the source adds file and line to each fault.
		return src.Locate(decodeFaults(apiErr.response.GetFaults()))
	}
	return err
}
