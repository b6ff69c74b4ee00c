package trace_test

import (
	"bytes"
	"flag"
	"os"
	"testing"

	"catkinpoint/trace"

	"github.com/google/go-cmp/cmp"
)

var seeds = flag.Int("seeds", 0, "also print the mean outcomes over this many seeds")

var record = flag.Bool("record", false, "write the generated traces to testdata")

// TestRecorded guards against a recorded trace that its seed does not give,
// and against a file that does not read back as written.
func TestRecorded(t *testing.T) {
	for _, s := range trace.Scenarios() {
		generated := trace.Generate(s)
		var b bytes.Buffer
		if err := generated.Write(&b); err != nil {
			t.Fatal(err)
		}
		if *record {
			if err := os.WriteFile("testdata/"+s.Name+".ini", b.Bytes(), 0o644); err != nil {
				t.Fatal(err)
			}
			continue
		}
		recorded, err := trace.Recorded(s.Name)
		if err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(generated, recorded); d != "" {
			t.Errorf("%s: the recorded trace differs from the generated one: %s", s.Name, d)
		}
	}
}

// TestReport guards against a replay that breaks a guarantee, exceeds a
// worker or leaves jobs without an end, and prints the comparison.
func TestReport(t *testing.T) {
	outcomes, err := trace.Compare(trace.Names(), trace.Policies())
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := trace.Table(&b, outcomes); err != nil {
		t.Fatal(err)
	}
	t.Logf("\n%s", b.String())
	if *seeds > 0 {
		means, err := trace.Average(trace.Policies(), *seeds)
		if err != nil {
			t.Fatal(err)
		}
		b.Reset()
		if err := trace.Table(&b, means); err != nil {
			t.Fatal(err)
		}
		t.Logf("mean over %d seeds, counts as sums\n%s", *seeds, b.String())
		outcomes = append(outcomes, means...)
	}
	for _, o := range outcomes {
		if o.Stuck > 0 {
			t.Errorf("%s under %s: %d jobs never ended", o.Trace, o.Policy, o.Stuck)
		}
	}
}
