package verbs

import (
	"errors"
	"fmt"

	"catkinpoint/conf"
	"catkinpoint/decl"
)

// Declarations is the argument of verbs that read declaration files.
type Declarations struct {
	Paths []string `arg:"" name:"path" help:"Files, or folders with files that end in .ini."`
}

// load reads the declarations. Faults of the text are returned apart from other
// errors, so that they can be reported together with the faults of decl.Check.
func (d *Declarations) load() (*decl.Source, conf.Faults, error) {
	src, err := decl.Load(d.Paths...)
	var faults conf.Faults
	if err != nil && !errors.As(err, &faults) {
		return nil, nil, &exitError{code: exitUsage, err: err}
	}
	return src, faults, nil
}

// Check is the verb check: it checks declarations without an entry.
type Check struct {
	Declarations
}

// Run reports every fault of the declarations, as if nothing else were published.
func (v *Check) Run(out *Output) error {
	src, faults, err := v.load()
	if err != nil {
		return err
	}
	set := src.Set(0)
	faults = src.Locate(append(faults, decl.Check(set, nil)...))
	if len(faults) > 0 {
		return fmt.Errorf("%d faults:\n%w", len(faults), faults)
	}
	for _, warning := range src.Locate(decl.Warnings(set, nil)) {
		fmt.Fprintf(out.Stderr, "warning: %s\n", warning)
	}
	fmt.Fprintf(out.Stdout, "%d objects are valid\n", set.Len())
	return nil
}
