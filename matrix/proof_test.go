package matrix

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the table of docs/PROOF.md anew")

const (
	proofPage  = "../docs/PROOF.md"
	redPage    = "../KNOWN-RED.txt"
	tableBegin = "<!-- matrix begin -->\n"
	tableEnd   = "<!-- matrix end -->\n"
)

// red lists the known breaches of a run by promise, from lines such as
// "TestMatrix/cell/place/silent_agent answer".
func red(t *testing.T) map[string][]Promise {
	data, err := os.ReadFile(redPage)
	if err != nil && !os.IsNotExist(err) {
		t.Fatal(err)
	}
	known := make(map[string][]Promise)
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) == 2 && strings.HasPrefix(fields[0], "TestMatrix/cell/") {
			name := strings.TrimPrefix(fields[0], "TestMatrix/cell/")
			known[name] = append(known[name], Promise(fields[1]))
		}
	}
	return known
}

// runName is the name of a run as go test shows it.
func runName(step Step, fault Fault) string {
	return strings.ReplaceAll(fmt.Sprintf("%s/%s", step, fault), " ", "_")
}

// recoveryOnly says whether the fault is over before the drain begins that the
// promise is about, so that the run does not prove it. Freezes last long enough,
// and repeated requests include the drains.
func recoveryOnly(step Step, fault Fault, promise Promise) bool {
	drains := promise == PromiseDrainDC || promise == PromiseDrainEP
	early := slices.Index(Steps, step) <= slices.Index(Steps, Cancel)
	lasts := slices.Contains([]Fault{FreezeAgent, FreezeScheduler, FreezeEntry, SameTwice}, fault)
	return drains && early && !lasts
}

// table shows for each promise and step how many faults were tried; a known
// breach is set apart.
func table(known map[string][]Promise) string {
	var text strings.Builder
	text.WriteString("| promise |")
	for _, step := range Steps {
		fmt.Fprintf(&text, " %s |", step)
	}
	text.WriteString("\n|---|" + strings.Repeat("---|", len(Steps)) + "\n")
	for _, promise := range Promises {
		fmt.Fprintf(&text, "| %s |", promise)
		for _, step := range Steps {
			held, broken, unproved := 0, 0, 0
			for _, fault := range Faults {
				switch {
				case NotApplicable(step, fault) != "":
				case recoveryOnly(step, fault, promise):
					unproved++
				case slices.Contains(known[runName(step, fault)], promise):
					broken++
				default:
					held++
				}
			}
			fmt.Fprintf(&text, " %d", held)
			if broken > 0 {
				fmt.Fprintf(&text, " (%d red)", broken)
			}
			if unproved > 0 {
				fmt.Fprintf(&text, " (%d not proved)", unproved)
			}
			text.WriteString(" |")
		}
		text.WriteString("\n")
	}
	return text.String()
}

// checkPage compares the table of docs/PROOF.md with the runs.
func checkPage(t *testing.T, want string) {
	data, err := os.ReadFile(proofPage)
	if err != nil {
		t.Fatal(err)
	}
	before, rest, found := strings.Cut(string(data), tableBegin)
	got, after, closed := strings.Cut(rest, tableEnd)
	if !found || !closed {
		t.Fatalf("%s has no table between %q and %q", proofPage, tableBegin, tableEnd)
	}
	if got == want {
		return
	}
	if !*update {
		t.Errorf("%s is stale; run go test ./matrix -run TestMatrix -update", proofPage)
		return
	}
	if err := os.WriteFile(proofPage, []byte(before+tableBegin+want+tableEnd+after), 0o644); err != nil {
		t.Fatal(err)
	}
}

// count prints how many cells were run, passed, did not apply or are not proved.
func count(t *testing.T, results map[string]*Result, known map[string][]Promise) {
	run, passed, redCells, unproved := 0, 0, 0, 0
	reasons := make(map[string]int)
	for _, step := range Steps {
		for _, fault := range Faults {
			if reason := NotApplicable(step, fault); reason != "" {
				reasons[reason] += len(Promises)
				continue
			}
			r, ok := results[runName(step, fault)]
			if !ok || !r.Reached {
				unproved += len(Promises)
				continue
			}
			for _, promise := range Promises {
				if recoveryOnly(step, fault, promise) {
					unproved++
					continue
				}
				run++
				switch {
				case slices.Contains(known[runName(step, fault)], promise):
					redCells++
				case len(r.Breaches[promise]) == 0:
					passed++
				}
			}
		}
	}
	t.Logf("cells: %d run, %d passed, %d known red, %d not proved (their run was left out, did not reach its step, or was over before the drain)", run, passed, redCells, unproved)
	for reason, n := range reasons {
		t.Logf("cells: %d not applicable: %s", n, reason)
	}
	for name, promises := range known {
		t.Logf("known red: %s %v", name, promises)
	}
}
