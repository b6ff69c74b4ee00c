package gang

import (
	"slices"

	"catkinpoint/wire"
)

// Phase is how far the coordinator of an attempt has come.
type Phase int

// The phases of an attempt.
const (
	Preparing Phase = iota
	Committing
	Starting // Start was sent; members wait, run or have ended
	Stopping
	Ended
)

// CoordinatedMember is what the coordinator knows of one member.
type CoordinatedMember struct {
	State   wire.TaskState
	BootID  string
	Started bool
	// Unconfirmed means that the agent has told the endpoint to run the task, and
	// the endpoint has not answered about it.
	Unconfirmed bool
	// Reason is what the agent says of the state.
	Reason string
	// Lost means that the agent restarted or is silent for long, so that
	// nothing is known of the task: it may have run, and after a silence it may
	// still run.
	Lost bool
}

// Coordinator runs one attempt of a job from the scheduler.
type Coordinator struct {
	Phase Phase
	// Recorded says that the attempt is committed by a job record.
	Recorded bool
	Members  []CoordinatedMember
	// StartSent is set before the first Start leaves this process.
	StartSent bool
	// MayBeCommitted is set while the job record may name this attempt, so that a
	// successor may have started it.
	MayBeCommitted bool
	// Reason says why the attempt is being stopped.
	Reason string
}

// EventKind names an event of a coordinator.
type EventKind int

// The events of a coordinator.
const (
	EventStatus       EventKind = iota // a response or report about one member
	EventLost                          // one member's agent is gone
	EventUnreachable                   // a call to one member failed; the member may have it
	EventCommitted                     // the job record names this attempt
	EventCommitFailed                  // the job record does not and will not name this attempt
	EventStop                          // cancel, preemption or a passed deadline
)

// Event is what a coordinator reacts to.
type Event struct {
	Kind   EventKind
	Rank   int
	BootID string
	Status *wire.TaskStatus
	Reason string
}

// EffectKind names an effect of a coordinator.
type EffectKind int

// The effects of a coordinator.
const (
	EffectCommit EffectKind = iota // write the job record
	EffectStart                    // send Start to one member
	EffectStop                     // send Stop to one member
	EffectEnd                      // the attempt has ended; see Verdict
)

// Effect is what the scheduler does after a step.
type Effect struct {
	Kind EffectKind
	Rank int
}

// NewCoordinator returns the coordinator of a fresh attempt; the scheduler
// sends Prepare to every member.
func NewCoordinator(tasks int, recorded bool) *Coordinator {
	return &Coordinator{Recorded: recorded, Members: make([]CoordinatedMember, tasks)}
}

// ResumeCoordinator returns the coordinator of an attempt that an earlier
// scheduler committed, and the effects that continue it. Start is idempotent at
// the agents, and a member that was never prepared refuses it.
func ResumeCoordinator(members []*wire.Member) (*Coordinator, []Effect) {
	c := NewCoordinator(len(members), true)
	for i, member := range members {
		c.Members[i].BootID = member.GetBootId()
	}
	return c, c.start()
}

// Step takes an event and returns what the scheduler does now.
func (c *Coordinator) Step(e Event) []Effect {
	if c.Phase == Ended {
		return nil
	}
	switch e.Kind {
	case EventStatus:
		c.updateMember(e)
		if c.Phase == Stopping && c.needsStopCommand(e.Rank) {
			// The Stop was lost, or crossed this status; it is idempotent.
			return []Effect{{Kind: EffectStop, Rank: e.Rank}}
		}
	case EventLost:
		c.markLost(e.Rank)
	case EventUnreachable:
		// A lost Prepare is not repeated: the Stop that follows leaves a
		// tombstone. Later losses are found by report or by EventLost.
		if c.Phase == Preparing {
			return c.stop("a worker could not be reached")
		}
	case EventCommitted:
		if c.Phase == Committing {
			return c.start()
		}
	case EventCommitFailed:
		c.MayBeCommitted = false
		if c.Phase == Committing {
			return c.stop(e.Reason)
		}
	case EventStop:
		return c.stop(e.Reason)
	}
	return c.advance()
}

