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
	// ErrNoTask means that no such task runs or is remembered.
	ErrNoTask = Error.New("no such task")
	// ErrFailed means that the task ran and failed.
	ErrFailed = Error.New("task failed")
	// ErrStopped means that the task was stopped before its end.
	ErrStopped = Error.New("task stopped")
	// ErrStopping means that the endpoint shuts down and starts nothing.
	ErrStopping = Error.New("endpoint is stopping")
	// ErrInvalid means that a request has a bad parameter.
	ErrInvalid = Error.New("invalid request")
)

const (
	// DefaultSlots, DefaultConnections and DefaultAccelerators are those of
	// the reference deployments.
	DefaultSlots        = 8
	DefaultConnections  = 64
	DefaultAccelerators = 8
	// DefaultLease is the task lease of a start that names none.
	DefaultLease = 3 * time.Second
	// DefaultDrain is how long Serve lets running tasks finish on a stop.
	DefaultDrain = 5 * time.Second
	// maxEnded bounds the ended tasks whose results are remembered.
	maxEnded = 256
)

// Options configures an Endpoint; zero fields mean the defaults.
type Options struct {
	Slots        int
	Connections  int
	Accelerators int
	// UsageLag is the age of what Usage reports.
	UsageLag time.Duration
	// Drain is how long Serve lets running tasks finish on a stop.
	Drain time.Duration
	// RecordTo receives each event as one line of JSON at once, so that the
	// record outlives the process; nil means none.
	RecordTo io.Writer
	// Work computes a task's result; nil returns the body.
	Work func(attempt string, body []byte) []byte
}

// Endpoint is one stand-in endpoint.
type Endpoint struct {
	opts Options

	mu          sync.Mutex
	running     map[int]*Task // by run
	recent      []*Task       // ended, oldest first
	started     map[string]int
	lastRun     int
	record      []Event
	violations  Violations
	history     []usagePoint
	stopping    bool
	failTasks   bool
	slow        time.Duration
	thawed      chan struct{} // closed unless frozen
	connections map[*conn]struct{}
}

// New returns an endpoint without tasks.
func New(opts Options) *Endpoint {
	setDefault(&opts.Slots, DefaultSlots)
	setDefault(&opts.Connections, DefaultConnections)
	setDefault(&opts.Accelerators, DefaultAccelerators)
	setDefault(&opts.Drain, DefaultDrain)
	if opts.Work == nil {
		opts.Work = func(_ string, body []byte) []byte { return body }
	}
	thawed := make(chan struct{})
	close(thawed)
	return &Endpoint{
		opts:        opts,
		running:     map[int]*Task{},
		started:     map[string]int{},
		thawed:      thawed,
		connections: map[*conn]struct{}{},
	}
}

func setDefault[T comparable](option *T, value T) {
	if *option == *new(T) {
		*option = value
	}
}

// Spec describes a task to start.
type Spec struct {
	Attempt      string
	Run          time.Duration
	Accelerators int
	// Lease is the time after which the task stops unless renewed; 0 means DefaultLease.
	Lease time.Duration
	Body  []byte
}

// Start starts a task and returns once it runs, or a refusal.
func (e *Endpoint) Start(spec Spec) (*Task, error) {
	if spec.Lease == 0 {
		spec.Lease = DefaultLease
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.refusal(spec); err != nil {
		e.note(Event{
			Kind:         KindRefuse,
			Attempt:      spec.Attempt,
			Accelerators: spec.Accelerators,
			Detail:       codeOf(err),
		})
		return nil, Error.Wrap(fmt.Errorf("start %q: %w", spec.Attempt, err))
	}
	e.started[spec.Attempt]++
	if e.started[spec.Attempt] > 1 {
		e.violations.DoubleStarts++
	}
	e.lastRun++
	t := newTask(e, spec, e.lastRun)
	e.running[t.run] = t
	e.note(t.event(KindStart, ""))
	e.noteUsage()
	t.step()
	return t, nil
}

// refusal counts a start beyond the limits.
func (e *Endpoint) refusal(spec Spec) error {
	if spec.Accelerators < 0 || spec.Run < 0 || spec.Lease < 0 {
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

// Find returns the latest start of an attempt, running or recently ended, or ErrNoTask.
func (e *Endpoint) Find(attempt string) (*Task, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, t := range slices.Backward(e.known()) {
		if t.spec.Attempt == attempt {
			return t, nil
		}
	}
	return nil, Error.Wrap(fmt.Errorf("find %q: %w", attempt, ErrNoTask))
}

// known lists the running and the recently ended tasks by their start.
func (e *Endpoint) known() []*Task {
	list := append(e.active(), e.recent...)
	slices.SortFunc(list, func(a, b *Task) int { return a.run - b.run })
	return list
}

// active lists the running tasks by their start.
func (e *Endpoint) active() []*Task {
	list := slices.Collect(maps.Values(e.running))
	slices.SortFunc(list, func(a, b *Task) int { return a.run - b.run })
	return list
}
