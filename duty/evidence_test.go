package duty

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"catkinpoint/clock"
	"catkinpoint/flow"
	"catkinpoint/graph"
	"catkinpoint/stand/fakekv"
	"catkinpoint/store"
)

// Guards against ending a run that its worker lists because of a report that an earlier
// process of the relay sent: its first report to a new holder may arrive after that of
// the present process.
func TestLateReportOfEarlierRelayProcessEndsNoRun(t *testing.T) {
	tests := []struct {
		name string
		edit func(*flow.Worker)
	}{
		{"which knows the machine's earlier worker", func(w *flow.Worker) { w.Id, w.BornMs = "w0", 50 }},
		{"which saw an earlier process of the worker end", func(w *flow.Worker) { w.BornMs, w.Gone = 50, true }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t, fakekv.New(), 1)
				running := startOnFirstWorker(t, b)
				late := idleReport(1, 7, 0)
				late.RelayBoot = "earlier"
				test.edit(late.Worker)
				b.report(late)
				b.report(running)
				time.Sleep(time.Second)
				checkFirstRun(t, b, "after the late report")
			})
		})
	}
}

// Guards against taking a run as unreachable while the answers to its relay's reports
// renew its lease: a late first report of an earlier relay process must not make the
// holder ignore the reports of the present one.
func TestRelayIsHeardAfterLateReportOfItsEarlierProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, fakekv.New(), 1)
		running := startOnFirstWorker(t, b)
		late := idleReport(1, 7, 0)
		late.RelayBoot = "earlier"
		b.report(late)
		for range 30 {
			if lease := b.report(running).GetLeaseMs(); lease == 0 {
				t.Fatal("the report was answered without a lease")
			}
			running.Sequence++
			time.Sleep(500 * time.Millisecond)
		}
		checkFirstRun(t, b, "after 15 s of reports that list it")
	})
}

// Guards against two runs at once: a start call without an answer may be carried out by
// the next process of the worker under the same id, which knows no fence. The task must
// not start elsewhere as soon as the process is reported as gone.
func TestStartWithoutAnswerOutlivesItsWorkerProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, fakekv.New(), 1)
		_, sequence := startJob(t, b, simpleJob(jobID, 1))
		gone := idleReport(1, sequence, 1)
		gone.Worker.Gone = true
		b.report(gone)
		other := b.collectOrders(idleReport(2, 0, 1))[0]
		next := idleReport(1, sequence+1, 1)
		next.Worker.BornMs, next.Running = 200, []*flow.Run{{Task: firstTaskName, Run: 1}}
		b.report(next)
		if len(other.GetStarts()) != 0 {
			t.Errorf("start on w2 before the next process of w1 carried out the call: %v", other.GetStarts())
		}
	})
}

// Guards against a start after a run has ended as done: the end of a run that was taken
// as over is acknowledged, so it must also count.
func TestDoneEndOfRunTakenAsGoneCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, fakekv.New(), 1)
		r := startOnFirstWorker(t, b)
		r.Worker.Gone = true
		b.report(r)
		back := idleReport(1, r.GetSequence(), 1)
		back.Ends = []*flow.End{{Number: 1, Task: firstTaskName, Run: 1, How: graph.EndDone}}
		orders := b.collectOrders(back)[0]
		if task := b.storedProgress(jobID).GetTasks()[0]; orders.GetObserved() == 1 && (!task.GetDone() || task.GetRun() != 1) {
			t.Errorf("end of run 1 as done is acknowledged; task %v, starts %v", task, orders.GetStarts())
		}
	})
}

// Guards against a new run of a task that is done: a worker lists 500 ends at a time, so
// that a run in neither list may have ended and is not sure to have never started.
func TestRunWhoseEndIsNotListedYetIsNotRestarted(t *testing.T) {
	const listedEnds = 500
	const others = "00000000000000bb"
	synctest.Test(t, func(t *testing.T) {
		kv := fakekv.New()
		job, other := graph.New(simpleJob(jobID, 1), nil), graph.New(simpleJob(others, listedEnds), nil)
		for _, j := range []*graph.Job{job, other} {
			assignAll(j, true)
			storeJob(t, kv, j)
		}
		b := newHarness(t, kv, 2)
		b.report(idleReport(1, 1, 0))
		r := idleReport(1, 1, 2)
		for i := range int32(listedEnds) {
			r.Ends = append(r.Ends, &flow.End{Number: int64(i + 1), Task: graph.TaskName(others, graph.Ref{Index: i}), Run: 1, How: graph.EndDone})
		}
		b.collectOrders(r)
		r.Ends = []*flow.End{{Number: listedEnds + 1, Task: firstTaskName, Run: 1, How: graph.EndDone}}
		b.collectOrders(r)
		if task := b.storedProgress(jobID).GetTasks()[0]; task.GetRun() != 1 || !task.GetDone() {
			t.Errorf("task whose run was done, listed as end %d: %v", listedEnds+1, task)
		}
	})
}

