package relay

import (
	"errors"
	"testing"
	"time"

	"catkinpoint/flow"
	"catkinpoint/graph"
)

// liveHeartbeat returns a heartbeat that the fake worker would send now.
func (f *relayFixture) liveHeartbeat(sequence int64) Heartbeat {
	f.worker.mu.Lock()
	defer f.worker.mu.Unlock()
	return Heartbeat{
		Worker:   &flow.Worker{Service: "care", Id: f.worker.id, BornMs: f.worker.born},
		Clock:    time.Since(f.worker.start) + time.Second,
		Sequence: sequence,
	}
}

// send passes a heartbeat to the relay and checks the error.
func (f *relayFixture) send(t *testing.T, h Heartbeat, want error) {
	t.Helper()
	if err := f.relay.HandleHeartbeat(t.Context(), h); !errors.Is(err, want) {
		t.Errorf("heartbeat %v: %v; want %v", h, err, want)
	}
}

// expectRunOnWorker checks that the worker is known as it is, with its run.
func (f *relayFixture) expectRunOnWorker(t *testing.T) {
	t.Helper()
	r := f.scheduler.lastReport()
	if w := r.GetWorker(); w.GetId() != "w1" || w.GetBornMs() != 100 || w.GetService() != "care" || w.GetGone() || w.GetDraining() {
		t.Errorf("reported worker: %v; want w1", w)
	}
	if len(r.GetRunning()) != 1 || !r.GetListed() || len(r.GetCrashes()) != 0 {
		t.Errorf("report: %v; want one run and no crash", r)
	}
	f.worker.withLock(func() {
		if len(f.worker.running) != 1 {
			t.Errorf("runs on the worker: %v; want one", f.worker.running)
		}
	})
}

// One heartbeat of another sender replaced the worker: its tasks were started again
// elsewhere while they ran, and it was not used again.
func TestForeignHeartbeatChangesNothing(t *testing.T) {
	tests := []struct {
		name string
		edit func(h *Heartbeat)
	}{
		{"another worker of an unknown service", func(h *Heartbeat) { h.Worker.Id, h.Worker.Service, h.Worker.BornMs = "w9", "no-such", 5000 }},
		{"another worker of the same service", func(h *Heartbeat) { h.Worker.Id, h.Worker.BornMs = "w9", 5000 }},
		{"another worker without a start time", func(h *Heartbeat) { h.Worker.Id, h.Worker.BornMs = "w9", 0 }},
		{"a later process of the worker", func(h *Heartbeat) { h.Worker.BornMs = 5000 }},
		{"an earlier process of the worker", func(h *Heartbeat) { h.Worker.BornMs = 50 }},
		{"the worker without a start time", func(h *Heartbeat) { h.Worker.BornMs = 0 }},
		{"the worker with another service", func(h *Heartbeat) { h.Worker.Service = "no-such" }},
		{"the worker in another data centre", func(h *Heartbeat) { h.Worker.DataCentre = "keila" }},
		{"the worker with other labels", func(h *Heartbeat) { h.Worker.Labels = []string{"r9"} }},
		{"the worker with a clock ahead", func(h *Heartbeat) { h.Clock = time.Hour }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withRelay(t, func(t *testing.T, f *relayFixture) {
				f.scheduler.setOrders(orderStart)
				time.Sleep(time.Second)
				for sequence := int64(2); sequence < 8; sequence++ {
					f.send(t, f.liveHeartbeat(sequence), nil)
					foreign := f.liveHeartbeat(1 << 40)
					test.edit(&foreign)
					f.send(t, foreign, ErrForeignHeartbeat)
					time.Sleep(1500 * time.Millisecond)
					f.expectRunOnWorker(t)
				}
				draining := f.liveHeartbeat(9)
				draining.Worker.Draining = true
				f.send(t, draining, nil)
				time.Sleep(time.Second)
				if !f.scheduler.lastReport().GetWorker().GetDraining() {
					t.Error("the worker's own heartbeat was ignored after a foreign one")
				}
			})
		})
	}
}

// A worker whose first heartbeat comes after one of another sender must be used.
func TestForeignHeartbeatBeforeTheFirst(t *testing.T) {
	tests := []struct {
		name string
		edit func(h *Heartbeat)
		want error
	}{
		{"another worker", func(h *Heartbeat) { h.Worker.Id = "w9" }, ErrForeignHeartbeat},
		{"the worker with another service", func(h *Heartbeat) { h.Worker.Service = "no-such" }, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withIdleRelay(t, func(t *testing.T, f *relayFixture) {
				foreign := f.liveHeartbeat(1)
				test.edit(&foreign)
				f.send(t, foreign, test.want)
				for sequence := int64(2); sequence < 8; sequence++ {
					_ = f.relay.HandleHeartbeat(t.Context(), f.liveHeartbeat(sequence)) // refused for confirmTime in the second case
					time.Sleep(1500 * time.Millisecond)
				}
				f.scheduler.setOrders(orderStart)
				time.Sleep(time.Second)
				f.expectRunOnWorker(t)
			})
		})
	}
}

