package matrix

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"catkinpoint/decl"
	"catkinpoint/head"
	"catkinpoint/wire"
)

const (
	// watchedGangKey is the key of the request for the gang whose steps are watched.
	watchedGangKey = "gang"

	// The ids of the operators' changes, in their order.
	weightChange = "weight"
	drainChange  = "drain"
	returnChange = "return"

	// racingChange precedes the id of a change in that of the change that races it.
	racingChange = "racing"
)

// Workload is what callers and operators do in one run, and what they were told.
type Workload struct {
	cluster         *Cluster
	repeat          bool // for RepeatedRequests
	racingOperators bool // for RacingOperators

	mu       sync.Mutex
	group    sync.WaitGroup
	requests []*Request
	changes  []*acceptedChange
	samples  map[string][]versionSample // by entry

	drainedWorker  string    // the worker that drainEndpoint drains
	drainedAt      time.Time // when its drain began
	drainEndedAt   time.Time // when its agent had ended; zero if it did not
	entryStoppedAt time.Time // when the spare entry was asked to stop
}

// acceptedChange is a configuration change of which the operator was told that it
// was published.
type acceptedChange struct {
	id      string
	version int64
	at      time.Time // when the operator was told
}

// versionSample holds the configuration versions in the status of an entry.
type versionSample struct {
	at           time.Time
	entryVersion int64
	agentVersion int64 // the lowest of the agents that it schedules; -1 if it schedules none
}

// Times of the workload, counted from its start, and durations in it.
const (
	cancelAt         = 2 * time.Second
	fillAt           = 8 * time.Second
	fillerCount      = 9
	urgentAt         = 11 * time.Second
	secondUrgentAt   = 17 * time.Second // during the operators' changes
	publishAt        = 14 * time.Second
	endpointDrainAt  = 16 * time.Second
	entryStopAt      = 20100 * time.Millisecond
	outOfServiceTime = 9 * time.Second // of drainedDC
	shortJobsEnd     = 32 * time.Second
	shortJobPeriod   = 700 * time.Millisecond
	statusPeriod     = 500 * time.Millisecond
	// drainTimeout is longer than the run time of any job.
	drainTimeout = time.Minute
)

// run submits all jobs and makes all changes. It returns 10 s after the last caller
// and operator have their answers.
func (w *Workload) run(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	sampling := new(sync.WaitGroup)
	for i := range entryCount {
		sampling.Go(func() { w.sampleVersions(ctx, i) })
	}
	w.submit(ctx, 0, Request{Title: "gang", Query: "customer=clubs&job_class=reconstruction&key=" + watchedGangKey + "&p.run_ms=9000", Tasks: 4, NonIdempotent: true, FirstEntry: 2})
	w.submit(ctx, 0, Request{Title: "order", Query: "customer=clubs&job_class=order&key=order&p.run_ms=3000", Tasks: 1, NonIdempotent: true})
	w.submit(ctx, 0, Request{Title: "scan", Query: "customer=league&job_class=scan&p.run_ms=2000", Tasks: 1, RetryNotRun: true, FirstEntry: 1})
	w.submit(ctx, 0, Request{Title: "detached", Query: "customer=league&job_class=order&key=later&detach=true&p.run_ms=2500", Tasks: 1, NonIdempotent: true, FirstEntry: 2})
	w.submit(ctx, 0, Request{Title: "cancelled", Query: "customer=clubs&job_class=order&key=stop&timeout=40s&p.run_ms=30000", Tasks: 1, NonIdempotent: true})
	w.group.Go(func() { w.cancelLongJob(ctx) })
	for i := range fillerCount {
		w.submit(ctx, fillAt, Request{Title: "filler", Query: "customer=clubs&job_class=simulation&p.run_ms=8000", Tasks: 1, RetryNotRun: true, FirstEntry: i % 2})
	}
	w.group.Go(func() {
		time.Sleep(urgentAt)
		w.cluster.mu.Lock()
		w.cluster.watch.urgentSubmitted = true
		w.cluster.mu.Unlock()
	})
	for _, at := range []time.Duration{urgentAt, secondUrgentAt} {
		w.submit(ctx, at, Request{Title: "urgent", Query: "customer=league&job_class=alarm&p.run_ms=2000", Tasks: 1, RetryNotRun: true})
	}
	for at := time.Duration(0); at < shortJobsEnd; at += shortJobPeriod {
		w.submit(ctx, at, Request{Title: "short", Query: "customer=league&job_class=scan&p.run_ms=300", Tasks: 1, RetryNotRun: true, FirstEntry: int(at / shortJobPeriod)})
	}
	for i := range 4 {
		w.submit(ctx, entryStopAt-time.Second, Request{Title: fmt.Sprintf("late gang %d", i), Query: fmt.Sprintf("customer=clubs&job_class=reconstruction&key=late-%d&p.run_ms=2500", i), Tasks: 4, NonIdempotent: true, FirstEntry: 2})
	}
	w.group.Go(func() { w.publishChanges(ctx) })
	w.group.Go(func() { w.drainEndpoint(ctx) })
	w.group.Go(func() { w.stopSpareEntry() })
	w.group.Wait()
	time.Sleep(10 * time.Second) // so that the records show tasks that run longer than they may
	stop()
	sampling.Wait()
}

