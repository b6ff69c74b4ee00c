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

// parameterPrefix marks query parameters that are passed to the endpoint.
const parameterPrefix = "p."

// ErrBadRequest means that a caller's request cannot be taken as it is.
var ErrBadRequest = Error.New("bad request")

// jobRequest is a caller's request after its check.
type jobRequest struct {
	job     *wire.Job
	body    []byte
	timeout time.Duration // zero means none
	// recorded says that the job needs a record in the store.
	recorded bool
	// sentTo is the data centre to which the job was sent last.
	sentTo string
	// earlier is what attempts in data centres that gave the job back left.
	earlier wire.Fate
}

// readJob checks a request against the configuration in force.
func (e *Entry) readJob(c echo.Context) (*jobRequest, error) {
	set := e.follower.Current().Set
	customer, className := c.QueryParam("customer"), c.QueryParam("job_class")
	if err := known[*wire.Customer](set, "customer", customer); err != nil {
		return nil, err
	}
	if err := known[*wire.JobClass](set, "job_class", className); err != nil {
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
	j := r.job
	r.recorded = !j.GetIdempotent() || j.GetTasks() > 1 || j.GetDetached() || j.GetKey() != ""
	return r, nil
}

func known[M proto.Message](set *decl.Set, kind, name string) error {
	if name == "" {
		return fmt.Errorf("parameter %s is missing: %w", kind, ErrBadRequest)
	}
	if _, ok := decl.Lookup[M](set, name); !ok {
		return fmt.Errorf("%s %q is not declared: %w", kind, name, ErrBadRequest)
	}
	return nil
}

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
	stop, _ := time.ParseDuration(class.GetStopTime())            // checked before it was published
	expected, _ := time.ParseDuration(class.GetExpectedRunTime()) // likewise
	j := &wire.Job{
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
		ExpectedRunMs:   expected.Milliseconds(),
		StopMs:          stop.Milliseconds(),
		SubmittedUnixMs: time.Now().UnixMilli(),
		Parameters:      make(map[string]string),
	}
	if err := readInto(c, "tasks", 1, maxTasks, &j.Tasks); err != nil {
		return nil, err
	}
	if err := readInto(c, "accelerators", 0, maxAccelerators, &j.Accelerators); err != nil {
		return nil, err
	}
	if text := c.QueryParam("detach"); text != "" {
		detach, err := strconv.ParseBool(text)
		if err != nil {
			return nil, fmt.Errorf("parameter detach=%q is neither true nor false: %w", text, ErrBadRequest)
		}
		j.Detached = detach
	}
	for name, values := range c.QueryParams() {
		if rest, ok := strings.CutPrefix(name, parameterPrefix); ok && len(values) > 0 {
			if reservedParameter(rest) {
				return nil, fmt.Errorf("parameter %s is set by the system: %w", name, ErrBadRequest)
			}
			j.Parameters[rest] = values[0]
			continue
		}
		if !knownParameter(name) {
			return nil, fmt.Errorf("parameter %s is not known: %w", name, ErrBadRequest)
		}
	}
	j.Id = jobID(customer, j.GetKey())
	return j, nil
}

const (
	maxTasks        = 256
	maxAccelerators = 64
)

func knownParameter(name string) bool {
	switch name {
	case "customer", "job_class", "key", "tasks", "accelerators", "detach", "timeout":
		return true
	}
	return false
}

// reservedParameter says whether the agent sets the endpoint's parameter.
func reservedParameter(name string) bool {
	switch name {
	case "accelerators", "lease_ms", "resume_ms":
		return true
	}
	return false
}

func readInto(c echo.Context, name string, lowest, highest int, target *int32) error {
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

// keySpace derives job ids from customers and keys, so that every entry finds
// the same record.
var keySpace = uuid.MustParse("5b0a61a0-9c2f-4f0e-8d1c-1f0c3c0f6a11")

func jobID(customer, key string) string {
	if key == "" {
		return uuid.Must(uuid.NewV7()).String()
	}
	return uuid.NewSHA1(keySpace, []byte(strconv.Itoa(len(customer))+":"+customer+key)).String()
}
