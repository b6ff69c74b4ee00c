package delay

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// Guards against late jobs and lost work that are reported under a wrong cause.
// Each case of testdata/report has the lines of a log and the report on them.
func TestReport(t *testing.T) {
	datadriven.RunTest(t, "testdata/report", func(t *testing.T, d *datadriven.TestData) string {
		report, err := Read(strings.NewReader(d.Input))
		if err != nil {
			return err.Error()
		}
		var out strings.Builder
		if err := report.Write(&out, 10); err != nil {
			return err.Error()
		}
		return out.String()
	})
}
