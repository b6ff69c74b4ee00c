package entry

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"catkinpoint/clock"
	"catkinpoint/decl"
	"catkinpoint/link"
	"catkinpoint/wire"
)

const (
	// routeRetry and longestRetry are the first and the longest pause before a
	// scheduler is asked again.
	routeRetry   = 150 * time.Millisecond
	longestRetry = time.Second
	// longRun is the run time from which a wait costs more than a remote run.
	longRun = time.Minute
	// retryAfter is told to callers whose request was refused for lack of room.
	retryAfter = time.Second
	// refusedPause is how long a data centre that gave a job back is not asked
	// again for it.
	refusedPause = 2 * time.Second
	// noDutyPatience is how long a job waits for some scheduler to be there.
	noDutyPatience = 15 * time.Second
)

// dispatch sends the job to schedulers, nearest first, until one gives a final
// outcome or ctx ends. Found is nil for a job without a record.
func (e *Entry) dispatch(ctx context.Context, r *jobRequest, found *claim) *wire.Outcome {
	return r.later(e.send(ctx, r, found))
}

func (e *Entry) send(ctx context.Context, r *jobRequest, found *claim) *wire.Outcome {
	refused := make(map[string]*wire.Outcome) // by data centre
	sent := ""                                // data centre that may have the job
	giveUp := time.Now().Add(noDutyPatience)
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = routeRetry, longestRetry
	e.admission.called()
	for {
		dc := sent
		if dc == "" {
			dc = e.choose(r.job, refused)
		}
		if dc == "" {
			return combine(refused)
		}
		response, err := e.submit(ctx, dc, r, found)
		switch {
		case err == nil && response.GetReroute():
			refused[dc], sent = response.GetOutcome(), ""
			if fate := response.GetOutcome().GetFate(); fate != wire.Fate_NOT_RUN {
				r.earlier = fate
			}
			if outcome := e.reread(ctx, found); outcome != nil {
				return outcome
			}
		case err == nil:
			return response.GetOutcome()
		case ctx.Err() != nil:
			return outOfTime(sent, err)
		case !errors.Is(err, link.ErrNotSent):
			// The scheduler may have taken the job. Its successor is asked with
			// the same id: it knows a started job by its record or by its task.
			// The first repetition is free, further ones have a budget.
			again := sent != ""
			sent = dc
			if !r.recorded {
				// Only that scheduler knows whether it started the job; the
				// refusal of its successor proves nothing.
				r.earlier = wire.Fate_UNKNOWN
			}
			if again && !e.admission.mayRetry() {
				return unknown("the scheduler's answer was lost")
			}
		case sent == "" && time.Now().After(giveUp):
			return notRun("no scheduler could be reached")
		case sent == "" && e.hasOther(r.job, refused, dc):
			refused[dc] = notRun("no scheduler could be reached")
		}
		if err != nil {
			klog.V(1).Infof("entry: Job %s was not answered by %s: %v.", r.job.GetId(), dc, err)
			e.refreshSoon()
			if !clock.Sleep(ctx, pause.NextBackOff()) {
				return outOfTime(sent, err)
			}
		}
	}
}

func notRun(reason string) *wire.Outcome {
	return &wire.Outcome{Fate: wire.Fate_NOT_RUN, Reason: reason, RetryAfterMs: retryAfter.Milliseconds()}
}

// outOfTime is the outcome when the caller's time is over. Nothing was run if
// the job was never sent.
func outOfTime(sent string, err error) *wire.Outcome {
	if sent == "" && (err == nil || errors.Is(err, link.ErrNotSent)) {
		return notRun("the deadline has passed")
	}
	return unknown("the deadline has passed")
}

// unknown is the outcome of a job that may have run.
func unknown(reason string) *wire.Outcome {
	return &wire.Outcome{
		Fate:         wire.Fate_UNKNOWN,
		Reason:       reason + "; ask again by the job's id",
		RetryAfterMs: retryAfter.Milliseconds(),
	}
}

// combine is the outcome of a job that every data centre has given back. It
// tells when to come back if some data centre may take the job later.
func combine(refused map[string]*wire.Outcome) *wire.Outcome {
	if len(refused) == 0 {
		return notRun("no data centre in service offers the service")
	}
	names := slices.Sorted(maps.Keys(refused))
	outcome := &wire.Outcome{Fate: wire.Fate_NOT_RUN}
	reasons := make([]string, 0, len(names))
	for _, dc := range names {
		outcome.RetryAfterMs = max(outcome.GetRetryAfterMs(), refused[dc].GetRetryAfterMs())
		reasons = append(reasons, dc+": "+refused[dc].GetReason())
	}
	outcome.Reason = strings.Join(reasons, "; ")
	return outcome
}

