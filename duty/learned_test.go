package duty

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"catkinpoint/clock"
	"catkinpoint/flow"
	"catkinpoint/graph"
	"catkinpoint/shed"
	"catkinpoint/speed"
	"catkinpoint/stand/fakekv"
	"catkinpoint/store"
)

// unevenSettings are testSettings with learned paces.
func unevenSettings() Settings {
	settings := testSettings
	settings.UnevenWorkers = true
	return settings
}

// teachPaces gives a scheduler paces of workers 1 to n, of which each third takes 2.4
// times as long.
func (b *harness) teachPaces(n int) {
	b.t.Helper()
	err := b.scheduler.stateOwner.Do(b.t.Context(), func(st *state) {
		var paces []*flow.WorkerPace
		for i := 1; i <= n; i++ {
			p := placeOf(i)
			paces = append(paces, &flow.WorkerPace{Relay: p.Relay, Worker: p.Worker, BornMs: p.StartUnixMS, LogTime: math.Log(2.4) * float64(1-min(1, i%3)), Weight: 10})
		}
		st.learned.paces.Restore(paces, clock.Monotonic())
		st.learned.changed++
	})
	if err != nil {
		b.t.Fatal(err)
	}
}

// pace returns the pace that a scheduler uses for worker n.
func (b *harness) pace(n int) float64 {
	b.t.Helper()
	pace := 0.0
	if err := b.scheduler.stateOwner.Do(b.t.Context(), func(st *state) { pace = st.paceOf(b.scheduler, placeOf(n), clock.Monotonic()) }); err != nil {
		b.t.Fatal(err)
	}
	return pace
}

// Guards against paces that each holder learns anew, or that a worker's next process
// inherits, and against a record that cannot be decoded and stops the next holder.
func TestPacesSurviveHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakekv.New()
		b := newHarnessWith(t, kv, 1, unevenSettings())
		workers := newBulkWorkers(t, 1, time.Second)
		b.teachPaces(30)
		writes := kv.Counts(fakekv.AllCallers).Writes
		b.scheduler.Apply([]store.Event{storeMessage(t, kv, JobKey(smallID), bulkJob(smallID, 3, 0))})
		b.runUntilDone(workers, 10*time.Second, smallID)
		without := countWrites(t)
		if with := kv.Counts(fakekv.AllCallers).Writes - writes; with != without {
			t.Errorf("%d writes with the learned record; %d without", with, without)
		}
		b = newHarnessWith(t, kv, 2, unevenSettings())
		if pace := b.pace(3); math.Abs(pace-2.4) > 0.05 {
			t.Errorf("the next holder takes the pace as %.2f; want 2.4", pace)
		}
		restarted := idleReport(3, 1, 2)
		b.report(restarted)
		restarted = idleReport(3, 2, 2)
		restarted.Worker.BornMs++
		b.report(restarted)
		if pace := b.pace(3); pace != 1 {
			t.Errorf("the pace is %.2f after the worker restarted; want 1", pace)
		}
		if _, err := kv.Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: learnedKey, Value: []byte("\xff\xff")}}}); err != nil {
			t.Fatal(err)
		}
		if pace := newHarnessWith(t, kv, 3, unevenSettings()).pace(3); pace != 1 {
			t.Errorf("the pace of an unreadable record is %.2f; want 1", pace)
		}
	})
}

// countWrites returns the writes of the job of TestPacesSurviveHandover without a learned
// record.
func countWrites(t *testing.T) int64 {
	t.Helper()
	kv := fakekv.New()
	b := newHarness(t, kv, 1)
	workers := newBulkWorkers(t, 1, time.Second)
	writes := kv.Counts(fakekv.AllCallers).Writes
	b.scheduler.Apply([]store.Event{storeMessage(t, kv, JobKey(smallID), bulkJob(smallID, 3, 0))})
	b.runUntilDone(workers, 10*time.Second, smallID)
	return kv.Counts(fakekv.AllCallers).Writes - writes
}

// Guards against a learned record that the store refuses and that holds up the progress of
// jobs, or makes them count as refused.
func TestRefusedLearnedRecordStopsNoJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakekv.New()
		b := newHarnessWith(t, kv, 1, unevenSettings())
		kv.SetMaxValueBytes(3000)
		b.teachPaces(200)
		workers := newBulkWorkers(t, 1, time.Second)
		b.scheduler.Apply([]store.Event{storeMessage(t, kv, JobKey(smallID), bulkJob(smallID, 3, 0))})
		if !b.runUntilDone(workers, 10*time.Second, smallID) {
			t.Errorf("the job is %v", b.headOf(smallID).GetPhase())
		}
		if _, err := kv.Get(t.Context(), learnedKey); err == nil {
			t.Error("the record is stored; the store was to refuse it")
		}
	})
}

