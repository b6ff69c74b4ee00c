package matrix

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"catkinpoint/entry"
	"catkinpoint/local"
)

const (
	// callTimeout bounds one HTTP request. After it the caller asks again, with
	// the key of its request or by the id of its job.
	callTimeout = 45 * time.Second
	// retryPause is the time between two HTTP requests of a caller.
	retryPause = 500 * time.Millisecond
	// finalAnswerTimeout is how long a caller retries to get a final answer.
	finalAnswerTimeout = 120 * time.Second
)

// Request is the request of one caller and the last answer that the caller got.
type Request struct {
	Title         string // the name in breaches, by which checks find some requests
	Query         string
	Body          []byte
	Tasks         int
	NonIdempotent bool
	// RetryNotRun makes the caller submit the job again when it is told not_run.
	RetryNotRun bool
	// FirstEntry is the number, as in entryAddress, of the entry asked first.
	FirstEntry int

	SentAt, FinalAt time.Time // FinalAt is zero without a final answer
	// LastSentAt is when the caller last submitted the job.
	LastSentAt time.Time
	// BrokenCalls counts the HTTP requests without a complete answer, except those
	// whose connection was refused.
	BrokenCalls int
	Fate        string // of the last answer
	JobID       string // from an answer; empty while the job must be submitted (again)
	Result      []byte // the body of the last answer
	// NotRunJobs are the ids of the jobs that this caller was told had not run.
	NotRunJobs []string
	// Contradiction describes a later answer that differs from a final one.
	Contradiction string
}

// callEntry makes one HTTP request over a new connection.
func (c *Cluster) callEntry(ctx context.Context, method string, addr netip.AddrPort, path string, body []byte) (*local.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	transport := &http.Transport{DialContext: c.callerHost.Dial, DisableKeepAlives: true}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("building request: %w", err)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, fmt.Errorf("calling %s: %w", addr, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("reading answer of %s: %w", addr, err)
	}
	return &local.Answer{
		Status: response.StatusCode,
		JobID:  response.Header.Get(entry.JobHeader),
		Fate:   response.Header.Get(entry.FateHeader),
		Body:   data,
	}, nil
}

// entryAddress returns the HTTP address of an entry. Number 0 is the entry that
// schedules mainDC, 1 the one in drainedDC, 2 the spare entry; higher numbers start
// again at the first.
func (c *Cluster) entryAddress(number int) netip.AddrPort {
	return c.System.Entries[c.entryOrder[number%entryCount]]
}

// spareEntry returns the name of the entry in mainDC that does not schedule it.
func (c *Cluster) spareEntry() string { return fmt.Sprintf("entry-%d", c.entryOrder[entryCount-1]) }

// runRequest acts as a caller until it has a final answer or finalAnswerTimeout
// has passed: after a broken connection it repeats the request, with the same key
// if it has one, and after an answer without a final fate it asks by the job's id.
// Each further call goes to the next entry.
func (c *Cluster) runRequest(ctx context.Context, request *Request) {
	request.SentAt = time.Now()
	deadline := request.SentAt.Add(finalAnswerTimeout)
	for try := request.FirstEntry; time.Now().Before(deadline); try++ {
		addr := c.entryAddress(try)
		var answer *local.Answer
		var err error
		if request.JobID == "" {
			request.LastSentAt = time.Now()
			answer, err = c.callEntry(ctx, http.MethodPost, addr, "/v1/jobs?"+request.Query, request.Body)
		} else {
			answer, err = c.callEntry(ctx, http.MethodGet, addr, "/v1/jobs/"+request.JobID+"?wait=15s", nil)
		}
		if err != nil && !errors.Is(err, syscall.ECONNREFUSED) {
			request.BrokenCalls++
		}
		if err == nil && request.applyAnswer(answer) {
			request.FinalAt = time.Now()
			return
		}
		time.Sleep(retryPause)
	}
}

// applyAnswer stores an answer and reports whether it is final.
func (r *Request) applyAnswer(a *local.Answer) bool {
	if a.JobID != "" {
		r.JobID = a.JobID
	}
	r.Fate, r.Result = a.Fate, a.Body
	switch a.Fate {
	case "done", "failed":
		return true
	case "not_run":
		if a.JobID == "" {
			if a.Status == http.StatusNotFound {
				r.JobID = "" // no job has this id, so the caller submits it again
			}
			return false
		}
		r.NotRunJobs = append(r.NotRunJobs, r.JobID)
		if r.RetryNotRun {
			r.JobID = ""
		}
		return !r.RetryNotRun
	}
	// An idempotent job of one task may have no record from which its outcome could
	// be read later, so the caller submits it again.
	if a.Fate == "unknown" && !r.NonIdempotent && r.Tasks == 1 {
		r.JobID = ""
	}
	return false
}

// cancelJob asks the entries in turn to cancel a job until one answers, at most
// ten times.
func (c *Cluster) cancelJob(ctx context.Context, job string, first int) {
	for try := first; try < first+10; try++ {
		addr := c.entryAddress(try)
		if _, err := c.callEntry(ctx, http.MethodDelete, addr, "/v1/jobs/"+job, nil); err == nil {
			return
		}
		time.Sleep(retryPause)
	}
}
