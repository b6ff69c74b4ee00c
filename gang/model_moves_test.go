package gang

import (
	"fmt"

	"catkinpoint/wire"
)

// move describes one step of the model.
type move struct {
	name string
	a, b uint8   // ranks, schedulers or attempts, depending on the name
	msg  message // of kind noMessage if the step concerns no message
}

func (m move) String() string {
	if m.msg.kind != noMessage {
		names := [...]string{"", "Prepare", "Start", "Stop", "Response", "Commit", "CommitAnswer", "End", "EndAnswer", "Join"}
		return fmt.Sprintf("%s %s scheduler=%d attempt=%d rank=%d boot=%d state=%s flag=%d revision=%d", m.name, names[m.msg.kind],
			m.msg.scheduler, m.msg.attempt, m.msg.rank, m.msg.boot, wire.TaskState(m.msg.state), m.msg.flag, m.msg.revision)
	}
	return fmt.Sprintf("%s %d %d", m.name, m.a, m.b)
}

// visitSuccessor receives a step and the state that it leads to. It returns false
// to end the enumeration.
type visitSuccessor func(m move, next *world) bool

// successors enumerates the states that one step leads to, with or without a
// fault.
func (cfg *modelConfig) successors(w *world, yield visitSuccessor) {
	try := func(m move, change func(n *world)) bool {
		n := *w
		change(&n)
		return n == *w || yield(m, &n)
	}
	_ = cfg.deliveries(w, try) && cfg.localMoves(w, try) && cfg.schedulerMoves(w, try) && cfg.clockMoves(w, try) && cfg.faultMoves(w, try)
}

// tryMove applies a step to a copy of the current state and, if that differs,
// passes it on. It returns false to end the enumeration.
type tryMove func(m move, change func(n *world)) bool

// messages returns the number of messages in flight.
func (w *world) messages() int {
	n := 0
	for n < maxMessages && w.net[n].kind != noMessage {
		n++
	}
	return n
}

// reachable reports whether the message can be delivered now.
func (w *world) reachable(m message) bool {
	a := &w.agents[m.rank]
	switch m.kind {
	case prepareMessage, startMessage, stopMessage:
		return a.up && !a.frozen && !a.cutFromSchedulers
	case responseMessage:
		return !a.cutFromSchedulers
	case joinMessage:
		return w.agents[0].up && !w.agents[0].frozen
	}
	return true
}

func (cfg *modelConfig) deliver(n *world, m message) {
	switch m.kind {
	case prepareMessage, startMessage, stopMessage:
		cfg.handleCommand(n, m)
	case responseMessage:
		cfg.handleResponse(n, m)
	case commitMessage, endMessage:
		cfg.handleStoreWrite(n, m)
	case commitAnswer, endAnswer:
		cfg.handleStoreAnswer(n, m)
	case joinMessage:
		cfg.handleJoin(n, m) // the member no longer waits for the response
	}
}

// deliveries are the steps that take a message out of flight.
func (cfg *modelConfig) deliveries(w *world, try tryMove) bool {
	for i := range w.messages() {
		m := w.net[i]
		if i > 0 && m == w.net[i-1] {
			continue
		}
		if w.reachable(m) {
			if !try(move{name: "deliver", msg: m}, func(n *world) { n.remove(i); cfg.deliver(n, m) }) {
				return false
			}
			continue
		}
		// A message that cannot be delivered now stays in flight or is lost; the
		// loss does not count as a fault.
		if !try(move{name: "drop", msg: m}, func(n *world) { n.remove(i); cfg.handleUnreachable(n, m) }) {
			return false
		}
	}
	return true
}

// localMoves are the steps of agents and endpoints.
func (cfg *modelConfig) localMoves(w *world, try tryMove) bool {
	for rank := range uint8(cfg.members) {
		a := &w.agents[rank]
		if a.task == endpointRunning && !try(move{name: "task done", a: rank}, func(n *world) {
			n.completed[a.taskOwner][rank] = true
			cfg.endTask(n, rank, endpointExited)
		}) {
			return false
		}
		if !a.up && !try(move{name: "restart agent", a: rank}, func(n *world) { cfg.restartAgent(n, rank) }) {
			return false
		}
		if a.up && !a.frozen && !cfg.agentMoves(w, rank, try) {
			return false
		}
	}
	return true
}

