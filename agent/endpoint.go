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
	// endpointTimeout limits short calls to the endpoint; it is well below the task
	// lease.
	endpointTimeout = time.Second
	// maxResultBytes limits the result of a task; a task with a larger one fails.
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

// endpointClient calls the HTTP interface of the endpoint.
type endpointClient struct {
	tasksURL  string
	taskLease time.Duration
	transport *http.Transport
	client    *http.Client
	// startClient opens a new connection for each start of a task. If a start were
	// sent on an old connection that has gone silent, it would be unknown whether
	// the endpoint received it, and it could not be sent again.
	startClient *http.Client
}

func newEndpointClient(o Options) *endpointClient {
	dial := o.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: endpointTimeout}).DialContext
	}
	transport := &http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     max(1, o.Connections-o.Slots),
		MaxIdleConnsPerHost: o.Connections,
		IdleConnTimeout:     10 * time.Second,
		// Results are passed on exactly as the endpoint wrote them.
		DisableCompression: true,
	}
	startTransport := transport.Clone()
	startTransport.DisableKeepAlives = true
	startTransport.MaxConnsPerHost = min(o.Slots, o.Connections)
	return &endpointClient{
		tasksURL:    "http://" + o.Endpoint.String() + "/tasks",
		taskLease:   o.TaskLease,
		transport:   transport,
		client:      &http.Client{Transport: transport},
		startClient: &http.Client{Transport: startTransport},
	}
}

func (e *endpointClient) close() { e.transport.CloseIdleConnections() }

// url returns the URL of an operation on an attempt, or that of the attempt itself
// if operation is empty.
func (e *endpointClient) url(attempt, operation string, query url.Values) string {
	u := e.tasksURL
	if attempt != "" {
		u += "/" + url.PathEscape(attempt)
	}
	if operation != "" {
		u += "/" + operation
	}
	if len(query) > 0 {
		u += "?" + query.Encode()
	}
	return u
}

// permitCheckedBody is a request body that calls check immediately before the
// first byte of the request is written, so that a process that was paused before
// cannot start a task on an expired permit.
type permitCheckedBody struct {
	io.Reader
	check   func() error
	checked bool
	err     error
}

// Read reads the body, or returns the error of check.
func (b *permitCheckedBody) Read(p []byte) (int, error) {
	if !b.checked {
		b.checked, b.err = true, b.check()
	}
	if b.err != nil {
		return 0, b.err
	}
	return b.Reader.Read(p)
}

// Close does nothing; the body is in memory.
func (b *permitCheckedBody) Close() error { return nil }

// startAndWait starts the task, waits for its end and returns its result. It calls
// checkPermit immediately before it writes the request and does not start the task
// if that fails. Errors that wrap errNotStarted prove that it was not started.
func (e *endpointClient) startAndWait(ctx context.Context, attempt string, job *wire.Job, body []byte, resumeFrom, lease time.Duration, checkPermit func() error) ([]byte, error) {
	query := url.Values{}
	for key, value := range job.GetParameters() {
		query.Set(key, value)
	}
	query.Set("accelerators", strconv.Itoa(int(job.GetAccelerators())))
	query.Set("lease_ms", strconv.FormatInt(lease.Milliseconds(), 10))
	if resumeFrom > 0 {
		query.Set("resume_ms", strconv.FormatInt(resumeFrom.Milliseconds(), 10))
	}
	checkedBody := &permitCheckedBody{Reader: bytes.NewReader(body), check: checkPermit}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url(attempt, "", query), checkedBody)
	if err != nil {
		return nil, fmt.Errorf("building request: %w: %w", errNotStarted, err)
	}
	// With an explicit length the transport reads the body, and so checks the
	// permit, before it writes the header. It would not read a body of length 0 at
	// all, so an empty body is sent with an unknown length.
	request.ContentLength = int64(len(body))
	if len(body) == 0 {
		request.ContentLength = -1
	}
	request.Header.Set("Content-Type", "application/octet-stream")
	response, err := e.startClient.Do(request)
	switch {
	case err != nil && checkedBody.err != nil:
		return nil, fmt.Errorf("starting task: %w: %w", errNotStarted, checkedBody.err)
	case err != nil && !checkedBody.checked:
		return nil, fmt.Errorf("starting task: %w: %w", errNotStarted, err)
	case err != nil:
		return nil, fmt.Errorf("running task: %w", err)
	}
	return readResult(response)
}

// readResult returns the body of a successful response, or the error that the
// status stands for.
func readResult(response *http.Response) ([]byte, error) {
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResultBytes+1))
	if err != nil {
		return nil, fmt.Errorf("reading result: %w", err)
	}
	if len(data) > maxResultBytes {
		return nil, fmt.Errorf("result above %d bytes: %w", maxResultBytes, errTaskFailed)
	}
	excerpt := string(data[:min(len(data), 200)])
	switch response.StatusCode {
	case http.StatusOK:
		return data, nil
	case http.StatusBadRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return nil, fmt.Errorf("%s: %w", excerpt, errNotStarted)
	case http.StatusNotFound:
		return nil, errNoTask
	case http.StatusConflict, http.StatusGone:
		return nil, fmt.Errorf("%s: %w", excerpt, errTaskStopped)
	}
	return nil, fmt.Errorf("status %d: %s: %w", response.StatusCode, excerpt, errTaskFailed)
}

// call makes a short call and decodes the JSON body of the response, if there is
// one, into out, unless out is nil.
func (e *endpointClient) call(ctx context.Context, method, target string, out any) error {
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
func (e *endpointClient) renew(ctx context.Context, attempt string, lease time.Duration) error {
	query := url.Values{"lease_ms": {strconv.FormatInt(lease.Milliseconds(), 10)}}
	return e.call(ctx, http.MethodPost, e.url(attempt, "renew", query), nil)
}

// stop stops the task; a nil error means that it does not run any more. known
// reports whether the endpoint knew the task.
func (e *endpointClient) stop(ctx context.Context, attempt string) (known bool, err error) {
	err = e.call(ctx, http.MethodPost, e.url(attempt, "stop", nil), nil)
	switch {
	case errors.Is(err, errNoTask):
		return false, nil
	case errors.Is(err, errTaskStopped):
		return true, nil
	}
	return err == nil, err
}

// checkpoint makes the endpoint save the task's work and returns the saved work as
// run time.
func (e *endpointClient) checkpoint(ctx context.Context, attempt string) (time.Duration, error) {
	var saved struct {
		WorkedMS int64 `json:"worked_ms"`
	}
	err := e.call(ctx, http.MethodPost, e.url(attempt, "checkpoint", nil), &saved)
	return time.Duration(saved.WorkedMS) * time.Millisecond, err
}

// result waits for the end of a started task and fetches its result; errNoTask
// means that the task never ran or was forgotten.
func (e *endpointClient) result(ctx context.Context, attempt string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, e.taskLease)
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
		// The endpoint refused this request, which does not mean that it did not
		// start the task.
		return nil, Error.New("fetching result: %v", err)
	}
	return result, err
}

// endpointTask is one element of the endpoint's list of tasks.
type endpointTask struct {
	Attempt string `json:"attempt"`
	State   string `json:"state"`
}

// stopAll stops every task that the endpoint runs.
func (e *endpointClient) stopAll(ctx context.Context) error {
	var list []endpointTask
	if err := e.call(ctx, http.MethodGet, e.tasksURL, &list); err != nil {
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
