package fakeep

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("fakeep")

var (
	// ErrNoSlot means that as many tasks run as there are slots.
	ErrNoSlot = Error.New("no free slot")
	// ErrNoAccelerators means that fewer accelerators are free than the task needs.
	ErrNoAccelerators = Error.New("not enough free accelerators")
	// ErrNoTask means that no such task runs or, for Find, has recently ended.
	ErrNoTask = Error.New("no such task")
	// ErrFailed means that the task ran and failed.
	ErrFailed = Error.New("task failed")
	// ErrStopped means that the task was stopped before its end.
	ErrStopped = Error.New("task stopped")
	// ErrStopping means that the endpoint is shutting down and starts nothing.
	ErrStopping = Error.New("endpoint is stopping")
	// ErrInvalid means that a request has an invalid parameter or body.
	ErrInvalid = Error.New("invalid request")
)

const (
	// DefaultSlots, DefaultConnections and DefaultAccelerators are those of
	// the reference deployments.
	DefaultSlots        = 8
	DefaultConnections  = 64
	DefaultAccelerators = 8
	// DefaultLease is the task lease of a start without one.
	DefaultLease = 3 * time.Second
	// DefaultDrainTimeout is how long Serve lets running tasks finish after
	// its context has ended.
	DefaultDrainTimeout = 5 * time.Second
	// maxRecentlyEnded bounds the ended tasks whose results are kept.
	maxRecentlyEnded = 256
)

// Options configures an Endpoint; zero fields mean the defaults.
type Options struct {
	Slots        int // tasks that run at once
	Connections  int // open connections
	Accelerators int // of all running tasks
	// UsageLag is the age of the load that Usage reports.
	UsageLag time.Duration
	// DrainTimeout is how long Serve lets running tasks finish after its context
	// has ended.
	DrainTimeout time.Duration
	// RecordTo receives each event as one line of JSON when it happens, so that
	// the record outlives the process; nil means that it is kept in memory only.
	RecordTo io.Writer
	// Work computes a task's result; nil returns the body.
	Work func(attempt string, body []byte) []byte
}

// Endpoint is a fake endpoint.
type Endpoint struct {
	opts Options

	mu            sync.Mutex
	running       map[int]*Task  // by run number
	recentlyEnded []*Task        // oldest first
	startCounts   map[string]int // by attempt
	lastRun       int
	record        []Event
	violations    Violations
	usageHistory  []usagePoint // oldest first
	stopping      bool         // no task is started any more
	failTasks     bool
	delay         time.Duration // of every HTTP request
	thawed        chan struct{} // closed unless frozen
	conns         map[*conn]struct{}
}

// New returns an endpoint without tasks.
func New(opts Options) *Endpoint {
	setDefault(&opts.Slots, DefaultSlots)
	setDefault(&opts.Connections, DefaultConnections)
	setDefault(&opts.Accelerators, DefaultAccelerators)
	setDefault(&opts.DrainTimeout, DefaultDrainTimeout)
	if opts.Work == nil {
		opts.Work = func(_ string, body []byte) []byte { return body }
	}
	thawed := make(chan struct{})
	close(thawed)
	return &Endpoint{
		opts:        opts,
		running:     map[int]*Task{},
		startCounts: map[string]int{},
		thawed:      thawed,
		conns:       map[*conn]struct{}{},
	}
}

func setDefault[T comparable](option *T, value T) {
	if *option == *new(T) {
		*option = value
	}
}

// Spec describes a task to start.
type Spec struct {
	Attempt      string        // id of the attempt
	RunTime      time.Duration // at full speed
	Accelerators int
	// Lease is the time after which the task stops unless the lease is renewed; 0
	// means DefaultLease.
	Lease time.Duration
	Body  []byte // the task's input
}

// Start starts a task and returns it without waiting for its end. It fails if the
// task is beyond the limits, if spec is invalid or if the endpoint is stopping.
func (e *Endpoint) Start(spec Spec) (*Task, error) {
	if spec.Lease == 0 {
		spec.Lease = DefaultLease
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkStart(spec); err != nil {
		e.recordEvent(Event{
			Kind:         KindRefuse,
			Attempt:      spec.Attempt,
			Accelerators: spec.Accelerators,
			Detail:       codeOf(err),
		})
		return nil, Error.Wrap(fmt.Errorf("start %q: %w", spec.Attempt, err))
	}
	e.startCounts[spec.Attempt]++
	if e.startCounts[spec.Attempt] > 1 {
		e.violations.DoubleStarts++
	}
	e.lastRun++
	t := newTask(e, spec, e.lastRun)
	e.running[t.run] = t
	e.recordEvent(t.event(KindStart, ""))
	e.recordUsage()
	t.endIfDue()
	return t, nil
}

// checkStart returns the error for which a start is refused, or nil, and counts a
// start beyond the limits as a violation. The caller holds the mutex.
func (e *Endpoint) checkStart(spec Spec) error {
	if spec.Accelerators < 0 || spec.RunTime < 0 || spec.Lease < 0 {
		return fmt.Errorf("%w: negative number", ErrInvalid)
	}
	if e.stopping {
		return ErrStopping
	}
	if len(e.running) >= e.opts.Slots {
		e.violations.Slots++
		return ErrNoSlot
	}
	if e.usedAccelerators()+spec.Accelerators > e.opts.Accelerators {
		e.violations.Accelerators++
		return ErrNoAccelerators
	}
	return nil
}

func (e *Endpoint) usedAccelerators() int {
	used := 0
	for _, t := range e.running {
		used += t.spec.Accelerators
	}
	return used
}

// Find returns the task of an attempt that was started last, whether it runs or has
// recently ended, or ErrNoTask.
func (e *Endpoint) Find(attempt string) (*Task, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, t := range slices.Backward(e.knownTasks()) {
		if t.spec.Attempt == attempt {
			return t, nil
		}
	}
	return nil, Error.Wrap(fmt.Errorf("find %q: %w", attempt, ErrNoTask))
}

// knownTasks returns the running and the recently ended tasks in order of their
// starts.
func (e *Endpoint) knownTasks() []*Task {
	list := append(e.runningTasks(), e.recentlyEnded...)
	slices.SortFunc(list, func(a, b *Task) int { return a.run - b.run })
	return list
}

// runningTasks returns the running tasks in order of their starts.
func (e *Endpoint) runningTasks() []*Task {
	list := slices.Collect(maps.Values(e.running))
	slices.SortFunc(list, func(a, b *Task) int { return a.run - b.run })
	return list
}
