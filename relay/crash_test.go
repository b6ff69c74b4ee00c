package relay

import (
	"fmt"
	"testing"
	"time"

	"catkinpoint/flow"
)

// crash ends the worker's process without notice.
func (f *relayFixture) crash() {
	f.worker.withLock(func() {
		f.worker.notListening = true
		f.worker.running = map[string]*flow.Run{}
	})
}

// The runs that were on a worker when it crashed are known to the relay alone. It must
// report them, with their ages, until a scheduler has stored the crash.
func TestCrashIsReportedUntilItIsStored(t *testing.T) {
	withRelay(t, func(t *testing.T, f *relayFixture) {
		f.scheduler.setOrders(orderStart)
		time.Sleep(3 * time.Second)
		f.scheduler.setOrders(func(o *flow.Orders) { o.Starts = []*flow.Start{{Task: "b.0.0.0", Run: 2, Spec: "x"}} })
		time.Sleep(500 * time.Millisecond)
		f.crash()
		time.Sleep(2 * time.Second)
		newer := Heartbeat{Worker: &flow.Worker{Service: "care", Id: "w2", BornMs: 200}, Clock: time.Second, Sequence: 1}
		if err := f.relay.HandleHeartbeat(t.Context(), newer); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		report := f.scheduler.lastReport()
		if len(report.GetCrashes()) != 1 || len(report.GetCrashes()[0].GetRuns()) != 2 {
			t.Fatalf("crashes after the worker was replaced: %v; want one with two runs", report.GetCrashes())
		}
		c := report.GetCrashes()[0]
		young, old := c.GetRuns()[0], c.GetRuns()[1]
		if c.GetWorker() != "w1" || young.GetTask() != "b.0.0.0" || young.GetAgeMs() > 900 || old.GetAgeMs() < 2500 {
			t.Errorf("crash %v; want the younger run, of b, first", c)
		}
		f.scheduler.setOrders(func(o *flow.Orders) { o.CrashesStored = c.GetNumber() })
		time.Sleep(time.Second)
		if got := f.scheduler.lastReport().GetCrashes(); len(got) != 0 {
			t.Errorf("crashes after they were stored: %v", got)
		}
	})
}

// Work that ends with a worker which leaves, drains, or has long been silent says
// nothing about the tasks.
func TestPlannedEndsAreNoCrashes(t *testing.T) {
	tests := []struct {
		name string
		end  func(t *testing.T, f *relayFixture)
	}{
		{"idle", func(_ *testing.T, f *relayFixture) {
			f.worker.withLock(func() { f.worker.endRun("a.0.0.0", "done") })
			time.Sleep(time.Second)
			f.crash()
		}},
		{"drained", func(t *testing.T, f *relayFixture) {
			f.heartbeat(t, 2, true)
			f.crash()
		}},
		{"left", func(t *testing.T, f *relayFixture) {
			if err := f.relay.HandleLeave(t.Context(), "w1"); err != nil {
				t.Fatal(err)
			}
			f.crash()
		}},
		{"silent for longer than its lease", func(_ *testing.T, f *relayFixture) {
			f.worker.withLock(func() { f.worker.silent = true })
			time.Sleep(15 * time.Second)
			f.worker.withLock(func() { f.worker.silent = false })
			f.crash()
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withRelay(t, func(t *testing.T, f *relayFixture) {
				f.scheduler.setOrders(orderStart)
				time.Sleep(time.Second)
				test.end(t, f)
				time.Sleep(2 * time.Second)
				if got := f.scheduler.lastReport().GetCrashes(); len(got) != 0 {
					t.Errorf("crashes: %v; want none", got)
				}
			})
		})
	}
}

// A start that found nothing at the worker's address has not run there.
func TestStartAfterCrashIsNotOnWorker(t *testing.T) {
	withRelay(t, func(t *testing.T, f *relayFixture) {
		f.scheduler.setOrders(orderStart)
		time.Sleep(time.Second)
		f.crash()
		f.scheduler.setOrders(func(o *flow.Orders) { o.Starts = []*flow.Start{{Task: "late.0.0.0", Run: 1, Spec: "x"}} })
		time.Sleep(2 * time.Second)
		crashes := f.scheduler.lastReport().GetCrashes()
		if len(crashes) != 1 || len(crashes[0].GetRuns()) != 1 || crashes[0].GetRuns()[0].GetTask() != "a.0.0.0" {
			t.Errorf("crashes: %v; want one with the run of a alone", crashes)
		}
	})
}

// Starts that are on their way when another one shows that the process has ended have not
// run there: the crash of an idle worker counted under one of them.
func TestStartsUnderWayAreNotOnEndedProcess(t *testing.T) {
	withRelay(t, func(t *testing.T, f *relayFixture) {
		time.Sleep(time.Second)
		f.worker.withLock(func() { f.worker.born = 200 })
		f.scheduler.setOrders(func(o *flow.Orders) {
			for n := range 4 {
				o.Starts = append(o.Starts, &flow.Start{Task: fmt.Sprintf("a.0.0.%d", n), Run: 1, Spec: "x"})
			}
		})
		time.Sleep(3 * time.Second)
		if crashes := f.scheduler.lastReport().GetCrashes(); len(crashes) != 0 {
			t.Errorf("crashes: %v; want none", crashes)
		}
	})
}

// A worker may be back before a call has found nothing at its address.
func TestRestartAtOnceIsACrash(t *testing.T) {
	withRelay(t, func(t *testing.T, f *relayFixture) {
		f.scheduler.setOrders(orderStart)
		time.Sleep(time.Second)
		f.worker.withLock(func() { f.worker.born, f.worker.running = 200, map[string]*flow.Run{} })
		newer := Heartbeat{Worker: &flow.Worker{Service: "care", Id: "w1", BornMs: 200}, Clock: time.Second, Sequence: 1}
		if err := f.relay.HandleHeartbeat(t.Context(), newer); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		crashes := f.scheduler.lastReport().GetCrashes()
		if len(crashes) != 1 || crashes[0].GetWorkerBornMs() != 100 || len(crashes[0].GetRuns()) != 1 {
			t.Errorf("crashes: %v; want one of the process before, with one run", crashes)
		}
	})
}

// A start that is held up on its way to a worker has no answer, and its connection stays open
// when the process ends. Two of them, at crashes of other causes, looked like a task that
// crashes workers at once, and its job was given up.
func TestStartThatTimesOutHasNoKnownAgeAtCrash(t *testing.T) {
	tests := []struct {
		name   string
		broken bool // the worker's process takes the call, and its end breaks the connection
		want   int64
	}{
		{"held up on its way", false, -1},
		{"taken by the process that ends", true, 100},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withPath(t, 1, func(t *testing.T, f *pathFixture) {
				f.worker.withLock(func() {
					f.worker.breaksAtEnd = test.broken
					f.worker.onStart = func(Call, *flow.Start) {}
				})
				f.scheduler.order(startOrder("a.0.0.0"))
				time.Sleep(100 * time.Millisecond)
				f.crash()
				time.Sleep(3 * time.Second)
				crashes := f.scheduler.lastReport().GetCrashes()
				if len(crashes) != 1 || len(crashes[0].GetRuns()) != 1 {
					t.Fatalf("crashes: %v; want one with one run", crashes)
				}
				if age := crashes[0].GetRuns()[0].GetAgeMs(); age < test.want || age > test.want+50 || test.want < 0 && age != -1 {
					t.Errorf("age %d ms; want %d", age, test.want)
				}
			})
		})
	}
}