// Guards against paces that are not learned from what relays report: members of gangs
// progress at the speed of their workers, declared times are far too long, and a third of
// the workers takes 2.4 times as long.
func TestPacesAreLearnedFromReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Scheduler{settings: unevenSettings()}
		st := newState(clock.Monotonic())
		for n := 1; n <= 6; n++ {
			w := &worker{place: placeOf(n), info: idleReport(n, 1, 1).GetWorker()}
			st.byPlace[w.place] = w
		}
		for number := range 3 {
			j := newTestGang(t, st, fmt.Sprintf("%016x", number+1))
			runs := map[graph.Ref]*run{}
			for tick := range 12 {
				for i, ref := range j.graph.Ready(0)[0].Tasks {
					if runs[ref] == nil {
						runs[ref] = &run{expectedTime: time.Minute}
					}
					pace := 1.0
					if i%3 == 2 {
						pace = 2.4
					}
					percent := int32(min(100, 12*float64(tick)/pace))
					listed := listTime{received: clock.Monotonic(), workerClock: clock.Monotonic()}
					runs[ref].updateProgress(percent, true, listed)
					st.samplePace(s, st.byPlace[placeOf(i+1)], j, ref, runs[ref], percent, listed)
				}
				time.Sleep(500 * time.Millisecond)
				st.learn(s, clock.Monotonic())
			}
		}
		for n, want := range []float64{1, 1, 2.4, 1, 1, 2.4} {
			if pace := st.paceOf(s, placeOf(n+1), clock.Monotonic()); math.Abs(math.Log(pace/want)) > 0.15 {
				t.Errorf("pace of worker %d is %.2f; want %.2f", n+1, pace, want)
			}
		}
	})
}

// newTestGang adds a job with one gang of six tasks to a state.
func newTestGang(t *testing.T, st *state, id string) *job {
	t.Helper()
	spec := simpleJob(id, 6)
	spec.Steps[0].Gang = true
	st.apply(store.Event{Item: itemOf(t, JobKey(id), spec, 1)})
	return st.jobs[id]
}

// Guards against an urgent job with a far too short declaration that counts as late from the
// start, and against one with a far too long one that counts as having time (urgent jobs of
// about 2 s whose declarations are off by a factor of 2.5 and more).
func TestObjectiveFollowsExpectedWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newState(clock.Monotonic())
		for i := range 40 {
			off := []float64{0.3, 0.7, 1, 1.5, 3}[i%5]
			st.learned.times.Add(speed.TimesKey{Queue: "q", Customer: "c"}, time.Duration(off*2e9), 2*time.Second)
		}
		spec := simpleJob(jobID, 1)
		spec.SlackFactor, spec.TargetMs, spec.Steps[0].EstimateMs = 1.5, 600, 400
		st.apply(store.Event{Item: itemOf(t, JobKey(jobID), spec, 1)})
		j := st.jobs[jobID]
		if got := st.objectiveOf(j); got != 1200*time.Millisecond {
			t.Errorf("the objective by the declaration is %v; want 1.2s", got)
		}
		st.learned.useTimes = true
		if got, tail := st.objectiveOf(j), st.tailOf(j, 0); got < 2800*time.Millisecond || got > 3700*time.Millisecond || tail < 1500*time.Millisecond || tail > 2100*time.Millisecond {
			t.Errorf("the expected objective is %v and the run time %v; want about 3.4s and 1.9s", got, tail)
		}
		j.measured = map[int32]time.Duration{0: 4 * time.Second}
		if got := st.objectiveOf(j); got != 6600*time.Millisecond {
			t.Errorf("the objective of a job that runs for 4s is %v; want 6.6s", got)
		}
	})
}

