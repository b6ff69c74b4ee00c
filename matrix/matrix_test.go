package matrix

import (
	"flag"
	"io"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"k8s.io/klog/v2"
)

// TestMain discards the logs of the system, unless the environment variable
// MATRIX_LOG sets their verbosity.
func TestMain(m *testing.M) {
	flag.Parse()
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	if os.Getenv("MATRIX_LOG") != "" {
		var flags flag.FlagSet
		klog.InitFlags(&flags)
		_ = flags.Set("v", os.Getenv("MATRIX_LOG"))
		_ = flags.Set("logtostderr", "true")
	}
	os.Exit(m.Run())
}

// runInBubble runs the workload with the fault in a testing/synctest bubble.
func runInBubble(t *testing.T, step Step, fault Fault) *Result {
	t.Helper()
	var r *Result
	synctest.Test(t, func(t *testing.T) {
		var err error
		if r, err = Run(t.Context(), step, fault); err != nil {
			t.Fatal(err)
		}
	})
	return r
}

// Guards against faults of the test harness: without an injected fault every
// promise holds, and all jobs that were not cancelled are done.
func TestNoFault(t *testing.T) {
	r := runInBubble(t, Running, NoFault)
	for _, request := range r.workload.requests {
		if request.Fate != "done" && request.Title != "cancelled" {
			t.Errorf("%s: %s: %.200s", request.Title, request.Fate, request.Result)
		}
	}
	for promise, list := range r.Breaches {
		t.Errorf("%s: %s", promise, strings.Join(list, "; "))
	}
}

// sampleInterval is the number of runs of which one is made with -race. Each step
// and each fault is among those that are made.
const sampleInterval = 6

// Guards against breaches of each promise under each fault at each step. With -race
// only a sixth of the runs are made, so that the test ends in time.
func TestMatrix(t *testing.T) {
	var mu sync.Mutex
	results := make(map[string]*Result)
	known := readKnownRed(t)
	t.Run("cell", func(t *testing.T) {
		for i, step := range Steps {
			for k, fault := range Faults {
				if NotApplicable(step, fault) != "" || sampled && (i+k)%sampleInterval != 0 {
					continue
				}
				name := runName(step, fault)
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					r := runInBubble(t, step, fault)
					checkBreaches(t, r, known[name])
					mu.Lock()
					defer mu.Unlock()
					results[name] = &Result{Reached: r.Reached, Breaches: r.Breaches}
				})
			}
		}
	})
	logCounts(t, results, known)
	checkProofPage(t, proofTable(known))
}

// checkBreaches fails the test for each broken promise that is not known, and if
// the step was not reached.
func checkBreaches(t *testing.T, r *Result, known []Promise) {
	if !r.Reached {
		t.Errorf("the step was not reached")
	}
	if os.Getenv("MATRIX_LOG") != "" {
		logRun(t, r)
	}
	for promise, list := range r.Breaches {
		text := strings.Join(list[:min(3, len(list))], "; ")
		if slices.Contains(known, promise) {
			t.Logf("known red: %s: %s", promise, text)
			continue
		}
		t.Errorf("%s: %s", promise, text)
	}
}

// logRun logs the task runs, job records and requests that were checked, for
// debugging.
func logRun(t *testing.T, r *Result) {
	for _, run := range r.runs {
		t.Logf("%s-%d %s from %s to %s %s", run.attempt, run.rank, run.worker, r.formatTime(run.start), r.formatTime(run.end), run.outcome)
	}
	for _, line := range r.openRecords {
		t.Log(line)
	}
	for _, request := range r.workload.requests {
		t.Logf("%s %s %s broken %d refused %v, %s to %s: %.150q", request.Title, request.JobID, request.Fate,
			request.BrokenCalls, request.NotRunJobs, r.formatTime(request.SentAt), r.formatTime(request.FinalAt), request.Result)
	}
}
