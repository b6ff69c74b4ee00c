package gang

import (
	"fmt"
	"time"

	"catkinpoint/wire"
)

// Monitor watches the members of one gang; it runs at the agent of its leader.
type Monitor struct {
	// Released is set once every member has joined in time with a permit that
	// remains valid for Timers.PermitMargin.
	Released bool
	// BrokenReason is why the gang must stop; it is empty while the gang is intact.
	BrokenReason string
	created      time.Time
	members      []monitoredMember
}

type monitoredMember struct {
	joined   bool
	finished bool
	seenAt   time.Time
	// permitEnd is when the member's permit expires, by the monitor's clock.
	permitEnd time.Time
}

// NewMonitor returns the monitor of a gang with the given number of tasks.
func NewMonitor(tasks int, now time.Time) Monitor {
	return Monitor{created: now, members: make([]monitoredMember, tasks)}
}

// Join handles a ping of a member in the given state, whose permit remains valid
// for permitLeft. A rank outside the gang is ignored.
func (m *Monitor) Join(rank int, state wire.TaskState, permitLeft time.Duration, now time.Time, t Timers) {
	if rank < 0 || rank >= len(m.members) {
		return
	}
	m.Tick(now, t)
	member := &m.members[rank]
	member.seenAt = now
	switch state {
	case wire.TaskState_TASK_WAITING:
		member.joined, member.permitEnd = true, now.Add(permitLeft)
	case wire.TaskState_TASK_RUNNING:
		if !m.Released {
			// An earlier monitor released the gang; since then this agent has
			// restarted and lost its state.
			m.breakGang(fmt.Sprintf("task %d runs, but this leader did not release it", rank))
		}
		member.joined = true
	case wire.TaskState_TASK_DONE:
		member.joined, member.finished = true, true
	default:
		m.breakGang(fmt.Sprintf("task %d left in state %s", rank, state))
	}
	m.releaseIfReady(now, t)
}

// Tick declares the gang broken if a member has been silent for too long or the
// barrier was not released in time.
func (m *Monitor) Tick(now time.Time, t Timers) {
	if !m.Released && now.Sub(m.created) >= t.BarrierTimeout {
		m.breakGang("not all tasks reached the start barrier in time")
	}
	for rank, member := range m.members {
		silent := member.joined && !member.finished && now.Sub(member.seenAt) >= t.SilenceTimeout
		if silent {
			m.breakGang(fmt.Sprintf("task %d is silent", rank))
		}
	}
}

// LastHeardFromAll returns the latest time at which every unfinished member of a
// released gang was known to be alive; before the release it returns now. A member
// whose LeaderSeenAt is set to this time stops within its lease even if another
// member is lost first and the leader after it.
func (m *Monitor) LastHeardFromAll(now time.Time) time.Time {
	heard := now
	if !m.Released {
		return heard
	}
	for _, member := range m.members {
		if !member.finished && member.seenAt.Before(heard) {
			heard = member.seenAt
		}
	}
	return heard
}

// Finished reports whether every member has finished.
func (m *Monitor) Finished() bool {
	for _, member := range m.members {
		if !member.finished {
			return false
		}
	}
	return true
}

// breakGang declares the gang broken; the first reason is kept.
func (m *Monitor) breakGang(reason string) {
	if m.BrokenReason == "" {
		m.BrokenReason = reason
	}
}

// releaseIfReady releases the barrier of an intact gang once every member has
// joined and has a permit that remains valid for PermitMargin.
func (m *Monitor) releaseIfReady(now time.Time, t Timers) {
	if m.Released || m.BrokenReason != "" {
		return
	}
	for _, member := range m.members {
		if !member.joined || member.permitEnd.Sub(now) < t.PermitMargin {
			return
		}
	}
	m.Released = true
}
