package slope

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"k8s.io/klog/v2"

	"catkinpoint/stand/fakekv"
	"catkinpoint/store"
)

var tablesFile = flag.String("tables", "", "measure in full and write the tables to this file, - for standard output")

const command = "go test ./slope -run '^%s$' -count 1 -v -timeout 30m -args -tables -"

// small bounds the measurements of the usual run.
var small = Options{Run: time.Millisecond, Runs: 1, Objects: []int{100, 200}, Small: true}

// entryWorkers asks a process of this binary to run ServeEntry.
const entryWorkers = "SLOPE_ENTRY_WORKERS"

func TestMain(m *testing.M) {
	flag.Parse()
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	if text := os.Getenv(entryWorkers); text != "" {
		workers, err := strconv.Atoi(text)
		if err == nil {
			err = ServeEntry(context.Background(), os.Stdin, os.Stdout, workers)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// startEntry starts this binary as the entry's process.
func startEntry(workers int) (Process, error) {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), fmt.Sprint(entryWorkers, "=", workers))
	c.Stderr = os.Stderr
	in, err := c.StdinPipe()
	if err != nil {
		return Process{}, err
	}
	out, err := c.StdoutPipe()
	if err != nil {
		return Process{}, err
	}
	return Process{In: in, Out: out, Wait: c.Wait}, c.Start()
}

func newStore() store.KV { return fakekv.New() }

// measure measures a table at small sizes, or in full with -tables, and checks
// the number of rows.
func measure(t *testing.T, rows int, f func(Options) ([]Table, error)) {
	t.Helper()
	options := Options{}
	if *tablesFile == "" {
		options = small
		t.Parallel() // the figures do not count
	}
	before := LoadAverage()
	tables, err := f(options)
	if err != nil {
		t.Fatal(err)
	}
	load := before + " before, " + LoadAverage() + " after"
	for i := range tables {
		tables[i].Load = load
	}
	var page bytes.Buffer
	if err := WriteMarkdown(&page, fmt.Sprintf(command, t.Name()), tables); err != nil {
		t.Fatal(err)
	}
	if got := strings.Count(page.String(), "\n| ") - len(tables); got < rows {
		t.Errorf("%d rows, want %d:\n%s", got, rows, page.String())
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

// The tests of tables guard against a measurement that fails, and against a page
// with missing rows. With -tables they are the entries for the full measurement.

func TestTables(t *testing.T) {
	measure(t, 5*len(Messages())+len(HeldObjects()), MeasureTables)
}

func TestDecide(t *testing.T) {
	measure(t, 10, func(o Options) ([]Table, error) {
		room, err := MeasureDecide(o, false)
		if err != nil {
			return nil, err
		}
		full, err := MeasureDecide(o, true)
		return []Table{{Title: "One placement decision", Series: append(room, full...)}}, err
	})
}

func TestCheck(t *testing.T) {
	measure(t, 4, func(o Options) ([]Table, error) {
		series, err := MeasureCheck(o)
		return []Table{{Title: "Check of the whole set", Series: series}}, err
	})
}

func TestPublish(t *testing.T) {
	measure(t, 9, func(o Options) ([]Table, error) {
		series, err := MeasurePublish(newStore, o)
		return []Table{{Title: "Change of the configuration", Series: series}}, err
	})
}

func TestRecords(t *testing.T) {
	measure(t, 3, func(o Options) ([]Table, error) {
		series, err := MeasureRecords(newStore, o)
		return []Table{{Title: "Records read by a new scheduler", Series: series}}, err
	})
}

func TestFleet(t *testing.T) {
	measure(t, len(fleetOutputs)+6, func(o Options) ([]Table, error) {
		idle, bursts, err := MeasureFleet(startEntry, o)
		return []Table{{Title: "Agents and a scheduler", Series: idle}, {Title: "All agents at once", Series: bursts}}, err
	})
}

func TestLinks(t *testing.T) {
	measure(t, 4, func(o Options) ([]Table, error) {
		series, err := MeasureLinks(o)
		return []Table{{Title: "Idle links", Series: series}}, err
	})
}

func TestWaiting(t *testing.T) {
	measure(t, 1, func(o Options) ([]Table, error) {
		series, err := MeasureWaiting(startEntry, o)
		return []Table{{Title: "A scheduler with a queue", Series: series}}, err
	})
}

func TestGang(t *testing.T) {
	measure(t, 5, func(o Options) ([]Table, error) {
		series, err := MeasureGang(startEntry, o)
		return []Table{{Title: "A running gang", Series: series}}, err
	})
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
