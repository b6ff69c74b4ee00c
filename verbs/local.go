package verbs

import (
	"context"
	"io"

	"catkinpoint/local"
)

// localVerb runs the built-in example.
type localVerb struct{}

// Run runs the example and prints the outcome of its jobs.
func (v *localVerb) Run(ctx context.Context, out io.Writer) error {
	return local.Demo(ctx, out)
}
