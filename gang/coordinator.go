package gang

import (
	"slices"

	"catkinpoint/wire"
)

// Phase is how far an attempt has progressed.
type Phase int

// The phases of an attempt.
const (
	Preparing  Phase = iota // Prepare was sent to every member
	Committing              // every member is prepared; the job record is being written
	Starting                // Start was sent; members wait, run or have ended
	Stopping                // Stop was sent to every member that may still run
	Ended                   // nothing more is sent; see Coordinator.Verdict
)

// CoordinatedMember is the coordinator's view of one member.
type CoordinatedMember struct {
	State  wire.TaskState // as last reported by the agent
	BootID string         // of the agent, new at each of its starts; empty until known
	// Started means that the agent has told the endpoint to run the task, or was
	// about to.
	Started bool
	// Unconfirmed means that the endpoint has not yet answered a request to run
	// the task.
	Unconfirmed bool
	// Reason is the agent's reason for the state.
	Reason string
	// Lost means that the agent has restarted or has been silent for too long, so
	// that the state of the task is unknown: it may have run and, if the agent
	// was only silent, may still run.
	Lost bool
}

// Coordinator is the scheduler's state of one attempt of a job.
type Coordinator struct {
	Phase Phase
	// Recorded means that the attempt must be committed by a write of the job
	// record before it starts.
	Recorded bool
	Members  []CoordinatedMember
	// StartSent is set before this process sends the first Start.
	StartSent bool
	// MayBeCommitted is set while the job record may name this attempt, so that
	// another scheduler which took over the job may have started it.
	MayBeCommitted bool
	// Reason is why the attempt is being stopped.
	Reason string
}

// EventKind is the kind of an Event.
type EventKind int

// The events of a coordinator.
const (
	EventStatus       EventKind = iota // a response or report about one member
	EventLost                          // one member's agent is lost; see CoordinatedMember.Lost
	EventUnreachable                   // a call to one member failed; it may have taken effect
	EventCommitted                     // the job record names this attempt
	EventCommitFailed                  // the job record does not and will not name this attempt
	EventStop                          // cancellation, preemption or a passed deadline
)

// Event is an input of Coordinator.Step.
type Event struct {
	Kind   EventKind
	Rank   int              // of the member concerned; unused by the other kinds
	BootID string           // of the agent that sent an EventStatus
	Status *wire.TaskStatus // of EventStatus
	Reason string           // of EventCommitFailed and EventStop
}

// EffectKind is the kind of an Effect.
type EffectKind int

// The effects of a coordinator.
const (
	EffectCommit EffectKind = iota // write the job record
	EffectStart                    // send Start to one member
	EffectStop                     // send Stop to one member
	EffectEnd                      // act on the Verdict; the attempt has ended
)

// Effect is an action that the scheduler carries out after a step.
type Effect struct {
	Kind EffectKind
	Rank int // of the member to which Start or Stop is sent
}

// NewCoordinator returns the coordinator of a new attempt, for which the
// scheduler sends Prepare to every member.
func NewCoordinator(tasks int, recorded bool) *Coordinator {
	return &Coordinator{Recorded: recorded, Members: make([]CoordinatedMember, tasks)}
}

// ResumeCoordinator returns the coordinator of an attempt that an earlier
// scheduler committed or, for a job without a record, started, and the effects
// that continue it. It is safe to send Start again: the agents handle it
// idempotently, and a member that was never prepared refuses it.
func ResumeCoordinator(members []*wire.Member) (*Coordinator, []Effect) {
	c := NewCoordinator(len(members), true)
	for i, member := range members {
		c.Members[i].BootID = member.GetBootId()
	}
	return c, c.start()
}

// Step applies an event and returns the effects for the scheduler to carry out.
func (c *Coordinator) Step(e Event) []Effect {
	if c.Phase == Ended {
		return nil
	}
	switch e.Kind {
	case EventStatus:
		c.updateMember(e)
		if c.Phase == Stopping && c.needsStopCommand(e.Rank) {
			// The earlier Stop was lost, or this status was sent before it
			// arrived. Stop is idempotent.
			return []Effect{{Kind: EffectStop, Rank: e.Rank}}
		}
	case EventLost:
		c.markLost(e.Rank)
	case EventUnreachable:
		// A lost Prepare is not repeated: after the Stop that follows, the agent
		// refuses the attempt even if the Prepare arrives late. In later phases
		// a lost call is detected by the agent's reports or by EventLost.
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

// updateMember applies an EventStatus unless it is late, reordered or from an
// agent that has restarted.
func (c *Coordinator) updateMember(e Event) {
	member := &c.Members[e.Rank]
	if member.Lost || Final(member.State) {
		return // late or duplicate
	}
	if member.BootID == "" {
		member.BootID = e.BootID
	}
	if member.BootID != e.BootID {
		// The agent has restarted and lost its state; its answers prove nothing
		// about what ran before.
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

// stateOrder returns the position of the state in the order in which a member
// passes through the states; the final states are last.
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

// advance changes the phase if the states of the members require it.
func (c *Coordinator) advance() []Effect {
	switch c.Phase {
	case Preparing:
		return c.advancePreparing()
	case Committing:
		if c.anyFailed() {
			// The commit may still take effect, so its outcome must be known
			// before the attempt is stopped; the scheduler ends the job record
			// afterwards.
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

// stop sends Stop to every member that may still run, and ends the attempt if
// there is none.
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

// isFailed reports whether the attempt must be stopped because of the member: its
// agent is lost, its task is being stopped, or its task has ended without success.
func isFailed(m CoordinatedMember) bool {
	return m.Lost || Final(m.State) && m.State != wire.TaskState_TASK_DONE || m.State == wire.TaskState_TASK_STOPPING
}

func (c *Coordinator) anyFailed() bool { return slices.ContainsFunc(c.Members, isFailed) }

// failureReason describes the first failed member; there must be one.
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

// effectsFor returns an effect of the given kind for each member that matches.
func (c *Coordinator) effectsFor(kind EffectKind, match func(CoordinatedMember) bool) []Effect {
	var effects []Effect
	for rank, m := range c.Members {
		if match(m) {
			effects = append(effects, Effect{Kind: kind, Rank: rank})
		}
	}
	return effects
}
