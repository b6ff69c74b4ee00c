package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"catkinpoint/wire"
)

const (
	// endpointTimeout bounds short calls to the endpoint, well within a task lease.
	endpointTimeout = time.Second
	// maxResultBytes bounds the result of a task.
	maxResultBytes = 64 << 20
)

var (
	// errNotStarted proves that the endpoint did not take the task.
	errNotStarted = Error.New("the endpoint did not take the task")
	// errTaskFailed means that the task ran and failed.
	errTaskFailed = Error.New("the task failed")
	// errTaskStopped means that the endpoint stopped the task before its end.
	errTaskStopped = Error.New("the endpoint stopped the task")
	// errNoTask means that the endpoint does not know the task.
	errNoTask = Error.New("the endpoint does not know the task")
)

// endpoint calls the HTTP interface of the endpoint.
type endpoint struct {
	base      string
	lease     time.Duration
	transport *http.Transport
	client    *http.Client
	// starter opens a connection of its own for each task: a start that is lost
	// on an old connection that has gone silent can neither be proved nor
	// repeated.
	starter *http.Client
}

func newEndpoint(o Options) *endpoint {
	dial := o.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: endpointTimeout}).DialContext
	}
	transport := &http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     max(1, o.Connections-o.Slots),
		MaxIdleConnsPerHost: o.Connections,
		IdleConnTimeout:     10 * time.Second,
		// A response body is passed on as the endpoint wrote it.
		DisableCompression: true,
	}
	starter := transport.Clone()
	starter.DisableKeepAlives = true
	starter.MaxConnsPerHost = min(o.Slots, o.Connections)
	return &endpoint{
		base:      "http://" + o.Endpoint.String() + "/tasks",
		lease:     o.TaskLease,
		transport: transport,
		client:    &http.Client{Transport: transport},
		starter:   &http.Client{Transport: starter},
	}
}

func (e *endpoint) close() { e.transport.CloseIdleConnections() }

func (e *endpoint) url(attempt, verb string, query url.Values) string {
	u := e.base
	if attempt != "" {
		u += "/" + url.PathEscape(attempt)
	}
	if verb != "" {
		u += "/" + verb
	}
	if len(query) > 0 {
		u += "?" + query.Encode()
	}
	return u
}

// guardedBody asks guard immediately before the first byte of the request is
// written, so that a process that was frozen before cannot start a task late.
type guardedBody struct {
	io.Reader
	guard func() error
	asked bool
	err   error
}

// Read reads the body, or fails with the guard's error.
func (b *guardedBody) Read(p []byte) (int, error) {
	if !b.asked {
		b.asked, b.err = true, b.guard()
	}
	if b.err != nil {
		return 0, b.err
	}
	return b.Reader.Read(p)
}

// Close does nothing; the body is in memory.
func (b *guardedBody) Close() error { return nil }

// run starts the task and returns its result; guard is the last check.
func (e *endpoint) run(ctx context.Context, attempt string, job *wire.Job, body []byte, resume, lease time.Duration, guard func() error) ([]byte, error) {
	query := url.Values{}
	for key, value := range job.GetParameters() {
		query.Set(key, value)
	}
	query.Set("accelerators", strconv.Itoa(int(job.GetAccelerators())))
	query.Set("lease_ms", strconv.FormatInt(lease.Milliseconds(), 10))
	if resume > 0 {
		query.Set("resume_ms", strconv.FormatInt(resume.Milliseconds(), 10))
	}
	guarded := &guardedBody{Reader: bytes.NewReader(body), guard: guard}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url(attempt, "", query), guarded)
	if err != nil {
		return nil, fmt.Errorf("building request: %w: %w", errNotStarted, err)
	}
	// An explicit length keeps the transport from writing the header before it
	// reads the body, and so before the guard; a body of length 0 would not be
	// read at all.
	request.ContentLength = int64(len(body))
	if len(body) == 0 {
		request.ContentLength = -1
	}
	request.Header.Set("Content-Type", "application/octet-stream")
	response, err := e.starter.Do(request)
	switch {
	case err != nil && guarded.err != nil:
		return nil, fmt.Errorf("starting task: %w: %w", errNotStarted, guarded.err)
	case err != nil && !guarded.asked:
		return nil, fmt.Errorf("starting task: %w: %w", errNotStarted, err)
	case err != nil:
		return nil, fmt.Errorf("running task: %w", err)
	}
	return readResult(response)
}

