package sched

import (
	"net/netip"
	"time"

	"catkinpoint/admit"
	"catkinpoint/gang"
	"catkinpoint/place"
	"catkinpoint/wire"
)

// control is the state that the control goroutine owns.
type control struct {
	takenAt     time.Time // when the scheduler was created, on taking the duty
	recordsRead bool      // the job records have been read from the store

	workers  map[string]*worker
	jobs     map[string]*job
	queue    *admit.Queue[*job]
	attempts map[string]*attempt
	tasks    map[string]taskRef // of all attempts, by task id
	orphans  map[string]*orphan // by task id

	// endedJobs lists the jobs that have ended, the earliest first, and endedBytes
	// is the size of their results.
	endedJobs  []*job
	endedBytes int

	customersVersion int64 // configuration version of the queue's customers

	guarantees        []place.Guarantee
	guaranteesKnown   bool
	guaranteesVersion int64 // configuration version of guarantees

	learner     *place.Learner
	health      *place.Health
	reservation *place.Reservation

	attemptSequence  int64 // number of the last attempt; makes attempt ids unique
	dirty            bool  // the state has changed since the last decision
	lastDecisionAt   time.Time
	lastDecisionTook time.Duration
	lastTick         time.Time
	decisionPending  bool      // a timer for the next decision is running
	returnedAt       time.Time // of the last return to service, zero if there was none
	inService        bool      // the data centre is in service; valid once permitSeen is set
	permitSeen       bool      // a permit has been received
}

// worker is the state of a worker by its agent's last report.
type worker struct {
	report   *wire.Report
	address  netip.AddrPort
	lastSeen time.Time
	// epochAcked means that the last report carried this scheduler's epoch.
	epochAcked bool
	lost       bool // silent for longer than Limits.WorkerLost
}

// phase is the progress of a job.
type phase int

const (
	queued phase = iota
	running
	ending // the job record is being written with the outcome, or back to accepted
	ended
)

func (p phase) String() string {
	return [...]string{"queued", "running", "ending", "ended"}[p]
}

// job is the state of one job at this scheduler.
type job struct {
	spec     *wire.Job
	body     []byte
	phase    phase
	record   *wire.JobRecord // nil for a job without a record
	revision int64           // of record in the store
	deadline time.Time       // zero means none

	// hasBody is false for a job that is known only from its record.
	hasBody bool

	lastAttempt int // number of the last attempt, at any scheduler
	retries     int // attempts that were retried; resuming after a preemption is none
	current     *attempt
	// earlierFate is FAILED once an attempt ran, UNKNOWN once one may have run.
	earlierFate wire.Fate
	faulty      bool          // considered faulty by place.Health
	resumeFrom  time.Duration // work saved by checkpoints of earlier attempts
	notBefore   time.Time     // earliest start of the next attempt

	stopReason     string // set once the job was cancelled or given up
	stopRetryAfter time.Duration
	// commitSent means that the record in the store may name an attempt, even if
	// no write of it was confirmed.
	commitSent    bool
	releasing     bool // the record is being written back to accepted
	recordChanged bool // another process has changed the record
	outcome       *wire.Outcome
	reroute       bool // the entry may submit the job to another data centre
	endedAt       time.Time
	waiters       map[chan struct{}]struct{}
}

// hasRecord reports whether the job has a record in the store.
func (j *job) hasRecord() bool { return j.record != nil }

// attempt is one attempt of a job. Its slices are indexed by rank.
type attempt struct {
	id          string
	job         *job
	coord       *gang.Coordinator
	members     []*wire.Member
	results     [][]byte
	fetching    []bool          // a fetch of the member's result is in progress
	received    []bool          // results has the member's result
	checkpoints []time.Duration // work saved by the member's last checkpoint
	placedAt    time.Time
	startedAt   time.Time // of the first Start, zero before it
	preempted   bool
}

// taskRef refers to the task of one member of an attempt.
type taskRef struct {
	attempt *attempt
	rank    int
}

// orphan is a task that an agent reports and that belongs to no current attempt,
// such as one that an earlier scheduler started.
type orphan struct {
	status   *wire.TaskStatus
	worker   string
	lastSeen time.Time // last report of the task before it ended
	// lookedUpState is the state of the task when its job record was last looked up.
	lookedUpState wire.TaskState
	// stale means that the job record names other tasks or has ended, so that nobody
	// will ask for the task's result.
	stale bool
	// expired means that no entry has submitted the job within orphanRetention, so
	// the agent may forget the task.
	expired bool
	// stopping is set while a Stop is in progress; see stopOrphan.
	stopping bool
}

func newControl(now time.Time, limits Limits) *control {
	return &control{
		takenAt:  now,
		workers:  make(map[string]*worker),
		jobs:     make(map[string]*job),
		attempts: make(map[string]*attempt),
		tasks:    make(map[string]taskRef),
		orphans:  make(map[string]*orphan),
		queue:    admit.NewQueue[*job](admit.QueueOptions{Limit: limits.MaxQueued}),
		learner:  place.NewLearner(),
		health:   place.NewHealth(place.HealthOptions{}),
	}
}