// Guards against promises, and all that was learned, that are not stored as the record is
// too large (5,600 workers of known pace, and run times of many customers and images).
func TestLearnedRecordOfManyWorkersIsStored(t *testing.T) {
	promises := &shed.Promises{}
	promises.Restore([]*flow.Promise{{Id: jobID, ReturnUnixMs: 1}})
	l := newLearned(promises)
	var paces []*flow.WorkerPace
	for n := range 5600 {
		name := fmt.Sprintf("worker-%06d", n)
		paces = append(paces, &flow.WorkerPace{Relay: "10.0.100.100:" + name[7:], Worker: name, BornMs: 1796000000000, LogTime: math.Log(2.4) * float64(n%3/2), Weight: 20})
	}
	l.paces.Restore(paces, 0)
	for n := range 2000 {
		l.times.Add(speed.TimesKey{Queue: "queue", Customer: fmt.Sprintf("customer-%d", n), Image: "registry/image:1"}, time.Second, 2*time.Second)
	}
	l.unstoredPromises, l.changed = true, 1
	b := &batch{}
	b.addLearned(&l, 0)
	if len(b.txn.Writes) != 1 {
		t.Fatal("the record is not written")
	}
	next := newLearned(&shed.Promises{})
	next.restore(b.txn.Writes[0].Value, 0)
	slow := 0
	for _, p := range paces {
		if next.paces.Pace(graph.Place{Relay: p.GetRelay(), Worker: p.GetWorker(), StartUnixMS: p.GetBornMs()}, 0) > 2 {
			slow++
		}
	}
	if open := next.promises.Open(); open != 1 || slow < 5600/3/2 || b.bytes > maxLearnedBytes {
		t.Errorf("the record of %d bytes has %d promises and %d slow workers; want 1 and at least %d", b.bytes, open, slow, 5600/3/2)
	}
}

// Guards against promises that are not stored while each transaction is full of progress.
func TestPromisesHaveRoomBesideProgress(t *testing.T) {
	for _, spec := range []int{0, 60 << 10} {
		st := newState(0)
		for n := range 40 {
			id := fmt.Sprintf("%016x", n+1)
			st.apply(store.Event{Item: itemOf(t, JobKey(id), simpleJob(id, 1), int64(n+1))})
			j := st.jobs[id]
			unit := j.graph.Ready(0)[0]
			number := j.graph.Assign(unit, []graph.Place{placeOf(1)})
			j.graph.Task(unit.Tasks[0]).Checkpoint = strings.Repeat("c", spec)
			j.runs[unit.Tasks[0]] = &run{run: number}
			j.crashesDirty = n == 0
			st.markDirty(j)
		}
		st.learned.promises.Restore([]*flow.Promise{{Id: jobID, ReturnUnixMs: 1}})
		st.learned.unstoredPromises, st.learned.changed = true, 1
		b := st.collectBatch(&Claim{}, 0)
		b.addLearned(&st.learned, 0)
		if rows := b.txn.Rows(); b.learned == 0 || len(b.writes) == 0 || rows > store.MaxTxnRows {
			t.Errorf("a transaction of %d rows and %d bytes with %d jobs has the promise: %v", rows, b.bytes, len(b.writes), b.learned != 0)
		}
	}
}

// Guards against promises that wait for a minute as a transaction with them and a job's progress
// was refused, and against progress that waits for a stream of promises.
func TestPromisesAfterRefusedTransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newState(0)
		st.apply(store.Event{Item: itemOf(t, JobKey(jobID), simpleJob(jobID, 1), 1)})
		st.markDirty(st.jobs[jobID])
		collect := func() *batch {
			b := st.collectBatch(&Claim{}, clock.Monotonic())
			b.addLearned(&st.learned, clock.Monotonic())
			return b
		}
		promise := func() { st.learned.unstoredPromises, st.learned.changed = true, st.learned.changed+1 }
		promise()
		refused := writeResult{refused: store.ErrRefused}
		st.applyWrite(collect(), refused)
		b := collect()
		if b.learned == 0 || len(b.writes) > 0 {
			t.Fatalf("after the refusal the transaction has %d jobs and the promise: %v; want the promise alone", len(b.writes), b.learned != 0)
		}
		st.applyWrite(b, writeResult{revision: 2})
		promise()
		if b := collect(); b.learned != 0 || len(b.writes) != 1 {
			t.Errorf("the next transaction has %d jobs and the promise: %v; want the job alone", len(b.writes), b.learned != 0)
		}
		st.applyWrite(collect(), refused)
		if b := collect(); b.learned != 0 || len(b.writes) != 1 {
			t.Errorf("after the record was refused alone, the transaction has %d jobs and the promise: %v; want the job alone", len(b.writes), b.learned != 0)
		}
	})
}
