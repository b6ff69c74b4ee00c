package matrix

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the table in docs/PROOF.md")

const (
	proofPage    = "../docs/PROOF.md"
	knownRedFile = "../KNOWN-RED.txt"
	tableBegin   = "<!-- matrix begin -->\n"
	tableEnd     = "<!-- matrix end -->\n"
)

// readKnownRed returns, by the name of the run, the promises that KNOWN-RED.txt
// lists as broken, from lines such as "TestMatrix/cell/place/silent_agent answer".
// Without the file there are none.
func readKnownRed(t *testing.T) map[string][]Promise {
	data, err := os.ReadFile(knownRedFile)
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

// runName returns the name of the run's subtest as go test prints it.
func runName(step Step, fault Fault) string {
	return strings.ReplaceAll(fmt.Sprintf("%s/%s", step, fault), " ", "_")
}

// recoveryOnly reports whether the promise is about a drain that begins only after
// the fault has ended, so that the run does not prove it. Freezes last until the
// drains, and with RepeatedRequests the drains are repeated too.
func recoveryOnly(step Step, fault Fault, promise Promise) bool {
	drainPromise := promise == PromiseDrainDC || promise == PromiseDrainEP
	beforeDrain := slices.Index(Steps, step) <= slices.Index(Steps, Cancel)
	reachesDrain := slices.Contains([]Fault{FreezeAgent, FreezeScheduler, FreezeEntry, RepeatedRequests}, fault)
	return drainPromise && beforeDrain && !reachesDrain
}

// proofTable returns a Markdown table with the number of faults that were tried for
// each promise and step. Known breaches and runs that prove nothing are counted
// apart.
func proofTable(known map[string][]Promise) string {
	var text strings.Builder
	text.WriteString("| promise |")
	for _, step := range Steps {
		fmt.Fprintf(&text, " %s |", step)
	}
	text.WriteString("\n|---|" + strings.Repeat("---|", len(Steps)) + "\n")
	for _, promise := range Promises {
		fmt.Fprintf(&text, "| %s |", promise)
		for _, step := range Steps {
			provedRuns, redRuns, notProved := 0, 0, 0
			for _, fault := range Faults {
				switch {
				case NotApplicable(step, fault) != "":
				case recoveryOnly(step, fault, promise):
					notProved++
				case slices.Contains(known[runName(step, fault)], promise):
					redRuns++
				default:
					provedRuns++
				}
			}
			fmt.Fprintf(&text, " %d", provedRuns)
			if redRuns > 0 {
				fmt.Fprintf(&text, " (%d red)", redRuns)
			}
			if notProved > 0 {
				fmt.Fprintf(&text, " (%d not proved)", notProved)
			}
			text.WriteString(" |")
		}
		text.WriteString("\n")
	}
	return text.String()
}

// checkProofPage checks that docs/PROOF.md has the wanted table, or writes it there
// under -update.
func checkProofPage(t *testing.T, want string) {
	data, err := os.ReadFile(proofPage)
	if err != nil {
		t.Fatal(err)
	}
	textBefore, rest, found := strings.Cut(string(data), tableBegin)
	got, textAfter, closed := strings.Cut(rest, tableEnd)
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
	if err := os.WriteFile(proofPage, []byte(textBefore+tableBegin+want+tableEnd+textAfter), 0o644); err != nil {
		t.Fatal(err)
	}
}

// logCounts logs how many cells were run, passed, are known red, are not proved or
// do not apply. A cell is a promise under a fault at a step.
func logCounts(t *testing.T, results map[string]*Result, known map[string][]Promise) {
	run, passed, redCells, notProved := 0, 0, 0, 0
	reasons := make(map[string]int)
	for _, step := range Steps {
		for _, fault := range Faults {
			if reason := NotApplicable(step, fault); reason != "" {
				reasons[reason] += len(Promises)
				continue
			}
			r, ok := results[runName(step, fault)]
			if !ok || !r.Reached {
				notProved += len(Promises)
				continue
			}
			for _, promise := range Promises {
				if recoveryOnly(step, fault, promise) {
					notProved++
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
	t.Logf("cells: %d run, %d passed, %d known red, %d not proved (their run was left out, did not reach its step, or was over before the drain)", run, passed, redCells, notProved)
	for reason, n := range reasons {
		t.Logf("cells: %d not applicable: %s", n, reason)
	}
	for name, promises := range known {
		t.Logf("known red: %s %v", name, promises)
	}
}
