package duty

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"catkinpoint/clock"
	"catkinpoint/flow"
	"catkinpoint/graph"
	"catkinpoint/plan"
	"catkinpoint/stand/fakekv"
	"catkinpoint/store"
)

// refuseLate switches refusals on for the schedulers of a test.
func refuseLate(t *testing.T) {
	t.Helper()
	testSettings.RefuseLate = true
	t.Cleanup(func() { testSettings.RefuseLate = false })
}

// wholeWorkerJob returns a job that takes a whole worker for a time.
func wholeWorkerJob(id, customer string, priority int32, estimate time.Duration) *flow.Job {
	job := simpleJob(id, 1)
	job.Customer, job.Priority = customer, priority
	job.Steps[0].Accelerators, job.Steps[0].EstimateMs = 8, estimate.Milliseconds()
	return job
}

// newBusyHarness starts a scheduler with one worker and with five urgent jobs that take it for
// 5 s each, and reports for a time.
func newBusyHarness(t *testing.T, kv *fakekv.Server, epoch int64, length time.Duration) *harness {
	t.Helper()
	for i := range 5 {
		job := wholeWorkerJob(fmt.Sprintf("%016x", i), "x", 0, 5*time.Second)
		if _, err := kv.Get(t.Context(), JobKey(job.GetId())); err != nil {
			storeMessage(t, kv, JobKey(job.GetId()), job)
		}
	}
	b := newHarness(t, kv, epoch)
	b.keepReporting(epoch, length)
	return b
}

// keepReporting reports an idle worker for a time.
func (b *harness) keepReporting(epoch int64, length time.Duration) {
	b.t.Helper()
	version := b.report(idleReport(1, time.Now().UnixNano(), 0)).GetVersion()
	for start := time.Now(); time.Since(start) < length; time.Sleep(10 * time.Millisecond) {
		report := idleReport(1, time.Now().UnixNano(), epoch)
		report.OrdersVersion = version
		version = b.report(report).GetVersion()
	}
}

func (b *harness) ask(job *flow.Job) *flow.AdmissionAnswer {
	b.t.Helper()
	answer, err := b.scheduler.Admit(b.t.Context(), job)
	if err != nil {
		b.t.Fatal(err)
	}
	return answer
}

// Guards against refusals of jobs that must be accepted, and against two callers, at two gates,
// that are told to return for the same room.
func TestAdmission(t *testing.T) {
	refuseLate(t)
	synctest.Test(t, func(t *testing.T) {
		short := func(id string) *flow.Job { return wholeWorkerJob(id, "x", 1, 500*time.Millisecond) }
		b := newBusyHarness(t, fakekv.New(), 2, time.Second)
		if answer := b.ask(short("00000000000000b0")); !answer.GetAdmitted() {
			t.Errorf("1 s after the start: %v; want the job admitted", answer)
		}
		b.keepReporting(2, 5*time.Second)
		if !b.scheduler.Shortage().GetRefusing() {
			t.Error("the scheduler does not say that it refuses jobs")
		}
		repeats := short("00000000000000b1")
		repeats.Repeats, repeats.PeriodMs = 2, 60000
		for _, job := range []*flow.Job{short("0000000000000003"), repeats, wholeWorkerJob("00000000000000b2", "c", 0, 500*time.Millisecond)} {
			if answer := b.ask(job); !answer.GetAdmitted() {
				t.Errorf("job %s: %v; want it admitted", job.GetId(), answer)
			}
		}
		first, second := b.ask(short("00000000000000b3")), b.ask(short("00000000000000b4"))
		if first.GetAdmitted() || second.GetAdmitted() || first.GetRetryAfterMs() < 15000 || second.GetRetryAfterMs() <= first.GetRetryAfterMs() {
			t.Errorf("two gates ask: %v, %v; want two refusals with different times", first, second)
		}
		if again := b.ask(short("00000000000000b3")); again.GetAdmitted() || again.GetRetryAfterMs() != first.GetRetryAfterMs() {
			t.Errorf("the same job: %v; want the same time", again)
		}
		b.claim.Abort()
		if _, err := b.scheduler.Admit(t.Context(), short("00000000000000b5")); !errors.Is(err, ErrNotHolder) {
			t.Errorf("after the claim was lost: %v; want ErrNotHolder", err)
		}
	})
}

// Guards against a flood of questions that keeps the scheduler from its decisions: questions
// whose gate no longer waits are not decided, and of many at once only some are measured by a
// forecast. A caller with a promise is still answered by it.
func TestFloodOfQuestions(t *testing.T) {
	refuseLate(t)
	synctest.Test(t, func(t *testing.T) {
		b := newBusyHarness(t, fakekv.New(), 2, 6*time.Second)
		short := func(n int) *flow.Job {
			return wholeWorkerJob(fmt.Sprintf("%016x", 0xb00+n), "x", 1, 500*time.Millisecond)
		}
		b.scheduler.stateOwner.Post(func(*state) { time.Sleep(200 * time.Millisecond) })
		ctx, cancel := context.WithTimeout(t.Context(), 150*time.Millisecond)
		defer cancel()
		if answer, err := b.scheduler.Admit(ctx, short(0)); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("question that was asked 200 ms ago: %v, %v; want no decision", answer, err)
		}
		b.keepReporting(2, time.Second)
		refused := 0
		for n := range 2 * maxForecasts {
			if !b.ask(short(1 + n)).GetAdmitted() {
				refused++
			}
		}
		if refused == 0 || refused > maxForecasts {
			t.Errorf("%d of %d jobs at once are refused; want %d at most", refused, 2*maxForecasts, maxForecasts)
		}
		if answer := b.ask(short(1)); answer.GetAdmitted() {
			t.Errorf("caller that returns early in a flood: %v; want the promised time", answer)
		}
	})
}

