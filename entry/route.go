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
	// minDispatchBackoff and maxDispatchBackoff are the first and the longest pause
	// before a job is sent again after a scheduler did not answer.
	minDispatchBackoff = 150 * time.Millisecond
	maxDispatchBackoff = time.Second
	// longJobRunTime is the expected run time from which waiting for a busy data
	// centre costs more than running in another region.
	longJobRunTime = time.Minute
	// retryAfter is the pause before a retry that callers are told, for example when
	// their request was refused for lack of room.
	retryAfter = time.Second
	// refusedRetryDelay is the pause before an accepted detached job that all data
	// centres gave back is dispatched again.
	refusedRetryDelay = 2 * time.Second
	// maxNoSchedulerWait is how long a job waits until some scheduler can be reached.
	maxNoSchedulerWait = 15 * time.Second
)

// dispatch sends the job to schedulers, in the order of their cost, until one gives
// a final outcome, all have given the job back (a response with reroute set), or
// ctx ends. The outcome takes earlier attempts into account. The stored record is
// nil for a job without one.
func (e *Entry) dispatch(ctx context.Context, r *jobRequest, stored *storedRecord) *wire.Outcome {
	return r.mergeEarlierFate(e.trySchedulers(ctx, r, stored))
}

// trySchedulers implements dispatch; its outcome is that of the last attempt.
func (e *Entry) trySchedulers(ctx context.Context, r *jobRequest, stored *storedRecord) *wire.Outcome {
	refusals := make(map[string]*wire.Outcome) // by data centre
	possibleHolder := ""                       // data centre whose scheduler may have the job
	noSchedulerDeadline := time.Now().Add(maxNoSchedulerWait)
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval, retryDelay.MaxInterval = minDispatchBackoff, maxDispatchBackoff
	e.admission.countCall()
	for {
		dc := possibleHolder
		if dc == "" {
			dc = e.chooseDataCentre(r.job, refusals)
		}
		if dc == "" {
			return combineRefusals(refusals)
		}
		response, err := e.submit(ctx, dc, r, stored)
		switch {
		case err == nil && response.GetReroute():
			refusals[dc], possibleHolder = response.GetOutcome(), ""
			if fate := response.GetOutcome().GetFate(); fate != wire.Fate_NOT_RUN {
				r.earlierFate = fate
			}
			if outcome := e.reloadRecord(ctx, stored); outcome != nil {
				return outcome
			}
		case err == nil:
			return response.GetOutcome()
		case ctx.Err() != nil:
			return deadlineOutcome(possibleHolder, err)
		case !errors.Is(err, link.ErrNotSent):
			// The scheduler may have taken the job, so the job is sent again with the
			// same id to this scheduler or its successor, which recognises a started
			// job by its record or by its task. The first repetition is free, further
			// ones use the retry budget.
			repeated := possibleHolder != ""
			possibleHolder = dc
			if !r.needsRecord {
				// Without a record only that scheduler knows whether it started the
				// job; a refusal by its successor does not prove that it did not.
				r.earlierFate = wire.Fate_UNKNOWN
			}
			if repeated && !e.admission.takeRetry() {
				return unknownOutcome("the scheduler's answer was lost")
			}
		case possibleHolder == "" && time.Now().After(noSchedulerDeadline):
			return notRunOutcome("no scheduler could be reached")
		case possibleHolder == "" && e.hasAlternative(r.job, refusals, dc):
			refusals[dc] = notRunOutcome("no scheduler could be reached")
		}
		if err != nil {
			klog.V(1).Infof("entry: Job %s was not answered by %s: %v.", r.job.GetId(), dc, err)
			e.refreshSoon()
			if !clock.Sleep(ctx, retryDelay.NextBackOff()) {
				return deadlineOutcome(possibleHolder, err)
			}
		}
	}
}

// notRunOutcome returns the outcome of a job that did not run and may be retried.
func notRunOutcome(reason string) *wire.Outcome {
	return &wire.Outcome{Fate: wire.Fate_NOT_RUN, Reason: reason, RetryAfterMs: retryAfter.Milliseconds()}
}

// deadlineOutcome returns the outcome of a job whose deadline has passed. Nothing ran
// if the job was never sent.
func deadlineOutcome(possibleHolder string, err error) *wire.Outcome {
	if possibleHolder == "" && (err == nil || errors.Is(err, link.ErrNotSent)) {
		return notRunOutcome("the deadline has passed")
	}
	return unknownOutcome("the deadline has passed")
}

// unknownOutcome returns the outcome of a job that may have run.
func unknownOutcome(reason string) *wire.Outcome {
	return &wire.Outcome{
		Fate:         wire.Fate_UNKNOWN,
		Reason:       reason + "; ask again by the job's id",
		RetryAfterMs: retryAfter.Milliseconds(),
	}
}

