package slope

import (
	"bytes"
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

var tablesFile = flag.String("tables", "", "measure in full and write the tables to this file, - for standard output")

const command = "go test ./slope -run '^TestTables$' -count 1 -v -args -tables -"

// Guards against a message or object whose measurement fails, and against a
// page with missing rows. With -tables it is the entry for the full measurement.
func TestTables(t *testing.T) {
	options := Options{Run: time.Millisecond, Runs: 1, Objects: []int{100, 200}}
	if *tablesFile != "" {
		options = Options{}
	}
	tables, err := MeasureTables(options)
	if err != nil {
		t.Fatal(err)
	}
	var page bytes.Buffer
	if err := WriteMarkdown(&page, command, tables); err != nil {
		t.Fatal(err)
	}
	messages, held := len(Messages()), len(HeldObjects())
	if rows := strings.Count(page.String(), "\n| "); rows != 4+5*messages+held {
		t.Errorf("%d rows:\n%s", rows, page.String())
	}
	switch *tablesFile {
	case "":
	case "-":
		_, err = page.WriteTo(os.Stdout)
	default:
		err = os.WriteFile(*tablesFile, page.Bytes(), 0o644)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against a wrong formula; the second case was worked out by hand.
func TestLeastSquares(t *testing.T) {
	for _, c := range []struct {
		points []Point
		want   Fit
	}{
		{[]Point{{0, 5}, {10, 25}}, Fit{A: 5, B: 2, R2: 1}},
		{[]Point{{0, 1}, {1, 1}, {1, 2}}, Fit{A: 1, B: 0.2, MaxResidual: 0.8, MaxShare: 0.4, R2: 0.1}},
		{[]Point{{1, 3}, {2, 3}}, Fit{A: 3, R2: 1}},
	} {
		got, err := LeastSquares(c.points)
		if diff := cmp.Diff(c.want, got, cmpopts.EquateApprox(0, 1e-9)); diff != "" || err != nil {
			t.Errorf("%v: %v (-want +got)\n%s", c.points, err, diff)
		}
	}
	for _, points := range [][]Point{nil, {{1, 2}}, {{1, 2}, {1, 3}}} {
		if _, err := LeastSquares(points); err == nil {
			t.Errorf("a line was fitted to %v", points)
		}
	}
}
