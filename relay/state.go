package relay

import (
	"time"

	"catkinpoint/clock"
	"catkinpoint/flow"
	"catkinpoint/graph"
)

// runKey identifies a run of a task.
type runKey struct {
	task string
	run  int64
}

// startPhase is the progress of an ordered start.
type startPhase int

const (
	startPending  startPhase = iota // to be sent when the permit and the lease allow
	startSending                    // a call to the worker is pending
	startRevoking                   // given up; a stop ensures that the run cannot start
)

// start is an ordered start of a run that the worker does not list yet.
type start struct {
	order *flow.Start
	phase startPhase
	tries int // calls sent to the worker
	// unansweredTries is the number of them that may have been or may still be carried out.
	unansweredTries int
	// withdrawn is set once the scheduler no longer orders the start: it may count the run
	// as over, so that no further call must be made.
	withdrawn bool
	// leaseLeft is the lease that the last call asked for, and clockAge the age of the
	// reading of the worker's clock by which it was computed; both are for the log.
	leaseLeft, clockAge time.Duration
	// reachedWorker is false while none of the calls has reached the worker's process.
	reachedWorker bool
	// reason is reported with the refusal once a stop is answered.
	reason string
}

// stop is an ordered stop.
type stop struct {
	order   *flow.Stop
	sending bool // a call to the worker is pending
	// nextTryAt is the earliest time to send the stop again, on the relay's clock.
	nextTryAt  time.Duration
	lastAnswer string // to the last call, for the log
	// answeredAtHold is the number of the last hold that was sent before the worker
	// answered that it has carried out the stop. The answer to a later hold shows
	// whether the run exists. 0 means that the stop is not carried out.
	answeredAtHold int64
}

// state is all that the relay knows of its worker and of its orders. One goroutine
// owns it. Times on the relay's clock are of clock.Monotonic.
type state struct {
	worker        *flow.Worker
	heartbeatSeq  int64
	heartbeatAt   time.Duration // relay's clock; when the last heartbeat was taken
	replacements  int64         // number of processes that have become the worker
	epoch         int64
	fencedEpoch   int64 // the worker rejects calls of this epoch, and of lower ones
	listed        bool  // a hold was answered, so running and ends are complete for this worker and epoch
	running       map[runKey]*flow.Run
	startedAtHold map[runKey]int64 // runs known from the answer to their start, with the last hold sent before it
	// startedSince is when the worker confirmed the start of a run or, without an
	// answer, when the first call was sent, on the relay's clock. It has the runs that
	// are on the worker or may still start there.
	startedSince map[runKey]time.Duration
	// silentStarts has the starts of which a call had no answer: true if all such calls ended
	// at their time limit, so that their connections did not break.
	silentStarts map[runKey]bool
	ends         map[int64]*flow.End // by number, until the scheduler has stored them
	refusals     map[runKey]string   // reasons, of runs that will never start
	starts       map[runKey]*start
	stops        map[runKey]*stop
	// startCalls and stopCalls are the numbers of pending calls to the worker.
	startCalls, stopCalls int

	// openStarts has when the last call was sent of each start of which a call has no answer.
	// Such a call may still be carried out, also by the worker's next process under the same
	// id, which knows no stops of before.
	openStarts map[runKey]time.Duration

	crashes   []crash // not stored by a scheduler yet, oldest first
	lastCrash int64   // number of the last crash

	observed     int64 // the scheduler has stored the ends up to this number
	observedSent int64 // the value of observed that the worker has received

	// workerClock is the last known reading of the worker's clock, which arrived at
	// workerClockReadAt on the relay's clock. clockConfirmed is set if the worker gave it in
	// an answer: a heartbeat may be of another sender.
	workerClock       time.Duration
	workerClockReadAt time.Duration
	clockConfirmed    bool

	workerKnownAt       time.Duration // relay's clock; when the worker's process became known
	lease               time.Duration // length of the task lease in the last orders, or 0
	leaseUntil          time.Duration // relay's clock; end of the task lease that the scheduler allows
	leaseSentUntil      time.Duration // relay's clock; the end of the lease that calls to the worker asked for
	maxDeadlineSent     time.Duration // worker's clock; the latest lease deadline sent to the worker
	deadlineUnconfirmed bool          // the last call failed, so the worker may lack the deadline
	startsAllowedUntil  time.Duration // relay's clock; starts may be sent until then
	lastHoldSent        int64         // number of the last hold sent
	lastHoldAnswered    int64         // number of the last hold answered
	listClock           time.Duration // worker's clock in that answer; 0 if running has runs that are not from it
	holdPending         bool
	nextCallAt          time.Duration // relay's clock; no hold or stop is sent before, after a failed call
	nextUnaskedHoldAt   time.Duration // relay's clock; no hold is sent before, while ends are not stored or the worker is to end
	answeredAt          time.Duration // relay's clock; when the worker last answered a call
	unansweredHolds     int           // since then
	unreachable         bool          // the last call to the worker failed
	unreachableSince    time.Duration // relay's clock; when unreachable last changed
	connRefusedSince    time.Duration // relay's clock; the worker's address has refused connections since, or 0
	leaveAnnounced      bool          // the worker has announced that its process ends
	leaveAnnouncedAt    time.Duration // relay's clock

	ordersVersion      int64
	lacksStarts        bool // the last orders have starts as known that are not
	reportSeq          int64
	reportRequests     int64 // counts the changes that are worth a report at once
	reportRequestsSeen int64 // the value of reportRequests when the reporter was last woken
}

