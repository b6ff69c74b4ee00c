package duty

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"catkinpoint/flow"
	"catkinpoint/graph"
	"catkinpoint/stand/fakekv"
	"catkinpoint/store"
)

// bulkWorker is a worker with its relay that runs any number of tasks at once.
type bulkWorker struct {
	t       *testing.T
	number  int
	runTime time.Duration
	report  *flow.Report
	running map[string]bulkRun
	ends    []*flow.End
	lastEnd int64
	// starts counts the starts of each task on all workers, and noted has the tasks that
	// are done and whose end was acknowledged.
	starts map[string]int
	noted  map[string]bool
}

type bulkRun struct {
	run    int64
	endsAt time.Time
}

func newBulkWorkers(t *testing.T, n int, runTime time.Duration) []*bulkWorker {
	starts, noted := map[string]int{}, map[string]bool{}
	workers := make([]*bulkWorker, n)
	for i := range workers {
		workers[i] = &bulkWorker{t: t, number: i + 1, runTime: runTime, report: idleReport(i+1, 0, 0), running: map[string]bulkRun{}, starts: starts, noted: noted}
	}
	return workers
}

// step ends the runs that are due, reports to a scheduler and carries out its orders.
func (w *bulkWorker) step(b *harness) {
	now := time.Now()
	next := idleReport(w.number, w.report.GetSequence()+1, w.report.GetEpoch())
	next.OrdersVersion = w.report.GetOrdersVersion()
	for _, task := range slices.Sorted(maps.Keys(w.running)) {
		r := w.running[task]
		if now.Before(r.endsAt) {
			next.Running = append(next.Running, &flow.Run{Task: task, Run: r.run, Percent: 50})
			continue
		}
		w.end(task, graph.EndDone)
	}
	next.Ends = w.ends[:min(len(w.ends), graph.MaxListedEnds)]
	w.report = next
	orders, err := b.scheduler.HandleReport(proto.Clone(next).(*flow.Report))
	if err != nil {
		return // the scheduler is not the holder any more
	}
	if orders.GetEpoch() > next.GetEpoch() {
		w.report = idleReport(w.number, next.GetSequence(), orders.GetEpoch())
		return
	}
	next.OrdersVersion = orders.GetVersion()
	w.ends = slices.DeleteFunc(w.ends, func(e *flow.End) bool {
		if e.GetNumber() > orders.GetObserved() {
			return false
		}
		w.noted[e.GetTask()] = w.noted[e.GetTask()] || e.GetHow() == graph.EndDone
		return true
	})
	for _, s := range orders.GetStops() {
		if r, ok := w.running[s.GetTask()]; ok && r.run <= s.GetRun() {
			w.end(s.GetTask(), graph.EndStopped)
		}
	}
	for _, s := range orders.GetStarts() {
		if r, ok := w.running[s.GetTask()]; ok && r.run == s.GetRun() || slices.ContainsFunc(w.ends, func(e *flow.End) bool { return e.GetTask() == s.GetTask() }) {
			continue
		}
		if w.noted[s.GetTask()] {
			w.t.Errorf("%s is started again after it was done", s.GetTask())
		}
		w.starts[s.GetTask()]++
		w.running[s.GetTask()] = bulkRun{s.GetRun(), time.Now().Add(w.runTime)}
	}
}

func (w *bulkWorker) end(task, how string) {
	w.lastEnd++
	w.ends = append(w.ends, &flow.End{Number: w.lastEnd, Task: task, Run: w.running[task].run, How: how})
	delete(w.running, task)
}

// bulkJob returns a job of small tasks.
func bulkJob(id string, tasks, repeats int32) *flow.Job {
	spec := simpleJob(id, tasks)
	spec.Steps[0].Cpu, spec.Steps[0].MemoryMb, spec.Steps[0].Accelerators, spec.Steps[0].EstimateMs = 1, 1, 0, 1000
	if repeats > 0 {
		spec.Repeats, spec.StartUnixMs, spec.PeriodMs = repeats, time.Now().UnixMilli(), 100
	}
	return spec
}

// headOf reads the head of a job's progress from the store.
func (b *harness) headOf(id string) *flow.Work {
	b.t.Helper()
	item, err := b.kv.Get(b.t.Context(), ProgressKey(id))
	if err != nil {
		return nil
	}
	head, err := graph.DecodeWork(item.Value)
	if err != nil {
		b.t.Fatal(err)
	}
	return head
}

// runUntilDone has the workers report until the jobs are stored as completed, and returns
// whether they are within a time.
func (b *harness) runUntilDone(workers []*bulkWorker, limit time.Duration, jobs ...string) bool {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(20 * time.Millisecond) {
		done := 0
		for _, id := range jobs {
			if b.headOf(id).GetPhase() == flow.Phase_COMPLETED {
				done++
			}
		}
		if done == len(jobs) {
			return true
		}
		for _, w := range workers {
			w.step(b)
		}
	}
	return false
}

const smallID = "00000000000000bb"

