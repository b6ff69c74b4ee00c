package gang

import (
	"fmt"
	"time"

	"catkinpoint/wire"
)

// The model explores the real step functions with small fakes around them: a
// store with one job record, schedulers with epochs, agents with boot ids and
// permits, and endpoints with task leases. All times are ages in units, so that
// states which differ only by the wall clock are equal.

const (
	maxMembers    = 3
	maxAttempts   = 3 // two of the first scheduler, one of its successor
	maxSchedulers = 2
	maxMessages   = 16
)

// modelConfig are the limits and switches of one exploration.
type modelConfig struct {
	members     int
	recorded    bool
	idempotent  bool
	faults      uint8 // faults in one run
	cancels     uint8
	depth       int  // most steps of one run; 0 means no limit
	retries     bool // whether the first scheduler may make a second attempt
	unit        time.Duration
	timers      Timers
	leaseUnits  uint8 // task lease, in units
	permitUnits uint8 // validity of a permit, in units
	mutation    mutation
	// punctual says that only a fault keeps a message in flight, or a report
	// from a scheduler, for longer than a unit.
	punctual      bool
	leaseStart    leaseStart
	onlyProperty  property // the only property to judge; none means all
	enabledFaults faultSet // kinds of fault tried; 0 means all
}

// mutation switches one mechanism off, so that its check is seen to fail.
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

// leaseStart is how a member dates the leader's answers and its endpoint's lease.
type leaseStart int

const (
	leaseFromLastHeard leaseStart = iota // by Monitor.Heard
	leaseFromAnswer                      // by the answer; the lease counts from LeaderSeen
	leaseFromRenewal                     // by the answer; the lease counts from its renewal
)

type faultSet uint16

const (
	faultLose faultSet = 1 << iota
	faultDuplicate
	faultTimeout
	faultKillScheduler
	faultDepose
	faultKillAgent
	faultFreezeAgent
	faultCutAgent
	faultCutLeader
	faultTaskFails
	faultDelay
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
	state     uint8
	flag      uint8 // started or success
	revision  uint8
	late      bool // may stay in flight for longer than a unit
	boots     [maxMembers]uint8
}

type schedulerMode uint8

const (
	schedulerAbsent schedulerMode = iota
	schedulerReading
	schedulerRunning
	schedulerEnding
	schedulerDone // settled, or gone after it learned of a higher epoch
	schedulerDead
)

type memberView struct {
	state, boot   uint8
	started, lost bool
}

type schedulerState struct {
	mode         schedulerMode
	attempt      uint8
	phase        uint8
	startSent    bool
	commitSent   bool
	cancelled    bool
	ranBefore    bool
	attemptsUsed uint8
	revision     uint8
	fate         uint8
	members      [maxMembers]memberView
	silentUnits  [maxMembers]uint8
}

type memberState struct {
	state                                 uint8
	started, single                       bool
	preparedAge, joinedAge, leaderSeenAge uint8
	launching                             bool // the launch effect was not carried out yet
	joining                               bool // pings the leader; cleared after the final state was told
}

type endpointPhase uint8

const (
	endpointIdle endpointPhase = iota
	endpointRunning
	endpointExited
	endpointFailed
	endpointExpired
)

type agentState struct {
	up, frozen        bool
	cutFromSchedulers bool // from schedulers
	cutFromLeader     bool // from the leader
	pinged            bool
	boot, epoch       uint8
	permitLeft        uint8
	members           [maxAttempts]memberState
	// The endpoint outlives its agent.
	task      endpointPhase
	taskOwner uint8
	leaseLeft uint8
}

type monitoredState struct {
	joined, finished    bool
	seenAge, permitLeft uint8
}

type monitorState struct {
	exists, released, broken bool
	createdAge               uint8
	members                  [maxMembers]monitoredState
}

type record struct {
	phase, attempt, revision, fate uint8
	boots                          [maxMembers]uint8
}

// world is one state; it has no padding and no pointer, so it can be hashed as is.
type world struct {
	schedulers [maxSchedulers]schedulerState
	record     record
	agents     [maxMembers]agentState
	monitors   [maxAttempts]monitorState
	net        [maxMessages]message
	faults     uint8
	cancels    uint8
	// What endpoints and callers have seen.
	starts                [maxAttempts][maxMembers]uint8
	completed             [maxAttempts][maxMembers]bool
	refused               [maxAttempts][maxMembers]bool
	committed             [maxAttempts]bool
	proved                [maxAttempts]bool
	notRun                [maxSchedulers]bool
	partialUnits          [maxAttempts]uint8 // units for which only a part has run
	partialUnitsSinceLoss [maxAttempts]uint8 // the same, since a member was lost
	violation             property
}

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

func (cfg *modelConfig) violate(w *world, p property) {
	if w.violation == noViolation && (cfg.onlyProperty == noViolation || cfg.onlyProperty == p) {
		w.violation = p
	}
}

func (w *world) send(m message) {
	for i := range w.net {
		if w.net[i] == m && m.kind == stopMessage {
			return // one Stop in flight stands for repeated ones
		}
		if w.net[i].kind == noMessage {
			w.net[i] = m
			w.sortNet()
			return
		}
	}
	panic("model: too many messages in flight")
}

func (w *world) sortNet() {
	for i := 1; i < maxMessages && w.net[i].kind != noMessage; i++ {
		for j := i; j > 0 && w.net[j].less(w.net[j-1]); j-- {
			w.net[j], w.net[j-1] = w.net[j-1], w.net[j]
		}
	}
}

func (m message) less(o message) bool { return m.key() < o.key() }

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

// modelNow is the model's present; ages are subtracted from it.
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

// restoreCoordinator rebuilds the real coordinator of a scheduler.
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

// stepMember applies an event to the real member of an attempt at an agent.
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

func (cfg *modelConfig) restoreMonitor(s *monitorState) Monitor {
	m := NewMonitor(cfg.members, cfg.timeOfAge(s.createdAge))
	m.Released = s.released
	if s.broken {
		m.Broken = "broken"
	}
	for i := range m.members {
		v := s.members[i]
		m.members[i] = monitoredMember{joined: v.joined, finished: v.finished, seenAt: cfg.timeOfAge(v.seenAge), permitEnd: modelNow.Add(time.Duration(v.permitLeft) * cfg.unit)}
	}
	return m
}

func (cfg *modelConfig) saveMonitor(s *monitorState, m *Monitor) {
	s.exists, s.released, s.broken = true, m.Released, m.Broken != ""
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

func (w *world) sendOnce(m message) {
	for i := range w.net {
		if w.net[i] == m {
			return
		}
	}
	w.send(m)
}
