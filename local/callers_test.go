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

// startTest starts the example system and stops it with the test.
func startTest(t *testing.T, shape Shape) *System {
	t.Helper()
	if shape.Declarations == nil {
		shape.Declarations = Declarations
	}
	s, err := Start(t.Context(), shape)
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

// startsOf counts the starts of each job at all endpoints, from their records.
func startsOf(s *System) map[string]int {
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

// Guards against answers that reach another caller, are cut, or cost a second
// run, under concurrent load of all kinds with bodies of up to 4 MB.
func TestConcurrentCallers(t *testing.T) {
	s := startTest(t, Shape{Entries: 2, Workers: 3})
	kinds := []struct {
		query string
		tasks int
		once  bool
	}{
		{"customer=clubs&job_class=scan&p.run_ms=20", 1, false},
		{"customer=league&job_class=order&p.run_ms=20", 1, true},
		{"customer=league&job_class=reconstruction&p.run_ms=50", 4, true},
	}
	const requests = 240
	random := rand.New(rand.NewPCG(1, 2))
	stalls := watchStalls(t)
	group := new(errgroup.Group)
	group.SetLimit(64)
	jobs := make([]string, requests)
	broken := make([]bool, requests)
	for i := range requests {
		kind := kinds[i%len(kinds)]
		size := random.IntN(32 << 10)
		if i%40 == 0 {
			size = 4 << 20
		}
		body := make([]byte, size)
		for at := range body {
			body[at] = byte(random.Uint32())
		}
		group.Go(func() error {
			answer, err := Submit(t.Context(), s.Entries[i%len(s.Entries)], kind.query, body)
			if err != nil {
				return err
			}
			jobs[i] = answer.JobID
			if kind.once && stalls.explains(answer) {
				t.Logf("request %d: a stall of %s ended it: %s", i, stalls.longest(), answer.Body)
				broken[i] = true
				return nil
			}
			if answer.Fate != "done" {
				return fmt.Errorf("request %d (%s): fate %s: %s", i, kind.query, answer.Fate, answer.Body)
			}
			if want := bytes.Repeat(body, kind.tasks); !bytes.Equal(answer.Body, want) {
				return fmt.Errorf("request %d: got %d bytes, want %d, or other bytes", i, len(answer.Body), len(want))
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	starts := startsOf(s)
	for i, job := range jobs {
		kind := kinds[i%len(kinds)]
		if kind.once && (starts[job] > kind.tasks || starts[job] < kind.tasks && !broken[i]) {
			t.Errorf("job %s of %d tasks was started %d times", job, kind.tasks, starts[job])
		}
	}
	for i, endpoint := range s.Endpoints {
		if v := endpoint.Violations(); v != (fakeep.Violations{}) {
			t.Errorf("endpoint %d: %+v", i, v)
		}
	}
}
