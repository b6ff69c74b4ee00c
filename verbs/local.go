package verbs

import (
	"context"
	"io"

	"catkinpoint/local"
)

// Local is the verb local: it runs the built-in example.
type Local struct{}

// Run runs the example and prints the outcome of its jobs.
func (v *Local) Run(ctx context.Context, out io.Writer) error {
	return local.Demo(ctx, out)
}
