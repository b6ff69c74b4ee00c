package place_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"catkinpoint/place"

	"github.com/cockroachdb/datadriven"
)

// TestHealth guards against a worker that fails everything staying in use and
// against workers that lose their standing to a faulty job.
func TestHealth(t *testing.T) {
	datadriven.RunTest(t, "testdata/health", func(t *testing.T, d *datadriven.TestData) string {
		h, now := place.NewHealth(place.HealthOptions{}), start
		var out strings.Builder
		for _, line := range strings.Split(d.Input, "\n") {
			f := strings.Fields(line)
			switch f[0] {
			case "fail":
				if h.Failed(f[1], f[2], now) {
					fmt.Fprintf(&out, "%s is at fault\n", f[1])
				}
			case "succeed":
				h.Succeeded(f[1], f[2], now)
			case "wait":
				step, err := time.ParseDuration(f[1])
				if err != nil {
					t.Fatal(err)
				}
				now = now.Add(step)
			case "status":
				aside, probing := h.Status(f[1], now)
				fmt.Fprintf(&out, "%s set_aside=%t probing=%t\n", f[1], aside, probing)
			case "avoid":
				fmt.Fprintf(&out, "%s avoids %v\n", f[1], h.Avoid(f[1]))
			}
		}
		return out.String()
	})
}

// TestLearner guards against an estimate that a few very long jobs, too few
// jobs or old jobs determine.
func TestLearner(t *testing.T) {
	l := place.NewLearner()
	expect := func(least, most time.Duration) {
		t.Helper()
		if got := l.Expected("train", time.Hour); got < least || got > most {
			t.Errorf("expected run time is %v, want %v to %v", got, least, most)
		}
	}
	for range 4 {
		l.Ended("train", time.Minute)
	}
	expect(time.Hour, time.Hour)
	l.Ended("train", 1000*time.Hour)
	expect(50*time.Second, 70*time.Second)
	for range 600 {
		l.Ended("train", 10*time.Minute)
	}
	expect(9*time.Minute, 11*time.Minute)
}
