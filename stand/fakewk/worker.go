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

// ErrNoAnswer is returned by a call that the worker leaves unanswered.
var ErrNoAnswer = Error.New("no answer")

const (
	// clockRate is the rate of the worker's clock relative to real time, the
	// slowest that is allowed.
	clockRate = 0.98
	// pollInterval is the interval at which Hold checks whether a run has ended.
	pollInterval = 10 * time.Millisecond
)

// Run is one run of a task in the record.
type Run struct {
	Task  string
	Run   int64
	Began time.Time
	// Ended is zero while it runs.
	Ended time.Time
	// How is the kind of end that the worker lists, such as graph.EndDone. It is
	// empty while the task runs, and stays empty after a crash.
	How string
	// gangSize is the number of members of its gang, or 0 without a gang.
	gangSize int
}

// Worker is a fake worker: a process and the ones that replace it at its address.
type Worker struct {
	mu           sync.Mutex
	coordinator  *Coordinator
	id           string
	born         int64         // start of the process in Unix milliseconds; identifies it
	processStart time.Time     // the same moment, for the worker's clock
	runTime      time.Duration // of every task
	epoch        int64         // of the latest accepted call
	// deadline is the end of the task lease, on the worker's clock.
	deadline      time.Duration
	running       map[string]*Run  // by task
	highestEnded  map[string]int64 // by task, the highest run that was stopped or has ended
	ends          []*flow.End      // not observed yet
	lastEndNumber int64
	silent        bool // calls get no answer
	killed        bool // the process has ended without a successor
	startDelay    time.Duration
	record        []*Run // of all processes, oldest first
}

var _ relay.Worker = (*Worker)(nil)

// New returns a worker whose tasks take runTime. Gangs can span the workers that
// share coordinator.
func New(coordinator *Coordinator, id string, runTime time.Duration) *Worker {
	w := &Worker{coordinator: coordinator, id: id, runTime: runTime, highestEnded: map[string]int64{}, running: map[string]*Run{}}
	w.startProcess()
	return w
}

// startProcess resets the state to that of a new process. The caller holds the
// lock, unless no other goroutine has the worker yet.
func (w *Worker) startProcess() {
	w.born, w.processStart = time.Now().UnixMilli(), time.Now()
	w.epoch, w.deadline, w.lastEndNumber, w.ends, w.killed = 0, 0, 0, nil, false
	w.running, w.highestEnded = map[string]*Run{}, map[string]int64{}
}

// Heartbeat returns a heartbeat. It sets the id and the start time of the process
// in info; sequence must be above that of the previous heartbeat.
func (w *Worker) Heartbeat(sequence int64, info *flow.Worker) relay.Heartbeat {
	w.mu.Lock()
	defer w.mu.Unlock()
	info.Id, info.BornMs = w.id, w.born
	return relay.Heartbeat{Worker: info, Clock: w.clock(), Sequence: sequence}
}

// clock returns the time on the worker's clock. The caller holds the lock.
func (w *Worker) clock() time.Duration {
	return time.Second + time.Duration(clockRate*float64(time.Since(w.processStart)))
}

// SetSilent makes the worker leave all calls unanswered and without effect, or
// answer again.
func (w *Worker) SetSilent(silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = silent
}

// SetStartDelay makes the worker leave starts unanswered and carry them out after
// the given time; 0 ends the fault.
func (w *Worker) SetStartDelay(delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.startDelay = delay
}

// Kill ends the process without notice. Nothing listens at its address afterwards.
func (w *Worker) Kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashRuns()
	w.killed = true
}

// Killed reports whether the process has ended without a successor.
func (w *Worker) Killed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.killed
}

// CrashAndRestart ends the process without notice and starts a new one at once.
func (w *Worker) CrashAndRestart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashRuns()
	w.startProcess()
}

// crashRuns ends all runs without listing their ends.
func (w *Worker) crashRuns() {
	for _, r := range w.running {
		r.Ended = time.Now()
		w.breakGang(r, r.Ended)
	}
	w.running = map[string]*Run{}
}

// Record returns a copy of all runs so far, including those of earlier processes.
func (w *Worker) Record() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDueRuns()
	runs := make([]Run, len(w.record))
	for i, r := range w.record {
		runs[i] = *r
	}
	return runs
}

// endDueRuns records the ends that have become due since the last call, at the
// times at which they were due. The caller holds the lock.
func (w *Worker) endDueRuns() {
	leaseLeft := time.Duration(float64(w.deadline-w.clock()) / clockRate)
	leaseEnd := time.Now().Add(leaseLeft)
	for task, r := range w.running {
		how, at := w.dueEnd(r)
		switch {
		case how != "" && !at.After(leaseEnd):
			w.endRun(task, how, at)
		case leaseLeft <= 0:
			w.endRun(task, graph.EndLeaseExpired, leaseEnd)
		}
	}
}

// dueEnd returns how and when a run has ended because it is done or because of its
// gang, or "" while it goes on.
func (w *Worker) dueEnd(r *Run) (how string, at time.Time) {
	if r.gangSize > 0 {
		return w.coordinator.memberEnd(r.Task, r.Run, r.Began, w.runTime)
	}
	if done := r.Began.Add(w.runTime); !done.After(time.Now()) {
		return graph.EndDone, done
	}
	return "", time.Time{}
}

