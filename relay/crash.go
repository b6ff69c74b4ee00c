package relay

import (
	"cmp"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"catkinpoint/flow"
	"catkinpoint/graph"
)

const (
	// maxUnstoredCrashes bounds the crashes that are kept for a scheduler to store.
	maxUnstoredCrashes = 64
	// lateStartTime is how long a start without an answer may still be carried out.
	lateStartTime = 15 * time.Second
)

// crash is the end of the worker's process without notice, as in flow.Crash.
type crash struct {
	number int64
	worker string
	bornMS int64
	at     time.Duration // relay's clock
	runs   []*flow.CrashedRun
	// undecided are the runs among them whose start has no outcome yet: it may turn out that
	// the call did not reach the process. The value is set if an earlier call may have. The
	// crash is reported once there are none.
	undecided map[runKey]bool
}

// recordCrash records that the worker's process has ended, with the runs that were
// on it. Nothing is recorded if the worker drained, as it then ends by plan; if it was
// idle; or if its task lease had expired, as it had killed its runs by then.
func (s *state) recordCrash(now time.Duration) {
	at := now
	if s.unreachable {
		at = s.unreachableSince
	}
	runs := s.runsOnWorker(at)
	if s.worker.GetDraining() || s.leaveAnnounced || len(runs) == 0 || s.leaseExpired(now) {
		return
	}
	s.lastCrash++
	c := crash{number: s.lastCrash, worker: s.worker.GetId(), bornMS: s.worker.GetBornMs(), at: at, runs: runs, undecided: map[runKey]bool{}}
	for key, st := range s.starts {
		if st.phase == startSending && s.running[key] == nil && (!st.reachedWorker || s.silentStarts[key]) {
			c.undecided[key] = st.reachedWorker
		}
	}
	s.crashes = append(s.crashes, c)
	if dropped := len(s.crashes) - maxUnstoredCrashes; dropped > 0 {
		klog.InfoS("relay: crashes forgotten that no scheduler has stored", "count", dropped)
		s.crashes = s.crashes[dropped:]
	}
	klog.InfoS("relay: worker crashed", "worker", s.worker.GetId(), "born", s.worker.GetBornMs(), "crash", s.lastCrash,
		"runs", len(runs), "youngest", graph.RunAges(runs), "epoch", s.epoch)
	s.requestReport()
}

// recordSilence records whether a call of a start ended at its time limit or, without an
// answer, before it.
func (s *state) recordSilence(key runKey, answer Answer, timedOut bool) {
	if answer.Effect() != EffectUnknown {
		return
	}
	if _, known := s.silentStarts[key]; !known || !timedOut {
		s.silentStarts[key] = timedOut
	}
}

// decideStart records the outcome of a start that was sent to a process of the worker: a run
// whose start did not reach the process was not on it when it crashed, and of one whose calls
// all ended at their time limit it is not known.
func (s *state) decideStart(worker *flow.Worker, key runKey, answer Answer) {
	decided := false
	for i := range s.crashes {
		c := &s.crashes[i]
		reachedBefore, undecided := c.undecided[key]
		if c.worker != worker.GetId() || c.bornMS != worker.GetBornMs() || !undecided {
			continue
		}
		delete(c.undecided, key)
		decided = true
		isRun := func(r *flow.CrashedRun) bool { return r.GetTask() == key.task && r.GetRun() == key.run }
		if answer.Effect() == EffectNone && answer.Err() != nil && !reachedBefore {
			c.runs = slices.DeleteFunc(c.runs, isRun)
		} else if n := slices.IndexFunc(c.runs, isRun); n >= 0 && s.silentStarts[key] && answer.Effect() != EffectDone {
			c.runs[n].AgeMs = -1
		}
	}
	if decided {
		s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return len(c.runs) == 0 })
		s.requestReport()
	}
}

// runsOnWorker returns the runs that the worker listed last and those whose start was
// sent before the time at and may have been carried out, the youngest first.
//
// A run has no known age if all calls of its start ended at their time limit. A process that
// crashes breaks its connections, so that a call which it had received ends at that time. A
// call that goes on may have been held up and never received: without this rule two of these,
// at two crashes of other causes, looked like a task that crashes workers at once.
func (s *state) runsOnWorker(at time.Duration) []*flow.CrashedRun {
	var runs []*flow.CrashedRun
	add := func(key runKey) {
		age := int64(-1)
		st := s.starts[key]
		silent := s.running[key] == nil && s.silentStarts[key] && (st == nil || st.phase != startSending)
		if since, ok := s.startedSince[key]; ok && !silent {
			age = max(0, at-since).Milliseconds()
		}
		runs = append(runs, &flow.CrashedRun{Task: key.task, Run: key.run, AgeMs: age})
	}
	for key := range s.running {
		add(key)
	}
	for key, since := range s.startedSince {
		if s.running[key] == nil && since <= at {
			add(key)
		}
	}
	slices.SortFunc(runs, func(a, b *flow.CrashedRun) int {
		return cmp.Or(cmp.Compare(uint64(a.GetAgeMs()), uint64(b.GetAgeMs())), cmp.Compare(a.GetTask(), b.GetTask()))
	})
	return runs
}

// forgetStart forgets when a run started, as it has ended or can no longer start.
func (s *state) forgetStart(key runKey) {
	delete(s.startedSince, key)
	delete(s.silentStarts, key)
}

// forgetOldStarts forgets starts whose run is not on the worker and can no longer
// come to be there.
func (s *state) forgetOldStarts(now time.Duration) {
	for key, sentAt := range s.openStarts {
		if now-sentAt > lateStartTime {
			delete(s.openStarts, key)
		}
	}
	for key, since := range s.startedSince {
		if s.running[key] == nil && s.starts[key] == nil && s.stops[key] == nil && now-since > lateStartTime {
			s.forgetStart(key)
		}
	}
}

// crashReports returns the crashes that no scheduler has stored yet, up to the first one of
// which the runs are not certain: a scheduler applies them in the order of their numbers.
func (s *state) crashReports(now time.Duration) []*flow.Crash {
	var reports []*flow.Crash
	for _, c := range s.crashes {
		if len(c.undecided) > 0 {
			break
		}
		reports = append(reports, &flow.Crash{Number: c.number, Worker: c.worker, WorkerBornMs: c.bornMS, AgoMs: (now - c.at).Milliseconds(), Runs: c.runs})
	}
	return reports
}

// forgetStoredCrashes forgets the crashes up to a number.
func (s *state) forgetStoredCrashes(stored int64) {
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return c.number <= stored })
}
