package fakewk

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"catkinpoint/flow"
	"catkinpoint/graph"
	"catkinpoint/relay"
)

// Error is the class of all errors of this package.
var Error = errs.Class("fakewk")

// ErrSilent is the error of a call without an answer.
var ErrSilent = Error.New("no answer")

const (
	// clockRate is how fast the worker's clock goes: the slowest that is allowed.
	clockRate = 0.98
	// listPause is the pause between two looks of a call that waits for an end.
	listPause = 10 * time.Millisecond
)

// Run is one run in the record.
type Run struct {
	Task  string
	Run   int64
	Began time.Time
	// Ended is zero while it runs.
	Ended time.Time
	// How is the end that the worker lists; it is empty after a crash.
	How string
	// members is the size of its gang, or 0.
	members int
}

// Worker is one worker and its successors at the same address.
type Worker struct {
	mu      sync.Mutex
	site    *Site
	id      string
	born    int64
	started time.Time
	took    time.Duration
	epoch   int64
	// deadline is the end of the task lease, on the worker's clock.
	deadline time.Duration
	running  map[string]*Run
	refused  map[string]int64 // highest run that was stopped or has ended
	ends     []*flow.End
	number   int64
	silent   bool
	gone     bool
	late     time.Duration
	record   []*Run
}

var _ relay.Worker = (*Worker)(nil)

// New returns a worker of a site whose tasks take the given time.
func New(site *Site, id string, took time.Duration) *Worker {
	w := &Worker{site: site, id: id, took: took, refused: map[string]int64{}, running: map[string]*Run{}}
	w.restart()
	return w
}

// restart begins a new process; the caller holds the lock, if there is one yet.
func (w *Worker) restart() {
	w.born, w.started = time.Now().UnixMilli(), time.Now()
	w.epoch, w.deadline, w.number, w.ends, w.gone = 0, 0, 0, nil, false
	w.running, w.refused = map[string]*Run{}, map[string]int64{}
}

// Beat returns a heartbeat; sequence must grow.
func (w *Worker) Beat(sequence int64, info *flow.Worker) relay.Heartbeat {
	w.mu.Lock()
	defer w.mu.Unlock()
	info.Id, info.BornMs = w.id, w.born
	return relay.Heartbeat{Worker: info, Clock: w.clock(), Sequence: sequence}
}

// clock returns the worker's clock; the caller holds the lock.
func (w *Worker) clock() time.Duration {
	return time.Second + time.Duration(clockRate*float64(time.Since(w.started)))
}

// SetSilent makes the worker leave all calls without an answer, or answer again.
func (w *Worker) SetSilent(silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = silent
}

// SetLate makes the worker leave starts without an answer and carry them out
// after a time; 0 ends that.
func (w *Worker) SetLate(late time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.late = late
}

// Leave ends the process without a word; nothing listens at its address then.
func (w *Worker) Leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crash()
	w.gone = true
}

// Gone tells whether the process has ended without a successor.
func (w *Worker) Gone() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gone
}

// Crash ends the process, and a new one takes its place at once.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crash()
	w.restart()
}

// crash ends all runs without an end that could be listed.
func (w *Worker) crash() {
	for _, r := range w.running {
		r.Ended = time.Now()
		w.leave(r, r.Ended)
	}
	w.running = map[string]*Run{}
}

// Record returns all runs so far.
func (w *Worker) Record() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pass()
	runs := make([]Run, len(w.record))
	for i, r := range w.record {
		runs[i] = *r
	}
	return runs
}

// pass ends what has ended since the last call; the caller holds the lock.
func (w *Worker) pass() {
	left := time.Duration(float64(w.deadline-w.clock()) / clockRate)
	lapse := time.Now().Add(left)
	for task, r := range w.running {
		how, at := w.fate(r)
		switch {
		case how != "" && !at.After(lapse):
			w.end(task, how, at)
		case left <= 0:
			w.end(task, graph.EndLeaseExpired, lapse)
		}
	}
}

// fate returns how and when a run ends by itself or by its gang, or "".
func (w *Worker) fate(r *Run) (how string, at time.Time) {
	if r.members > 0 {
		return w.site.end(r.Task, r.Run, r.Began, w.took)
	}
	if done := r.Began.Add(w.took); !done.After(time.Now()) {
		return graph.EndDone, done
	}
	return "", time.Time{}
}

