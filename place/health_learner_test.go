package place_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"catkinpoint/place"

	"github.com/cockroachdb/datadriven"
)

// TestHealth guards against a worker staying in use although every job fails on
// it, and against workers being set aside because of a faulty job.
func TestHealth(t *testing.T) {
	datadriven.RunTest(t, "testdata/health", func(t *testing.T, d *datadriven.TestData) string {
		h, now := place.NewHealth(place.HealthOptions{}), start
		var out strings.Builder
		for _, line := range strings.Split(d.Input, "\n") {
			fields := strings.Fields(line)
			switch fields[0] {
			case "fail":
				if h.RecordFailure(fields[1], fields[2:], now) {
					fmt.Fprintf(&out, "%s is at fault\n", fields[1])
				}
			case "succeed":
				h.RecordSuccess(fields[1], fields[2], now)
			case "wait":
				step, err := time.ParseDuration(fields[1])
				if err != nil {
					t.Fatal(err)
				}
				now = now.Add(step)
			case "status":
				setAside, probing := h.Status(fields[1], now)
				fmt.Fprintf(&out, "%s set_aside=%t probing=%t\n", fields[1], setAside, probing)
			case "avoid":
				fmt.Fprintf(&out, "%s avoids %v\n", fields[1], h.FailedWorkers(fields[1]))
			}
		}
		return out.String()
	})
}

// TestLearner guards against an estimate that depends on a few very long jobs, on
// too few jobs or on old jobs.
func TestLearner(t *testing.T) {
	l := place.NewLearner()
	expect := func(low, high time.Duration) {
		t.Helper()
		if got := l.ExpectedRunTime("train", time.Hour); got < low || got > high {
			t.Errorf("expected run time is %v, want %v to %v", got, low, high)
		}
	}
	for range 4 {
		l.RecordRunTime("train", time.Minute)
	}
	expect(time.Hour, time.Hour)
	l.RecordRunTime("train", 1000*time.Hour)
	expect(50*time.Second, 70*time.Second)
	for range 600 {
		l.RecordRunTime("train", 10*time.Minute)
	}
	expect(9*time.Minute, 11*time.Minute)
}
