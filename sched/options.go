package sched

import (
	"time"

	"github.com/zeebo/errs"

	"catkinpoint/decl"
	"catkinpoint/link"
	"catkinpoint/permit"
	"catkinpoint/place"
	"catkinpoint/store"
)

// Error is the class of all errors of this package.
var Error = errs.Class("sched")

// Options are the identity, dependencies and limits of a scheduler.
type Options struct {
	DataCentre string
	Epoch      int64
	Holder     string // id of the entry that holds the duty
	Store      store.KV
	Pool       *link.Pool
	Policy     place.Policy
	// Config returns the configuration in force at this process.
	Config func() *decl.Set
	// Permit returns the newest permit of the data centre.
	Permit func() permit.Permit
	// OnSuperseded, if set, is called when there is a sign of a scheduler with a
	// higher epoch; where that epoch is not known, it gets this scheduler's plus 1.
	OnSuperseded func(epoch int64)
	Limits       Limits
}

// Limits are the time limits and bounds of a scheduler.
type Limits struct {
	WorkerSilence time.Duration // after this silence a worker gets no new tasks
	WorkerLost    time.Duration // after this silence a worker and its tasks are lost
	ReportWait    time.Duration // wait for agents' reports after taking the duty
	MaxAttempts   int           // for one job, not counting preempted ones that resume
	MaxQueued     int           // jobs that wait at once
	ReturnStep    time.Duration // between increases of capacity after a return to service
	ReturnShare   float64       // share of the full capacity that each step adds
}

// DefaultLimits returns the limits in use.
func DefaultLimits() Limits {
	return Limits{
		WorkerSilence: 3 * time.Second,
		WorkerLost:    10 * time.Second,
		ReportWait:    1200 * time.Millisecond,
		MaxAttempts:   10,
		MaxQueued:     20_000,
		ReturnStep:    5 * time.Second,
		ReturnShare:   0.25,
	}
}

const (
	// callTimeout bounds each call to an agent, except Prepare and the fetch of a
	// result.
	callTimeout = 2 * time.Second
	// prepareTimeout bounds a Prepare, which carries the job's body.
	prepareTimeout = 5 * time.Second
	// fetchTimeout bounds the fetch of one result, also over the link between
	// regions: 64 MB take 18 s at 30 Mbit/s.
	fetchTimeout = time.Minute
	// callRetry is the pause before a call to an agent, or an attempt of a job, is
	// repeated.
	callRetry = 200 * time.Millisecond
	// storeTimeout bounds one call to the store.
	storeTimeout = time.Second
	// storeRetry is the first pause before a failed call to the store is repeated.
	storeRetry = 250 * time.Millisecond
	// tickPeriod is how often time limits are checked.
	tickPeriod = 250 * time.Millisecond
	// maxTickGap is the time between two ticks above which this process must have
	// been paused.
	maxTickGap = 4 * tickPeriod
	// minDecisionInterval is the least time between two decisions of the policy in
	// a burst of events.
	minDecisionInterval = 3 * time.Millisecond
	// decisionPauseFactor is the pause after a decision as a multiple of the time
	// that the decision took; 9 keeps decisions to a tenth of a core.
	decisionPauseFactor = 9
	// maxDecisionInterval bounds the pause after a decision. Urgent jobs must start
	// within 3.6 s, of which this leaves 2.6 s for the preemption and the start.
	maxDecisionInterval = time.Second
	// orphanRetention is how long the result of an orphan is kept for an entry
	// that submits its job again after a takeover. A silent worker's state is
	// kept for as long.
	orphanRetention = 30 * time.Second
	// endedRetention is how long an ended job stays in memory.
	endedRetention = 5 * time.Minute
	// maxEnded bounds the ended jobs in memory, and maxEndedBytes the size of
	// their results.
	maxEnded      = 20_000
	maxEndedBytes = 128 << 20
	// retryAfter is the delay that a caller whose job did not run, or has no known
	// outcome yet, is told to wait before it asks again.
	retryAfter = time.Second
)
