package gang

import (
	"testing"
	"time"

	"catkinpoint/wire"
)

const (
	waiting = wire.TaskState_TASK_WAITING
	running = wire.TaskState_TASK_RUNNING
	done    = wire.TaskState_TASK_DONE
)

type joinEvent struct {
	at         time.Duration
	rank       int
	state      wire.TaskState
	permitLeft time.Duration
}

// TestMonitor guards against a barrier that is released too early or not at all,
// and against a broken gang that is not detected.
func TestMonitor(t *testing.T) {
	both := []joinEvent{{0, 0, waiting, 3 * time.Second}, {time.Second, 1, waiting, 3 * time.Second}}
	tests := []struct {
		name     string
		joins    []joinEvent
		now      time.Duration
		released bool
		broken   bool
		heard    time.Duration
	}{
		{"released when all have joined", both, time.Second, true, false, 0},
		{"one member missing", both[:1], time.Second, false, false, time.Second},
		// A release would start a member whose permit expires right afterwards.
		{"permit about to expire", []joinEvent{{0, 0, waiting, 1500 * time.Millisecond}, both[1]}, time.Second, false, false, time.Second},
		{"member joins after the barrier timeout", []joinEvent{both[0], {5 * time.Second, 1, waiting, 3 * time.Second}}, 5 * time.Second, false, true, 5 * time.Second},
		{"silent member", append(both, joinEvent{1900 * time.Millisecond, 1, running, 0}), 2 * time.Second, true, true, 0},
		{"finished members may be silent", append(both, joinEvent{time.Second, 0, done, 0}), 2900 * time.Millisecond, true, false, time.Second},
		{"failed member", append(both, joinEvent{time.Second, 1, wire.TaskState_TASK_FAILED, 0}), time.Second, true, true, 0},
		// If the leader's agent had restarted and lost its state, the other
		// members would run on until the barrier timeout.
		{"running member at a new monitor", []joinEvent{{0, 1, running, 0}}, 0, false, true, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := NewMonitor(2, modelNow)
			for _, j := range test.joins {
				m.Join(j.rank, j.state, j.permitLeft, modelNow.Add(j.at), DefaultTimers())
			}
			now := modelNow.Add(test.now)
			m.Tick(now, DefaultTimers())
			if m.Released != test.released || (m.BrokenReason != "") != test.broken {
				t.Errorf("released %v, broken %q; want %v, %v", m.Released, m.BrokenReason, test.released, test.broken)
			}
			if heard := m.LastHeardFromAll(now).Sub(modelNow); heard != test.heard {
				t.Errorf("heard %v, want %v", heard, test.heard)
			}
		})
	}
}

// TestLeaseCountsFromLeaderSeenAt guards against a lease that counts from its
// renewal: a member whose agent had died ran on after the rest of its gang had
// stopped.
func TestLeaseCountsFromLeaderSeenAt(t *testing.T) {
	now := modelNow.Add(1500 * time.Millisecond)
	m := Member{State: running, LeaderSeenAt: modelNow}
	if got := m.LeaseDuration(now, 3*time.Second); got != 1500*time.Millisecond {
		t.Errorf("gang member: %v, want 1.5s", got)
	}
	m.Single = true
	if got := m.LeaseDuration(now, 3*time.Second); got != 3*time.Second {
		t.Errorf("single task: %v, want 3s", got)
	}
}

// TestLeaderSeenAtNeverDecreases guards against a reordered answer of the leader
// that sets LeaderSeenAt back.
func TestLeaderSeenAtNeverDecreases(t *testing.T) {
	m := Member{State: running, LeaderSeenAt: modelNow}
	m, _ = m.Step(MemberLeaderSeen, modelNow.Add(-time.Second), DefaultTimers())
	if !m.LeaderSeenAt.Equal(modelNow) {
		t.Errorf("leader seen %v, want %v", m.LeaderSeenAt, modelNow)
	}
}
