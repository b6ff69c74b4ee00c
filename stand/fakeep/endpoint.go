package fakeep

import (
	"context"
	"fmt"
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
			Detail:       err.Error(),
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
	list := append([]*Task{}, e.recent...)
	for _, t := range e.running {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *Task) int { return a.run - b.run })
	return list
}

// apply calls f on every run of an attempt that has not ended, and lets the run
// go on from there.
func (e *Endpoint) apply(attempt string, f func(t *Task)) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	found := false
	for _, t := range e.running {
		if t.spec.Attempt != attempt {
			continue
		}
		t.step()
		if t.state != StateRunning {
			continue
		}
		found = true
		f(t)
		t.step()
	}
	if !found {
		return Error.Wrap(fmt.Errorf("find running %q: %w", attempt, ErrNoTask))
	}
	return nil
}

// Renew extends the lease of an attempt from now; 0 means the lease it was started with.
func (e *Endpoint) Renew(attempt string, lease time.Duration) error {
	return e.apply(attempt, func(t *Task) {
		if lease == 0 {
			lease = t.spec.Lease
		}
		// A lease that expired during a freeze is not revived.
		if time.Now().Before(t.leaseUntil) {
			t.leaseUntil = time.Now().Add(lease)
		}
	})
}

// Checkpoint records a checkpoint and returns the work done until now.
func (e *Endpoint) Checkpoint(attempt string) (time.Duration, error) {
	done := time.Duration(0)
	err := e.apply(attempt, func(t *Task) {
		done = t.worked
		e.note(t.event(KindCheckpoint, done.String()))
	})
	return done, err
}

// Throttle sets the speed of an attempt; 1 is full speed and 0 pauses it.
func (e *Endpoint) Throttle(attempt string, speed float64) error {
	if speed < 0 || speed > 1 {
		return Error.Wrap(fmt.Errorf("throttle %q to %v: %w", attempt, speed, ErrInvalid))
	}
	return e.apply(attempt, func(t *Task) {
		t.speed = speed
		e.note(t.event(KindThrottle, fmt.Sprint(speed)))
	})
}

// Stop ends an attempt now and returns the work it had done.
func (e *Endpoint) Stop(attempt string) (time.Duration, error) {
	done := time.Duration(0)
	err := e.apply(attempt, func(t *Task) {
		done = t.worked
		t.stopCause = "stopped by the caller"
	})
	return done, err
}

// Close stops all tasks.
func (e *Endpoint) Close() {
	e.Thaw()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, t := range e.running {
		t.stopCause = "endpoint closed"
		t.step()
	}
}

// Drain waits until no task runs, or until ctx ends.
func (e *Endpoint) Drain(ctx context.Context) error {
	for {
		t := e.anyRunning()
		if t == nil {
			return nil
		}
		select {
		case <-t.ended:
		case <-ctx.Done():
			return Error.Wrap(fmt.Errorf("drain: %w", ctx.Err()))
		}
	}
}

func (e *Endpoint) anyRunning() *Task {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, t := range e.running {
		return t
	}
	return nil
}