func newState() *state {
	s := &state{openStarts: map[runKey]time.Duration{}}
	s.resetRuns()
	return s
}

// resetRuns drops all state of the worker's runs and of its lease.
func (s *state) resetRuns() {
	s.listed = false
	s.running = map[runKey]*flow.Run{}
	s.startedAtHold = map[runKey]int64{}
	s.startedSince = map[runKey]time.Duration{}
	s.silentStarts = map[runKey]bool{}
	s.ends = map[int64]*flow.End{}
	s.refusals = map[runKey]string{}
	s.starts = map[runKey]*start{}
	s.stops = map[runKey]*stop{}
	s.observed, s.observedSent, s.fencedEpoch = 0, 0, 0
	s.leaseUntil, s.leaseSentUntil, s.maxDeadlineSent, s.deadlineUnconfirmed = 0, 0, 0, false
}

// workerNow estimates the worker's clock at the relay's time now. The estimate is never
// ahead: it leaves out the time that the last reading took to arrive, and assumes that the
// clock has been slow since.
func (s *state) workerNow(now time.Duration) time.Duration {
	return s.workerClock + time.Duration((1-maxClockSlowness)*float64(now-s.workerClockReadAt))
}

// setWorkerClock records a reading of the worker's clock that arrived at the relay's
// time now, in an answer of the worker or else in a heartbeat. A reading of 0 is ignored.
func (s *state) setWorkerClock(reading, now time.Duration, answered bool) {
	if reading > 0 {
		s.workerClock, s.workerClockReadAt, s.clockConfirmed = reading, now, answered
	}
}

// requestReport has the next report sent at once.
func (s *state) requestReport() { s.reportRequests++ }

// leaseExpired reports whether a worker that does not answer has certainly killed all
// its runs by now, because the lease has expired on its clock. Until a whole lease has
// passed, the worker may have one from calls of an earlier process of the relay, or from
// calls that were meant for an earlier process of the worker.
func (s *state) leaseExpired(now time.Duration) bool {
	end := max(s.leaseSentUntil, s.workerKnownAt+s.lease)
	return s.unreachable && s.lease > 0 && now > end+time.Duration(slowClockMargin*float64(s.lease))+killMargin
}

const (
	// maxClockSlowness is how much slower than the relay's clock that of a worker may be.
	maxClockSlowness = 0.02
	// slowClockMargin is the share of a lease by which it may last longer on such a clock,
	// a factor of 1/0.98 or 1.021.
	slowClockMargin = 0.03
	// killMargin covers the time that a worker takes to kill its runs after the lease has
	// expired.
	killMargin = 300 * time.Millisecond
)

// runKnown reports whether a run is running, ended or refused.
func (s *state) runKnown(key runKey) bool {
	if _, ok := s.running[key]; ok {
		return true
	}
	if _, ok := s.refusals[key]; ok {
		return true
	}
	return s.hasEnded(key)
}

// hasEnded reports whether a run is among the ends that are not stored yet.
func (s *state) hasEnded(key runKey) bool {
	for _, e := range s.ends {
		if e.GetTask() == key.task && e.GetRun() == key.run {
			return true
		}
	}
	return false
}

