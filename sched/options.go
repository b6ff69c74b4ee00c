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

// Options are what a scheduler of one data centre works with.
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
	// Superseded is called when a higher epoch is seen.
	Superseded func(epoch int64)
	Limits     Limits
}

// Limits are the time limits and bounds of a scheduler.
type Limits struct {
	WorkerSilence time.Duration // a worker without a report is not used
	WorkerLost    time.Duration // its tasks are given up
	Settle        time.Duration // wait for agents' reports after taking the duty
	Attempts      int           // most attempts of one job
	QueueTotal    int           // most jobs that wait
	ReturnStep    time.Duration // time of each step of a returning data centre
	ReturnShare   float64       // share of capacity added by each step
}

// DefaultLimits are the limits in use.
func DefaultLimits() Limits {
	return Limits{
		WorkerSilence: 3 * time.Second,
		WorkerLost:    10 * time.Second,
		Settle:        1200 * time.Millisecond,
		Attempts:      10,
		QueueTotal:    20_000,
		ReturnStep:    5 * time.Second,
		ReturnShare:   0.25,
	}
}

const (
	// callTimeout bounds a call to an agent without a body.
	callTimeout = 2 * time.Second
	// prepareTimeout bounds a Prepare, which carries the body.
	prepareTimeout = 5 * time.Second
	// fetchTimeout bounds the fetch of one result, also over the link between
	// regions: 64 MB take 18 s at 30 Mbit/s.
	fetchTimeout = time.Minute
	// callRetry is the time between two calls of the same command.
	callRetry = 200 * time.Millisecond
	// storeTimeout bounds one call to the store.
	storeTimeout = time.Second
	// storeRetry is the first pause between two calls to a store that fails.
	storeRetry = 250 * time.Millisecond
	// tickPeriod is the resolution of the scheduler's time limits.
	tickPeriod = 250 * time.Millisecond
	// maxTickGap is the time between two ticks from which this process was paused.
	maxTickGap = 4 * tickPeriod
	// decideGap bounds how often the policy is asked under a burst of events.
	decideGap = 3 * time.Millisecond
	// decideRest is the pause after a decision, in times that it took.
	decideRest = 9
	// longestDecideGap leaves urgent work 2.6 of its 3.6 s for the preemption
	// and the start.
	longestDecideGap = time.Second
	// orphanRetention is how long the result of an unknown attempt is kept for
	// an entry that submits its job again after a takeover.
	orphanRetention = 30 * time.Second
	// endedRetention is how long an ended job is remembered in memory.
	endedRetention = 5 * time.Minute
	// maxEnded and maxEndedBytes bound the memory of ended jobs and their results.
	maxEnded      = 20_000
	maxEndedBytes = 128 << 20
	// retryAfter is told to callers whose request was refused for lack of room.
	retryAfter = time.Second
)
