package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/labstack/echo/v4"

	"catkinpoint/store"
	"catkinpoint/wire"
)

// maxWait bounds how long one request may wait for the end of a job.
const maxWait = 10 * time.Minute

// getJob answers with the outcome of a job, or with its state if it has not ended
// within the wait that the caller asks for.
func (e *Entry) getJob(c echo.Context) error {
	id := c.Param("id")
	wait, err := readWait(c)
	if err != nil {
		return writeError(c, http.StatusBadRequest, wire.Fate_UNKNOWN, err.Error())
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), wait+storeTimeout)
	defer cancel()
	found, err := e.readRecord(ctx, id)
	switch {
	case errors.Is(err, store.ErrNotFound):
		return e.answerUnrecorded(ctx, c, id, wait)
	case err != nil:
		c.Response().Header().Set("Retry-After", "1")
		return writeError(c, http.StatusServiceUnavailable, wire.Fate_UNKNOWN, "the store cannot be reached: "+err.Error())
	}
	if found.record.GetPhase() != wire.JobRecord_ENDED && wait > 0 {
		waitCtx, cancelWait := context.WithTimeout(ctx, wait)
		defer cancelWait()
		return writeOutcome(c, id, e.awaitRecordEnd(waitCtx, id))
	}
	if found.record.GetPhase() == wire.JobRecord_ENDED {
		outcome, err := e.readOutcome(ctx, found.record)
		if err != nil {
			c.Response().Header().Set("Retry-After", "1")
			return writeError(c, http.StatusServiceUnavailable, wire.Fate_UNKNOWN, err.Error())
		}
		return writeOutcome(c, id, outcome)
	}
	return writeOutcome(c, id, pendingOutcome(found.record))
}

func readWait(c echo.Context) (time.Duration, error) {
	text := c.QueryParam("wait")
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > maxWait {
		return 0, fmt.Errorf("parameter wait=%q is not a duration up to %s: %w", text, maxWait, ErrBadRequest)
	}
	return wait, nil
}

// pendingOutcome describes the state of a job that has not ended.
func pendingOutcome(record *wire.JobRecord) *wire.Outcome {
	reason := "the job is accepted and waits"
	if record.GetPhase() == wire.JobRecord_COMMITTED {
		reason = "the job is committed in " + record.GetDataCentre()
	}
	return &wire.Outcome{Fate: wire.Fate_FATE_UNSPECIFIED, Reason: reason}
}

// answerUnrecorded answers with the outcome or the state of a job without a record.
// It asks the schedulers one after another until one knows the job.
func (e *Entry) answerUnrecorded(ctx context.Context, c echo.Context, id string, wait time.Duration) error {
	for dc, addr := range e.schedulerAddresses() {
		request := &wire.JobStatusRequest{JobId: id, DataCentre: dc, WaitMs: wait.Milliseconds()}
		response := new(wire.JobStatusResponse)
		if err := e.pool.Call(ctx, addr, "Sched.JobStatus", request, response); err != nil || !response.GetFound() {
			continue
		}
		outcome := response.GetOutcome()
		if outcome == nil {
			outcome = &wire.Outcome{Reason: "the job is " + response.GetPhase()}
		}
		return writeOutcome(c, id, outcome)
	}
	return writeError(c, http.StatusNotFound, wire.Fate_UNKNOWN, "no job has this id, or its record has been removed")
}

// schedulerAddresses returns the addresses of all schedulers by data centre.
func (e *Entry) schedulerAddresses() map[string]netip.AddrPort {
	v := e.view.Load()
	list := make(map[string]netip.AddrPort, len(v.duties))
	for dc := range v.duties {
		if addr, ok := v.schedulerAddress(dc); ok {
			list[dc] = addr
		}
	}
	for _, s := range e.host.All() {
		list[s.DataCentre()] = e.opts.RPCAddress
	}
	return list
}

// deleteJob cancels a job and answers with its outcome, which may be another if the
// cancellation came too late.
func (e *Entry) deleteJob(c echo.Context) error {
	id := c.Param("id")
	ctx, cancel := context.WithTimeout(c.Request().Context(), cancelTimeout)
	defer cancel()
	const reason = "the job was cancelled"
	for dc := range e.schedulerAddresses() {
		e.cancelInDataCentre(dc, id, reason)
	}
	found, err := e.readRecord(ctx, id)
	switch {
	case errors.Is(err, store.ErrNotFound):
		return e.answerUnrecorded(ctx, c, id, cancelTimeout/2)
	case err != nil:
		c.Response().Header().Set("Retry-After", "1")
		return writeError(c, http.StatusServiceUnavailable, wire.Fate_UNKNOWN, "the store cannot be reached: "+err.Error())
	}
	if found.record.GetPhase() == wire.JobRecord_ACCEPTED {
		// A scheduler that has the job ends the record itself; this ends the record
		// of a job that no scheduler has.
		outcome, _ := e.endRecord(ctx, id, &wire.Outcome{Fate: wire.Fate_NOT_RUN, Reason: reason})
		return writeOutcome(c, id, outcome)
	}
	return writeOutcome(c, id, e.awaitRecordEnd(ctx, id))
}

// cancelTimeout bounds a cancellation, which waits for the job's tasks to stop.
const cancelTimeout = 10 * time.Second

// cancelInDataCentre asks the scheduler of the data centre to stop a job. Errors are
// ignored.
func (e *Entry) cancelInDataCentre(dc, id, reason string) {
	addr, ok := e.schedulerAddresses()[dc]
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	request := &wire.CancelRequest{JobId: id, Reason: reason, DataCentre: dc}
	// A scheduler that cannot be reached stops the job at its deadline.
	_ = e.pool.Call(ctx, addr, "Sched.Cancel", request, &wire.Ping{})
}
