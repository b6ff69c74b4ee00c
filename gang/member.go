package gang

import (
	"time"

	"catkinpoint/wire"
)

// Timers are the time limits of a member and of its monitor.
type Timers struct {
	// PreparedTimeout is how long a prepared member holds its accelerators without a
	// Start.
	PreparedTimeout time.Duration
	// BarrierTimeout is the longest wait at the start barrier for all members to
	// join.
	BarrierTimeout time.Duration
	// SilenceTimeout is the silence of a member or the leader after which the gang
	// is broken.
	SilenceTimeout time.Duration
	// PermitMargin is the shortest remaining validity of any member's permit with
	// which the barrier is released.
	PermitMargin time.Duration
}

// DefaultTimers returns limits that stop a broken gang within a task lease of
// 3 s: 2 s of silence, at most 0.5 s until the next ping, and the stop itself.
func DefaultTimers() Timers {
	return Timers{
		PreparedTimeout: 10 * time.Second,
		BarrierTimeout:  5 * time.Second,
		SilenceTimeout:  2 * time.Second,
		PermitMargin:    700 * time.Millisecond,
	}
}

// Member is the state of one attempt at one agent. The zero value is an attempt
// that the agent has never seen.
type Member struct {
	State wire.TaskState
	// Started is set before the endpoint is told to run the task. It is cleared
	// only by MemberLaunchAborted, which means that the endpoint was not told or
	// did not take the task.
	Started    bool
	Single     bool // the job has a single task, and thus no leader and no barrier
	PreparedAt time.Time
	JoinedAt   time.Time // when the member began to wait at the barrier
	// LeaderSeenAt is when the last answered ping was sent or, if the answer
	// carries it, the time returned by Monitor.LastHeardFromAll. MemberReleased
	// and MemberLeaderSeen set it.
	LeaderSeenAt time.Time
}

// MemberEvent is an input of Member.Step.
type MemberEvent int

// The events of a member.
const (
	MemberPrepare       MemberEvent = iota // the agent has reserved the accelerators
	MemberDeny                             // the agent cannot or may not take the attempt
	MemberStartSingle                      // Start arrived for a job with a single task
	MemberStartGang                        // Start arrived for a member of a gang
	MemberReleased                         // the monitor has released the barrier
	MemberLeaderSeen                       // the monitor has answered a ping
	MemberBroken                           // the monitor has declared the gang broken
	MemberLaunchAborted                    // the task was not launched; see stepRunning
	MemberStop                             // the scheduler stops the attempt
	MemberExitOK                           // the task has succeeded at the endpoint
	MemberExitFailed                       // the task has failed at the endpoint
	MemberKilled                           // the endpoint stopped the task, or its lease expired
	MemberTick                             // time has passed
)

// MemberEffect is an action that the agent carries out after a step.
type MemberEffect int

// The effects of a member.
const (
	MemberNoEffect MemberEffect = iota
	MemberJoin                  // begin to ping the monitor
	MemberLaunch                // check the permit, then tell the endpoint to run
	MemberKill                  // tell the endpoint to stop the task
)

// Final reports whether the state never changes again.
func Final(s wire.TaskState) bool {
	switch s {
	case wire.TaskState_TASK_DONE, wire.TaskState_TASK_FAILED, wire.TaskState_TASK_REFUSED, wire.TaskState_TASK_STOPPED:
		return true
	}
	return false
}

// LeaseDuration returns how long the endpoint may run the task without a further
// renewal of its lease. In a gang the lease counts from LeaderSeenAt, so that a
// task whose agent dies after a renewal still stops with the rest of the gang.
func (m Member) LeaseDuration(now time.Time, lease time.Duration) time.Duration {
	if m.Single {
		return lease
	}
	return max(0, m.LeaderSeenAt.Add(lease).Sub(now))
}

// Step returns the member after the event and the action for the agent to carry
// out.
func (m Member) Step(e MemberEvent, now time.Time, t Timers) (Member, MemberEffect) {
	switch m.State {
	case wire.TaskState_TASK_UNSPECIFIED, wire.TaskState_TASK_ABSENT:
		return m.stepAbsent(e, now)
	case wire.TaskState_TASK_PREPARED:
		return m.stepPrepared(e, now, t)
	case wire.TaskState_TASK_WAITING:
		return m.stepWaiting(e, now, t)
	case wire.TaskState_TASK_RUNNING:
		return m.stepRunning(e, now, t)
	case wire.TaskState_TASK_STOPPING:
		return m.stepStopping(e)
	}
	return m, MemberNoEffect
}