// leave tells the others of a gang that a run has ended without being done.
func (w *Worker) leave(r *Run, at time.Time) {
	if r.members > 0 {
		w.site.leave(r.Task, r.Run, at)
	}
}

func (w *Worker) end(task, how string, at time.Time) {
	r := w.running[task]
	delete(w.running, task)
	r.Ended, r.How = at, how
	if how != graph.EndDone {
		w.leave(r, at)
	}
	w.refused[task] = max(w.refused[task], r.Run)
	w.number++
	w.ends = append(w.ends, &flow.End{Number: w.number, Task: task, Run: r.Run, How: how})
}

// enter judges a call; the caller holds the lock.
func (w *Worker) enter(call relay.Call) (string, error) {
	switch {
	case w.gone:
		return "", relay.ErrNoWorker
	case w.silent:
		return "", ErrSilent
	case call.Worker != w.id:
		return "", relay.ErrOtherWorker
	case call.Epoch < w.epoch:
		return graph.RefusedStaleEpoch, nil
	}
	w.pass()
	w.epoch = call.Epoch
	w.deadline = max(w.deadline, call.Deadline)
	return "", nil
}

// Start implements relay.Worker.
func (w *Worker) Start(_ context.Context, call relay.Call, start *flow.Start) (string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.late == 0 || w.gone {
		return w.begin(call, start)
	}
	born := w.born
	time.AfterFunc(w.late, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.born == born {
			_, _ = w.begin(call, start) // nobody waits for the answer
		}
	})
	return "", ErrSilent
}

func (w *Worker) begin(call relay.Call, start *flow.Start) (string, error) {
	if reason, err := w.enter(call); err != nil || reason != "" {
		return reason, err
	}
	if r := w.running[start.GetTask()]; r != nil && r.Run == start.GetRun() {
		return relay.AnswerStarted, nil
	}
	switch {
	case start.GetRun() <= w.refused[start.GetTask()] || w.running[start.GetTask()] != nil:
		return graph.RefusedStaleRun, nil
	case call.Deadline <= w.clock():
		return graph.RefusedExpired, nil
	}
	r := &Run{Task: start.GetTask(), Run: start.GetRun(), Began: time.Now(), members: membersOf(start.GetSpec())}
	if r.members > 0 {
		w.site.join(r.Task, r.Run, r.members)
	}
	w.running[start.GetTask()] = r
	w.record = append(w.record, r)
	return relay.AnswerStarted, nil
}

// Stop implements relay.Worker.
func (w *Worker) Stop(_ context.Context, call relay.Call, stop *flow.Stop) (string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if reason, err := w.enter(call); err != nil || reason != "" {
		return reason, err
	}
	w.refused[stop.GetTask()] = max(w.refused[stop.GetTask()], stop.GetRun())
	if r := w.running[stop.GetTask()]; r != nil && r.Run == stop.GetRun() {
		w.end(stop.GetTask(), graph.EndStopped, time.Now())
	}
	return "", nil
}

// Hold implements relay.Worker.
func (w *Worker) Hold(ctx context.Context, call relay.Call, observed int64, wait time.Duration) (relay.RunLists, error) {
	until := time.Now().Add(wait)
	for {
		lists, listed, err := w.lists(call, observed)
		if err != nil || listed || !time.Now().Before(until) {
			return lists, err
		}
		select {
		case <-ctx.Done():
			return relay.RunLists{}, Error.Wrap(ctx.Err())
		case <-time.After(listPause):
		}
	}
}

// lists looks once, and tells whether there is an end that is not observed.
func (w *Worker) lists(call relay.Call, observed int64) (relay.RunLists, bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	reason, err := w.enter(call)
	if err != nil {
		return relay.RunLists{}, false, err
	}
	if reason != "" {
		return relay.RunLists{}, false, Error.New("hold refused: %s", reason)
	}
	w.ends = slices.DeleteFunc(w.ends, func(e *flow.End) bool { return e.GetNumber() <= observed })
	lists := relay.RunLists{Clock: w.clock(), Born: w.born, Ends: slices.Clone(w.ends)}
	for _, r := range w.running {
		percent := int32(100 * time.Since(r.Began) / w.took)
		lists.Running = append(lists.Running, &flow.Run{Task: r.Task, Run: r.Run, Percent: percent})
	}
	return lists, len(w.ends) > 0, nil
}
