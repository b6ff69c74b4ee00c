package trace

import (
	"container/heap"
	"fmt"
	"time"

	"catkinpoint/place"
)

const (
	// tickInterval is the longest time between two decisions in a data centre
	// while jobs are queued in it.
	tickInterval = 30 * time.Second
	// failureDelay is how long a task takes to fail on a worker that fails everything.
	failureDelay = 2 * time.Second
	// maxTraceLengths is the multiple of the trace's length at which the replay
	// stops; jobs that have not ended by then count as stuck.
	maxTraceLengths = 4
	// A data centre that returns to service may use returnStepShare of its
	// capacity at first, and as much more after each returnStepInterval.
	returnStepInterval = 5 * time.Second
	returnStepShare    = 0.25
)

// epoch is the wall-clock time of offset zero in every replay.
var epoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// jobPhase is the phase of a job's life cycle.
type jobPhase int

const (
	phaseUnrouted jobPhase = iota // no data centre in service can take it
	phaseQueued
	phaseRunning
	phaseStopping
	phaseDone
	phaseCancelled
	phaseRefused // by every data centre
	phaseFailed  // found faulty by place.Health
)

// jobState is the state of one job during the replay.
type jobState struct {
	*Job
	class *Class
	phase jobPhase
	// dataCentre is the data centre in which the job is queued or running, or
	// nil if it is unrouted.
	dataCentre *dataCentreState
	// runVersion changes whenever a scheduled event of the job becomes void;
	// events with another runVersion are dropped.
	runVersion       int
	checkpointedWork time.Duration // run time that earlier runs have checkpointed
	runStarted       time.Duration // start of the present run
	firstStarted     time.Duration // start of the first run
	started          bool          // at least once
	withinGuarantee  bool          // fitted its customer's unused guarantees when queued at submission
	ended            time.Duration
	refusedBy        map[*dataCentreState]bool
}

// dataCentreState is the state of one data centre during the replay.
type dataCentreState struct {
	*DataCentre
	placement     place.State
	needsDecision bool // something has changed since the last decision
	tickPending   bool // a tickEvent is scheduled
}

// eventKind is the kind of an event.
type eventKind int

const (
	submitEvent  eventKind = iota
	cancelEvent            // the caller cancels the job
	endEvent               // a run succeeds
	failEvent              // a run fails
	stoppedEvent           // a preempted job has stopped
	leaveEvent             // a data centre leaves service
	returnEvent            // a data centre returns to service, one step
	tickEvent              // a decision without a change
)

// event is a scheduled event of a job or of a data centre.
type event struct {
	due        time.Duration
	seq        int // orders events that are due at the same time
	kind       eventKind
	job        *jobState        // nil for an event of a data centre
	runVersion int              // of the job when the event was scheduled
	dataCentre *dataCentreState // nil for an event of a job
	step       int              // of a returnEvent, from 0
}