// submit starts a caller that sends the request after the given time. Under the
// fault RepeatedRequests a second caller sends a non-idempotent request too, with
// the same key and to the next entry.
func (w *Workload) submit(ctx context.Context, after time.Duration, request Request) {
	copies := 1
	if w.repeat && request.NonIdempotent {
		copies = 2
	}
	for i := range copies {
		sent := request
		sent.FirstEntry += i
		w.mu.Lock()
		sent.Body = fmt.Appendf(nil, "%s of %s;", request.Title, request.Query)
		if request.Query == "" || !request.NonIdempotent {
			sent.Body = fmt.Appendf(sent.Body, "%d;", len(w.requests))
		}
		w.requests = append(w.requests, &sent)
		w.mu.Unlock()
		w.group.Go(func() {
			time.Sleep(after)
			w.cluster.runRequest(ctx, &sent)
		})
	}
}

// cancelLongJob cancels the job with the key "stop", which would run for 30 s.
func (w *Workload) cancelLongJob(ctx context.Context) {
	time.Sleep(cancelAt)
	id := w.cluster.findJobByKey("stop")
	if id == "" {
		return
	}
	w.cluster.cancelJob(ctx, id, 1)
	if w.repeat {
		w.cluster.cancelJob(ctx, id, 0)
	}
}

// findJobByKey returns the id of the job with the caller's key, or "" if the store
// has no record of it. The caller itself learns the id only with an answer.
func (c *Cluster) findJobByKey(key string) string {
	items, err := c.System.Store.WithCaller(observer).List(context.Background(), "job/")
	if err != nil {
		return ""
	}
	for _, item := range items {
		record := new(wire.JobRecord)
		if c.readMessage(item.Key, record) && record.GetJob().GetKey() == key {
			return record.GetJob().GetId()
		}
	}
	return ""
}

// publishChanges publishes the operators' changes one after another: a new weight
// of a customer, then the exit of drainedDC from service and its return.
func (w *Workload) publishChanges(ctx context.Context) {
	time.Sleep(publishAt)
	w.publishUntilAccepted(ctx, weightChange, func(o *wire.Object) bool {
		if o.GetKind() != "customer" || o.GetName() != "clubs" {
			return false
		}
		o.GetCustomer().Weight = 2
		return true
	})
	w.publishUntilAccepted(ctx, drainChange, setInService(false))
	time.Sleep(outOfServiceTime)
	w.publishUntilAccepted(ctx, returnChange, setInService(true))
}

// setInService returns an edit that sets whether drainedDC is in service. An edit
// reports whether it applies to the object.
func setInService(in bool) func(*wire.Object) bool {
	return func(o *wire.Object) bool {
		if o.GetKind() != "data_centre" || o.GetName() != drainedDC {
			return false
		}
		o.GetDataCentre().InService = in
		return true
	}
}

// publishUntilAccepted publishes the change that edit makes until an operator is
// told its version, at most 40 times. Each try is made by another operator process,
// with the same change id.
func (w *Workload) publishUntilAccepted(ctx context.Context, id string, edit func(*wire.Object) bool) {
	if w.racingOperators {
		w.group.Go(func() { w.publishRacingChange(ctx, id, edit) })
	}
	var change *wire.Change
	for try := range 40 {
		follower := head.NewFollower(w.cluster.System.Store.WithCaller(fmt.Sprintf("operator-%s-%d", id, try)))
		publisher := head.NewPublisher(follower, head.Options{})
		if err := follower.Poll(ctx); err == nil {
			if change == nil {
				change = newChange(id, follower.Current(), edit)
			}
			copies := 1
			if w.repeat {
				copies = 2
			}
			for range copies {
				result, err := publisher.Publish(ctx, change, false)
				if err == nil {
					w.addAccepted(&acceptedChange{id, result.Version, time.Now()})
				}
			}
			if w.accepted(id) {
				return
			}
		}
		var conflict *decl.ConflictError
		if w.racingOperators && try > 0 && conflict == nil {
			change = nil // build it again, on the version of the racing change
		}
		time.Sleep(retryPause)
	}
}