// Guards against promises that end with their holder, and against a holder that cannot start
// or refuses at once because their record is missing or damaged.
func TestPromisesSurviveHandover(t *testing.T) {
	refuseLate(t)
	for _, record := range []string{"whole", "missing", "damaged"} {
		t.Run(record, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := fakekv.New()
				job := wholeWorkerJob("00000000000000b0", "x", 1, 500*time.Millisecond)
				b := newBusyHarness(t, kv, 2, 6*time.Second)
				kv.SetFaults(fakekv.AllCallers, fakekv.Faults{Down: true})
				told := b.ask(job)
				due := time.Now().Add(time.Duration(told.GetRetryAfterMs()) * time.Millisecond)
				if told.GetAdmitted() {
					t.Fatalf("while the store is away: %v; want a refusal", told)
				}
				kv.SetFaults(fakekv.AllCallers, fakekv.Faults{})
				b.keepReporting(2, 2*time.Second)
				b.claim.Abort()
				time.Sleep(time.Second)
				txn := store.Txn{Deletes: []string{learnedKey}}
				if record == "damaged" {
					txn = store.Txn{Writes: []store.Write{{Key: learnedKey, Value: []byte("\xff\xff")}}}
				}
				if record != "whole" {
					if _, err := kv.Commit(t.Context(), txn); err != nil {
						t.Fatal(err)
					}
				}
				b = newBusyHarness(t, kv, 3, time.Second)
				if answer := b.ask(job); !answer.GetAdmitted() {
					t.Errorf("1 s after the handover: %v; want the job admitted", answer)
				}
				b.keepReporting(3, 5*time.Second)
				answer := b.ask(job)
				left := time.Until(due)
				same := !answer.GetAdmitted() && max(left.Milliseconds()-answer.GetRetryAfterMs(), answer.GetRetryAfterMs()-left.Milliseconds()) < 10
				if same != (record == "whole") {
					t.Errorf("after the handover: %v; %v are left", answer, left)
				}
			})
		})
	}
}

// Guards against a record of promises that no later build or holder can read, and against one
// that is not removed as promises end.
func TestPromisesAreStored(t *testing.T) {
	refuseLate(t)
	synctest.Test(t, func(t *testing.T) {
		kv := fakekv.New()
		b := newBusyHarness(t, kv, 2, 6*time.Second)
		b.ask(wholeWorkerJob("00000000000000b0", "x", 1, 500*time.Millisecond))
		stored := func() []*flow.Promise {
			learned := &flow.Learned{}
			item, err := kv.Get(t.Context(), learnedKey)
			if err == nil {
				err = proto.Unmarshal(item.Value, learned)
			}
			if err != nil {
				t.Fatal(err)
			}
			return learned.GetPromises()
		}
		time.Sleep(100 * time.Millisecond)
		if list := stored(); len(list) != 1 || list[0].GetId() != "00000000000000b0" || list[0].GetTasks() != 1 || list[0].GetAccelerators() != 8 {
			t.Errorf("stored: %v; want the promise", list)
		}
		b.keepReporting(2, time.Minute)
		if list := stored(); len(list) != 0 {
			t.Errorf("stored a minute later: %v; want none", list)
		}
	})
}

// Guards against the refusal of a job that the order by cost would start at the next free room,
// as by deadline much work comes before it, and against the admission of all others then.
func TestForecastWithOrderByCost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := clock.Monotonic()
		st := newState(now)
		room := plan.Resources{MilliCPU: 64000, MemoryMB: 65536, Accelerators: 8}
		running := graph.New(wholeWorkerJob("00000000000000a0", "x", 1, 2*time.Second), nil)
		worker := plan.Worker{Place: graph.Place{Worker: "w1"}, Service: running.Spec.GetService(), Capacity: room, Usable: true, Slowness: 1, Pace: 1}
		st.planInput = plan.Input{OrderByCost: true, Workers: []plan.Worker{worker}, Running: []plan.Running{
			{Job: running, Place: worker.Place, Need: room, Remaining: time.Second, ExpectedDuration: 2 * time.Second},
		}}
		for i := range 8 {
			job := wholeWorkerJob(fmt.Sprintf("%016x", i), "x", 1, 5*time.Second)
			st.planInput.Requests = append(st.planInput.Requests, st.stepRequests(job, now)...)
		}
		for _, test := range []struct {
			estimate time.Duration
			want     bool
		}{{500 * time.Millisecond, true}, {10 * time.Second, false}} {
			steps := st.stepRequests(wholeWorkerJob("00000000000000b0", "x", 2, test.estimate), now)
			if got := st.startsNow(steps); got != test.want {
				t.Errorf("job of %v: starts %v, want %v", test.estimate, got, test.want)
			}
			st.planInput.OrderByCost = false
			if st.startsNow(steps) {
				t.Errorf("job of %v, by deadline: starts now, but there is no room", test.estimate)
			}
			st.planInput.OrderByCost = true
		}
	})
}
