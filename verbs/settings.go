package verbs

import (
	"fmt"

	"catkinpoint/conf"
)

// Settings is the verb settings: it prints the reference page of settings and
// declarations.
type Settings struct{}

// Run prints the reference page of settings and declarations.
func (*Settings) Run(out *Output) error {
	if _, err := fmt.Fprint(out.Stdout, conf.Reference()); err != nil {
		return fmt.Errorf("print reference: %w", err)
	}
	return nil
}
