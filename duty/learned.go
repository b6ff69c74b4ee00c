package duty

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"catkinpoint/clock"
	"catkinpoint/flow"
	"catkinpoint/graph"
	"catkinpoint/shed"
	"catkinpoint/speed"
	"catkinpoint/store"
)

const (
	// learnPeriod is the time between two fits of what was learned.
	learnPeriod = time.Second
	// learnedWritePeriod is the least time between two writes of the learned record. A new
	// holder loses at most what was learned in it.
	learnedWritePeriod = 2 * time.Second
	// learnedRefusedPause is the time for which the record is not written beside progress after
	// the store refused a transaction with it.
	learnedRefusedPause = time.Minute
	// maxLearnedBytes bounds the record, so that it fits into a transaction beside the progress
	// of jobs: about 4,000 paces. What has the least evidence is left out.
	maxLearnedBytes = 256 << 10
	// paceLogFactor is the factor by which a pace must change to be logged again.
	paceLogFactor = 1.3
)

// learned is what the holder has learned beside the records of jobs.
type learned struct {
	paces *speed.Paces
	times *speed.Times
	// useTimes is set if run times are expected from earlier ones, and averagePace is the
	// mean pace of the workers then.
	useTimes    bool
	averagePace float64
	// logged has the paces that were logged last.
	logged  map[graph.Place]float64
	nextFit time.Duration
	// promises are those of the state. unstoredPromises is set while the last stored record
	// does not have all of them.
	promises         *shed.Promises
	unstoredPromises bool
	// changed counts the changes, and stored is the count at the last stored record.
	changed, stored int64
	nextWrite       time.Duration // of changes that can wait
	// pausedUntil is set after a refused transaction with the record, and alonePausedUntil if
	// it had nothing else. Between them promises are stored without progress, in turn with it.
	pausedUntil, alonePausedUntil time.Duration
	wasAlone                      bool
}

func newLearned(promises *shed.Promises) learned {
	return learned{paces: speed.NewPaces(), times: speed.NewTimes(), promises: promises, averagePace: 1, logged: map[graph.Place]float64{}}
}

// samplePace takes the progress of a run as evidence of its worker's pace. A gang that is
// not complete, and a run that is being stopped, make no progress of their own.
func (st *state) samplePace(s *Scheduler, w *worker, j *job, ref graph.Ref, r *run, percent int32, listed listTime) {
	step := j.graph.Step(ref)
	if listed.workerClock == 0 || r.begunAt == 0 || r.stopOrdered || step.GetLongRunning() || !s.learns() {
		return
	}
	elapsed, gained, ok := r.stretch.Listed(listed.workerClock, percent)
	if !ok {
		return
	}
	if r.remote || step.GetDataRack() != "" && rackOf(w.info) != step.GetDataRack() {
		elapsed = time.Duration(float64(elapsed) / s.settings.RemoteFactor)
	}
	st.learned.paces.Add(speed.Sample{
		Group:  speed.Group{Job: j.graph.Spec.GetId(), Occurrence: ref.Occurrence, Step: ref.Step, Gang: step.GetGang()},
		Worker: w.place, Elapsed: elapsed, Percent: gained, At: listed.received,
	})
}

// learn brings what was learned up to date.
func (st *state) learn(s *Scheduler, now time.Duration) {
	l := &st.learned
	if l.useTimes = s.settings.LearnRunTimes; !s.learns() || now < l.nextFit {
		return
	}
	l.nextFit = now + learnPeriod
	if !l.paces.Fit(now) {
		return
	}
	l.changed++
	if l.useTimes {
		l.averagePace = st.averagePace(s, now)
		st.learnTimes(now)
	}
	known := int64(0)
	for p := range st.byPlace {
		pace := l.paces.Pace(p, now)
		if pace != 1 {
			known++
			paceHistogram.Record(context.Background(), pace)
		}
		last, ok := l.logged[p]
		if !ok {
			last = 1
		}
		if math.Abs(math.Log(pace/last)) < math.Log(paceLogFactor) {
			continue
		}
		l.logged[p] = pace
		klog.InfoS("duty: worker pace learned", "worker", p.Worker, "pace", twoDecimals(pace), "before", twoDecimals(last), "weight", twoDecimals(l.paces.Weight(p, now)))
	}
	pacedGauge.Record(context.Background(), known)
}

// twoDecimals rounds a number for the log.
func twoDecimals(x float64) float64 { return math.Round(x*100) / 100 }

// learns reports whether the progress of runs is evaluated.
func (s *Scheduler) learns() bool { return s.settings.UnevenWorkers || s.settings.LearnRunTimes }

