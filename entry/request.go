package entry

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"google.golang.org/protobuf/proto"

	"catkinpoint/decl"
	"catkinpoint/wire"
)

// endpointParameterPrefix marks query parameters that are passed on to the endpoint.
const endpointParameterPrefix = "p."

// ErrBadRequest means that a caller's request is invalid.
var ErrBadRequest = Error.New("bad request")

// jobRequest is a validated request of a caller, with the state of its dispatch.
type jobRequest struct {
	job     *wire.Job
	body    []byte
	timeout time.Duration // zero means none
	// needsRecord is set if the job needs a record in the store: all jobs but single
	// idempotent tasks that are neither detached nor have a key.
	needsRecord bool
	// lastDataCentre is the data centre to which the job was sent last.
	lastDataCentre string
	// earlierFate is FAILED or UNKNOWN if an attempt in a data centre that gave the
	// job back ran or may have run.
	earlierFate wire.Fate
}

// parseJobRequest validates a request against the configuration in force.
func (e *Entry) parseJobRequest(c echo.Context) (*jobRequest, error) {
	set := e.follower.Current().Set
	customer, className := c.QueryParam("customer"), c.QueryParam("job_class")
	if err := checkDeclared[*wire.Customer](set, "customer", customer); err != nil {
		return nil, err
	}
	if err := checkDeclared[*wire.JobClass](set, "job_class", className); err != nil {
		return nil, err
	}
	class, _ := decl.Lookup[*wire.JobClass](set, className)
	body, err := readBody(c, e.opts.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	r := &jobRequest{body: body}
	r.job, err = newJob(c, customer, className, class)
	if err != nil {
		return nil, err
	}
	r.job.BodyDigest = xxhash.Sum64(body)
	if r.timeout, err = readTimeout(c, class); err != nil {
		return nil, err
	}
	job := r.job
	r.needsRecord = !job.GetIdempotent() || job.GetTasks() > 1 || job.GetDetached() || job.GetKey() != ""
	return r, nil
}

// checkDeclared returns an error if the name is empty or the configuration has no
// object of that kind and name.
func checkDeclared[M proto.Message](set *decl.Set, kind, name string) error {
	if name == "" {
		return fmt.Errorf("parameter %s is missing: %w", kind, ErrBadRequest)
	}
	if _, ok := decl.Lookup[M](set, name); !ok {
		return fmt.Errorf("%s %q is not declared: %w", kind, name, ErrBadRequest)
	}
	return nil
}

// readBody reads the body of a request. A body of more than limit bytes is an error.
func readBody(c echo.Context, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fmt.Errorf("the body is larger than %d bytes: %w", limit, ErrBadRequest)
	}
	if err != nil {
		return nil, fmt.Errorf("reading the body: %w: %w", ErrBadRequest, err)
	}
	return body, nil
}

// newJob builds the job from its class and the request's parameters.
func newJob(c echo.Context, customer, className string, class *wire.JobClass) (*wire.Job, error) {
	stopTime, _ := time.ParseDuration(class.GetStopTime())               // validated before it was published
	expectedRunTime, _ := time.ParseDuration(class.GetExpectedRunTime()) // likewise
	job := &wire.Job{
		Customer:        customer,
		JobClass:        className,
		Service:         class.GetService(),
		Key:             c.QueryParam("key"),
		Tasks:           int32(class.GetTasks()),
		Accelerators:    int32(class.GetAccelerators()),
		Adjacency:       class.GetAdjacency(),
		Idempotent:      class.GetIdempotent(),
		Checkpointable:  class.GetCheckpointable(),
		Urgent:          class.GetUrgent(),
		ExpectedRunMs:   expectedRunTime.Milliseconds(),
		StopMs:          stopTime.Milliseconds(),
		SubmittedUnixMs: time.Now().UnixMilli(),
		Parameters:      make(map[string]string),
	}
	if err := readIntParam(c, "tasks", 1, maxTasks, &job.Tasks); err != nil {
		return nil, err
	}
	if err := readIntParam(c, "accelerators", 0, maxAccelerators, &job.Accelerators); err != nil {
		return nil, err
	}
	if text := c.QueryParam("detach"); text != "" {
		detach, err := strconv.ParseBool(text)
		if err != nil {
			return nil, fmt.Errorf("parameter detach=%q is neither true nor false: %w", text, ErrBadRequest)
		}
		job.Detached = detach
	}
	for name, values := range c.QueryParams() {
		if rest, ok := strings.CutPrefix(name, endpointParameterPrefix); ok && len(values) > 0 {
			if isReservedParameter(rest) {
				return nil, fmt.Errorf("parameter %s is set by the system: %w", name, ErrBadRequest)
			}
			job.Parameters[rest] = values[0]
			continue
		}
		if !isKnownParameter(name) {
			return nil, fmt.Errorf("parameter %s is not known: %w", name, ErrBadRequest)
		}
	}
	job.Id = jobID(customer, job.GetKey())
	return job, nil
}

// Limits of one job; accelerators are counted per task.
const (
	maxTasks        = 256
	maxAccelerators = 64
)

// isKnownParameter reports whether a query parameter without the prefix of endpoint
// parameters is defined.
func isKnownParameter(name string) bool {
	switch name {
	case "customer", "job_class", "key", "tasks", "accelerators", "detach", "timeout":
		return true
	}
	return false
}

// isReservedParameter reports whether the agent sets the endpoint's parameter.
func isReservedParameter(name string) bool {
	switch name {
	case "accelerators", "lease_ms", "resume_ms":
		return true
	}
	return false
}

// readIntParam sets the target if the query parameter is present, or returns an
// error if it is not a number from lowest to highest.
func readIntParam(c echo.Context, name string, lowest, highest int, target *int32) error {
	text := c.QueryParam(name)
	if text == "" {
		return nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < lowest || n > highest {
		return fmt.Errorf("parameter %s=%q is not a number from %d to %d: %w", name, text, lowest, highest, ErrBadRequest)
	}
	*target = int32(n)
	return nil
}

// readTimeout returns the timeout of a request, or else the deadline of its class, or
// else zero.
func readTimeout(c echo.Context, class *wire.JobClass) (time.Duration, error) {
	text := c.QueryParam("timeout")
	if text == "" {
		text = class.GetDeadline()
	}
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return 0, fmt.Errorf("parameter timeout=%q is not a duration such as 30s: %w", text, ErrBadRequest)
	}
	return d, nil
}

// jobIDNamespace is the UUID namespace of job ids that are derived from a customer
// and a key, so that every entry finds the same record.
var jobIDNamespace = uuid.MustParse("5b0a61a0-9c2f-4f0e-8d1c-1f0c3c0f6a11")

// jobID returns a random id for a job without a key. The length before the customer
// keeps customer a with key bc apart from customer ab with key c.
func jobID(customer, key string) string {
	if key == "" {
		return uuid.Must(uuid.NewV7()).String()
	}
	return uuid.NewSHA1(jobIDNamespace, []byte(strconv.Itoa(len(customer))+":"+customer+key)).String()
}