// readResult sorts the endpoint's answer.
func readResult(response *http.Response) ([]byte, error) {
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResultBytes+1))
	if err != nil {
		return nil, fmt.Errorf("reading result: %w", err)
	}
	if len(data) > maxResultBytes {
		return nil, fmt.Errorf("result above %d bytes: %w", maxResultBytes, errTaskFailed)
	}
	text := string(data[:min(len(data), 200)])
	switch response.StatusCode {
	case http.StatusOK:
		return data, nil
	case http.StatusBadRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return nil, fmt.Errorf("%s: %w", text, errNotStarted)
	case http.StatusNotFound:
		return nil, errNoTask
	case http.StatusConflict, http.StatusGone:
		return nil, fmt.Errorf("%s: %w", text, errTaskStopped)
	}
	return nil, fmt.Errorf("status %d: %s: %w", response.StatusCode, text, errTaskFailed)
}

// call makes a short call and decodes a JSON answer into out, if there is one.
func (e *endpoint) call(ctx context.Context, method, target string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, endpointTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, target, http.NoBody)
	if err != nil {
		return fmt.Errorf("building request: %w", err)
	}
	response, err := e.client.Do(request)
	if err != nil {
		return fmt.Errorf("calling endpoint: %w", err)
	}
	data, err := readResult(response)
	if err != nil {
		return err
	}
	if out == nil || len(data) == 0 {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("decoding the endpoint's answer: %w", err)
	}
	return nil
}

// renew renews the task lease.
func (e *endpoint) renew(ctx context.Context, attempt string, lease time.Duration) error {
	query := url.Values{"lease_ms": {strconv.FormatInt(lease.Milliseconds(), 10)}}
	return e.call(ctx, http.MethodPost, e.url(attempt, "renew", query), nil)
}

// stop ends the task; nil means that it does not run any more.
// Known says whether the endpoint knew the task.
func (e *endpoint) stop(ctx context.Context, attempt string) (known bool, err error) {
	err = e.call(ctx, http.MethodPost, e.url(attempt, "stop", nil), nil)
	switch {
	case errors.Is(err, errNoTask):
		return false, nil
	case errors.Is(err, errTaskStopped):
		return true, nil
	}
	return err == nil, err
}

// checkpoint saves the task's work and returns how much is saved.
func (e *endpoint) checkpoint(ctx context.Context, attempt string) (time.Duration, error) {
	var saved struct {
		WorkedMS int64 `json:"worked_ms"`
	}
	err := e.call(ctx, http.MethodPost, e.url(attempt, "checkpoint", nil), &saved)
	return time.Duration(saved.WorkedMS) * time.Millisecond, err
}

// result waits for the end of a started task and fetches its result; errNoTask
// means that the task never ran or was forgotten.
func (e *endpoint) result(ctx context.Context, attempt string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, e.lease)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, e.url(attempt, "", nil), http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("building request: %w", err)
	}
	response, err := e.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("fetching result: %w", err)
	}
	result, err := readResult(response)
	if errors.Is(err, errNotStarted) {
		// Here a refusal speaks of this request, not of the task.
		return nil, Error.New("fetching result: %v", err)
	}
	return result, err
}

// endpointTask is one row of the endpoint's list.
type endpointTask struct {
	Attempt string `json:"attempt"`
	State   string `json:"state"`
}

// stopAll stops every task that the endpoint runs.
func (e *endpoint) stopAll(ctx context.Context) error {
	var list []endpointTask
	if err := e.call(ctx, http.MethodGet, e.base, &list); err != nil {
		return fmt.Errorf("listing tasks: %w", err)
	}
	for _, t := range list {
		if t.State != "running" {
			continue
		}
		if _, err := e.stop(ctx, t.Attempt); err != nil {
			return fmt.Errorf("stopping task %s: %w", t.Attempt, err)
		}
	}
	return nil
}
