package local

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"

	"catkinpoint/stand/fakeep"
)

// startSystem starts a system, by default with the example's declarations, and stops
// it when the test ends.
func startSystem(t *testing.T, opts Options) *System {
	t.Helper()
	if opts.Declarations == nil {
		opts.Declarations = Declarations
	}
	s, err := Start(t.Context(), opts)
	if err != nil {
		t.Fatalf("start: %v", err)
	}
	t.Cleanup(func() {
		if err := s.Stop(); err != nil {
			t.Errorf("stop: %v", err)
		}
	})
	return s
}

// countStarts returns how many tasks of each job the endpoints have started, by their
// records.
func countStarts(s *System) map[string]int {
	starts := make(map[string]int)
	for _, endpoint := range s.Endpoints {
		for _, event := range endpoint.Record() {
			if event.Kind == fakeep.KindStart {
				job, _, _ := strings.Cut(event.Attempt, ".")
				starts[job]++
			}
		}
	}
	return starts
}

// TestConcurrentCallers guards against answers that reach the wrong caller or are
// truncated, and against second runs of jobs that must not run twice, under
// concurrent load of all kinds of jobs with bodies of up to 4 MB.
func TestConcurrentCallers(t *testing.T) {
	s := startSystem(t, Options{Entries: 2, Workers: 3})
	jobKinds := []struct {
		query      string
		tasks      int
		atMostOnce bool
	}{
		{"customer=clubs&job_class=scan&p.run_ms=20", 1, false},
		{"customer=league&job_class=order&p.run_ms=20", 1, true},
		{"customer=league&job_class=reconstruction&p.run_ms=50", 4, true},
	}
	const requests = 240
	random := rand.New(rand.NewPCG(1, 2))
	monitor := monitorStalls(t)
	group := new(errgroup.Group)
	group.SetLimit(64)
	jobs := make([]string, requests)
	endedByStall := make([]bool, requests)
	for i := range requests {
		kind := jobKinds[i%len(jobKinds)]
		size := random.IntN(32 << 10)
		if i%40 == 0 {
			size = 4 << 20
		}
		body := make([]byte, size)
		for j := range body {
			body[j] = byte(random.Uint32())
		}
		group.Go(func() error {
			answer, err := Submit(t.Context(), s.Entries[i%len(s.Entries)], kind.query, body)
			if err != nil {
				return err
			}
			jobs[i] = answer.JobID
			if kind.atMostOnce && monitor.explains(answer) {
				t.Logf("request %d: the process was not scheduled for %s, which ended the job: %s", i, monitor.longest(), answer.Body)
				endedByStall[i] = true
				return nil
			}
			if answer.Fate != "done" {
				return fmt.Errorf("request %d (%s): fate %s: %s", i, kind.query, answer.Fate, answer.Body)
			}
			if want := bytes.Repeat(body, kind.tasks); !bytes.Equal(answer.Body, want) {
				return fmt.Errorf("request %d: got %d bytes, which differ from the %d bytes that were expected", i, len(answer.Body), len(want))
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	starts := countStarts(s)
	for i, job := range jobs {
		kind := jobKinds[i%len(jobKinds)]
		if kind.atMostOnce && (starts[job] > kind.tasks || starts[job] < kind.tasks && !endedByStall[i]) {
			t.Errorf("job %s with %d tasks: %d task starts", job, kind.tasks, starts[job])
		}
	}
	for i, endpoint := range s.Endpoints {
		if v := endpoint.Violations(); v != (fakeep.Violations{}) {
			t.Errorf("endpoint %d: %+v", i, v)
		}
	}
}
