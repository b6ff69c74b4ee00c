package verbs

import (
	"fmt"
	"io"
	"os"

	"catkinpoint/delay"
)

// Delays is the verb delays: it says from collected logs why jobs were late.
type Delays struct {
	Logs []string `arg:"" optional:"" type:"existingfile" help:"Files with the lines of the gates, in order; standard input if there are none."`
	Most int      `default:"20" help:"Most late jobs that are listed."`
}

// Run prints the report on all logs together.
func (v *Delays) Run(out io.Writer) error {
	in := io.Reader(os.Stdin)
	if len(v.Logs) > 0 {
		var files []io.Reader
		for _, name := range v.Logs {
			f, err := os.Open(name)
			if err != nil {
				return fmt.Errorf("opening log: %w", err)
			}
			defer f.Close()
			files = append(files, f)
		}
		in = io.MultiReader(files...)
	}
	report, err := delay.Read(in)
	if err != nil {
		return fmt.Errorf("reading logs: %w", err)
	}
	return report.Write(out, max(0, v.Most))
}
