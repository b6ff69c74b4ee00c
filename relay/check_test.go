package relay

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"catkinpoint/flow"
)

// One odd heartbeat, of another writer, must not take the place of the worker: with a
// sequence or a start of the process far above the true ones, the relay ignored all
// later heartbeats of the worker.
func TestOddHeartbeatChangesNothing(t *testing.T) {
	tests := []struct {
		name string
		edit func(h *Heartbeat)
	}{
		{"no id", func(h *Heartbeat) { h.Worker.Id = "" }},
		{"no service", func(h *Heartbeat) { h.Worker.Service = "" }},
		{"long label", func(h *Heartbeat) { h.Worker.Labels = []string{strings.Repeat("x", 1000)} }},
		{"many labels", func(h *Heartbeat) { h.Worker.Labels = make([]string, 1000) }},
		{"largest sequence", func(h *Heartbeat) { h.Sequence = math.MaxInt64 }},
		{"negative sequence", func(h *Heartbeat) { h.Sequence = -1 }},
		{"negative clock", func(h *Heartbeat) { h.Clock = -time.Second }},
		{"negative remaining time", func(h *Heartbeat) { h.Worker.RemainingMs = -1 }},
		{"process of the far future", func(h *Heartbeat) { h.Worker.BornMs = math.MaxInt64 }},
		{"negative processor", func(h *Heartbeat) { h.Worker.Cpu = -1 }},
		{"largest memory", func(h *Heartbeat) { h.Worker.MemoryMb = math.MaxInt64 }},
		{"negative accelerators", func(h *Heartbeat) { h.Worker.Accelerators = math.MinInt64 }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withRelay(t, func(t *testing.T, f *relayFixture) {
				odd := Heartbeat{Worker: &flow.Worker{Id: "w1", Service: "care", BornMs: 100}, Clock: time.Second, Sequence: 2}
				test.edit(&odd)
				if err := f.relay.HandleHeartbeat(t.Context(), odd); !errors.Is(err, ErrBadHeartbeat) {
					t.Errorf("odd heartbeat: %v; want ErrBadHeartbeat", err)
				}
				f.heartbeat(t, 3, true)
				time.Sleep(time.Second)
				if w := f.scheduler.lastReport().GetWorker(); w.GetId() != "w1" || !w.GetDraining() {
					t.Errorf("worker after an odd heartbeat and one of its own: %v; want w1, draining", w)
				}
			})
		})
	}
}

// The scheduler must know at once that a worker's room has shrunk.
func TestShrunkCapacityIsReportedAtOnce(t *testing.T) {
	withRelay(t, func(t *testing.T, f *relayFixture) {
		beat := Heartbeat{Worker: &flow.Worker{Id: "w1", Service: "care", BornMs: 100, Cpu: 500}, Clock: time.Second, Sequence: 2}
		if err := f.relay.HandleHeartbeat(t.Context(), beat); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
		if got := f.scheduler.lastReport().GetWorker().GetCpu(); got != 500 {
			t.Errorf("reported processor %d; want 500", got)
		}
	})
}
