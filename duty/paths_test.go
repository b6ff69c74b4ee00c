package duty

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"catkinpoint/clock"
	"catkinpoint/flow"
	"catkinpoint/graph"
	"catkinpoint/stand/fakekv"
	"catkinpoint/store"
)

// firstTaskName is the name of the first task of the job with the id jobID.
var firstTaskName = graph.TaskName(jobID, graph.Ref{})

// startOnFirstWorker has a scheduler start a job with one task on worker 1, whose relay
// then lists the run, and returns that report with the sequence of the next one.
func startOnFirstWorker(t *testing.T, b *harness) *flow.Report {
	t.Helper()
	orders, sequence := startJob(t, b, simpleJob(jobID, 1))
	r := idleReport(1, sequence, b.claim.Epoch)
	r.OrdersVersion, r.Running = orders.GetVersion(), []*flow.Run{{Task: firstTaskName, Run: 1}}
	b.report(r)
	r.Sequence++
	return r
}

// checkFirstRun fails the test unless run 1 of the first task is still the active one, on
// worker 1.
func checkFirstRun(t *testing.T, b *harness, when string) {
	t.Helper()
	if task := b.storedProgress(jobID).GetTasks()[0]; task.GetRun() != 1 || task.GetWorker() != "w1" {
		t.Errorf("task %s: %v; want run 1 on w1, which the worker lists", when, task)
	}
}

// Guards against ending runs by what a killed process of the relay reported: its reports
// are ignored once the holder knows its successor.
func TestLateReportOfKnownEarlierRelayProcessChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, fakekv.New(), 1)
		r := startOnFirstWorker(t, b)
		r.RelayBoot = "b2"
		b.report(r)
		late := idleReport(1, 100, 1)
		late.Worker.Id, late.Worker.BornMs = "w0", 50
		for range 2 {
			if orders, err := b.scheduler.HandleReport(late); !errors.Is(err, ErrNotHolder) {
				t.Errorf("report of the earlier process: orders %v, error %v; want ErrNotHolder, after which a relay pauses", orders, err)
			}
			late.Worker.Gone = true
			late.Sequence++
		}
		time.Sleep(time.Second)
		checkFirstRun(t, b, "after reports of the earlier process")
	})
}

// Guards against starting a task elsewhere while a new process of its worker under the
// same id may still carry out the call for the old run: that run is stopped there first.
func TestRunOfEarlierProcessIsStoppedBeforeItIsRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, fakekv.New(), 1)
		r := startOnFirstWorker(t, b)
		r.Worker.BornMs, r.Running = 200, nil
		other := idleReport(2, 0, 1)
		orders := b.collectOrders(r, other)
		if got := stopNames(orders[0]); !slices.Equal(got, []string{firstTaskName}) || len(orders[1].GetStarts()) != 0 {
			t.Errorf("stops %v on w1, starts %v on w2; want a stop of the run and no start", got, orders[1].GetStarts())
		}
		r.Refusals = []*flow.Refusal{{Task: firstTaskName, Run: 1, Reason: graph.RefusedStopped}}
		b.collectOrders(r, other)
		if task := b.storedProgress(jobID).GetTasks()[0]; task.GetRun() != 2 {
			t.Errorf("task after the new process refused run 1: %v; want run 2", task)
		}
	})
}

// Guards against a second run after an end that the former holder stored and did not
// acknowledge: the worker lists it again to the next holder.
func TestStoredEndThatIsListedAgainStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakekv.New()
		job := graph.New(simpleJob(jobID, 2), nil)
		assignAll(job, true)
		job.End(graph.Ref{}, 1, graph.EndDone, "")
		storeJob(t, kv, job)
		b := newHarness(t, kv, 2)
		b.report(idleReport(1, 1, 0))
		r := runningReport(job, 1, 2)
		r.Ends = []*flow.End{{Number: 1, Task: firstTaskName, Run: 1, How: graph.EndDone}}
		orders := b.collectOrders(r)[0]
		if len(orders.GetStarts()) != 0 || len(orders.GetStops()) != 0 || orders.GetObserved() != 1 {
			t.Errorf("orders %v; want end 1 acknowledged and nothing else", orders)
		}
	})
}

// Guards against ending runs by lists that were taken under another epoch: a start of that
// epoch may come after them.
func TestListsOfAnotherEpochEndNoRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, fakekv.New(), 2)
		r := startOnFirstWorker(t, b)
		r.Epoch, r.Running = 1, nil
		r.Refusals = []*flow.Refusal{{Task: firstTaskName, Run: 1, Reason: graph.RefusedStopped}}
		b.report(r)
		time.Sleep(time.Second)
		checkFirstRun(t, b, "after lists of another epoch")
	})
}

