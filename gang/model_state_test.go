package gang

import (
	"fmt"
	"time"

	"catkinpoint/wire"
)

// The model checker explores the states that the real Coordinator, Member and
// Monitor reach with small fakes around them: a store with one job record,
// schedulers with epochs, agents with boot ids and permits, and endpoints with
// task leases. All times are ages in units, so that states which differ only by
// the wall clock are equal.

const (
	maxMembers    = 3
	maxAttempts   = 3 // 0 and 1 of the first scheduler, 2 of its successor
	maxSchedulers = 2
	maxMessages   = 16
)

// modelConfig is the configuration of one exploration; its methods are the steps
// of the model.
type modelConfig struct {
	members     int
	recorded    bool // whether attempts are committed by a job record
	idempotent  bool
	faults      uint8         // maximum number of faults in one run
	cancels     uint8         // maximum number of cancellations in one run
	depth       int           // maximum number of steps of one run; 0 means no limit
	retries     bool          // whether the first scheduler may make a second attempt
	unit        time.Duration // of model time
	timers      Timers
	leaseUnits  uint8 // task lease, in units
	permitUnits uint8 // validity of a permit, in units
	mutation    mutation
	// punctual means that a message stays in flight, or a report stays away from a
	// scheduler, for longer than a unit only because of a fault.
	punctual      bool
	leaseStart    leaseStart
	onlyProperty  property // the only property to check; noViolation means all
	enabledFaults faultSet // kinds of faults that occur; 0 means all
}

// mutation switches off one mechanism of the protocol, to show that the check of
// the property that depends on it fails.
type mutation int

const (
	noMutation mutation = iota
	noEpochFencing
	noTombstone
	noBarrier
	noBootCheckAtAgent
	noBootCheckAtScheduler
	noCommitBeforeStart
	verdictIgnoresLost
	noReservation
	noStopAtRestart
	noLeaderSilence
	noPrepareTTL
	noPermitAfterPause
)

// leaseStart selects the time that an answer of the leader sets LeaderSeenAt to,
// and the time from which the lease at the member's endpoint counts.
type leaseStart int

const (
	// LeaderSeenAt is Monitor.LastHeardFromAll, and the lease counts from it. This
	// is the protocol.
	leaseFromLastHeard leaseStart = iota
	// LeaderSeenAt is the time of the answer, and the lease counts from it.
	leaseFromAnswer
	// LeaderSeenAt is the time of the answer, and the lease counts from its renewal.
	leaseFromRenewal
)

// faultSet is a set of kinds of faults.
type faultSet uint16

const (
	faultLose      faultSet = 1 << iota // a message is lost, and the scheduler's call fails
	faultDuplicate                      // a message is delivered, and a copy stays in flight
	faultTimeout                        // a scheduler's call fails, but its message stays in flight
	faultKillScheduler
	faultDepose // a successor starts although the scheduler still runs
	faultKillAgent
	faultFreezeAgent
	faultCutAgent  // an agent is cut off from the schedulers
	faultCutLeader // an agent is cut off from the leader's agent
	faultTaskFails
	faultDelay // a message may stay in flight for longer than a unit
)

type messageKind uint8

const (
	noMessage messageKind = iota
	prepareMessage
	startMessage
	stopMessage
	responseMessage
	commitMessage
	commitAnswer
	endMessage
	endAnswer
	joinMessage
)

// message is one request or response in flight; fields that a kind does not use are 0.
type message struct {
	kind      messageKind
	scheduler uint8
	attempt   uint8
	rank      uint8
	boot      uint8
	state     uint8 // of the task; in endMessage the fate
	flag      uint8 // 1 if the task was started or the write succeeded
	revision  uint8 // of the job record; in joinMessage the units left of the permit
	late      bool  // may stay in flight for longer than a unit
	boots     [maxMembers]uint8
}

// schedulerMode is what a scheduler does at present.
type schedulerMode uint8

const (
	schedulerAbsent schedulerMode = iota
	schedulerReading
	schedulerRunning
	schedulerEnding
	schedulerDone // has answered the caller, or stepped down after it learned of a higher epoch
	schedulerDead
)

// memberView is the model's form of CoordinatedMember.
type memberView struct {
	state, boot   uint8
	started, lost bool
}

// schedulerState is a scheduler with its Coordinator.
type schedulerState struct {
	mode         schedulerMode
	attempt      uint8
	phase        uint8
	startSent    bool
	commitSent   bool
	cancelled    bool
	ranBefore    bool  // an earlier attempt may have run
	attemptsUsed uint8 // attempts that this scheduler has begun
	revision     uint8
	fate         uint8
	members      [maxMembers]memberView
	silentUnits  [maxMembers]uint8 // units without a report, by rank
}