// A heartbeat in the worker's name that nothing tells from its own counts, but its high
// sequence must not make the relay ignore the worker for good.
func TestForeignSequenceDoesNotBlockWorker(t *testing.T) {
	withRelay(t, func(t *testing.T, f *relayFixture) {
		f.scheduler.setOrders(orderStart)
		time.Sleep(time.Second)
		foreign := f.liveHeartbeat(1 << 40)
		foreign.Worker.Draining = true
		f.send(t, foreign, nil)
		for sequence := int64(2); sequence < 7; sequence++ {
			time.Sleep(1500 * time.Millisecond)
			f.send(t, f.liveHeartbeat(sequence), nil)
		}
		time.Sleep(time.Second)
		f.expectRunOnWorker(t)
	})
}

// A new process at the worker's address takes its place with its first heartbeat, and
// the runs of the earlier one are reported as crashed.
func TestNewProcessReplacesWorker(t *testing.T) {
	tests := []struct {
		name string
		id   string
		born int64
	}{
		{"another id", "w2", 200},
		{"the same id", "w1", 200},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withRelay(t, func(t *testing.T, f *relayFixture) {
				f.scheduler.setOrders(orderStart)
				time.Sleep(time.Second)
				f.worker.withLock(func() {
					f.worker.id, f.worker.born, f.worker.running, f.worker.epoch = test.id, test.born, map[string]*flow.Run{}, 0
				})
				f.send(t, f.liveHeartbeat(1), nil)
				time.Sleep(200 * time.Millisecond)
				r := f.scheduler.lastReport()
				if w := r.GetWorker(); w.GetId() != test.id || w.GetBornMs() != test.born || w.GetGone() {
					t.Errorf("reported worker: %v; want the new one", w)
				}
				if len(r.GetRunning()) != 0 || len(r.GetCrashes()) != 1 {
					t.Errorf("report: %v; want no run and one crash", r)
				}
			})
		})
	}
}

// A process that cannot be identified, as it does not answer or rejects calls, is not
// the worker before it can be.
func TestUnidentifiedProcessIsNotTheWorker(t *testing.T) {
	tests := []struct {
		name string
		edit func(w *fakeWorker)
	}{
		{"no answer", func(w *fakeWorker) { w.silent = true }},
		{"nothing listens", func(w *fakeWorker) { w.notListening = true }},
		{"rejects calls", func(w *fakeWorker) { w.holdAnswer = NothingDone(graph.RefusedUnhealthy) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withIdleRelay(t, func(t *testing.T, f *relayFixture) {
				f.worker.withLock(func() { test.edit(f.worker) })
				f.send(t, f.liveHeartbeat(1), nil)
				time.Sleep(time.Second)
				if r := f.scheduler.lastReport(); r != nil {
					t.Errorf("report of a worker that is not identified: %v", r)
				}
				f.worker.withLock(func() { f.worker.silent, f.worker.notListening, f.worker.holdAnswer = false, false, Done() })
				f.send(t, f.liveHeartbeat(2), nil)
				f.scheduler.setOrders(orderStart)
				time.Sleep(time.Second)
				f.expectRunOnWorker(t)
			})
		})
	}
}

// An announced end that is not the worker's own, or comes late, must not end its runs.
// Nothing starts until its heartbeats show that it goes on.
func TestAnnouncedEndOfWorkerThatGoesOn(t *testing.T) {
	withRelay(t, func(t *testing.T, f *relayFixture) {
		f.scheduler.setOrders(orderStart)
		time.Sleep(time.Second)
		if err := f.relay.HandleLeave(t.Context(), "w1"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if r := f.scheduler.lastReport(); !r.GetWorker().GetDraining() || r.GetWorker().GetGone() || len(r.GetRunning()) != 1 {
			t.Errorf("report after the announcement: %v; want a draining worker with its run", r)
		}
		for sequence := int64(2); sequence < 5; sequence++ {
			f.send(t, f.liveHeartbeat(sequence), nil)
			time.Sleep(1500 * time.Millisecond)
		}
		f.expectRunOnWorker(t)
	})
}

// A worker that announced its end and has ended is gone as soon as a call shows it.
func TestAnnouncedEndOfWorkerThatEnds(t *testing.T) {
	tests := []struct {
		name     string
		draining bool
		edit     func(w *fakeWorker)
		within   time.Duration
	}{
		{"nothing listens", false, func(w *fakeWorker) { w.notListening = true }, 300 * time.Millisecond},
		{"no answer after a drain", true, func(w *fakeWorker) { w.silent = true }, 1300 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withRelay(t, func(t *testing.T, f *relayFixture) {
				f.heartbeat(t, 2, test.draining)
				time.Sleep(time.Second)
				if err := f.relay.HandleLeave(t.Context(), "w1"); err != nil {
					t.Fatal(err)
				}
				f.worker.withLock(func() { test.edit(f.worker) })
				time.Sleep(test.within)
				if !f.scheduler.lastReport().GetWorker().GetGone() {
					t.Errorf("the worker is not gone %v after its end", test.within)
				}
			})
		})
	}
}