// Guards against ending a run by the refusal of an earlier run of the same task.
func TestRefusalOfEarlierRunEndsNoRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, fakekv.New(), 1)
		_, sequence := startJob(t, b, simpleJob(jobID, 1))
		r := idleReport(1, sequence, 1)
		r.Refusals = []*flow.Refusal{{Task: firstTaskName, Run: 1, Reason: graph.RefusedStopped}}
		b.collectOrders(r)
		r.Running = []*flow.Run{{Task: firstTaskName, Run: 2}}
		b.collectOrders(r)
		if task := b.storedProgress(jobID).GetTasks()[0]; task.GetRun() != 2 || task.GetWorker() != "w1" {
			t.Errorf("task after the refusal of run 1 was repeated: %v; want run 2 on w1", task)
		}
	})
}

// Guards against ending runs whose lease another holder may have extended: without a
// valid claim no run ends, however long its relay is silent.
func TestNoRunEndsWhileTheClaimIsInvalid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, fakekv.New(), 1)
		startOnFirstWorker(t, b)
		b.claim.validUntil.Store(0)
		time.Sleep(3 * testSettings.TaskLease)
		checkFirstRun(t, b, "while the claim is not valid")
	})
}

// Guards against a start while the lease that the former holder gave still runs: the next
// holder counts the silence of a relay from its own start.
func TestNextHolderWaitsForTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakekv.New()
		job := graph.New(simpleJob(jobID, 1), nil)
		assignAll(job, true)
		storeJob(t, kv, job)
		time.Sleep(time.Hour)
		b := newHarness(t, kv, 2)
		time.Sleep(testSettings.TaskLease)
		checkFirstRun(t, b, "one lease after the start of the holder")
	})
}

// Guards against taking a write for refused although it took effect, and against an early
// attempt that is carried out after a later one.
func TestWriteWithoutAnswerTakesEffectOnce(t *testing.T) {
	tests := []struct {
		name   string
		faults fakekv.Faults
	}{
		{"answer lost", fakekv.Faults{LoseNext: 1, LosePrefix: progressPrefix}},
		{"carried out after a later attempt", fakekv.Faults{Delay: 2 * time.Second}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t, fakekv.New(), 1)
				r := idleReport(1, 0, 1)
				b.collectOrders(r)
				event := storeMessage(t, b.kv, JobKey(jobID), simpleJob(jobID, 1))
				b.kv.SetFaults(fakekv.AllCallers, test.faults)
				b.scheduler.Apply([]store.Event{event})
				time.Sleep(storeCallTimeout)
				if test.faults.Delay > 0 {
					b.kv.ClearFaults()
				}
				orders := b.collectOrders(r)[0]
				if len(orders.GetStarts()) != 1 || orders.GetStarts()[0].GetRun() != 1 {
					t.Errorf("starts %v; want run 1", orders.GetStarts())
				}
				first, err := b.kv.Get(t.Context(), ProgressKey(jobID))
				time.Sleep(3 * time.Second)
				last, lastErr := b.kv.Get(t.Context(), ProgressKey(jobID))
				if err != nil || lastErr != nil || first.Revision != last.Revision {
					t.Errorf("revision %d (%v), then %d (%v); want one write", first.Revision, err, last.Revision, lastErr)
				}
			})
		})
	}
}

// Guards against a claim that its process does not know of and two holders of one epoch: a
// claim whose write got no answer is removed, and the next one has a higher epoch.
func TestClaimWithoutAnswerIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		kv := fakekv.New()
		kv.SetFaults(fakekv.AllCallers, fakekv.Faults{LoseNext: 1, LosePrefix: claimKey})
		vacant, held := make(chan struct{}), make(chan *Claim, 1)
		c := &Candidate{KV: kv, Name: "g", TTL: time.Second, Vacant: vacant, Serve: func(ctx context.Context, claim *Claim) {
			held <- claim
			<-ctx.Done()
		}}
		done := make(chan struct{})
		go func() {
			defer close(done)
			c.Run(ctx)
		}()
		vacant <- struct{}{}
		time.Sleep(100 * time.Millisecond)
		if _, err := ReadClaim(t.Context(), kv); len(held) != 0 || !errors.Is(err, store.ErrNotFound) {
			t.Errorf("after the lost answer: %d claims served, claim in the store: %v; want none", len(held), err)
		}
		vacant <- struct{}{}
		time.Sleep(100 * time.Millisecond)
		if claim := <-held; claim.Epoch != 2 || !claim.Valid() {
			t.Errorf("next claim: epoch %d, valid %v; want epoch 2", claim.Epoch, claim.Valid())
		}
		cancel()
		<-done
	})
}