// Guards against ends that are never acknowledged: they must be once their change is
// stored, also if the job has changed again during each write.
func TestEndsAreAcknowledgedWhileJobKeepsChanging(t *testing.T) {
	const tasks = 40
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, fakekv.New(), 1)
		spec := simpleJob(jobID, tasks)
		spec.Steps[0].Accelerators, spec.Steps[0].Cpu = 0, 100
		_, sequence := startJob(t, b, spec)
		time.Sleep(time.Second)
		b.kv.SetFaults(fakekv.AllCallers, fakekv.Faults{Delay: 300 * time.Millisecond})
		r := idleReport(1, sequence, 1)
		observed := int64(0)
		for i := range int32(tasks) {
			r.Ends = append(r.Ends, &flow.End{Number: int64(i + 1), Task: graph.TaskName(jobID, graph.Ref{Index: i}), Run: 1, How: graph.EndDone})
			orders := b.report(r)
			observed = max(observed, orders.GetObserved())
			r.Sequence, r.OrdersVersion = r.GetSequence()+1, orders.GetVersion()
			time.Sleep(100 * time.Millisecond)
		}
		if observed < tasks/2 {
			t.Errorf("ends up to %d acknowledged when %d were listed, with writes that take 300 ms", observed, tasks)
		}
	})
}

// Guards against a start of a gang member that is done: the success of one member counts
// for all, also for one whose relay has not confirmed the start.
func TestDoneGangMemberIsNotStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, fakekv.New(), 1)
		spec := gangJob(jobID, 2)
		spec.Steps[0].MaxPerWorker = 1
		b.scheduler.Apply([]store.Event{storeMessage(t, b.kv, JobKey(jobID), spec)})
		reports := []*flow.Report{idleReport(1, 0, 1), idleReport(2, 0, 1)}
		orders := b.collectOrders(reports...)
		if len(orders[0].GetStarts()) != 1 || len(orders[1].GetStarts()) != 1 {
			t.Fatalf("starts %v and %v; want one on each worker", orders[0].GetStarts(), orders[1].GetStarts())
		}
		reports[0].Ends = []*flow.End{{Number: 1, Task: orders[0].GetStarts()[0].GetTask(), Run: 1, How: graph.EndDone}}
		b.collectOrders(reports[0])
		restarted := idleReport(2, 1, 0)
		restarted.RelayBoot = "b2"
		restarted.Epoch = b.report(restarted).GetEpoch() // as the relay has it from the answer
		restarted.Sequence++
		if got := b.report(restarted).GetStarts(); len(got) != 0 {
			t.Errorf("starts for a restarted relay after the gang was done: %v", got)
		}
	})
}

// Guards against losing the end of a run: that of a job whose progress this holder cannot
// decode is not stored, so it must not be acknowledged.
func TestEndOfJobWithUnreadableProgressIsNotAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakekv.New()
		storeMessage(t, kv, JobKey(jobID), simpleJob(jobID, 1))
		if _, err := kv.Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: ProgressKey(jobID), Value: []byte("\xff")}}}); err != nil {
			t.Fatal(err)
		}
		b := newHarness(t, kv, 2)
		r := idleReport(1, 0, 2)
		r.Ends = []*flow.End{{Number: 1, Task: firstTaskName, Run: 1, How: graph.EndDone}}
		if orders := b.collectOrders(r)[0]; orders.GetObserved() != 0 {
			t.Errorf("end %d of a job that is passed over is acknowledged", orders.GetObserved())
		}
	})
}

