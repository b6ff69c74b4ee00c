package gang

import (
	"time"

	"catkinpoint/wire"
)

// Timers are the time limits of a member and of its monitor.
type Timers struct {
	PrepareTTL     time.Duration // an uncommitted reservation lapses after this
	BarrierTimeout time.Duration // longest wait for all members to join
	Silence        time.Duration // a silent peer breaks the gang after this
	PermitMargin   time.Duration // least validity of every permit at the barrier's release
}

// DefaultTimers keep a broken gang within a task lease of 3 s: 2 s of silence,
// at most 0.5 s until the next ping, and the stop itself.
func DefaultTimers() Timers {
	return Timers{
		PrepareTTL:     10 * time.Second,
		BarrierTimeout: 5 * time.Second,
		Silence:        2 * time.Second,
		PermitMargin:   700 * time.Millisecond,
	}
}

// Member is one attempt at one agent. The zero value is an attempt that the
// agent has never seen.
type Member struct {
	State wire.TaskState
	// Started is set before the endpoint is told to run, and never cleared.
	Started    bool
	Single     bool
	PreparedAt time.Time
	JoinedAt   time.Time
	// LeaderSeenAt is when the answered ping was sent or, if the answer carries
	// it, the time of Monitor.Heard; MemberGo and MemberLeaderSeen set it.
	LeaderSeenAt time.Time
}

// MemberEvent is what a member reacts to.
type MemberEvent int

// The events of a member.
const (
	MemberPrepare    MemberEvent = iota // the reservation was made
	MemberDeny                          // the agent cannot or may not take the attempt
	MemberStartOne                      // start of a job with a single task
	MemberStartGang                     // start of a member of a gang
	MemberGo                            // the monitor released the barrier
	MemberLeaderSeen                    // the monitor answered
	MemberBroken                        // the monitor declared the gang broken
	MemberNoPermit                      // the last check before the launch failed
	MemberStop                          // the scheduler stops the attempt
	MemberExitOK                        // the endpoint finished the task
	MemberExitFailed                    // the endpoint failed the task
	MemberKilled                        // the endpoint stopped the task: on request, or as its lease ran out
	MemberTick                          // time has passed
)

// MemberEffect is what the agent does after a step.
type MemberEffect int

// The effects of a member.
const (
	MemberNone   MemberEffect = iota
	MemberJoin                // start to ping the monitor
	MemberLaunch              // check the permit, then tell the endpoint to run
	MemberKill                // tell the endpoint to stop the task
)

// Final says whether the state never changes again.
func Final(s wire.TaskState) bool {
	switch s {
	case wire.TaskState_TASK_DONE, wire.TaskState_TASK_FAILED, wire.TaskState_TASK_REFUSED, wire.TaskState_TASK_STOPPED:
		return true
	}
	return false
}

// Renewal returns for how long the endpoint may run the task without a further
// renewal. The lease of a gang's task counts from LeaderSeen, so that a member
// whose agent dies after a renewal still stops with the rest of the gang.
func (m Member) Renewal(now time.Time, lease time.Duration) time.Duration {
	if m.Single {
		return lease
	}
	return max(0, m.LeaderSeenAt.Add(lease).Sub(now))
}

// Step returns the member after the event, and what the agent does now.
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
	return m, MemberNone
}

func (m Member) stepAbsent(e MemberEvent, now time.Time) (Member, MemberEffect) {
	switch e {
	case MemberPrepare:
		m.State, m.PreparedAt = wire.TaskState_TASK_PREPARED, now
	case MemberTick:
	default:
		// The tombstone refuses the attempt if its messages arrive later.
		m.State = wire.TaskState_TASK_REFUSED
	}
	return m, MemberNone
}

func (m Member) stepPrepared(e MemberEvent, now time.Time, t Timers) (Member, MemberEffect) {
	switch e {
	case MemberStartOne:
		return m.launch(true)
	case MemberStartGang:
		m.State, m.JoinedAt, m.LeaderSeenAt = wire.TaskState_TASK_WAITING, now, now
		return m, MemberJoin
	case MemberStop, MemberBroken, MemberDeny, MemberNoPermit:
		m.State = wire.TaskState_TASK_REFUSED
	case MemberTick:
		if now.Sub(m.PreparedAt) >= t.PrepareTTL {
			m.State = wire.TaskState_TASK_REFUSED
		}
	}
	return m, MemberNone
}

// updateLeaderSeen keeps the latest time, because answers may be reordered.
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
	case MemberGo:
		m.LeaderSeenAt = now
		return m.launch(false)
	case MemberLeaderSeen:
		m.updateLeaderSeen(now)
	case MemberStop, MemberBroken, MemberNoPermit:
		m.State = wire.TaskState_TASK_REFUSED
	case MemberTick:
		late := now.Sub(m.JoinedAt) >= t.BarrierTimeout+t.Silence
		if late || now.Sub(m.LeaderSeenAt) >= t.Silence {
			m.State = wire.TaskState_TASK_REFUSED
		}
	}
	return m, MemberNone
}

func (m Member) stepRunning(e MemberEvent, now time.Time, t Timers) (Member, MemberEffect) {
	switch e {
	case MemberNoPermit:
		// The launch was given up before the endpoint was told.
		m.State, m.Started = wire.TaskState_TASK_REFUSED, false
	case MemberExitOK:
		m.State = wire.TaskState_TASK_DONE
	case MemberExitFailed:
		m.State = wire.TaskState_TASK_FAILED
	case MemberKilled:
		// The endpoint stopped the task by itself when its lease ran out.
		m.State = wire.TaskState_TASK_STOPPED
	case MemberLeaderSeen, MemberGo:
		m.updateLeaderSeen(now)
	case MemberStop, MemberBroken:
		return m.kill()
	case MemberTick:
		if !m.Single && now.Sub(m.LeaderSeenAt) >= t.Silence {
			return m.kill()
		}
	}
	return m, MemberNone
}

func (m Member) kill() (Member, MemberEffect) {
	m.State = wire.TaskState_TASK_STOPPING
	return m, MemberKill
}

func (m Member) stepStopping(e MemberEvent) (Member, MemberEffect) {
	switch e {
	case MemberNoPermit:
		m.State, m.Started = wire.TaskState_TASK_REFUSED, false
	case MemberExitOK:
		m.State = wire.TaskState_TASK_DONE
	case MemberExitFailed, MemberKilled:
		m.State = wire.TaskState_TASK_STOPPED
	}
	return m, MemberNone
}