// Guards against a job whose progress is longer than the store takes, as its tasks were
// assigned or have ended: its write was repeated for ever, and no job started or ended any
// more, under the next holder either.
func TestLargeJobDoesNotStopOthers(t *testing.T) {
	tests := []struct {
		name           string
		tasks, repeats int32
		runTime        time.Duration
		handover       bool
	}{
		{"most tasks are assigned", 1500, 0, 5 * time.Second, false},
		{"most tasks have ended", 300, 5, 100 * time.Millisecond, false},
		{"next holder", 750, 2, time.Second, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := fakekv.New()
				kv.SetMaxValueBytes(20 << 10)
				b := newHarness(t, kv, 1)
				workers := newBulkWorkers(t, 2, test.runTime)
				b.scheduler.Apply([]store.Event{storeMessage(t, kv, JobKey(jobID), bulkJob(jobID, test.tasks, test.repeats))})
				b.runUntilDone(workers, 2*time.Second, jobID)
				if test.handover {
					b = newHarness(t, kv, 2)
				}
				b.scheduler.Apply([]store.Event{storeMessage(t, kv, JobKey(smallID), bulkJob(smallID, 3, 0))})
				if !b.runUntilDone(workers, test.runTime+15*time.Second, smallID) {
					t.Errorf("the small job is %v", b.headOf(smallID).GetPhase())
				}
				if !b.runUntilDone(workers, 3*time.Minute, jobID) {
					t.Errorf("the large job is %v after %d tasks were started", b.headOf(jobID).GetPhase(), len(workers[0].starts))
				}
				for task, starts := range workers[0].starts {
					if starts != 1 {
						t.Errorf("%s was started %d times", task, starts)
					}
				}
				if want := int(test.tasks*max(1, test.repeats)) + 3; len(workers[0].starts) != want {
					t.Errorf("%d tasks were started; want %d", len(workers[0].starts), want)
				}
				if items, _, err := kv.Range(t.Context(), pagePrefix); err != nil || len(items) != 0 {
					t.Errorf("%d pages are stored after all tasks are done, %v", len(items), err)
				}
			})
		})
	}
}

// A holder of an earlier build leaves one record of a job with many tasks. The next holder
// goes on with it in pages, also if it ends before these count.
func TestProgressOfEarlierBuildGoesToPages(t *testing.T) {
	for _, interrupted := range []bool{false, true} {
		t.Run(fmt.Sprintf("interrupted=%t", interrupted), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := fakekv.New()
				const tasks = 6000
				job := graph.New(bulkJob(jobID, tasks, 0), nil)
				workers := newBulkWorkers(t, 2, 4*time.Second)
				for i, unit := range job.ReadyUpTo(0, 4000, 0) {
					run := job.Assign(unit, []graph.Place{placeOf(1)})
					ref := unit.Tasks[0]
					name := graph.TaskName(jobID, ref)
					workers[0].starts[name]++
					if i%2 == 0 {
						job.End(ref, run, graph.EndDone, "")
						workers[0].noted[name] = true
						continue
					}
					workers[0].running[name] = bulkRun{run, time.Now().Add(4 * time.Second)}
				}
				storeJob(t, kv, job)
				kv.SetMaxValueBytes(24 << 10)
				if interrupted {
					kv.SetInterceptor(func(_ context.Context, call fakekv.Call) error {
						if _, page, err := parsePage(strings.TrimPrefix(call.Key, pagePrefix)); err == nil && page > 0 {
							return store.ErrUnavailable // the first pages are stored by then
						}
						return nil
					})
				}
				b := newHarness(t, kv, 2)
				if interrupted {
					workers[0].step(b)
					kv.SetInterceptor(nil)
					if b.headOf(jobID).GetPageTasks() != 0 {
						t.Fatal("the progress is in pages already")
					}
					if pages, _, err := kv.Range(t.Context(), pagePrefix); err != nil || len(pages) == 0 {
						t.Fatalf("%d pages are stored, %v; want some", len(pages), err)
					}
					b = newHarness(t, kv, 3)
				}
				if !b.runUntilDone(workers, time.Minute, jobID) {
					t.Errorf("the job is %v", b.headOf(jobID).GetPhase())
				}
				if len(workers[0].starts) != tasks {
					t.Errorf("%d tasks were started; want %d", len(workers[0].starts), tasks)
				}
				for task, starts := range workers[0].starts {
					if starts != 1 {
						t.Errorf("%s was started %d times", task, starts)
					}
				}
			})
		})
	}
}