func (c *Coordinator) updateMember(e Event) {
	member := &c.Members[e.Rank]
	if member.Lost || Final(member.State) {
		return // late or duplicate
	}
	if member.BootID == "" {
		member.BootID = e.BootID
	}
	if member.BootID != e.BootID {
		// The agent restarted without memory; its answers prove nothing about
		// what ran before.
		c.markLost(e.Rank)
		return
	}
	if stateOrder(e.Status.GetState()) < stateOrder(member.State) {
		return // reordered
	}
	member.State = e.Status.GetState()
	member.Started = member.Started || e.Status.GetStarted()
	member.Unconfirmed = e.Status.GetUnconfirmed()
	member.Reason = e.Status.GetReason()
}

func (c *Coordinator) needsStopCommand(rank int) bool {
	m := c.Members[rank]
	return !m.Lost && !Final(m.State) && m.State != wire.TaskState_TASK_STOPPING
}

// stateOrder orders the states as a member passes through them.
func stateOrder(s wire.TaskState) int {
	order := []wire.TaskState{
		wire.TaskState_TASK_UNSPECIFIED, wire.TaskState_TASK_ABSENT, wire.TaskState_TASK_PREPARED,
		wire.TaskState_TASK_WAITING, wire.TaskState_TASK_RUNNING, wire.TaskState_TASK_STOPPING,
	}
	if i := slices.Index(order, s); i >= 0 {
		return i
	}
	return len(order)
}

func (c *Coordinator) markLost(rank int) {
	member := &c.Members[rank]
	if !Final(member.State) {
		member.Lost = true
	}
}

// advance moves on when all members allow it.
func (c *Coordinator) advance() []Effect {
	switch c.Phase {
	case Preparing:
		return c.advancePreparing()
	case Committing:
		if c.anyFailed() {
			// The commit may still take effect, so it must be answered first;
			// the scheduler ends the record afterwards.
			return nil
		}
	case Starting:
		if c.allMembers(func(m CoordinatedMember) bool { return m.State == wire.TaskState_TASK_DONE }) {
			return c.end()
		}
		if c.anyFailed() {
			return c.stop(c.failureReason())
		}
	case Stopping:
		if c.allMembers(func(m CoordinatedMember) bool { return m.Lost || Final(m.State) }) {
			return c.end()
		}
	}
	return nil
}

func (c *Coordinator) advancePreparing() []Effect {
	if c.anyFailed() {
		return c.stop(c.failureReason())
	}
	if !c.allMembers(func(m CoordinatedMember) bool { return m.State == wire.TaskState_TASK_PREPARED }) {
		return nil
	}
	if !c.Recorded {
		return c.start()
	}
	c.Phase, c.MayBeCommitted = Committing, true
	return []Effect{{Kind: EffectCommit}}
}

func (c *Coordinator) start() []Effect {
	if c.anyFailed() {
		return c.stop(c.failureReason())
	}
	c.Phase, c.StartSent = Starting, true
	return c.effectsFor(EffectStart, func(CoordinatedMember) bool { return true })
}

func (c *Coordinator) stop(reason string) []Effect {
	if c.Phase == Stopping {
		return nil
	}
	c.Phase, c.Reason = Stopping, reason
	effects := c.effectsFor(EffectStop, func(m CoordinatedMember) bool { return !m.Lost && !Final(m.State) })
	if len(effects) == 0 {
		return c.end()
	}
	return effects
}

func (c *Coordinator) end() []Effect {
	c.Phase = Ended
	return []Effect{{Kind: EffectEnd}}
}

func (c *Coordinator) allMembers(match func(CoordinatedMember) bool) bool {
	for _, m := range c.Members {
		if !match(m) {
			return false
		}
	}
	return true
}

func isFailed(m CoordinatedMember) bool {
	return m.Lost || Final(m.State) && m.State != wire.TaskState_TASK_DONE || m.State == wire.TaskState_TASK_STOPPING
}

func (c *Coordinator) anyFailed() bool { return slices.ContainsFunc(c.Members, isFailed) }

func (c *Coordinator) failureReason() string {
	i := slices.IndexFunc(c.Members, isFailed)
	if c.Members[i].Lost {
		return "a worker was lost"
	}
	reason := "a task ended in state " + c.Members[i].State.String()
	if why := c.Members[i].Reason; why != "" {
		reason += ": " + why
	}
	return reason
}

func (c *Coordinator) effectsFor(kind EffectKind, match func(CoordinatedMember) bool) []Effect {
	var effects []Effect
	for rank, m := range c.Members {
		if match(m) {
			effects = append(effects, Effect{Kind: kind, Rank: rank})
		}
	}
	return effects
}