// Guards against a start of a job whose cancellation arrives before the job itself.
func TestCancellationBeforeItsJobCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, fakekv.New(), 1)
		b.scheduler.Apply([]store.Event{storeMessage(t, b.kv, CancelKey(jobID), &flow.Cancellation{})})
		b.scheduler.Apply([]store.Event{storeMessage(t, b.kv, JobKey(jobID), simpleJob(jobID, 1))})
		if starts := b.collectOrders(idleReport(1, 0, 1))[0].GetStarts(); len(starts) != 0 {
			t.Errorf("starts of a cancelled job: %v", starts)
		}
		if phase := b.storedProgress(jobID).GetPhase(); phase != flow.Phase_CANCELLED {
			t.Errorf("stored phase %v", phase)
		}
	})
}

// Guards against a second run of a job after a change of it is delivered again, by another
// gate or by the watch.
func TestRepeatedChangeOfJobStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, fakekv.New(), 1)
		event := storeMessage(t, b.kv, JobKey(jobID), simpleJob(jobID, 1))
		b.scheduler.Apply([]store.Event{event})
		r := idleReport(1, 0, 1)
		b.collectOrders(r)
		r.Ends = []*flow.End{{Number: 1, Task: firstTaskName, Run: 1, How: graph.EndDone}}
		b.collectOrders(r)
		b.scheduler.Apply([]store.Event{event})
		if starts := b.collectOrders(r)[0].GetStarts(); len(starts) != 0 {
			t.Errorf("starts of a job that has completed: %v", starts)
		}
	})
}

// Guards against a new run of a gang while one of its members may run: it waits for the
// end of each, and the success of the last one counts although another member is lost.
func TestGangWithLostMemberWaitsForTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, fakekv.New(), 1)
		spec := gangJob(jobID, 2)
		spec.Steps[0].MaxPerWorker = 1
		b.scheduler.Apply([]store.Event{storeMessage(t, b.kv, JobKey(jobID), spec)})
		reports := []*flow.Report{idleReport(1, 0, 1), idleReport(2, 0, 1)}
		orders := b.collectOrders(reports...)
		for i, r := range reports {
			r.Running = []*flow.Run{{Task: orders[i].GetStarts()[0].GetTask(), Run: 1}}
		}
		b.collectOrders(reports...)
		replaced, third := idleReport(1, reports[0].GetSequence(), 1), idleReport(3, 0, 1)
		replaced.Worker.Id, replaced.Worker.BornMs = "w9", 200
		for _, o := range b.collectOrders(replaced, reports[1], third) {
			if len(o.GetStarts()) != 0 {
				t.Errorf("starts while the member on w2 runs: %v", o.GetStarts())
			}
		}
		reports[1].Ends = []*flow.End{{Number: 1, Task: reports[1].GetRunning()[0].GetTask(), Run: 1, How: graph.EndDone}}
		reports[1].Running = nil
		b.collectOrders(reports[1])
		if phase := b.storedProgress(jobID).GetPhase(); phase != flow.Phase_COMPLETED {
			t.Errorf("phase %v after the member on w2 was done; want COMPLETED", phase)
		}
	})
}

// Guards against acknowledging an end by the commit of an earlier change: a second end of
// a job that was not in the transaction waits for the next one.
func TestEndDuringWriteIsAcknowledgedAfterTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, fakekv.New(), 1)
		_, sequence := startJob(t, b, simpleJob(jobID, 2))
		time.Sleep(time.Second)
		b.kv.SetInterceptor(func(ctx context.Context, _ fakekv.Call) error {
			clock.Sleep(ctx, 200*time.Millisecond)
			return nil
		})
		r := idleReport(1, sequence, 1)
		r.Ends = []*flow.End{{Number: 1, Task: firstTaskName, Run: 1, How: graph.EndDone}}
		b.report(r)
		time.Sleep(50 * time.Millisecond)
		r.Sequence++
		r.Ends = append(r.Ends, &flow.End{Number: 2, Task: graph.TaskName(jobID, graph.Ref{Index: 1}), Run: 1, How: graph.EndDone})
		for range 20 {
			r.Sequence++
			observed := b.report(r).GetObserved()
			done := int64(0)
			for _, task := range b.storedProgress(jobID).GetTasks() {
				if task.GetDone() {
					done++
				}
			}
			if observed > done {
				t.Fatalf("end %d acknowledged with %d ends stored", observed, done)
			}
			if observed == 2 {
				return
			}
		}
		t.Error("the ends are not acknowledged")
	})
}

