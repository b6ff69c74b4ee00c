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

	"catkinpoint/intake"
	"catkinpoint/wire"
)

// Headers of an answer to a caller.
const (
	// JobHeader carries the job's id, with which the outcome can be queried later.
	JobHeader = "Catkinpoint-Job"
	// FateHeader carries done, failed, not_run or unknown, or accepted for a job that
	// has no outcome yet.
	FateHeader = "Catkinpoint-Fate"
)

// defaultTimeout bounds a request without a timeout whose job class has no deadline.
const defaultTimeout = 10 * time.Minute

// postJob runs the job in the request and answers with its outcome.
func (e *Entry) postJob(c echo.Context) error {
	r, err := e.parseJobRequest(c)
	if errors.Is(err, intake.ErrBusy) {
		c.Response().Header().Set("Retry-After", "1")
		return writeError(c, http.StatusServiceUnavailable, refusedFate(c.QueryParam("key")), err.Error())
	}
	if err != nil {
		return writeError(c, http.StatusBadRequest, wire.Fate_NOT_RUN, err.Error())
	}
	receivedAt := time.Now()
	outcome := e.admitAndRun(c, r)
	e.metrics.recordAnswer(outcome.GetFate(), time.Since(receivedAt))
	return writeOutcome(c, r.job.GetId(), outcome)
}

// admitAndRun admits the request, or refuses it, and returns the outcome of its job.
func (e *Entry) admitAndRun(c echo.Context, r *jobRequest) *wire.Outcome {
	if e.shuttingDown.Load() {
		return refusalOutcome(r, "this process is leaving")
	}
	if err := e.admission.acquire(r.job.GetCustomer()); err != nil {
		return refusalOutcome(r, err.Error())
	}
	// A job that has a record goes on when its caller disconnects.
	ctx := c.Request().Context()
	if r.needsRecord {
		ctx = context.WithoutCancel(ctx)
	}
	timeout := r.timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	if r.job.GetDetached() {
		return e.runDetached(ctx, r)
	}
	defer e.admission.release(r.job.GetCustomer())
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if !r.needsRecord {
		return e.runUnrecorded(ctx, r)
	}
	return e.runRecorded(ctx, r)
}

// runUnrecorded runs a single idempotent task, which needs no record. It is
// cancelled at the scheduler when the caller disconnects or its deadline passes.
func (e *Entry) runUnrecorded(ctx context.Context, r *jobRequest) *wire.Outcome {
	outcome := e.dispatch(ctx, r, nil)
	if ctx.Err() != nil {
		// The answer does not wait for the cancellation.
		e.background.Go(func() {
			e.cancelInDataCentre(r.lastDataCentre, r.job.GetId(), "the caller left or its deadline passed")
		})
	}
	return outcome
}

// runRecorded writes the job's record and runs the job.
func (e *Entry) runRecorded(ctx context.Context, r *jobRequest) *wire.Outcome {
	stored, err := e.accept(ctx, r)
	if err != nil {
		return e.acceptErrorOutcome(r, err)
	}
	return e.runAccepted(ctx, r, stored)
}

// acceptErrorOutcome returns the outcome of a job for which accept failed: its record
// was not written, or may have been.
func (e *Entry) acceptErrorOutcome(r *jobRequest, err error) *wire.Outcome {
	klog.V(1).Infof("entry: A job was not accepted: %v.", err)
	switch {
	case errors.Is(err, errKeyReused):
		return &wire.Outcome{Fate: wire.Fate_NOT_RUN, Reason: errKeyReused.Error()}
	case errors.Is(err, errRecordUncertain):
		e.endRetrier.add(r.job, notRunOutcome("the store's answer was lost"))
		return &wire.Outcome{Fate: wire.Fate_UNKNOWN, Reason: err.Error(), RetryAfterMs: retryAfter.Milliseconds()}
	}
	return refusalOutcome(r, "the store cannot be reached: "+err.Error())
}

// refusalOutcome returns the outcome of a request that was refused. A request with a
// key names a job that an earlier request may have started, so the refusal does not
// prove that the job did not run.
func refusalOutcome(r *jobRequest, reason string) *wire.Outcome {
	if r.job.GetKey() != "" {
		return unknownOutcome(reason)
	}
	return notRunOutcome(reason)
}

// refusedFate is the fate in a refusal of a request whose body was not read; it is that of
// refusalOutcome.
func refusedFate(key string) wire.Fate {
	if key != "" {
		return wire.Fate_UNKNOWN
	}
	return wire.Fate_NOT_RUN
}

// acceptedOutcome returns the outcome that the caller of a detached job gets.
func acceptedOutcome() *wire.Outcome {
	return &wire.Outcome{Fate: wire.Fate_FATE_UNSPECIFIED, Reason: "accepted"}
}

// fateName returns the name of the fate in answers and in metrics.
func fateName(fate wire.Fate) string {
	if fate == wire.Fate_FATE_UNSPECIFIED {
		return "accepted"
	}
	return strings.ToLower(fate.String())
}

// httpStatus returns the HTTP status of an answer with the outcome.
func httpStatus(outcome *wire.Outcome) int {
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

// writeOutcome answers with the whole result of a job that is done, and otherwise
// with a JSON body that holds the fate and the reason.
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
	return c.JSON(httpStatus(outcome), struct {
		JobID        string `json:"job_id"`
		Fate         string `json:"fate"`
		Reason       string `json:"reason"`
		RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
		Worker       string `json:"worker,omitempty"`
	}{id, fateName(outcome.GetFate()), outcome.GetReason(), outcome.GetRetryAfterMs(), outcome.GetWorker()})
}

// writeError answers a request that was not carried out with the reason and the fate of
// the job that it is about, as far as this entry knows that.
func writeError(c echo.Context, status int, fate wire.Fate, reason string) error {
	c.Response().Header().Set(FateHeader, fateName(fate))
	return c.JSON(status, struct {
		Fate   string `json:"fate"`
		Reason string `json:"reason"`
	}{fateName(fate), reason})
}