// Guards against a scheduler of an earlier build that takes all tasks as never started, as
// it does not know pages: while one is listed the progress stays one record, and it cannot
// decode that of a job with pages.
func TestPagesWaitForGatesOfEarlierBuilds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakekv.New()
		storeMessage(t, kv, GateKey("old"), &flow.Claim{Holder: "old", Address: "10.0.0.9:1"})
		storeMessage(t, kv, GateKey("new"), &flow.Claim{Holder: "new", Address: "10.0.0.8:1", ReadsPages: true})
		const maxBytes = 20 << 10
		kv.SetMaxValueBytes(2 * maxBytes)
		b := newHarness(t, kv, 1)
		if err := b.scheduler.stateOwner.Do(t.Context(), func(st *state) { st.maxUnpagedBytes = maxBytes }); err != nil {
			t.Fatal(err)
		}
		workers := newBulkWorkers(t, 2, time.Second)
		b.scheduler.Apply([]store.Event{storeMessage(t, kv, JobKey(jobID), bulkJob(jobID, 4000, 0))})
		if b.runUntilDone(workers, 20*time.Second, jobID) {
			t.Fatal("the job is completed beside a gate that does not read pages")
		}
		if work := b.storedProgress(jobID); work.GetPageTasks() != 0 || proto.Size(work) < maxBytes/2 || len(work.GetTasks()) < 1000 {
			t.Errorf("%d tasks and %d bytes in the record, pages of %d", len(work.GetTasks()), proto.Size(work), work.GetPageTasks())
		}
		b.scheduler.Apply([]store.Event{storeMessage(t, kv, JobKey(smallID), bulkJob(smallID, 3, 0))})
		if !b.runUntilDone(workers, 3*time.Second, smallID) {
			t.Errorf("the small job is %v", b.headOf(smallID).GetPhase())
		}
		b.scheduler.Apply([]store.Event{storeMessage(t, kv, GateKey("old"), &flow.Claim{Holder: "old", Address: "10.0.0.9:1", ReadsPages: true})})
		b.runUntilDone(workers, time.Second, jobID)
		if item, err := kv.Get(t.Context(), ProgressKey(jobID)); err != nil || proto.Unmarshal(item.Value, &flow.Work{}) == nil {
			t.Errorf("an earlier build decodes the head of progress in pages, %v", err)
		}
		if !b.runUntilDone(workers, time.Minute, jobID) {
			t.Errorf("the job is %v once all gates read pages", b.headOf(jobID).GetPhase())
		}
	})
}

// Guards against a write that the store refuses for good and that is repeated for ever: it
// held up all other jobs, whose ends were not acknowledged either.
func TestRefusedWriteStopsNoOtherJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakekv.New()
		b := newHarness(t, kv, 1)
		kv.SetMaxValueBytes(1000)
		workers := newBulkWorkers(t, 1, time.Second)
		b.scheduler.Apply([]store.Event{
			storeMessage(t, fakekv.New(), JobKey(jobID), bulkJob(jobID, 100, 0)),
			storeMessage(t, fakekv.New(), JobKey(smallID), bulkJob(smallID, 3, 0)),
		})
		if !b.runUntilDone(workers, 10*time.Second, smallID) {
			t.Errorf("the small job is %v", b.headOf(smallID).GetPhase())
		}
		if writes := kv.Counts(fakekv.AllCallers).Writes; writes > 40 {
			t.Errorf("%d writes in 10 s; a write that is refused is repeated without a pause", writes)
		}
		b.runUntilDone(workers, time.Second, jobID)
		if len(workers[0].ends) > 0 {
			t.Errorf("ends that are not acknowledged: %v", workers[0].ends)
		}
		for task := range workers[0].starts {
			if id, _, err := graph.ParseTask(task); err != nil || id == jobID {
				t.Errorf("%s was started though that is not stored, %v", task, err)
			}
		}
		kv.SetMaxValueBytes(store.MaxValueBytes)
		if !b.runUntilDone(workers, 20*time.Second, jobID) {
			t.Errorf("the job is %v once the store takes its record", b.headOf(jobID).GetPhase())
		}
	})
}

// Guards against pages that stay in the store for good: they go with their job, or, if an
// earlier build has removed that, once a holder finds them.
func TestPagesAreRemovedWithTheirJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakekv.New()
		storeMessage(t, kv, PageKey("00000000000000cc", 3), &flow.Page{})
		b := newHarness(t, kv, 1)
		workers := newBulkWorkers(t, 40, time.Hour)
		b.scheduler.Apply([]store.Event{storeMessage(t, kv, JobKey(jobID), bulkJob(jobID, 9000, 0))})
		b.runUntilDone(workers, 10*time.Second, jobID)
		if pages, _, err := kv.Range(t.Context(), pagePrefix+jobID); err != nil || len(pages) <= maxSweepKeys {
			t.Fatalf("%d pages are stored, %v", len(pages), err)
		}
		b.scheduler.Apply([]store.Event{storeMessage(t, kv, CancelKey(jobID), &flow.Cancellation{})})
		for range 3 * int(testSettings.Retention/time.Second) {
			b.runUntilDone(workers, time.Second, jobID)
		}
		for _, prefix := range []string{pagePrefix, jobPrefix, progressPrefix} {
			if items, _, err := kv.Range(t.Context(), prefix); err != nil || len(items) != 0 {
				t.Errorf("%d items with prefix %s, %v; want none", len(items), prefix, err)
			}
		}
	})
}
