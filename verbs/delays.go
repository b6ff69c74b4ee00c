package verbs

import (
	"fmt"
	"io"
	"os"

	"catkinpoint/delay"
)

// Delays is the verb delays: it reports from collected logs of gates why jobs were
// late.
type Delays struct {
	Logs []string `arg:"" optional:"" type:"existingfile" help:"Log files of gates, in the order in which they were written; standard input if there are none."`
	Most int      `default:"20" help:"Largest number of late jobs to list."`
}

// Run prints the report on all logs together.
func (v *Delays) Run(out io.Writer) error {
	input := io.Reader(os.Stdin)
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
		input = io.MultiReader(files...)
	}
	report, err := delay.Read(input)
	if err != nil {
		return fmt.Errorf("reading logs: %w", err)
	}
	return report.Write(out, max(0, v.Most))
}
