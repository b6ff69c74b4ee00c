package relay

import (
	"time"

	"catkinpoint/flow"
	"catkinpoint/graph"
)

// runKey names a run of a task.
type runKey struct {
	task string
	run  int64
}

// startPhase is how far an ordered start has got.
type startPhase int

const (
	startOpen     startPhase = iota // to be sent when allowed
	startSending                    // a call is under way
	startRevoking                   // given up; a stop makes it final
)

// start is an ordered run that the worker does not list yet.
type start struct {
	order *flow.Start
	phase startPhase
	tries int
	// reason of the refusal that a stop makes final.
	reason string
}

// stop is an ordered stop.
type stop struct {
	order   *flow.Stop
	sending bool
	// answered is the number of the last hold that was sent before the stop was
	// answered; a later one shows whether the run is there. 0 means no answer.
	answered int64
}

// state is what the relay knows; one goroutine owns it.
type state struct {
	worker   *flow.Worker
	beatSeq  int64
	retired  map[string]bool // ids and births of earlier processes at this address
	epoch    int64
	listed   bool // the lists are complete for this worker and epoch
	running  map[runKey]*flow.Run
	ackedAt  map[runKey]int64 // runs that a start answer named, with the hold number at that time
	ends     map[int64]*flow.End
	refusals map[runKey]string
	starts   map[runKey]*start
	stops    map[runKey]*stop

	observed     int64 // ends up to here are stored
	observedSent int64 // the worker has been told up to here

	// The worker's clock and the relay's at one moment.
	workerClock time.Duration
	clockAt     time.Duration

	leaseUntil   time.Duration // worker's clock; what the scheduler allows
	leaseSent    time.Duration // worker's clock; the highest deadline ever sent
	leaseOpen    bool          // the last call with a deadline had no answer
	permitUntil  time.Duration // relay's clock
	holdNumber   int64         // of the last hold sent
	holdDone     int64         // of the last hold answered
	listClock    time.Duration // worker's clock in that answer; 0: some runs are not from it
	holding      bool
	holdNotUntil time.Duration // relay's clock; pause after a failed call
	endsNotUntil time.Duration // relay's clock; pause while ends are not stored
	lost         bool          // calls to the worker fail
	absentSince  time.Duration // relay's clock; nothing has listened since, or 0
	left         bool          // the worker has said that it ends

	ordersVersion int64
	reportSeq     int64
	newsSeq       int64 // grows when a report is worth sending at once
	newsSent      int64
}

func newState() *state {
	s := &state{retired: map[string]bool{}}
	s.forgetRuns()
	return s
}

// forgetRuns drops all that is known of the worker's runs.
func (s *state) forgetRuns() {
	s.listed = false
	s.running = map[runKey]*flow.Run{}
	s.ackedAt = map[runKey]int64{}
	s.ends = map[int64]*flow.End{}
	s.refusals = map[runKey]string{}
	s.starts = map[runKey]*start{}
	s.stops = map[runKey]*stop{}
	s.observed, s.observedSent = 0, 0
	s.leaseUntil, s.leaseSent, s.leaseOpen = 0, 0, false
}

// clockNow estimates the worker's clock; it errs towards the past.
func (s *state) clockNow(now time.Duration) time.Duration {
	return s.workerClock + now - s.clockAt
}

// setClock notes a reading of the worker's clock that arrived at now.
func (s *state) setClock(clock, now time.Duration) {
	if clock > 0 {
		s.workerClock, s.clockAt = clock, now
	}
}

// news makes the next report go out at once.
func (s *state) news() { s.newsSeq++ }

// lapsed tells whether everything on a silent worker has been killed by now.
func (s *state) lapsed(now time.Duration) bool {
	const clockTolerance = 1.03 // the worker's clock may be 2% slow
	left := s.leaseSent - s.workerClock
	return s.lost && now-s.clockAt > time.Duration(float64(left)*clockTolerance)+lapseMargin
}

// lapseMargin covers the time that a worker takes to kill what has lapsed.
const lapseMargin = 300 * time.Millisecond

// knows tells whether a run is listed, ended or refused.
func (s *state) knows(key runKey) bool {
	if _, ok := s.running[key]; ok {
		return true
	}
	if _, ok := s.refusals[key]; ok {
		return true
	}
	return s.ended(key)
}

func (s *state) ended(key runKey) bool {
	for _, e := range s.ends {
		if e.GetTask() == key.task && e.GetRun() == key.run {
			return true
		}
	}
	return false
}

// report returns all that the scheduler should know.
func (s *state) report(relay, boot string, now time.Duration) *flow.Report {
	s.reportSeq++
	r := &flow.Report{
		Relay: relay, RelayBoot: boot, Sequence: s.reportSeq, Worker: s.worker,
		Epoch: s.epoch, Listed: s.listed, OrdersVersion: s.ordersVersion, ListClockMs: s.listClock.Milliseconds(),
	}
	if s.lapsed(now) && !s.worker.GetGone() {
		r.Worker = cloneWorker(s.worker)
		r.Worker.Gone = true
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

// applyLists takes the answer to a hold.
func (s *state) applyLists(lists Lists, number int64, observedSent int64) {
	if number <= s.holdDone {
		return // a later hold was answered first
	}
	s.holdDone = number
	s.observedSent = max(s.observedSent, observedSent)
	running := map[runKey]*flow.Run{}
	for _, run := range lists.Running {
		running[runKey{run.GetTask(), run.GetRun()}] = run
	}
	for _, end := range lists.Ends {
		if _, ok := s.ends[end.GetNumber()]; !ok && end.GetNumber() > s.observed {
			s.ends[end.GetNumber()] = end
			s.news()
		}
		delete(running, runKey{end.GetTask(), end.GetRun()})
	}
	for key, at := range s.ackedAt {
		if at >= number && !s.ended(key) {
			running[key] = s.running[key] // started after this hold was sent
			continue
		}
		delete(s.ackedAt, key)
	}
	for key := range running {
		if _, ok := s.running[key]; !ok {
			s.news()
		}
		delete(s.starts, key)
	}
	s.running = running
	if !s.listed {
		s.listed = true
		s.news()
	}
	s.settleStops()
}

// settleStops refuses runs that a stop did not find.
func (s *state) settleStops() {
	for key, st := range s.stops {
		if st.answered == 0 || s.holdDone <= st.answered {
			continue
		}
		if _, ok := s.running[key]; ok || s.ended(key) {
			continue
		}
		s.refuse(key, graph.RefusedStopped)
	}
	for key, st := range s.starts {
		if st.phase == startRevoking && s.ended(key) {
			delete(s.starts, key)
			delete(s.stops, key)
		}
	}
}

// refuse notes that a run will never start.
func (s *state) refuse(key runKey, reason string) {
	if st, ok := s.starts[key]; ok && st.reason != "" {
		reason = st.reason
	}
	delete(s.starts, key)
	delete(s.stops, key)
	if _, ok := s.refusals[key]; !ok {
		s.refusals[key] = reason
		s.news()
	}
}