// report returns the next report to the scheduler. relay is the name of the relay, and
// boot identifies its process.
func (s *state) report(relay, boot string, now time.Duration) *flow.Report {
	s.reportSeq++
	r := &flow.Report{
		Relay: relay, RelayBoot: boot, Sequence: s.reportSeq, Worker: s.worker,
		Epoch: s.epoch, Listed: s.listed, OrdersVersion: s.ordersVersion, ListClockMs: s.listClock.Milliseconds(),
		Crashes: s.crashReports(now), TellsCrashes: true, KeepsStarts: true,
	}
	if s.lacksStarts {
		r.OrdersVersion = 0 // the next orders have them whole
	}
	if s.leaseExpired(now) && !s.worker.GetGone() {
		r.Worker = cloneWorker(s.worker)
		r.Worker.Gone = true
		s.refuseExpiredStarts()
	}
	if s.leaveAnnounced && !r.GetWorker().GetDraining() {
		r.Worker = cloneWorker(r.GetWorker())
		r.Worker.Draining, r.Worker.RemainingMs = true, 0
	}
	for _, run := range s.running {
		r.Running = append(r.Running, run)
	}
	for _, end := range s.ends {
		r.Ends = append(r.Ends, end)
	}
	for key, reason := range s.refusals {
		r.Refusals = append(r.Refusals, &flow.Refusal{Task: key.task, Run: key.run, Reason: reason})
	}
	return r
}

func cloneWorker(w *flow.Worker) *flow.Worker {
	return &flow.Worker{
		Id: w.GetId(), BornMs: w.GetBornMs(), Service: w.GetService(), DataCentre: w.GetDataCentre(),
		Labels: w.GetLabels(), Cpu: w.GetCpu(), MemoryMb: w.GetMemoryMb(), Accelerators: w.GetAccelerators(),
		Draining: w.GetDraining(), RemainingMs: w.GetRemainingMs(), Gone: w.GetGone(),
	}
}

// applyLists updates the state from the answer to a hold. observedSent is the value
// of observed that the hold carried.
func (s *state) applyLists(lists RunLists, holdNumber int64, observedSent int64) {
	if holdNumber <= s.lastHoldAnswered {
		return // a later hold was answered first
	}
	s.lastHoldAnswered = holdNumber
	s.observedSent = max(s.observedSent, observedSent)
	running := map[runKey]*flow.Run{}
	for _, run := range lists.Running {
		running[runKey{run.GetTask(), run.GetRun()}] = run
	}
	for _, end := range lists.Ends {
		if _, ok := s.ends[end.GetNumber()]; !ok && end.GetNumber() > s.observed {
			s.ends[end.GetNumber()] = end
			s.requestReport()
		}
		key := runKey{end.GetTask(), end.GetRun()}
		delete(running, key)
		s.forgetStart(key)
		if st, ok := s.starts[key]; ok && st.phase != startRevoking {
			delete(s.starts, key) // it was carried out without an answer
		}
	}
	for key, startedAt := range s.startedAtHold {
		if startedAt >= holdNumber && !s.hasEnded(key) {
			running[key] = s.running[key] // started after this hold was sent
			continue
		}
		delete(s.startedAtHold, key)
	}
	for key := range running {
		if _, ok := s.running[key]; !ok {
			s.requestReport()
		}
		delete(s.starts, key)
	}
	s.running = running
	s.forgetOldStarts(clock.Monotonic())
	if len(lists.Ends) >= graph.MaxListedEnds {
		return // a run in neither list may have an end that is not listed yet
	}
	if !s.listed {
		s.listed = true
		s.requestReport()
	}
	s.settleStops()
}

// settleStops refuses the runs whose stop is answered and that a later list does not
// have: they can no longer start.
func (s *state) settleStops() {
	for key, st := range s.stops {
		if st.answeredAtHold == 0 || s.lastHoldAnswered <= st.answeredAtHold {
			continue
		}
		if _, ok := s.running[key]; ok || s.hasEnded(key) {
			continue
		}
		s.refuse(key, graph.RefusedStopped)
	}
	for key, st := range s.starts {
		if st.phase == startRevoking && s.hasEnded(key) {
			delete(s.starts, key)
			delete(s.stops, key)
		}
	}
}

// refuse records that a run will never start, for the given reason or, if its start
// was revoked, for the reason of the revocation.
func (s *state) refuse(key runKey, reason string) {
	if st, ok := s.starts[key]; ok && st.reason != "" {
		reason = st.reason
	}
	delete(s.starts, key)
	delete(s.stops, key)
	s.forgetStart(key)
	if _, ok := s.refusals[key]; !ok {
		s.refusals[key] = reason
		s.requestReport()
	}
}