func (m Member) stepAbsent(e MemberEvent, now time.Time) (Member, MemberEffect) {
	switch e {
	case MemberPrepare:
		m.State, m.PreparedAt = wire.TaskState_TASK_PREPARED, now
	case MemberTick:
	default:
		// The state is kept as a tombstone, so that messages of the attempt
		// which arrive later are refused.
		m.State = wire.TaskState_TASK_REFUSED
	}
	return m, MemberNoEffect
}

func (m Member) stepPrepared(e MemberEvent, now time.Time, t Timers) (Member, MemberEffect) {
	switch e {
	case MemberStartSingle:
		return m.launch(true)
	case MemberStartGang:
		m.State, m.JoinedAt, m.LeaderSeenAt = wire.TaskState_TASK_WAITING, now, now
		return m, MemberJoin
	case MemberStop, MemberBroken, MemberDeny, MemberLaunchAborted:
		m.State = wire.TaskState_TASK_REFUSED
	case MemberTick:
		if now.Sub(m.PreparedAt) >= t.PreparedTimeout {
			m.State = wire.TaskState_TASK_REFUSED
		}
	}
	return m, MemberNoEffect
}

// updateLeaderSeen sets LeaderSeenAt unless it is later already, because answers
// may be reordered.
func (m *Member) updateLeaderSeen(now time.Time) {
	if now.After(m.LeaderSeenAt) {
		m.LeaderSeenAt = now
	}
}

func (m Member) launch(single bool) (Member, MemberEffect) {
	m.State, m.Started, m.Single = wire.TaskState_TASK_RUNNING, true, single
	return m, MemberLaunch
}

func (m Member) stepWaiting(e MemberEvent, now time.Time, t Timers) (Member, MemberEffect) {
	switch e {
	case MemberReleased:
		m.LeaderSeenAt = now
		return m.launch(false)
	case MemberLeaderSeen:
		m.updateLeaderSeen(now)
	case MemberStop, MemberBroken, MemberLaunchAborted:
		m.State = wire.TaskState_TASK_REFUSED
	case MemberTick:
		late := now.Sub(m.JoinedAt) >= t.BarrierTimeout+t.SilenceTimeout
		if late || now.Sub(m.LeaderSeenAt) >= t.SilenceTimeout {
			m.State = wire.TaskState_TASK_REFUSED
		}
	}
	return m, MemberNoEffect
}

func (m Member) stepRunning(e MemberEvent, now time.Time, t Timers) (Member, MemberEffect) {
	switch e {
	case MemberLaunchAborted:
		// The last check before the launch failed, or the endpoint did not take
		// the task.
		m.State, m.Started = wire.TaskState_TASK_REFUSED, false
	case MemberExitOK:
		m.State = wire.TaskState_TASK_DONE
	case MemberExitFailed:
		m.State = wire.TaskState_TASK_FAILED
	case MemberKilled:
		// The endpoint stopped the task on its own when the lease expired.
		m.State = wire.TaskState_TASK_STOPPED
	case MemberLeaderSeen, MemberReleased:
		m.updateLeaderSeen(now)
	case MemberStop, MemberBroken:
		return m.kill()
	case MemberTick:
		if !m.Single && now.Sub(m.LeaderSeenAt) >= t.SilenceTimeout {
			return m.kill()
		}
	}
	return m, MemberNoEffect
}

func (m Member) kill() (Member, MemberEffect) {
	m.State = wire.TaskState_TASK_STOPPING
	return m, MemberKill
}

func (m Member) stepStopping(e MemberEvent) (Member, MemberEffect) {
	switch e {
	case MemberLaunchAborted:
		m.State, m.Started = wire.TaskState_TASK_REFUSED, false
	case MemberExitOK:
		m.State = wire.TaskState_TASK_DONE
	case MemberExitFailed, MemberKilled:
		m.State = wire.TaskState_TASK_STOPPED
	}
	return m, MemberNoEffect
}