// Guards against working on a task that is done: the end of a run that was taken as over
// counts although the task has a later run, which is stopped.
func TestDoneEndOfRunTakenAsGoneStopsLaterRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, fakekv.New(), 1)
		r := startOnFirstWorker(t, b)
		r.Worker.Gone = true
		b.report(r)
		later := idleReport(2, 0, 1)
		if orders := b.collectOrders(later)[0]; len(orders.GetStarts()) != 1 || orders.GetStarts()[0].GetRun() != 2 {
			t.Fatalf("starts %v on w2; want run 2", orders.GetStarts())
		}
		back := idleReport(1, r.GetSequence(), 1)
		back.Ends = []*flow.End{{Number: 1, Task: firstTaskName, Run: 1, How: graph.EndDone}}
		orders := b.collectOrders(back, later)
		if got := stopNames(orders[1]); !slices.Equal(got, []string{firstTaskName}) || len(orders[1].GetStarts()) != 0 {
			t.Errorf("stops %v, starts %v on w2; want a stop of run 2", got, orders[1].GetStarts())
		}
		if work := b.storedProgress(jobID); work.GetPhase() != flow.Phase_COMPLETED || orders[0].GetObserved() != 1 {
			t.Errorf("phase %v, end %d acknowledged; want the job completed and the end acknowledged", work.GetPhase(), orders[0].GetObserved())
		}
	})
}

// Guards against gang members that wait in vain: once the worker of an unconfirmed member is
// gone, the others must be stopped at once and not after lateCallTime.
func TestGangIsStoppedWhileUnconfirmedMemberIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, fakekv.New(), 1)
		spec := gangJob(jobID, 2)
		spec.Steps[0].MaxPerWorker = 1
		b.scheduler.Apply([]store.Event{storeMessage(t, b.kv, JobKey(jobID), spec)})
		r1, r2 := idleReport(1, 0, 1), idleReport(2, 0, 1)
		orders := b.collectOrders(r1, r2)
		r1.Running = []*flow.Run{{Task: orders[0].GetStarts()[0].GetTask(), Run: 1}}
		b.report(r1)
		r1.Sequence++
		r2.Sequence += 10
		r2.Worker.Gone = true
		b.report(r2)
		start := time.Now()
		for time.Since(start) < 20*time.Second {
			r1.Sequence++
			r2.Sequence++
			o := b.report(r1)
			go func() { _, _ = b.scheduler.HandleReport(r2) }()
			time.Sleep(300 * time.Millisecond)
			if len(o.GetStops()) > 0 {
				break
			}
		}
		if took := time.Since(start); took > time.Second {
			t.Errorf("the other member was stopped %v after the worker was gone; want at once", took)
		}
	})
}

// Guards against more starts than MaxAttempts allows: the failure of a run that was taken as
// over is acknowledged, so it must count, and only once.
func TestLateFailureOfRunTakenAsGoneCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, fakekv.New(), 1)
		r := startOnFirstWorker(t, b)
		r.Worker.Gone = true
		b.report(r)
		back := idleReport(1, r.GetSequence(), 1)
		back.Ends = []*flow.End{{Number: 1, Task: firstTaskName, Run: 1, How: graph.EndFailed}}
		orders := b.collectOrders(back)[0]
		task := b.storedProgress(jobID).GetTasks()[0]
		if orders.GetObserved() != 1 || task.GetFailures() != 1 {
			t.Errorf("end %d acknowledged, task %v; want the end acknowledged and one failure", orders.GetObserved(), task)
		}
	})
}

// Guards against work on a task that is done: the stop of its later run is in the memory of
// the holder that learned of the success.
func TestStopAfterLateSuccessSurvivesHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakekv.New()
		job := graph.New(simpleJob(jobID, 2), nil)
		assignAll(job, true)
		job.End(graph.Ref{}, 1, "unreachable", "")
		for _, u := range job.Ready(time.Now().UnixMilli()) {
			job.Assign(u, []graph.Place{placeOf(1)})
		}
		job.MarkStarted(graph.Ref{}, 2)
		if !job.RecordLateSuccess(graph.Ref{}, 1) {
			t.Fatal("no late success")
		}
		storeJob(t, kv, job)
		b := newHarness(t, kv, 2)
		b.report(idleReport(1, 1, 0))
		r := idleReport(1, 1, 2)
		r.Running = []*flow.Run{{Task: firstTaskName, Run: 2}, {Task: graph.TaskName(jobID, graph.Ref{Index: 1}), Run: 1}}
		orders := b.collectOrders(r)[0]
		if len(orders.GetStops()) != 1 {
			t.Errorf("stops %v; want run 2 of the first task, which is done", orders.GetStops())
		}
	})
}
