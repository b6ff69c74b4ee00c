package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"k8s.io/klog/v2"

	"catkinpoint/wire"
)

// Headers of an answer to a caller.
const (
	// JobHeader carries the job's id, by which its fate can be asked for.
	JobHeader = "Catkinpoint-Job"
	// FateHeader carries done, failed, not_run or unknown.
	FateHeader = "Catkinpoint-Fate"
)

// defaultTimeout bounds a request whose caller and class name no deadline.
const defaultTimeout = 10 * time.Minute

// postJob takes a job and answers with its outcome.
func (e *Entry) postJob(c echo.Context) error {
	r, err := e.readJob(c)
	if err != nil {
		return writeProblem(c, http.StatusBadRequest, err.Error())
	}
	began := time.Now()
	outcome := e.run(c, r)
	e.metrics.answered(outcome.GetFate(), time.Since(began))
	return writeOutcome(c, r.job.GetId(), outcome)
}

// run carries one request from its admission to its outcome.
func (e *Entry) run(c echo.Context, r *jobRequest) *wire.Outcome {
	if e.leaving.Load() {
		return refuse(r, "this process is leaving")
	}
	if err := e.admission.enter(r.job.GetCustomer()); err != nil {
		return refuse(r, err.Error())
	}
	// A caller that goes away does not stop a job that has a record.
	ctx := c.Request().Context()
	if r.recorded {
		ctx = context.WithoutCancel(ctx)
	}
	timeout := r.timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	if r.job.GetDetached() {
		return e.runDetached(ctx, r)
	}
	defer e.admission.leave(r.job.GetCustomer())
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if !r.recorded {
		return e.runUnrecorded(ctx, r)
	}
	return e.runRecorded(ctx, r)
}

// runUnrecorded runs an idempotent single task; when the caller leaves, the
// scheduler is told.
func (e *Entry) runUnrecorded(ctx context.Context, r *jobRequest) *wire.Outcome {
	outcome := e.dispatch(ctx, r, nil)
	if ctx.Err() != nil {
		// The answer does not wait for the scheduler.
		e.traffic.Go(func() { e.cancelAt(r.sentTo, r.job.GetId(), "the caller left or its deadline passed") })
	}
	return outcome
}

func (e *Entry) runRecorded(ctx context.Context, r *jobRequest) *wire.Outcome {
	found, err := e.accept(ctx, r)
	if err != nil {
		return e.acceptOutcome(r, err)
	}
	return e.carry(ctx, r, found)
}

// acceptOutcome is the outcome of a job whose record was not written for certain.
func (e *Entry) acceptOutcome(r *jobRequest, err error) *wire.Outcome {
	klog.V(1).Infof("entry: A job was not accepted: %v.", err)
	switch {
	case errors.Is(err, errKeyReused):
		return &wire.Outcome{Fate: wire.Fate_NOT_RUN, Reason: errKeyReused.Error()}
	case errors.Is(err, errUndecided):
		e.ender.add(r.job, notRun("the store's answer was lost"))
		return &wire.Outcome{Fate: wire.Fate_UNKNOWN, Reason: err.Error(), RetryAfterMs: retryAfter.Milliseconds()}
	}
	return refuse(r, "the store cannot be reached: "+err.Error())
}

// refuse answers a request that was not taken. A request with a key names a job
// that an earlier request may have started, so nothing is proved about it.
func refuse(r *jobRequest, reason string) *wire.Outcome {
	if r.job.GetKey() != "" {
		return unknown(reason)
	}
	return notRun(reason)
}

// accepted is the answer to a caller that does not wait.
func accepted() *wire.Outcome {
	return &wire.Outcome{Fate: wire.Fate_FATE_UNSPECIFIED, Reason: "accepted"}
}

// fateName is the fate as callers read it.
func fateName(fate wire.Fate) string {
	if fate == wire.Fate_FATE_UNSPECIFIED {
		return "accepted"
	}
	return strings.ToLower(fate.String())
}

// statusOf is the HTTP status of an outcome.
func statusOf(outcome *wire.Outcome) int {
	switch outcome.GetFate() {
	case wire.Fate_FATE_UNSPECIFIED:
		return http.StatusAccepted
	case wire.Fate_DONE:
		return http.StatusOK
	case wire.Fate_FAILED:
		return http.StatusBadGateway
	case wire.Fate_UNKNOWN:
		return http.StatusGatewayTimeout
	}
	if outcome.GetRetryAfterMs() > 0 {
		return http.StatusServiceUnavailable
	}
	return http.StatusUnprocessableEntity
}

// writeOutcome answers a caller: the whole result of a job that is done, and
// else a JSON body that says why.
func writeOutcome(c echo.Context, id string, outcome *wire.Outcome) error {
	header := c.Response().Header()
	header.Set(JobHeader, id)
	header.Set(FateHeader, fateName(outcome.GetFate()))
	if ms := outcome.GetRetryAfterMs(); ms > 0 {
		header.Set("Retry-After", strconv.FormatInt((ms+999)/1000, 10))
	}
	if outcome.GetFate() == wire.Fate_DONE {
		return c.Blob(http.StatusOK, echo.MIMEOctetStream, outcome.GetResult())
	}
	return c.JSON(statusOf(outcome), struct {
		JobID        string `json:"job_id"`
		Fate         string `json:"fate"`
		Reason       string `json:"reason"`
		RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
		Worker       string `json:"worker,omitempty"`
	}{id, fateName(outcome.GetFate()), outcome.GetReason(), outcome.GetRetryAfterMs(), outcome.GetWorker()})
}

// writeProblem answers a request that was not taken.
func writeProblem(c echo.Context, status int, reason string) error {
	c.Response().Header().Set(FateHeader, fateName(wire.Fate_NOT_RUN))
	return c.JSON(status, struct {
		Fate   string `json:"fate"`
		Reason string `json:"reason"`
	}{fateName(wire.Fate_NOT_RUN), reason})
}