// endTask ends a task at its endpoint; an agent that is up and not frozen learns
// of it at once.
func (cfg *modelConfig) endTask(n *world, rank uint8, phase endpointPhase) {
	a := &n.agents[rank]
	a.task, a.leaseLeft = phase, 0
	if a.up && !a.frozen {
		cfg.collectExit(n, rank)
	}
}

func (cfg *modelConfig) agentMoves(w *world, rank uint8, try tryMove) bool {
	a := &w.agents[rank]
	if a.task > endpointRunning && !try(move{name: "collect", a: rank}, func(n *world) { cfg.collectExit(n, rank) }) {
		return false
	}
	for i := range uint8(maxAttempts) {
		m := &a.members[i]
		if m.launching && !try(move{name: "launch", a: rank, b: i}, func(n *world) { cfg.launchTask(n, rank, i) }) {
			return false
		}
		if m.inState(wire.TaskState_TASK_STOPPING) && a.task <= endpointRunning &&
			!try(move{name: "task killed", a: rank, b: i}, func(n *world) { cfg.confirmKill(n, rank, i) }) {
			return false
		}
		if w.pingDue(rank, i) && !try(move{name: "ping", a: rank, b: i}, func(n *world) { cfg.ping(n, rank, i) }) {
			return false
		}
	}
	return true
}

func (cfg *modelConfig) schedulerMoves(w *world, try tryMove) bool {
	for s := range uint8(maxSchedulers) {
		state := &w.schedulers[s]
		switch state.mode {
		case schedulerReading:
			if !try(move{name: "read record", a: s}, func(n *world) { cfg.readRecord(n, s) }) {
				return false
			}
		case schedulerRunning:
			if !cfg.runningMoves(w, s, try) {
				return false
			}
		case schedulerDead:
			if s+1 < maxSchedulers && w.schedulers[s+1].mode == schedulerAbsent &&
				!try(move{name: "successor", a: s + 1}, func(n *world) { n.schedulers[s+1].mode = schedulerReading }) {
				return false
			}
		}
	}
	return true
}

func (cfg *modelConfig) runningMoves(w *world, s uint8, try tryMove) bool {
	state := &w.schedulers[s]
	if w.cancels > 0 && !state.cancelled && !try(move{name: "cancel", a: s}, func(n *world) {
		n.cancels--
		n.schedulers[s].cancelled = true
		cfg.stepCoordinator(n, s, Event{Kind: EventStop, Reason: "cancelled"})
	}) {
		return false
	}
	for rank := range uint8(cfg.members) {
		if w.agents[rank].epoch > s+1 && !try(move{name: "learn epoch", a: s}, func(n *world) { n.retire(s, schedulerDone) }) {
			return false
		}
		if w.reportsTo(rank, s) && !try(move{name: "report", a: rank, b: s}, func(n *world) { cfg.deliverReport(n, rank, s) }) {
			return false
		}
		if state.silentUnits[rank] >= cfg.leaseUnits && !try(move{name: "lost", a: rank, b: s}, func(n *world) {
			cfg.stepCoordinator(n, s, Event{Kind: EventLost, Rank: int(rank)})
		}) {
			return false
		}
	}
	return true
}

// clockMoves are the steps that end freezes and partitions or let a unit pass.
// Agents that are not frozen do their local work before the unit ends.
func (cfg *modelConfig) clockMoves(w *world, try tryMove) bool {
	for rank := range uint8(cfg.members) {
		a := &w.agents[rank]
		if a.frozen && !try(move{name: "thaw", a: rank}, func(n *world) { n.agents[rank].frozen = false }) {
			return false
		}
		if a.cutFromSchedulers && !try(move{name: "heal", a: rank}, func(n *world) { n.agents[rank].cutFromSchedulers = false }) {
			return false
		}
		if a.cutFromLeader && !try(move{name: "heal leader", a: rank}, func(n *world) { n.agents[rank].cutFromLeader = false }) {
			return false
		}
	}
	if w.hasLocalWork(cfg) || cfg.punctual && cfg.hasPendingDelivery(w) {
		return true
	}
	return try(move{name: "tick"}, func(n *world) { cfg.tick(n) })
}

// hasLocalWork reports whether an agent has local work that takes less than a unit.
func (w *world) hasLocalWork(cfg *modelConfig) bool {
	for rank := range uint8(cfg.members) {
		a := &w.agents[rank]
		if !a.up || a.frozen {
			continue
		}
		if a.task > endpointRunning {
			return true
		}
		for i := range uint8(maxAttempts) {
			m := &a.members[i]
			if m.launching || m.inState(wire.TaskState_TASK_STOPPING) || w.pingDue(rank, i) {
				return true
			}
		}
	}
	return false
}