// combineRefusals returns the outcome of a job that every data centre has given back,
// with all reasons. It has a time to retry if some data centre may take the job later.
func combineRefusals(refusals map[string]*wire.Outcome) *wire.Outcome {
	if len(refusals) == 0 {
		return notRunOutcome("no data centre in service offers the service")
	}
	names := slices.Sorted(maps.Keys(refusals))
	outcome := &wire.Outcome{Fate: wire.Fate_NOT_RUN}
	reasons := make([]string, 0, len(names))
	for _, dc := range names {
		outcome.RetryAfterMs = max(outcome.GetRetryAfterMs(), refusals[dc].GetRetryAfterMs())
		reasons = append(reasons, dc+": "+refusals[dc].GetReason())
	}
	outcome.Reason = strings.Join(reasons, "; ")
	return outcome
}

// submit sends the job to the scheduler of the data centre and waits for its answer.
// The error wraps link.ErrNotSent if the scheduler certainly has not taken the job.
func (e *Entry) submit(ctx context.Context, dc string, r *jobRequest, stored *storedRecord) (*wire.SubmitResponse, error) {
	addr, ok := e.view.Load().schedulerAddress(dc)
	if e.host.Get(dc) != nil {
		addr, ok = e.opts.RPCAddress, true
	}
	if !ok {
		return nil, link.ErrNotSent
	}
	request := &wire.SubmitRequest{Job: r.job, Body: r.body, DataCentre: dc}
	if stored != nil {
		request.RecordRevision, request.Record = stored.revision, proto.CloneOf(stored.record)
		request.Record.Job = nil // the request has the job already
	}
	if deadline, ok := ctx.Deadline(); ok {
		// The scheduler answers before this process gives up.
		remaining := time.Until(deadline) - answerMargin
		request.RemainingMs = max(1, remaining.Milliseconds())
	}
	delay, err := e.admission.reserve(e.regionOf(dc), len(r.body))
	if err != nil {
		return &wire.SubmitResponse{Reroute: true, Outcome: notRunOutcome(err.Error())}, nil
	}
	if !clock.Sleep(ctx, delay) {
		return nil, fmt.Errorf("waiting for the link between regions: %w: %w", link.ErrNotSent, ctx.Err())
	}
	r.lastDataCentre = dc
	response := new(wire.SubmitResponse)
	if err := e.pool.Call(ctx, addr, "Sched.Submit", request, response); err != nil {
		return nil, err
	}
	if response.GetNotHolder() {
		return nil, fmt.Errorf("%s does not schedule %s: %w", addr, dc, link.ErrNotSent)
	}
	return response, nil
}

// answerMargin is the time kept for the scheduler's answer to reach this process,
// also from another region.
const answerMargin = 150 * time.Millisecond

// chooseDataCentre returns the data centre with the lowest cost that has not refused
// the job, or "" if there is none.
func (e *Entry) chooseDataCentre(job *wire.Job, refusals map[string]*wire.Outcome) string {
	v := e.view.Load()
	best, bestCost := "", 0.0
	for _, dc := range e.dataCentresOffering(job) {
		if _, isRefused := refusals[dc]; isRefused {
			continue
		}
		cost := e.cost(v, dc, job)
		if best == "" || cost < bestCost {
			best, bestCost = dc, cost
		}
	}
	return best
}

// hasAlternative reports whether a data centre other than dc offers the job's service
// and has not refused the job.
func (e *Entry) hasAlternative(job *wire.Job, refusals map[string]*wire.Outcome, dc string) bool {
	for _, other := range e.dataCentresOffering(job) {
		if _, isRefused := refusals[other]; !isRefused && other != dc {
			return true
		}
	}
	return false
}

// dataCentresOffering lists the data centres in service that offer the job's service.
func (e *Entry) dataCentresOffering(job *wire.Job) []string {
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

// Relative costs of a data centre that is not the entry's own, or that makes a job
// wait; they add up. Waiting costs a short job less than crossing the paid network
// between regions, and a long job more.
const (
	costSameRegion   = 1.0
	costOtherRegion  = 2.0
	costBusyShortJob = 1.5
	costBusyLongJob  = 3.0
	costNoScheduler  = 10.0
)

// cost returns the relative cost of running the job in the data centre.
func (e *Entry) cost(v *clusterView, dc string, job *wire.Job) float64 {
	cost := 0.0
	switch {
	case dc == e.opts.DataCentre:
	case e.regionOf(dc) == e.opts.Region:
		cost = costSameRegion
	default:
		cost = costOtherRegion
	}
	if _, ok := v.schedulerAddress(dc); !ok {
		cost += costNoScheduler
	}
	status, ok := v.dutyStatuses[dc]
	needed := job.GetTasks() * max(1, job.GetAccelerators())
	if !ok || status.GetQueued() == 0 && status.GetFreeAccelerators() >= needed {
		return cost
	}
	if time.Duration(job.GetExpectedRunMs())*time.Millisecond >= longJobRunTime {
		return cost + costBusyLongJob
	}
	return cost + costBusyShortJob
}