// memberState is the model's form of Member.
type memberState struct {
	state                                 uint8
	started, single                       bool
	preparedAge, joinedAge, leaderSeenAge uint8
	launching                             bool // MemberLaunch was returned, but not carried out yet
	joining                               bool // pings the leader; cleared when the final state has been sent
}

// endpointPhase is the state of the task at an endpoint.
type endpointPhase uint8

const (
	endpointIdle endpointPhase = iota
	endpointRunning
	endpointExited  // the task succeeded
	endpointFailed  // the task failed
	endpointExpired // the endpoint stopped the task because its lease expired
)

// agentState is an agent and its endpoint.
type agentState struct {
	up, frozen        bool
	cutFromSchedulers bool
	cutFromLeader     bool
	pinged            bool // has pinged the leader in this unit
	boot, epoch       uint8
	permitLeft        uint8 // units
	members           [maxAttempts]memberState
	// The endpoint keeps running when its agent is killed.
	task      endpointPhase
	taskOwner uint8 // attempt of the task
	leaseLeft uint8 // units
}

// monitoredState is the model's form of monitoredMember.
type monitoredState struct {
	joined, finished    bool
	seenAge, permitLeft uint8
}

// monitorState is the model's form of Monitor.
type monitorState struct {
	exists, released, broken bool
	createdAge               uint8
	members                  [maxMembers]monitoredState
}

// record is the model's form of wire.JobRecord.
type record struct {
	phase, attempt, revision, fate uint8
	boots                          [maxMembers]uint8
}

// world is one state of the model. It has no padding and no pointers, so it can
// be hashed as is.
type world struct {
	schedulers [maxSchedulers]schedulerState
	record     record
	agents     [maxMembers]agentState
	monitors   [maxAttempts]monitorState
	net        [maxMessages]message
	faults     uint8 // faults that may still occur
	cancels    uint8 // cancellations that may still occur
	// What endpoints and callers have observed, to check the properties against.
	starts                [maxAttempts][maxMembers]uint8 // how often the endpoint started the task, up to 2
	completed             [maxAttempts][maxMembers]bool
	refused               [maxAttempts][maxMembers]bool
	committed             [maxAttempts]bool
	proved                [maxAttempts]bool   // the verdict was that no member started
	notRun                [maxSchedulers]bool // the scheduler answered NOT_RUN
	partialUnits          [maxAttempts]uint8  // consecutive units in which only a part of the gang has run
	partialUnitsSinceLoss [maxAttempts]uint8  // the same, since the loss of a member
	violation             property
}

// property is a property of the protocol, or noViolation.
type property uint8

const (
	noViolation property = iota
	commitBeforeStart
	wholeGang
	notRunProof
	atMostOnce
	noStartAfterRefusal
	exclusiveAccelerator
	termination
	validPermitAtStart
	staleEpochFenced
)

func (p property) String() string {
	return [...]string{
		"none", "a: start before commit", "b: partial gang beyond the lease", "c: NOT_RUN but started",
		"d: non-idempotent task started twice", "e: start after refusal", "f: accelerator held twice", "g: attempt does not end",
		"h: start without a valid permit", "i: command of a deposed scheduler obeyed",
	}[p]
}

// violate records the violation of a property that is checked; the first one is
// kept.
func (cfg *modelConfig) violate(w *world, p property) {
	if w.violation == noViolation && (cfg.onlyProperty == noViolation || cfg.onlyProperty == p) {
		w.violation = p
	}
}

func (w *world) send(m message) {
	for i := range w.net {
		if w.net[i] == m && m.kind == stopMessage {
			return // one Stop in flight stands for any number of them
		}
		if w.net[i].kind == noMessage {
			w.net[i] = m
			w.sortNet()
			return
		}
	}
	panic("model: too many messages in flight")
}

// sortNet restores the order of the messages, so that states which differ only by
// that order are equal.
func (w *world) sortNet() {
	for i := 1; i < maxMessages && w.net[i].kind != noMessage; i++ {
		for j := i; j > 0 && w.net[j].less(w.net[j-1]); j-- {
			w.net[j], w.net[j-1] = w.net[j-1], w.net[j]
		}
	}
}

func (m message) less(o message) bool { return m.key() < o.key() }

// key encodes the message as a number by which messages are ordered.
func (m message) key() uint64 {
	k := uint64(m.kind)
	for _, b := range [...]uint8{m.scheduler, m.attempt<<4 | m.rank, m.boot, m.state<<4 | m.flag, m.revision} {
		k = k<<8 | uint64(b)
	}
	if m.late {
		k |= 1 << 47
	}
	return k<<16 | uint64(m.boots[0])<<10 | uint64(m.boots[1])<<5 | uint64(m.boots[2])
}

func (w *world) remove(i int) message {
	m := w.net[i]
	copy(w.net[i:], w.net[i+1:])
	w.net[maxMessages-1] = message{}
	return m
}

