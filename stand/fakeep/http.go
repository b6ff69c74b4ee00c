package fakeep

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Headers of an answer with a result.
const (
	// AttemptHeader holds the attempt id of the task; error answers of an ended
	// task have it too.
	AttemptHeader = "X-Attempt"
	// HashHeader holds the result's 64-bit xxHash in 16 hexadecimal digits.
	HashHeader = "X-Result-Hash"
)

// maxBodyBytes bounds the input of one task.
const maxBodyBytes = 64 << 20

// errorCodes maps errors to the HTTP status and the error code of an answer.
var errorCodes = []struct {
	err    error
	status int
	code   string
}{
	{ErrNoSlot, http.StatusServiceUnavailable, "no_slot"},
	{ErrNoAccelerators, http.StatusServiceUnavailable, "no_accelerators"},
	{errTooManyConnections, http.StatusServiceUnavailable, "too_many_connections"},
	{ErrStopping, http.StatusServiceUnavailable, "stopping"},
	{ErrNoTask, http.StatusNotFound, "no_task"},
	{ErrFailed, http.StatusInternalServerError, "task_failed"},
	{ErrStopped, http.StatusConflict, "task_stopped"},
	{ErrInvalid, http.StatusBadRequest, "invalid"},
}

var errTooManyConnections = Error.New("too many connections")

// ServeHTTP serves the endpoint's protocol.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok && c.refused {
		w.Header().Set("Connection", "close")
		writeError(w, errTooManyConnections)
		return
	}
	if err := e.holdRequest(r); err != nil {
		return
	}
	e.routes().ServeHTTP(w, r)
}

// holdRequest waits for the delay and the end of a freeze before a request is
// handled. It fails if the client gives up meanwhile.
func (e *Endpoint) holdRequest(r *http.Request) error {
	delay, thawed := e.requestHold()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		return r.Context().Err()
	}
	select {
	case <-thawed:
		return nil
	case <-r.Context().Done():
		return r.Context().Err()
	}
}

func (e *Endpoint) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /tasks/{attempt}", e.postTask)
	mux.HandleFunc("GET /tasks/{attempt}", e.getTask)
	mux.HandleFunc("POST /tasks/{attempt}/renew", controlHandler(e.renew))
	mux.HandleFunc("POST /tasks/{attempt}/checkpoint", controlHandler(e.checkpoint))
	mux.HandleFunc("POST /tasks/{attempt}/throttle", controlHandler(e.throttle))
	mux.HandleFunc("POST /tasks/{attempt}/stop", controlHandler(e.stop))
	mux.HandleFunc("GET /tasks", jsonHandler(e.Tasks))
	mux.HandleFunc("GET /usage", jsonHandler(e.Usage))
	mux.HandleFunc("GET /record", jsonHandler(e.Record))
	mux.HandleFunc("GET /violations", jsonHandler(e.Violations))
	return mux
}

// postTask starts a task and answers with its result when it has ended.
func (e *Endpoint) postTask(w http.ResponseWriter, r *http.Request) {
	spec, err := readSpec(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	t, err := e.Start(spec)
	if err != nil {
		writeError(w, err)
		return
	}
	writeResult(w, r, t)
}

// getTask answers with the result of a task that was started before, when it has
// ended.
func (e *Endpoint) getTask(w http.ResponseWriter, r *http.Request) {
	t, err := e.Find(r.PathValue("attempt"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeResult(w, r, t)
}

// writeResult waits for the end of a task and writes its result or its error.
func writeResult(w http.ResponseWriter, r *http.Request, t *Task) {
	w.Header().Set(AttemptHeader, t.spec.Attempt)
	result, err := t.Wait(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set(HashHeader, Hash(result))
	_, _ = w.Write(result)
}

// Hash returns the hash of a result as HashHeader holds it.
func Hash(result []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(result))
}

// readSpec reads a Spec from the path, the query and the body of a request.
func readSpec(w http.ResponseWriter, r *http.Request) (Spec, error) {
	query := r.URL.Query()
	run, err := readMS(query, "run_ms")
	if err != nil {
		return Spec{}, err
	}
	lease, err := readMS(query, "lease_ms")
	if err != nil {
		return Spec{}, err
	}
	accelerators, err := readInt(query, "accelerators")
	if err != nil {
		return Spec{}, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return Spec{}, fmt.Errorf("%w: read body: %w", ErrInvalid, err)
	}
	return Spec{
		Attempt:      r.PathValue("attempt"),
		RunTime:      run,
		Accelerators: int(accelerators),
		Lease:        lease,
		Body:         body,
	}, nil
}

// readInt reads an integer from a query parameter; without it, it returns 0.
func readInt(query url.Values, name string) (int64, error) {
	text := query.Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 32)
	if err != nil {
		return 0, fmt.Errorf("%w: %s: %w", ErrInvalid, name, err)
	}
	return n, nil
}

// readMS reads a duration from a query parameter in milliseconds; without it, it
// returns 0.
func readMS(query url.Values, name string) (time.Duration, error) {
	n, err := readInt(query, name)
	return time.Duration(n) * time.Millisecond, err
}

// controlReply is the answer to a request that controls a task.
type controlReply struct {
	// WorkedMS is the work done by the task, as run time at full speed.
	WorkedMS int64 `json:"worked_ms,omitempty"`
}

// controlHandler returns a handler that calls f with the attempt and the query of
// the request, and answers with the work done that f returns.
func controlHandler(f func(attempt string, query url.Values) (time.Duration, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		worked, err := f(r.PathValue("attempt"), r.URL.Query())
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, controlReply{worked.Milliseconds()})
	}
}

func (e *Endpoint) renew(attempt string, query url.Values) (time.Duration, error) {
	lease, err := readMS(query, "lease_ms")
	if err != nil {
		return 0, err
	}
	return 0, e.Renew(attempt, lease)
}

func (e *Endpoint) checkpoint(attempt string, _ url.Values) (time.Duration, error) {
	return e.Checkpoint(attempt)
}

func (e *Endpoint) throttle(attempt string, query url.Values) (time.Duration, error) {
	speed, err := strconv.ParseFloat(query.Get("speed"), 64)
	if err != nil {
		return 0, fmt.Errorf("%w: speed: %w", ErrInvalid, err)
	}
	return 0, e.Throttle(attempt, speed)
}

func (e *Endpoint) stop(attempt string, _ url.Values) (time.Duration, error) {
	return e.Stop(attempt)
}

// jsonHandler returns a handler that answers with the result of f as JSON.
func jsonHandler[T any](f func() T) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, f())
	}
}

// errorReply is the body of an error answer.
type errorReply struct {
	Error   string `json:"error"`
	Message string `json:"message"`
}

func writeError(w http.ResponseWriter, err error) {
	writeJSON(w, statusOf(err), errorReply{codeOf(err), err.Error()})
}

func statusOf(err error) int {
	for _, f := range errorCodes {
		if errors.Is(err, f.err) {
			return f.status
		}
	}
	return http.StatusInternalServerError
}

func codeOf(err error) string {
	for _, f := range errorCodes {
		if errors.Is(err, f.err) {
			return f.code
		}
	}
	return "internal"
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}
