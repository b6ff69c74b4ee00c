package local

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"catkinpoint/entry"
)

// readyTimeout limits a call of Submit, including the repetitions while the system
// is starting.
const readyTimeout = 20 * time.Second

// exampleJobs are the jobs that the example submits, one after the other.
var exampleJobs = []struct {
	title string
	query string
	body  string
}{
	{"gang of 4 tasks with 4 accelerators each", "customer=league&job_class=reconstruction&p.run_ms=500", "pew 17;"},
	{"short idempotent request", "customer=clubs&job_class=scan&p.run_ms=50", "band 3"},
	{"short non-idempotent request", "customer=clubs&job_class=order&p.run_ms=50", "insert 12"},
}

// Demo starts the example system, submits the example jobs and writes the outcome
// of each to out. It fails if a job is not done.
func Demo(ctx context.Context, out io.Writer) error {
	s, err := Start(ctx, Options{Entries: 2, Workers: 3, Declarations: Declarations})
	if err != nil {
		return fmt.Errorf("starting the example: %w", err)
	}
	defer s.Stop()
	fmt.Fprintf(out, "system: 2 entries, 9 workers in 3 data centres; callers use http://%s\n", s.Entries[0])
	for _, r := range exampleJobs {
		if err := submitExample(ctx, out, s.Entries[0], r.title, r.query, r.body); err != nil {
			return err
		}
	}
	return nil
}

// submitExample submits a job and writes its outcome to out. It fails if the job is
// not done.
func submitExample(ctx context.Context, out io.Writer, addr netip.AddrPort, title, query, body string) error {
	start := time.Now()
	answer, err := Submit(ctx, addr, query, []byte(body))
	if err != nil {
		return fmt.Errorf("submitting %s: %w", title, err)
	}
	fmt.Fprintf(out, "%s\n  job %s: %s after %s\n  result %q\n",
		title, answer.JobID, answer.Fate, time.Since(start).Round(time.Millisecond), answer.Body)
	if answer.Fate != "done" {
		return Error.New("%s ended with fate %q, expected \"done\"", title, answer.Fate)
	}
	return nil
}

// Answer is the response of an entry to a caller.
type Answer struct {
	Status int
	JobID  string
	Fate   string
	Body   []byte
}

// Submit submits a job, whose parameters are in query, to an entry and returns the
// answer. Because the system may still be starting, it repeats a job that was not
// run, unless the answer is 422, which is final. After readyTimeout it returns the
// last answer.
func Submit(ctx context.Context, addr netip.AddrPort, query string, body []byte) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		answer, err := Call(ctx, http.MethodPost, addr, "/v1/jobs?"+query, body)
		starting := err == nil && answer.Fate == "not_run" && answer.Status != http.StatusUnprocessableEntity
		if !starting {
			return answer, err
		}
		select {
		case <-ctx.Done():
			return answer, nil
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// Call sends an HTTP request to an entry and returns the answer.
func Call(ctx context.Context, method string, addr netip.AddrPort, path string, body []byte) (*Answer, error) {
	target := url.URL{Scheme: "http", Host: addr.String()}
	request, err := http.NewRequestWithContext(ctx, method, target.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("building request: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("calling entry: %w", err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("reading answer: %w", err)
	}
	return &Answer{
		Status: response.StatusCode,
		JobID:  response.Header.Get(entry.JobHeader),
		Fate:   response.Header.Get(entry.FateHeader),
		Body:   data,
	}, nil
}
