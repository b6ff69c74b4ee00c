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

// maxWait bounds how long a caller waits in one request for a job.
const maxWait = 10 * time.Minute

// getJob tells the fate of a job, after waiting for its end.
func (e *Entry) getJob(c echo.Context) error {
	id := c.Param("id")
	wait, err := readWait(c)
	if err != nil {
		return writeProblem(c, http.StatusBadRequest, err.Error())
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), wait+storeTimeout)
	defer cancel()
	found, err := e.readRecord(ctx, id)
	switch {
	case errors.Is(err, store.ErrNotFound):
		return e.getUnrecorded(ctx, c, id, wait)
	case err != nil:
		c.Response().Header().Set("Retry-After", "1")
		return writeProblem(c, http.StatusServiceUnavailable, "the store cannot be reached: "+err.Error())
	}
	if found.record.GetPhase() != wire.JobRecord_ENDED && wait > 0 {
		waitCtx, cancelWait := context.WithTimeout(ctx, wait)
		defer cancelWait()
		return writeOutcome(c, id, e.followRecord(waitCtx, id))
	}
	if found.record.GetPhase() == wire.JobRecord_ENDED {
		outcome, err := e.outcomeOf(ctx, found.record)
		if err != nil {
			c.Response().Header().Set("Retry-After", "1")
			return writeProblem(c, http.StatusServiceUnavailable, err.Error())
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

func pendingOutcome(record *wire.JobRecord) *wire.Outcome {
	reason := "the job is accepted and waits"
	if record.GetPhase() == wire.JobRecord_COMMITTED {
		reason = "the job is committed in " + record.GetDataCentre()
	}
	return &wire.Outcome{Fate: wire.Fate_FATE_UNSPECIFIED, Reason: reason}
}

// getUnrecorded asks all schedulers for a job without a record.
func (e *Entry) getUnrecorded(ctx context.Context, c echo.Context, id string, wait time.Duration) error {
	for dc, addr := range e.schedulers() {
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
	return writeProblem(c, http.StatusNotFound, "no job has this id, or its record has been removed")
}

// schedulers lists the addresses of all schedulers by data centre.
func (e *Entry) schedulers() map[string]netip.AddrPort {
	v := e.view.Load()
	list := make(map[string]netip.AddrPort, len(v.duties))
	for dc := range v.duties {
		if addr, ok := v.address(dc); ok {
			list[dc] = addr
		}
	}
	for _, s := range e.host.All() {
		list[s.DataCentre()] = e.opts.RPCAddress
	}
	return list
}

// deleteJob cancels a job and answers with what is then true.
func (e *Entry) deleteJob(c echo.Context) error {
	id := c.Param("id")
	ctx, cancel := context.WithTimeout(c.Request().Context(), cancelTimeout)
	defer cancel()
	const reason = "the job was cancelled"
	for dc := range e.schedulers() {
		e.cancelAt(dc, id, reason)
	}
	found, err := e.readRecord(ctx, id)
	switch {
	case errors.Is(err, store.ErrNotFound):
		return e.getUnrecorded(ctx, c, id, cancelTimeout/2)
	case err != nil:
		c.Response().Header().Set("Retry-After", "1")
		return writeProblem(c, http.StatusServiceUnavailable, "the store cannot be reached: "+err.Error())
	}
	if found.record.GetPhase() == wire.JobRecord_ACCEPTED {
		// A scheduler that has the job ends the record itself; this ends that of
		// a job that none has.
		outcome, _ := e.endNotRun(ctx, id, &wire.Outcome{Fate: wire.Fate_NOT_RUN, Reason: reason})
		return writeOutcome(c, id, outcome)
	}
	return writeOutcome(c, id, e.followRecord(ctx, id))
}

// cancelTimeout bounds a cancellation, which waits for the job's tasks to stop.
const cancelTimeout = 10 * time.Second

// cancelAt tells the scheduler of the data centre to stop a job.
func (e *Entry) cancelAt(dc, id, reason string) {
	addr, ok := e.schedulers()[dc]
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	request := &wire.CancelRequest{JobId: id, Reason: reason, DataCentre: dc}
	// A scheduler that cannot be reached ends the job by its deadline.
	_ = e.pool.Call(ctx, addr, "Sched.Cancel", request, &wire.Ping{})
}