// breakGang ends the other members of a run's gang, if it has one, because the run
// has ended before it was done.
func (w *Worker) breakGang(r *Run, at time.Time) {
	if r.gangSize > 0 {
		w.coordinator.markBroken(r.Task, r.Run, at)
	}
}

// endRun ends the current run of a task and lists its end.
func (w *Worker) endRun(task, how string, at time.Time) {
	r := w.running[task]
	delete(w.running, task)
	r.Ended, r.How = at, how
	if how != graph.EndDone {
		w.breakGang(r, at)
	}
	w.highestEnded[task] = max(w.highestEnded[task], r.Run)
	w.lastEndNumber++
	w.ends = append(w.ends, &flow.End{Number: w.lastEndNumber, Task: task, Run: r.Run, How: how})
}

// acceptCall checks the worker and the epoch of a call, adopts the epoch and extends
// the task lease to the call's deadline. Its answer is that the call is carried out, a
// rejection, or that the call does not reach this worker or gets no answer. The caller
// holds the lock.
func (w *Worker) acceptCall(call relay.Call) relay.Answer {
	switch {
	case w.killed:
		return relay.NotReached(relay.ErrNoWorker)
	case w.silent:
		return relay.Unknown(ErrNoAnswer)
	case call.Worker != w.id:
		return relay.NotReached(relay.ErrOtherWorker)
	case call.Epoch < w.epoch:
		return relay.NothingDone(graph.RefusedStaleEpoch)
	}
	w.endDueRuns()
	w.epoch = call.Epoch
	w.deadline = max(w.deadline, call.Deadline)
	return relay.Done()
}

// Start implements relay.Worker.
func (w *Worker) Start(_ context.Context, call relay.Call, start *flow.Start) relay.Answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.startDelay == 0 || w.killed {
		return w.startRun(call, start)
	}
	born := w.born
	time.AfterFunc(w.startDelay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.born == born {
			w.startRun(call, start) // the caller has got ErrNoAnswer already
		}
	})
	return relay.Unknown(ErrNoAnswer)
}

// startRun carries out a start. The caller holds the lock.
func (w *Worker) startRun(call relay.Call, start *flow.Start) relay.Answer {
	if answer := w.acceptCall(call); answer.Effect() != relay.EffectDone {
		return answer
	}
	if r := w.running[start.GetTask()]; r != nil && r.Run == start.GetRun() {
		return relay.Done()
	}
	switch {
	case start.GetRun() <= w.highestEnded[start.GetTask()] || w.running[start.GetTask()] != nil:
		return relay.NothingDone(graph.RefusedStaleRun)
	case call.Deadline <= w.clock():
		return relay.NothingDone(graph.RefusedExpired)
	}
	r := &Run{Task: start.GetTask(), Run: start.GetRun(), Began: time.Now(), gangSize: gangSize(start.GetSpec())}
	if r.gangSize > 0 {
		w.coordinator.join(r.Task, r.Run, r.gangSize)
	}
	w.running[start.GetTask()] = r
	w.record = append(w.record, r)
	return relay.Done()
}

// Stop implements relay.Worker.
func (w *Worker) Stop(_ context.Context, call relay.Call, stop *flow.Stop) relay.Answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	answer := w.acceptCall(call)
	if answer.Effect() != relay.EffectDone {
		return answer
	}
	w.highestEnded[stop.GetTask()] = max(w.highestEnded[stop.GetTask()], stop.GetRun())
	if r := w.running[stop.GetTask()]; r != nil && r.Run == stop.GetRun() {
		w.endRun(stop.GetTask(), graph.EndStopped, time.Now())
	}
	return answer
}

// Hold implements relay.Worker.
func (w *Worker) Hold(ctx context.Context, call relay.Call, observed int64, wait time.Duration) (relay.RunLists, relay.Answer) {
	until := time.Now().Add(wait)
	for {
		lists, answer := w.runLists(call, observed)
		if answer.Effect() != relay.EffectDone || len(lists.Ends) > 0 || !time.Now().Before(until) {
			return lists, answer
		}
		select {
		case <-ctx.Done():
			return relay.RunLists{}, relay.Unknown(Error.Wrap(ctx.Err()))
		case <-time.After(pollInterval):
		}
	}
}

// runLists forgets the ends that were observed and returns the lists.
func (w *Worker) runLists(call relay.Call, observed int64) (relay.RunLists, relay.Answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	answer := w.acceptCall(call)
	if answer.Effect() != relay.EffectDone {
		return relay.RunLists{}, answer
	}
	w.ends = slices.DeleteFunc(w.ends, func(e *flow.End) bool { return e.GetNumber() <= observed })
	lists := relay.RunLists{Clock: w.clock(), Born: w.born, Ends: slices.Clone(w.ends)}
	for _, r := range w.running {
		percent := int32(100 * time.Since(r.Began) / w.runTime)
		lists.Running = append(lists.Running, &flow.Run{Task: r.Task, Run: r.Run, Percent: percent})
	}
	return lists, answer
}