// submit sends the job to the scheduler of the data centre and waits.
func (e *Entry) submit(ctx context.Context, dc string, r *jobRequest, found *claim) (*wire.SubmitResponse, error) {
	addr, ok := e.view.Load().address(dc)
	if e.host.Get(dc) != nil {
		addr, ok = e.opts.RPCAddress, true
	}
	if !ok {
		return nil, link.ErrNotSent
	}
	request := &wire.SubmitRequest{Job: r.job, Body: r.body, DataCentre: dc}
	if found != nil {
		request.RecordRevision, request.Record = found.revision, proto.CloneOf(found.record)
		request.Record.Job = nil // it is in the request already
	}
	if deadline, ok := ctx.Deadline(); ok {
		// The scheduler answers before this process gives up.
		left := time.Until(deadline) - answerMargin
		request.RemainingMs = max(1, left.Milliseconds())
	}
	delay, err := e.admission.reserve(e.regionOf(dc), len(r.body))
	if err != nil {
		return &wire.SubmitResponse{Reroute: true, Outcome: notRun(err.Error())}, nil
	}
	if !clock.Sleep(ctx, delay) {
		return nil, fmt.Errorf("waiting for the link between regions: %w: %w", link.ErrNotSent, ctx.Err())
	}
	r.sentTo = dc
	response := new(wire.SubmitResponse)
	if err := e.pool.Call(ctx, addr, "Sched.Submit", request, response); err != nil {
		return nil, err
	}
	if response.GetNotHolder() {
		return nil, fmt.Errorf("%s does not schedule %s: %w", addr, dc, link.ErrNotSent)
	}
	return response, nil
}

// answerMargin is the time that the scheduler's answer needs on its way, also
// between regions.
const answerMargin = 150 * time.Millisecond

// choose returns the best data centre that has not refused the job, or "".
func (e *Entry) choose(job *wire.Job, refused map[string]*wire.Outcome) string {
	v := e.view.Load()
	best, bestCost := "", 0.0
	for _, dc := range e.offering(job) {
		if _, no := refused[dc]; no {
			continue
		}
		cost := e.cost(v, dc, job)
		if best == "" || cost < bestCost {
			best, bestCost = dc, cost
		}
	}
	return best
}

func (e *Entry) hasOther(job *wire.Job, refused map[string]*wire.Outcome, dc string) bool {
	for _, other := range e.offering(job) {
		if _, no := refused[other]; !no && other != dc {
			return true
		}
	}
	return false
}

// offering lists the data centres in service that offer the job's service.
func (e *Entry) offering(job *wire.Job) []string {
	set := e.follower.Current().Set
	service, ok := decl.Lookup[*wire.Service](set, job.GetService())
	if !ok {
		return nil
	}
	var list []string
	for name, dc := range decl.All[*wire.DataCentre](set) {
		offered := len(service.GetDataCentres()) == 0 || slices.Contains(service.GetDataCentres(), name)
		if dc.GetInService() && offered {
			list = append(list, name)
		}
	}
	return list
}

// Costs of a data centre that is not the nearest, or that makes a job wait. A
// short job rather waits than crosses the paid link between regions; a long one
// rather crosses it.
const (
	costRegion    = 1.0
	costFar       = 2.0
	costBusyShort = 1.5
	costBusyLong  = 3.0
	costNoDuty    = 10.0
)

func (e *Entry) cost(v *view, dc string, job *wire.Job) float64 {
	cost := 0.0
	switch {
	case dc == e.opts.DataCentre:
	case e.regionOf(dc) == e.opts.Region:
		cost = costRegion
	default:
		cost = costFar
	}
	if _, ok := v.address(dc); !ok {
		cost += costNoDuty
	}
	load, ok := v.load[dc]
	needed := job.GetTasks() * max(1, job.GetAccelerators())
	if !ok || load.GetQueued() == 0 && load.GetFreeAccelerators() >= needed {
		return cost
	}
	if time.Duration(job.GetExpectedRunMs())*time.Millisecond >= longRun {
		return cost + costBusyLong
	}
	return cost + costBusyShort
}
