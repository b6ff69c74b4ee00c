package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/zeebo/errs"
	"golang.org/x/time/rate"

	"catkinpoint/entry"
)

// Error is the class of all errors of this package.
var Error = errs.Class("load")

// Options configures a load.
type Options struct {
	Entry    netip.AddrPort
	Query    url.Values // parameters of each job
	Body     []byte
	Rate     float64 // jobs a second
	Duration time.Duration
	// Concurrency is the maximum number of requests in progress. Requests beyond
	// it wait, and their wait counts as latency.
	Concurrency int
}

// Range, in microseconds, and significant digits of the latency histogram.
const (
	lowestLatency  = 1
	highestLatency = int64(time.Hour / time.Microsecond)
	latencyDigits  = 3
)

// Result holds the outcomes and latencies of the submitted jobs.
type Result struct {
	Sent      int
	Fates     map[string]int
	Truncated int // answers with fate "done" that do not begin with the whole request body
	Latencies *hdrhistogram.Histogram
}

// Run sends the load and waits for all answers. If ctx ends, it stops sending and
// returns the result so far.
func Run(ctx context.Context, o Options) (*Result, error) {
	if o.Rate <= 0 || o.Duration <= 0 || o.Concurrency <= 0 {
		return nil, Error.New("rate, duration and concurrency must be above 0")
	}
	transport := &http.Transport{MaxIdleConnsPerHost: o.Concurrency, MaxConnsPerHost: o.Concurrency}
	defer transport.CloseIdleConnections()
	run := &loadRun{options: o, client: &http.Client{Transport: transport}}
	run.result = &Result{
		Fates:     make(map[string]int),
		Latencies: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
	}
	jobCount := int(o.Rate * o.Duration.Seconds())
	limiter := rate.NewLimiter(rate.Limit(o.Rate), 1)
	var group sync.WaitGroup
	for range jobCount {
		if err := limiter.Wait(ctx); err != nil {
			break // ctx ends before the next job is due; earlier jobs still count
		}
		due := time.Now()
		group.Go(func() { run.send(ctx, due) })
	}
	group.Wait()
	return run.result, nil
}

// loadRun is one call of Run; mu guards result.
type loadRun struct {
	options Options
	client  *http.Client
	mu      sync.Mutex
	result  *Result
}

// send submits one job and records its fate and its latency since due.
func (r *loadRun) send(ctx context.Context, due time.Time) {
	fate, complete := r.call(ctx)
	latency := time.Since(due).Microseconds()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Sent++
	r.result.Fates[fate]++
	if fate == "done" && !complete {
		r.result.Truncated++
	}
	_ = r.result.Latencies.RecordValue(min(max(latency, lowestLatency), highestLatency)) // fails only out of range
}

// call submits one job. It returns the job's fate, "no answer" if the call
// failed, and whether the answer begins with the whole request body.
func (r *loadRun) call(ctx context.Context) (fate string, complete bool) {
	target := url.URL{Scheme: "http", Host: r.options.Entry.String(), Path: "/v1/jobs", RawQuery: r.options.Query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target.String(), bytes.NewReader(r.options.Body))
	if err != nil {
		return "no answer", false
	}
	response, err := r.client.Do(request)
	if err != nil {
		return "no answer", false
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return "no answer", false
	}
	return response.Header.Get(entry.FateHeader), bytes.HasPrefix(data, r.options.Body)
}

// Write prints the result as a table with one line per number.
func (r *Result) Write(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "sent      %d\n", r.Sent); err != nil {
		return fmt.Errorf("writing result: %w", err)
	}
	fates := make([]string, 0, len(r.Fates))
	for fate := range r.Fates {
		fates = append(fates, fate)
	}
	slices.Sort(fates)
	for _, fate := range fates {
		fmt.Fprintf(w, "%-9s %d\n", fate, r.Fates[fate])
	}
	fmt.Fprintf(w, "cut       %d\n", r.Truncated)
	for _, q := range []float64{50, 95, 99, 100} {
		latency := time.Duration(r.Latencies.ValueAtQuantile(q)) * time.Microsecond
		fmt.Fprintf(w, "p%-8g %s\n", q, latency.Round(10*time.Microsecond))
	}
	return nil
}
