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

var tablesFile = flag.String("tables", "", "measure all sizes and write the tables to this file; - means standard output")

// tableCommand is the command that reproduces a table, with the name of its test.
const tableCommand = "go test ./slope -run '^%s$' -count 1 -v -timeout 30m -args -tables -"

// smallOptions are the options of a run without -tables. Its results are not used.
var smallOptions = Options{MinRunCPU: time.Millisecond, Runs: 1, ObjectCounts: []int{100, 200}, Small: true}

// entryWorkersEnv is the environment variable that makes this test binary run
// ServeEntry for that number of workers instead of the tests.
const entryWorkersEnv = "SLOPE_ENTRY_WORKERS"

func TestMain(m *testing.M) {
	flag.Parse()
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	if text := os.Getenv(entryWorkersEnv); text != "" {
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

// startEntryProcess starts this test binary as the entry's process.
func startEntryProcess(workers int) (Process, error) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), fmt.Sprint(entryWorkersEnv, "=", workers))
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		return Process{}, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return Process{}, err
	}
	return Process{In: in, Out: out, Wait: cmd.Wait}, cmd.Start()
}

func newStore() store.KV { return fakekv.New() }

// measureTables runs a measurement at small sizes, or at all sizes with -tables, and
// fails if the resulting page has fewer rows than minRows. With -tables it also
// writes the page.
func measureTables(t *testing.T, minRows int, measure func(Options) ([]Table, error)) {
	t.Helper()
	options := Options{}
	if *tablesFile == "" {
		options = smallOptions
		t.Parallel() // small results are not used, so measurements may disturb each other
	}
	before := LoadAverage()
	tables, err := measure(options)
	if err != nil {
		t.Fatal(err)
	}
	load := before + " before, " + LoadAverage() + " after"
	for i := range tables {
		tables[i].Load = load
	}
	var page bytes.Buffer
	if err := WriteMarkdown(&page, fmt.Sprintf(tableCommand, t.Name()), tables); err != nil {
		t.Fatal(err)
	}
	if got := strings.Count(page.String(), "\n| ") - len(tables); got < minRows {
		t.Errorf("the page has %d rows, want at least %d:\n%s", got, minRows, page.String())
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

// The following tests guard against measurements that fail and against pages with
// missing rows. With -tables they run the full measurements.

func TestTables(t *testing.T) {
	measureTables(t, 5*len(Messages())+len(HeldObjects()), MeasureMessageTables)
}

func TestDecide(t *testing.T) {
	measureTables(t, 10, func(o Options) ([]Table, error) {
		partlyFull, err := MeasureDecision(o, false)
		if err != nil {
			return nil, err
		}
		full, err := MeasureDecision(o, true)
		return []Table{{Title: "One placement decision", Series: append(partlyFull, full...)}}, err
	})
}

func TestCheck(t *testing.T) {
	measureTables(t, 4, func(o Options) ([]Table, error) {
		series, err := MeasureSetCheck(o)
		return []Table{{Title: "Check of the whole set", Series: series}}, err
	})
}

func TestPublish(t *testing.T) {
	measureTables(t, 9, func(o Options) ([]Table, error) {
		series, err := MeasurePublish(newStore, o)
		return []Table{{Title: "Change of the configuration", Series: series}}, err
	})
}

func TestRecords(t *testing.T) {
	measureTables(t, 3, func(o Options) ([]Table, error) {
		series, err := MeasureRecordLoad(newStore, o)
		return []Table{{Title: "Records read by a new scheduler", Series: series}}, err
	})
}

func TestFleet(t *testing.T) {
	measureTables(t, len(fleetOutputs)+6, func(o Options) ([]Table, error) {
		idle, bursts, err := MeasureFleet(startEntryProcess, o)
		return []Table{{Title: "Agents and a scheduler", Series: idle}, {Title: "All agents at once", Series: bursts}}, err
	})
}

func TestLinks(t *testing.T) {
	measureTables(t, 4, func(o Options) ([]Table, error) {
		series, err := MeasureLinks(o)
		return []Table{{Title: "Idle links", Series: series}}, err
	})
}

func TestWaiting(t *testing.T) {
	measureTables(t, 1, func(o Options) ([]Table, error) {
		series, err := MeasureWaitingJobs(startEntryProcess, o)
		return []Table{{Title: "A scheduler with a queue", Series: series}}, err
	})
}

func TestGang(t *testing.T) {
	measureTables(t, 5, func(o Options) ([]Table, error) {
		series, err := MeasureGang(startEntryProcess, o)
		return []Table{{Title: "A running gang", Series: series}}, err
	})
}

// TestLeastSquares guards against errors in the formulas of the fit, and against a fit
// to points of fewer than two sizes. The expected values of the second case were
// calculated by hand.
func TestLeastSquares(t *testing.T) {
	for _, c := range []struct {
		points []Point
		want   Fit
	}{
		{[]Point{{0, 5}, {10, 25}}, Fit{A: 5, B: 2, R2: 1}},
		{[]Point{{0, 1}, {1, 1}, {1, 2}}, Fit{A: 1, B: 0.2, MaxResidual: 0.8, MaxRelativeResidual: 0.4, R2: 0.1}},
		{[]Point{{1, 3}, {2, 3}}, Fit{A: 3, R2: 1}},
	} {
		got, err := LeastSquares(c.points)
		if diff := cmp.Diff(c.want, got, cmpopts.EquateApprox(0, 1e-9)); diff != "" || err != nil {
			t.Errorf("LeastSquares(%v): error %v, fit (-want +got)\n%s", c.points, err, diff)
		}
	}
	for _, points := range [][]Point{nil, {{1, 2}}, {{1, 2}, {1, 3}}} {
		if _, err := LeastSquares(points); err == nil {
			t.Errorf("LeastSquares(%v) succeeded, want an error: the points have fewer than two sizes", points)
		}
	}
}