// Guards against a call for a run that is taken as over and reaches the worker late, from
// a relay that sends it again or in the next process under the same id, which knows neither
// the fence nor the stops of the last one: the worker must be told to stop that run.
func TestRunTakenAsOverIsStoppedOnItsWorker(t *testing.T) {
	tests := []struct {
		name   string
		born   int64 // start of the worker's process in its next report
		isOver func(b *harness, r *flow.Report)
	}{
		{"unreachable, the same process", 100, func(*harness, *flow.Report) { time.Sleep(12 * time.Second) }},
		{"unreachable, the next process", 200, func(*harness, *flow.Report) { time.Sleep(12 * time.Second) }},
		{"gone, the next process", 200, func(b *harness, r *flow.Report) {
			r.Worker.Gone = true
			b.report(r)
		}},
		{"refused by the last process", 200, func(b *harness, r *flow.Report) {
			r.Refusals = []*flow.Refusal{{Task: firstTaskName, Run: 1, Reason: graph.RefusedUnanswered}}
			b.report(r)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t, fakekv.New(), 1)
				_, sequence := startJob(t, b, simpleJob(jobID, 1))
				test.isOver(b, idleReport(1, sequence, 1))
				time.Sleep(100 * time.Millisecond)
				r := idleReport(1, sequence+1, 1)
				r.Worker.BornMs = test.born
				orders := b.report(r)
				if !slices.ContainsFunc(orders.GetStops(), func(s *flow.Stop) bool { return s.GetTask() == firstTaskName && s.GetRun() == 1 }) {
					t.Errorf("stops %v, with a lease of %d ms; want run 1 to be stopped", orders.GetStops(), orders.GetLeaseMs())
				}
			})
		})
	}
}

// Guards against a lease that is counted on the wrong clock: the relay counts it on the
// clock of the worker's process in its report, so that the answer must be for that process
// and not for one that another report has named meanwhile.
func TestAnswerIsForTheProcessInItsReport(t *testing.T) {
	for _, next := range []string{"w1", "w9"} {
		t.Run(next, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t, fakekv.New(), 1)
				pending := idleReport(1, 2, 1)
				pending.OrdersVersion = b.report(idleReport(1, 1, 1)).GetVersion()
				answer := make(chan *flow.Orders, 1)
				go func() {
					orders, _ := b.scheduler.HandleReport(pending) // an error is an answer without a lease
					answer <- orders
				}()
				time.Sleep(100 * time.Millisecond)
				r := idleReport(1, 3, 1)
				r.Worker.Id, r.Worker.BornMs = next, 200
				b.report(r)
				if orders := <-answer; orders.GetLeaseMs() > 0 && orders.GetWorkerBornMs() != 100 {
					t.Errorf("report of the process 100 answered with a lease for %s, process %d", orders.GetWorker(), orders.GetWorkerBornMs())
				}
			})
		})
	}
}

// Guards against a job that blocks all writes: its run was assigned but not stored when it
// failed, and its cancellation is stored before the next write.
func TestCancellationOfFailedJobBlocksNoOtherJob(t *testing.T) {
	const other = "00000000000000bb"
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, fakekv.New(), 1)
		spec := simpleJob(jobID, 2)
		spec.MaxAttempts, spec.Steps[0].Accelerators = 1, 8
		_, sequence := startJob(t, b, spec)
		time.Sleep(time.Second)
		b.kv.SetInterceptor(func(ctx context.Context, call fakekv.Call) error {
			if strings.HasPrefix(call.Key, progressPrefix) && !call.Applied {
				clock.Sleep(ctx, 200*time.Millisecond)
			}
			return nil
		})
		go func() { _, _ = b.scheduler.HandleReport(idleReport(2, 1, 1)) }() // the second task gets a run there
		time.Sleep(20 * time.Millisecond)
		failed := idleReport(1, sequence, 1)
		failed.Ends = []*flow.End{{Number: 1, Task: firstTaskName, Run: 1, How: graph.EndFailed}}
		b.report(failed)
		b.scheduler.Apply([]store.Event{storeMessage(t, b.kv, CancelKey(jobID), &flow.Cancellation{})})
		time.Sleep(2 * time.Second)
		b.scheduler.Apply([]store.Event{storeMessage(t, b.kv, JobKey(other), simpleJob(other, 1))})
		if starts := b.collectOrders(idleReport(3, 0, 1))[0].GetStarts(); len(starts) == 0 {
			t.Errorf("another job is not started; the failed one is stored as %v", b.storedProgress(jobID).GetPhase())
		}
	})
}