// publishRacingChange publishes once another change of the object that edit
// applies to, at the same time as the change with the given id.
func (w *Workload) publishRacingChange(ctx context.Context, id string, edit func(*wire.Object) bool) {
	follower := head.NewFollower(w.cluster.System.Store.WithCaller("operator-" + racingChange))
	if err := follower.Poll(ctx); err != nil {
		return
	}
	change := newChange(racingChange+id, follower.Current(), func(o *wire.Object) bool {
		if !edit(o) {
			return false
		}
		switch {
		case o.GetCustomer() != nil:
			o.GetCustomer().Weight = 3
		case o.GetDataCentre() != nil:
			o.GetDataCentre().InService = !o.GetDataCentre().GetInService()
			o.GetDataCentre().WorkersPerRack = 4
		}
		return true
	})
	result, err := head.NewPublisher(follower, head.Options{}).Publish(ctx, change, false)
	if err == nil {
		w.addAccepted(&acceptedChange{change.GetId(), result.Version, time.Now()})
	}
}

// newChange returns a change with an operation for each object in base to which
// edit applies.
func newChange(id string, base *head.Snapshot, edit func(*wire.Object) bool) *wire.Change {
	change := &wire.Change{Id: id, Author: "operator", Reason: "matrix", BaseVersion: base.Set.Version()}
	for o := range base.Set.Objects() {
		o = cloneObject(o)
		if edit(o) {
			change.Operations = append(change.Operations, &wire.Operation{Object: o, BaseRevision: o.GetRevision()})
		}
	}
	return change
}

func (w *Workload) addAccepted(c *acceptedChange) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.changes = append(w.changes, c)
}

// accepted reports whether the change with the given id has been accepted.
func (w *Workload) accepted(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.changes, func(c *acceptedChange) bool { return c.id == id })
}

// drainEndpoint drains the agent of one worker in mainDC and with it its endpoint.
// The worker is the first one that runs none of the two known members of the
// watched gang.
func (w *Workload) drainEndpoint(ctx context.Context) {
	time.Sleep(endpointDrainAt)
	// Placement prefers the first of equally loaded workers, so this worker would get
	// new tasks if it were not drained.
	for _, name := range []string{mainDC + "-00", mainDC + "-01", mainDC + "-02"} {
		if name != w.cluster.targetAgent() && name != w.cluster.secondTargetAgent() {
			w.drainedWorker = name
			break
		}
	}
	w.drainedAt = time.Now()
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	if w.repeat {
		secondDrainEnded := make(chan struct{})
		defer func() { <-secondDrainEnded }()
		go func() {
			defer close(secondDrainEnded)
			_ = w.cluster.System.Process(w.drainedWorker).Agent.Drain(ctx) // the result of the other call is checked
		}()
	}
	if err := w.cluster.System.Process(w.drainedWorker).Drain(ctx); err == nil {
		w.drainEndedAt = time.Now()
	}
}

// stopSpareEntry stops the spare entry gracefully and waits up to 15 s for its end.
func (w *Workload) stopSpareEntry() {
	time.Sleep(entryStopAt)
	w.entryStoppedAt = time.Now()
	select {
	case <-w.cluster.System.Process(w.cluster.spareEntry()).Stop():
	case <-time.After(15 * time.Second):
	}
}

// sampleVersions reads the configuration versions in an entry's status every
// statusPeriod until ctx ends.
func (w *Workload) sampleVersions(ctx context.Context, number int) {
	name := fmt.Sprintf("entry-%d", number)
	for ctx.Err() == nil {
		answer, err := w.cluster.callEntry(ctx, http.MethodGet, w.cluster.System.Entries[number], "/v1/status", nil)
		var status struct {
			ID      string `json:"id"`
			Version int64  `json:"version"`
			Duties  []struct {
				Holder       string `json:"holder"`
				AgentVersion int64  `json:"lowest_agent_version"`
			} `json:"duties"`
		}
		if err == nil && json.Unmarshal(answer.Body, &status) == nil {
			sample := versionSample{time.Now(), status.Version, -1}
			for _, d := range status.Duties {
				if d.Holder == name && (sample.agentVersion < 0 || d.AgentVersion < sample.agentVersion) {
					sample.agentVersion = d.AgentVersion
				}
			}
			w.mu.Lock()
			w.samples[name] = append(w.samples[name], sample)
			w.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-time.After(statusPeriod):
		}
	}
}
