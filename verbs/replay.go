package verbs

import (
	"fmt"
	"io"

	"catkinpoint/trace"
)

// Replay is the verb replay: it replays the recorded traces of the reference
// deployments through each placement policy.
type Replay struct{}

// Run prints a table of the results of each policy beside the lower bound.
func (v *Replay) Run(out io.Writer) error {
	if err := trace.Report(out); err != nil {
		return fmt.Errorf("replaying traces: %w", err)
	}
	return nil
}