// hasPendingDelivery reports whether a message or report must still be delivered
// in this unit.
func (cfg *modelConfig) hasPendingDelivery(w *world) bool {
	for i := range w.messages() {
		m := w.net[i]
		deposed := w.schedulers[m.scheduler].mode == schedulerDead || w.isDeposed(m.scheduler)
		if !m.late && !deposed && w.reachable(m) {
			return true
		}
	}
	for s := range uint8(maxSchedulers) {
		if w.schedulers[s].mode == schedulerReading {
			return true
		}
		if w.schedulers[s].mode != schedulerRunning || w.isDeposed(s) {
			continue
		}
		for rank := range uint8(cfg.members) {
			if w.reportsTo(rank, s) {
				n := *w
				cfg.deliverReport(&n, rank, s)
				if n != *w {
					return true
				}
			}
		}
	}
	return false
}

// isDeposed reports whether the scheduler has a successor; the scheduler may be
// frozen and is not required to act in time.
func (w *world) isDeposed(s uint8) bool {
	return s+1 < maxSchedulers && w.schedulers[s+1].mode != schedulerAbsent
}

func (cfg *modelConfig) faultEnabled(f faultSet) bool {
	return cfg.enabledFaults == 0 || cfg.enabledFaults&f != 0
}

// faultMoves are the faults of messages and processes.
func (cfg *modelConfig) faultMoves(w *world, try tryMove) bool {
	if w.faults == 0 {
		return true
	}
	fault := func(kind faultSet, m move, change func(n *world)) bool {
		return !cfg.faultEnabled(kind) || try(m, func(n *world) { n.faults--; change(n) })
	}
	for i := range w.messages() {
		m := w.net[i]
		if m.kind == joinMessage {
			continue
		}
		ok := fault(faultLose, move{name: "lose", msg: m}, func(n *world) { n.remove(i); cfg.handleUnreachable(n, m) }) &&
			(!w.reachable(m) || fault(faultDuplicate, move{name: "duplicate", msg: m}, func(n *world) { n.net[i].late = true; n.sortNet(); cfg.deliver(n, m) })) &&
			(m.late || !cfg.punctual || fault(faultDelay, move{name: "delay", msg: m}, func(n *world) { n.net[i].late = true; n.sortNet() })) &&
			(m.kind == responseMessage || fault(faultTimeout, move{name: "time out", msg: m}, func(n *world) { n.net[i].late = true; n.sortNet(); cfg.handleUnreachable(n, m) }))
		if !ok {
			return false
		}
	}
	return cfg.processFaultMoves(w, fault)
}

func (cfg *modelConfig) processFaultMoves(w *world, fault func(faultSet, move, func(n *world)) bool) bool {
	first := &w.schedulers[0]
	if first.mode == schedulerRunning || first.mode == schedulerEnding {
		ok := fault(faultKillScheduler, move{name: "kill scheduler"}, func(n *world) { n.retire(0, schedulerDead) }) &&
			(w.schedulers[1].mode != schedulerAbsent ||
				fault(faultDepose, move{name: "depose scheduler"}, func(n *world) { n.schedulers[1].mode = schedulerReading }))
		if !ok {
			return false
		}
	}
	for rank := range uint8(cfg.members) {
		a := &w.agents[rank]
		ok := (!a.up || fault(faultKillAgent, move{name: "kill agent", a: rank}, func(n *world) { cfg.killAgent(n, rank) })) &&
			(!a.up || a.frozen || fault(faultFreezeAgent, move{name: "freeze agent", a: rank}, func(n *world) { n.agents[rank].frozen = true })) &&
			(a.cutFromSchedulers || fault(faultCutAgent, move{name: "cut agent", a: rank}, func(n *world) { n.agents[rank].cutFromSchedulers = true })) &&
			(rank == 0 || a.cutFromLeader || fault(faultCutLeader, move{name: "cut from leader", a: rank}, func(n *world) { n.agents[rank].cutFromLeader = true })) &&
			(a.task != endpointRunning || fault(faultTaskFails, move{name: "task fails", a: rank}, func(n *world) {
				cfg.endTask(n, rank, endpointFailed)
			}))
		if !ok {
			return false
		}
	}
	return true
}