// paceOf returns the pace of the worker at a place, or 1 if it is not known.
func (st *state) paceOf(s *Scheduler, p graph.Place, now time.Duration) float64 {
	if !s.settings.UnevenWorkers {
		return 1
	}
	return st.learned.paces.Pace(p, now)
}

// forgetWorker drops what was learned of a worker's process.
func (l *learned) forgetWorker(p graph.Place) {
	l.paces.Forget(p)
	delete(l.logged, p)
}

// restore takes over the record of the holder before. One that cannot be decoded counts
// as empty.
func (l *learned) restore(value []byte, now time.Duration) {
	record := &flow.Learned{}
	if err := proto.Unmarshal(value, record); err != nil {
		klog.ErrorS(err, "duty: cannot decode what the last holder learned")
		return
	}
	l.paces.Restore(record.GetPaces(), now)
	l.times.Restore(record.GetRunTimes())
	l.promises.Restore(record.GetPromises())
	observePromises(l.promises.Open())
	klog.InfoS("duty: learned record read", "paces", len(record.GetPaces()), "run_times", len(record.GetRunTimes()), "promises", l.promises.Open())
}

// record returns what is to be stored. If it is too large, the paces and run times with the
// least evidence are left out, never promises (5,600 workers of known pace).
func (l *learned) record(now time.Duration) *flow.Learned {
	r := &flow.Learned{Paces: l.paces.Record(now), RunTimes: l.times.Record(), Promises: l.promises.List()}
	for size := proto.Size(r); size > maxLearnedBytes && len(r.Paces)+len(r.RunTimes) > 0; size = proto.Size(r) {
		share := 0.95 * maxLearnedBytes / float64(size)
		r.Paces, r.RunTimes = mostEvidence(r.Paces, share), mostEvidence(r.RunTimes, share)
	}
	return r
}

// mostEvidence returns a share of a list: the elements with the largest weights, and of equal
// ones the first.
func mostEvidence[E interface{ GetWeight() float64 }](list []E, share float64) []E {
	slices.SortStableFunc(list, func(a, b E) int { return cmp.Compare(b.GetWeight(), a.GetWeight()) })
	return list[:int(share*float64(len(list)))]
}

// promisesDue reports whether promises are to be stored that the last stored record does not
// have.
func (l *learned) promisesDue(now time.Duration) bool {
	if l.promises.TakeChanged() {
		l.unstoredPromises = true
		l.changed++
	}
	return l.unstoredPromises && now >= l.alonePausedUntil
}

// takesTurn reports whether due promises are stored without progress in the next transaction,
// as one with both was refused. It reports false every other time, for the progress.
func (l *learned) takesTurn(now time.Duration) bool {
	l.wasAlone = now < l.pausedUntil && !l.wasAlone
	return l.wasAlone
}

// addLearned adds the learned record to a transaction, if it has changed and there is room.
// Promises are stored at once, also without progress of jobs and beside much of it; other
// changes wait for learnedWritePeriod and for a transaction that stores progress anyway. The
// record needs no condition of its own: only the holder writes it, and the transaction requires
// the claim.
func (b *batch) addLearned(l *learned, now time.Duration) {
	due := l.promisesDue(now) || l.changed != l.stored && now >= l.nextWrite && len(b.writes) > 0 && b.bytes < maxBatchBytes
	alone := len(b.writes) == 1 && b.writes[0].job.writeAlone
	if !due || now < l.pausedUntil && len(b.writes) > 0 || alone || b.txn.Rows() >= store.MaxTxnRows {
		return
	}
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(l.record(now))
	if err != nil || len(value) > maxLearnedBytes {
		klog.ErrorS(err, "duty: learned record is not written", "bytes", len(value))
		l.pausedUntil, l.alonePausedUntil = now+learnedRefusedPause, now+learnedRefusedPause
		return
	}
	l.nextWrite = now + learnedWritePeriod
	b.learned = l.changed
	b.write(learnedKey, value)
}

// applyLearnedWrite applies the outcome of a transaction with the learned record. It
// reports whether the transaction is to be tried again without it.
func (l *learned) applyLearnedWrite(b *batch, result writeResult) bool {
	switch {
	case b.learned == 0:
	case result.refused != nil:
		l.pausedUntil = clock.Monotonic() + learnedRefusedPause
		if len(b.writes) == 0 {
			l.alonePausedUntil = l.pausedUntil
		}
		klog.InfoS("duty: transaction with the learned record refused, it is repeated without", "rows", b.txn.Rows(), "bytes", b.bytes, "err", result.refused)
		return true
	case result.conflict == nil && !result.cancelled:
		l.stored, l.unstoredPromises = b.learned, false
	}
	return false
}