// modelNow is the present time in every state of the model; ages are subtracted
// from it.
var modelNow = time.Unix(1_000_000, 0)

func (cfg *modelConfig) timeOfAge(age uint8) time.Time {
	return modelNow.Add(-time.Duration(age) * cfg.unit)
}

func (cfg *modelConfig) ageOf(t time.Time) uint8 { return uint8(modelNow.Sub(t) / cfg.unit) }

func bootName(boot uint8) string {
	if boot == 0 {
		return ""
	}
	return fmt.Sprintf("b%d", boot)
}

func bootNumber(name string) uint8 {
	if name == "" {
		return 0
	}
	return name[1] - '0'
}

// restoreCoordinator returns the real Coordinator of a scheduler; save is the
// reverse.
func (cfg *modelConfig) restoreCoordinator(s *schedulerState) *Coordinator {
	c := NewCoordinator(cfg.members, cfg.recorded)
	c.Phase, c.StartSent, c.MayBeCommitted = Phase(s.phase), s.startSent, s.commitSent
	for i := range c.Members {
		v := s.members[i]
		c.Members[i] = CoordinatedMember{State: wire.TaskState(v.state), BootID: bootName(v.boot), Started: v.started, Lost: v.lost}
	}
	return c
}

func (s *schedulerState) save(c *Coordinator) {
	s.phase, s.startSent, s.commitSent = uint8(c.Phase), c.StartSent, c.MayBeCommitted
	for i, m := range c.Members {
		s.members[i] = memberView{state: uint8(m.State), boot: bootNumber(m.BootID), started: m.Started, lost: m.Lost}
	}
}

// stepMember applies an event to the real Member of an attempt at an agent. The
// event's time lies age units in the past.
func (cfg *modelConfig) stepMember(w *world, rank, attempt uint8, e MemberEvent, age uint8) MemberEffect {
	s := &w.agents[rank].members[attempt]
	before := Member{
		State: wire.TaskState(s.state), Started: s.started, Single: s.single,
		PreparedAt: cfg.timeOfAge(s.preparedAge), JoinedAt: cfg.timeOfAge(s.joinedAge), LeaderSeenAt: cfg.timeOfAge(s.leaderSeenAge),
	}
	m, effect := before.Step(e, cfg.timeOfAge(age), cfg.timers)
	if m.State == wire.TaskState_TASK_REFUSED {
		w.refused[attempt][rank] = true
		if cfg.mutation == noTombstone {
			m = Member{}
		}
	}
	s.state, s.started, s.single = uint8(m.State), m.Started, m.Single
	s.preparedAge, s.joinedAge, s.leaderSeenAge = 0, 0, 0
	switch m.State {
	case wire.TaskState_TASK_PREPARED:
		s.preparedAge = cfg.ageOf(m.PreparedAt)
	case wire.TaskState_TASK_WAITING:
		s.joinedAge, s.leaderSeenAge = cfg.ageOf(m.JoinedAt), cfg.ageOf(m.LeaderSeenAt)
	case wire.TaskState_TASK_RUNNING:
		if !m.Single {
			s.leaderSeenAge = cfg.ageOf(m.LeaderSeenAt)
		}
	}
	return effect
}

// restoreMonitor returns the real Monitor of an attempt; saveMonitor is the
// reverse.
func (cfg *modelConfig) restoreMonitor(s *monitorState) Monitor {
	m := NewMonitor(cfg.members, cfg.timeOfAge(s.createdAge))
	m.Released = s.released
	if s.broken {
		m.BrokenReason = "broken"
	}
	for i := range m.members {
		v := s.members[i]
		m.members[i] = monitoredMember{joined: v.joined, finished: v.finished, seenAt: cfg.timeOfAge(v.seenAge), permitEnd: modelNow.Add(time.Duration(v.permitLeft) * cfg.unit)}
	}
	return m
}

func (cfg *modelConfig) saveMonitor(s *monitorState, m *Monitor) {
	s.exists, s.released, s.broken = true, m.Released, m.BrokenReason != ""
	if s.broken {
		*s = monitorState{exists: true, released: s.released, broken: true}
		return
	}
	if m.Released {
		s.createdAge = 0
	}
	for i, v := range m.members {
		s.members[i] = monitoredState{joined: v.joined, finished: v.finished}
		if v.joined && !v.finished {
			s.members[i].seenAge = cfg.ageOf(v.seenAt)
		}
		if left := v.permitEnd.Sub(modelNow); left > 0 && !m.Released {
			s.members[i].permitLeft = uint8(left / cfg.unit)
		}
	}
}

// sendOnce sends a message unless an equal one is in flight.
func (w *world) sendOnce(m message) {
	for i := range w.net {
		if w.net[i] == m {
			return
		}
	}
	w.send(m)
}
