package sched

import (
	"net/netip"
	"time"

	"catkinpoint/admit"
	"catkinpoint/gang"
	"catkinpoint/place"
	"catkinpoint/wire"
)

// control is the state that the scheduler's goroutine owns.
type control struct {
	taken  time.Time // when the duty was taken
	loaded bool      // the job records were read

	workers  map[string]*worker
	jobs     map[string]*job
	queue    *admit.Queue[*job]
	attempts map[string]*attempt
	tasks    map[string]taskRef // by the id that agents know
	orphans  map[string]*orphan // by attempt

	// ended lists the jobs that have ended, in that order, and endedBytes is the
	// size of their results.
	ended      []*job
	endedBytes int

	customersVersion int64 // of the configuration that the queue follows

	guarantees        []place.Guarantee
	guaranteesKnown   bool
	guaranteesVersion int64 // of the configuration that the guarantees follow

	learner     *place.Learner
	health      *place.Health
	reservation *place.Reservation

	sequence   int64 // of attempts, so that no id is used twice
	dirty      bool
	lastDecide time.Time
	decideTook time.Duration // by the last decision
	lastTick   time.Time
	scheduled  bool // a delayed decision is on its way
	returned   time.Time
	inService  bool
	seenState  bool // a permit was seen, so inService is known
}

// worker is a worker as its agent last reported it.
type worker struct {
	report   *wire.Report
	address  netip.AddrPort
	lastSeen time.Time
	// acked says that the agent obeys this scheduler's epoch.
	acked bool
	lost  bool
}

// phase is how far a job has come.
type phase int

const (
	queued phase = iota
	running
	ending // the outcome is known and is being recorded
	ended
)

func (p phase) String() string {
	return [...]string{"queued", "running", "ending", "ended"}[p]
}

// job is one job at this scheduler.
type job struct {
	spec     *wire.Job
	body     []byte
	phase    phase
	record   *wire.JobRecord // nil for a job without a record
	revision int64
	deadline time.Time // zero means none

	// bodyHere is false for a job that is known from its record only.
	bodyHere bool

	number  int // of the last attempt
	tries   int // attempts that were repeated
	current *attempt
	// earlier is FAILED once an attempt ran, UNKNOWN once one may have run.
	earlier  wire.Fate
	atFault  bool // the job failed on several workers that serve others well
	resume   time.Duration
	notUntil time.Time // pause before the next attempt

	stopReason string // set once the job was cancelled or given up
	stopRetry  time.Duration
	// commitSent says that the record may name an attempt although no answer told so.
	commitSent bool
	releasing  bool // the record is being written back to accepted
	moved      bool // the record was changed by another process
	outcome    *wire.Outcome
	reroute    bool
	endedAt    time.Time
	waiters    map[chan struct{}]struct{}
}

// recorded says whether the job has a record in the store.
func (j *job) recorded() bool { return j.record != nil }

// attempt is one attempt of a job.
type attempt struct {
	id        string
	job       *job
	coord     *gang.Coordinator
	members   []*wire.Member
	results   [][]byte
	fetching  []bool          // whether the result is on its way
	received  []bool          // whether the result of the member is here
	saved     []time.Duration // checkpoint of each member
	placed    time.Time
	started   time.Time
	preempted bool
}

// taskRef is one member of an attempt.
type taskRef struct {
	attempt *attempt
	rank    int
}

// orphan is a task of an earlier scheduler that no known job accounts for.
type orphan struct {
	status *wire.TaskStatus
	worker string
	seen   time.Time
	// checked is the state of the task when its job record was looked up last.
	checked wire.TaskState
	// stale says that the record names other tasks or has ended.
	stale bool
	// expired means that nobody has asked for the result in time, so the agent
	// may forget the task.
	expired bool
	// stopping is set while a Stop is on its way, because its job is served elsewhere.
	stopping bool
}

func newControl(now time.Time, limits Limits) *control {
	return &control{
		taken:    now,
		workers:  make(map[string]*worker),
		jobs:     make(map[string]*job),
		attempts: make(map[string]*attempt),
		tasks:    make(map[string]taskRef),
		orphans:  make(map[string]*orphan),
		queue:    admit.NewQueue[*job](admit.QueueOptions{Limit: limits.QueueTotal}),
		learner:  place.NewLearner(),
		health:   place.NewHealth(place.HealthOptions{}),
	}
}
