package trace_test

import (
	"bytes"
	"flag"
	"os"
	"testing"

	"catkinpoint/trace"

	"github.com/google/go-cmp/cmp"
)

var meanSeeds = flag.Int("seeds", 0, "also replay each scenario with this many seeds and print the mean outcomes")

var recordTraces = flag.Bool("record", false, "write the generated traces to testdata")

// TestRecordedTracesMatchGenerator guards against recorded traces that the generator
// no longer produces from their seeds, and against a file format that loses
// information when a trace is written and read back.
func TestRecordedTracesMatchGenerator(t *testing.T) {
	for _, s := range trace.Scenarios() {
		generated := trace.Generate(s)
		var b bytes.Buffer
		if err := generated.Write(&b); err != nil {
			t.Fatal(err)
		}
		if *recordTraces {
			if err := os.WriteFile("testdata/"+s.Name+".ini", b.Bytes(), 0o644); err != nil {
				t.Fatal(err)
			}
			continue
		}
		recorded, err := trace.ReadRecorded(s.Name)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(generated, recorded); diff != "" {
			t.Errorf("%s: the recorded trace differs from the generated one: %s", s.Name, diff)
		}
	}
}

// TestReplayRecordedTraces guards against policies that break a guarantee, exceed the
// capacity of a worker, or leave jobs that never end. It prints the outcomes.
func TestReplayRecordedTraces(t *testing.T) {
	outcomes, err := trace.Compare(trace.RecordedNames(), trace.Policies())
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := trace.WriteTable(&b, outcomes); err != nil {
		t.Fatal(err)
	}
	t.Logf("\n%s", b.String())
	if *meanSeeds > 0 {
		means, err := trace.CompareSeeds(trace.Policies(), *meanSeeds)
		if err != nil {
			t.Fatal(err)
		}
		b.Reset()
		if err := trace.WriteTable(&b, means); err != nil {
			t.Fatal(err)
		}
		t.Logf("mean over %d seeds, counts as sums\n%s", *meanSeeds, b.String())
		outcomes = append(outcomes, means...)
	}
	for _, o := range outcomes {
		if o.Stuck > 0 {
			t.Errorf("%s under %s: %d jobs never ended", o.Trace, o.Policy, o.Stuck)
		}
	}
}