// eventHeap is a heap whose root is the next event.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(a, b int) bool {
	if h[a].due != h[b].due {
		return h[a].due < h[b].due
	}
	return h[a].seq < h[b].seq
}
func (h eventHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// replay is the state of one run of a trace under a policy.
type replay struct {
	trace       *Trace
	policy      place.Policy
	dataCentres []*dataCentreState
	jobs        map[string]*jobState
	events      eventHeap
	lastSeq     int           // seq of the event that was scheduled last
	now         time.Duration // virtual clock
	learner     *place.Learner
	health      *place.Health
	recorder    recorder
}

// Replay runs the trace under the policy on a virtual clock and returns the
// results. It stops when no event is left, or at four times the length of the
// trace. It fails if an action of the policy is invalid or breaks a guarantee.
func Replay(t *Trace, p place.Policy) (*Outcome, error) {
	r := newReplay(t, p)
	for len(r.events) > 0 {
		next := r.events[0].due
		if next > maxTraceLengths*t.Length {
			break
		}
		r.recorder.advance(r, next)
		r.now = next
		for len(r.events) > 0 && r.events[0].due == next {
			r.handleEvent(heap.Pop(&r.events).(event))
		}
		for _, dc := range r.dataCentres {
			if err := r.decide(dc); err != nil {
				return nil, Error.New("%s under %s at %v: %w", t.Name, p.Name(), r.now, err)
			}
		}
	}
	return r.outcome()
}

// newReplay returns a replay whose events are the submissions and cancellations
// of the jobs and the absences of data centres.
func newReplay(t *Trace, p place.Policy) *replay {
	r := &replay{
		trace: t, policy: p, jobs: make(map[string]*jobState, len(t.Jobs)),
		learner: place.NewLearner(), health: place.NewHealth(place.HealthOptions{}),
	}
	for i := range t.DataCentres {
		d := &t.DataCentres[i]
		dc := &dataCentreState{DataCentre: d, placement: place.State{
			DataCentre: d.Name, InService: true, CapacityShare: 1,
			Guarantees: d.Guarantees, Customers: t.Customers,
		}}
		for w := range d.Workers {
			dc.placement.Workers = append(dc.placement.Workers, place.Worker{
				Name: fmt.Sprintf("%s-%d", d.Name, w), Rack: fmt.Sprintf("%s-r%d", d.Name, w/d.WorkersPerRack),
				Accelerators: d.AcceleratorsPerWorker, Slots: d.SlotsPerWorker, Ready: true,
			})
		}
		r.dataCentres = append(r.dataCentres, dc)
		if d.ReturnsAt > 0 {
			r.push(event{due: d.LeavesAt, kind: leaveEvent, dataCentre: dc})
			r.push(event{due: d.ReturnsAt, kind: returnEvent, dataCentre: dc})
		}
	}
	for i := range t.Jobs {
		j := &t.Jobs[i]
		job := &jobState{Job: j, class: &t.Classes[j.Class], refusedBy: make(map[*dataCentreState]bool)}
		r.jobs[j.ID] = job
		r.push(event{due: j.Submitted, kind: submitEvent, job: job})
		if j.CancelledAt > 0 {
			r.push(event{due: max(j.CancelledAt, j.Submitted), kind: cancelEvent, job: job})
		}
	}
	return r
}

// push schedules the event.
func (r *replay) push(e event) {
	r.lastSeq++
	e.seq = r.lastSeq
	heap.Push(&r.events, e)
}

// handleEvent applies an event, or drops it if it belongs to a run that is over.
func (r *replay) handleEvent(e event) {
	if e.job != nil && e.kind != submitEvent && e.kind != cancelEvent && e.runVersion != e.job.runVersion {
		return
	}
	switch e.kind {
	case submitEvent:
		r.route(e.job)
	case cancelEvent:
		r.cancelJob(e.job)
	case endEvent:
		r.completeJob(e.job)
	case failEvent:
		r.failRun(e.job)
	case stoppedEvent:
		r.removeRunning(e.job)
		r.route(e.job)
	case leaveEvent:
		r.leaveService(e.dataCentre)
	case returnEvent:
		r.returnToService(e.dataCentre, e.step)
	case tickEvent:
		e.dataCentre.tickPending = false
		e.dataCentre.needsDecision = true
	}
}

// removeRunning removes the job from the running ones of its data centre and
// returns its run.
func (r *replay) removeRunning(job *jobState) place.Running {
	dc := job.dataCentre
	dc.needsDecision = true
	for i := range dc.placement.Running {
		if dc.placement.Running[i].Job.ID == job.ID {
			run := dc.placement.Running[i]
			dc.placement.Running = append(dc.placement.Running[:i:i], dc.placement.Running[i+1:]...)
			return run
		}
	}
	return place.Running{}
}

// dequeue removes the job from the queue of its data centre and returns it.
func (r *replay) dequeue(job *jobState) place.Job {
	q := job.dataCentre.placement.Queue
	for i := range q {
		if q[i].ID == job.ID {
			j := q[i]
			job.dataCentre.placement.Queue = append(q[:i:i], q[i+1:]...)
			return j
		}
	}
	return place.Job{}
}

// endJob puts the job into a final phase.
func (r *replay) endJob(job *jobState, phase jobPhase) {
	job.runVersion++
	job.phase, job.ended = phase, r.now
	r.health.ForgetJob(job.ID)
}

// completeJob ends a job whose run has succeeded.
func (r *replay) completeJob(job *jobState) {
	run := r.removeRunning(job)
	for _, w := range run.Workers {
		r.health.RecordSuccess(job.ID, w, epoch.Add(r.now))
	}
	r.learner.RecordRunTime(job.class.Name, job.RunTime)
	r.endJob(job, phaseDone)
}

// failRun ends a run that has failed, and routes the job again unless place.Health
// finds the job faulty. The failure is recorded against the last worker of the
// run that fails every task at present, or else against its first worker.
func (r *replay) failRun(job *jobState) {
	run := r.removeRunning(job)
	failedWorker := run.Workers[0]
	for _, w := range run.Workers {
		if r.workerFails(w) {
			failedWorker = w
		}
	}
	job.runVersion++
	if r.health.RecordFailure(job.ID, []string{failedWorker}, epoch.Add(r.now)) {
		r.endJob(job, phaseFailed)
		return
	}
	r.route(job)
}

// cancelJob ends the job as cancelled, unless it has ended already.
func (r *replay) cancelJob(job *jobState) {
	switch job.phase {
	case phaseQueued:
		r.dequeue(job)
	case phaseRunning, phaseStopping:
		r.recorder.recordCancellation(job, r.elapsedRun(job), r.now)
		r.removeRunning(job)
	case phaseUnrouted:
	default:
		return
	}
	r.endJob(job, phaseCancelled)
}

// elapsedRun returns the time since the start of the job's present run.
func (r *replay) elapsedRun(job *jobState) time.Duration {
	return r.now - job.runStarted
}

// workerFails reports whether a fault of the trace makes the worker fail every
// task at the present time.
func (r *replay) workerFails(worker string) bool {
	for _, f := range r.trace.Faults {
		if f.Worker == worker && f.From <= r.now && r.now < f.Until {
			return true
		}
	}
	return false
}

// leaveService takes the data centre out of service and routes its queued jobs to
// other ones. Running jobs go on.
func (r *replay) leaveService(dc *dataCentreState) {
	dc.placement.InService = false
	dc.needsDecision = true
	queued := dc.placement.Queue
	dc.placement.Queue = nil
	for _, j := range queued {
		r.route(r.jobs[j.ID])
	}
}

// returnToService raises the capacity that the data centre may use to that of the
// given step, from 0, and schedules the next step. The first step also routes
// the jobs that no data centre could take.
func (r *replay) returnToService(dc *dataCentreState, step int) {
	dc.placement.InService = true
	dc.placement.CapacityShare = min(1, returnStepShare*float64(step+1))
	dc.needsDecision = true
	if dc.placement.CapacityShare < 1 {
		r.push(event{due: r.now + returnStepInterval, kind: returnEvent, dataCentre: dc, step: step + 1})
	}
	if step > 0 {
		return
	}
	for i := range r.trace.Jobs {
		if job := r.jobs[r.trace.Jobs[i].ID]; job.phase == phaseUnrouted && job.Submitted <= r.now {
			r.route(job)
		}
	}
}
