package gang

import (
	"fmt"

	"catkinpoint/wire"
)

// move names one step of the model.
type move struct {
	name string
	a, b uint8
	msg  message
}

func (m move) String() string {
	if m.msg.kind != noMessage {
		names := [...]string{"", "Prepare", "Start", "Stop", "Response", "Commit", "CommitAnswer", "End", "EndAnswer", "Join"}
		return fmt.Sprintf("%s %s scheduler=%d attempt=%d rank=%d boot=%d state=%s flag=%d revision=%d", m.name, names[m.msg.kind],
			m.msg.scheduler, m.msg.attempt, m.msg.rank, m.msg.boot, wire.TaskState(m.msg.state), m.msg.flag, m.msg.revision)
	}
	return fmt.Sprintf("%s %d %d", m.name, m.a, m.b)
}

// visit receives a successor; a false result ends the enumeration.
type visit func(m move, next *world) bool

// successors enumerates the steps without and with faults.
func (b *bounds) successors(w *world, yield visit) {
	try := func(m move, change func(n *world)) bool {
		n := *w
		change(&n)
		return n == *w || yield(m, &n)
	}
	_ = b.deliveries(w, try) && b.localMoves(w, try) && b.schedulerMoves(w, try) && b.clockMoves(w, try) && b.faultMoves(w, try)
}

type attempt func(m move, change func(n *world)) bool

func (w *world) messages() int {
	n := 0
	for n < maxMessages && w.net[n].kind != noMessage {
		n++
	}
	return n
}

// reachable says whether a message can be delivered now.
func (w *world) reachable(m message) bool {
	a := &w.agents[m.rank]
	switch m.kind {
	case prepareMessage, startMessage, stopMessage:
		return a.up && !a.frozen && !a.cut
	case responseMessage:
		return !a.cut
	case joinMessage:
		return w.agents[0].up && !w.agents[0].frozen
	}
	return true
}

func (b *bounds) deliver(n *world, m message) {
	switch m.kind {
	case prepareMessage, startMessage, stopMessage:
		b.handle(n, m)
	case responseMessage:
		b.respond(n, m)
	case commitMessage, endMessage:
		b.storeWrite(n, m)
	case commitAnswer, endAnswer:
		b.answered(n, m)
	case joinMessage:
		b.join(n, m) // the member has given up waiting for the response
	}
}

func (b *bounds) deliveries(w *world, try attempt) bool {
	for i := range w.messages() {
		m := w.net[i]
		if i > 0 && m == w.net[i-1] {
			continue
		}
		if w.reachable(m) {
			if !try(move{name: "deliver", msg: m}, func(n *world) { n.remove(i); b.deliver(n, m) }) {
				return false
			}
			continue
		}
		// A message that cannot be delivered is lost at no cost, or waits.
		if !try(move{name: "drop", msg: m}, func(n *world) { n.remove(i); b.unreachable(n, m) }) {
			return false
		}
	}
	return true
}

// localMoves are the steps of agents and endpoints.
func (b *bounds) localMoves(w *world, try attempt) bool {
	for rank := range uint8(b.members) {
		a := &w.agents[rank]
		if a.task == endpointRunning && !try(move{name: "task done", a: rank}, func(n *world) {
			n.completed[a.taskOwner][rank] = true
			b.exit(n, rank, endpointExited)
		}) {
			return false
		}
		if !a.up && !try(move{name: "restart agent", a: rank}, func(n *world) { b.restartAgent(n, rank) }) {
			return false
		}
		if a.up && !a.frozen && !b.agentMoves(w, rank, try) {
			return false
		}
	}
	return true
}

// exit ends a task at its endpoint; an agent that is not frozen notices at once.
func (b *bounds) exit(n *world, rank uint8, phase endpointPhase) {
	a := &n.agents[rank]
	a.task, a.lease = phase, 0
	if a.up && !a.frozen {
		b.collect(n, rank)
	}
}

func (b *bounds) agentMoves(w *world, rank uint8, try attempt) bool {
	a := &w.agents[rank]
	if a.task > endpointRunning && !try(move{name: "collect", a: rank}, func(n *world) { b.collect(n, rank) }) {
		return false
	}
	for i := range uint8(maxAttempts) {
		m := &a.members[i]
		if m.launching && !try(move{name: "launch", a: rank, b: i}, func(n *world) { b.launch(n, rank, i) }) {
			return false
		}
		if m.is(wire.TaskState_TASK_STOPPING) && a.task <= endpointRunning &&
			!try(move{name: "task killed", a: rank, b: i}, func(n *world) { b.killTask(n, rank, i) }) {
			return false
		}
		if w.pingDue(rank, i) && !try(move{name: "ping", a: rank, b: i}, func(n *world) { b.ping(n, rank, i) }) {
			return false
		}
	}
	return true
}

func (b *bounds) schedulerMoves(w *world, try attempt) bool {
	for s := range uint8(maxSchedulers) {
		state := &w.schedulers[s]
		switch state.mode {
		case schedulerReading:
			if !try(move{name: "read record", a: s}, func(n *world) { b.read(n, s) }) {
				return false
			}
		case schedulerRunning:
			if !b.runningMoves(w, s, try) {
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

func (b *bounds) runningMoves(w *world, s uint8, try attempt) bool {
	state := &w.schedulers[s]
	if w.cancels > 0 && !state.cancelled && !try(move{name: "cancel", a: s}, func(n *world) {
		n.cancels--
		n.schedulers[s].cancelled = true
		b.event(n, s, Event{Kind: EventStop, Reason: "cancelled"})
	}) {
		return false
	}
	for rank := range uint8(b.members) {
		if w.agents[rank].epoch > s+1 && !try(move{name: "learn epoch", a: s}, func(n *world) { n.retire(s, schedulerDone) }) {
			return false
		}
		if w.reportsTo(rank, s) && !try(move{name: "report", a: rank, b: s}, func(n *world) { b.report(n, rank, s) }) {
			return false
		}
		if state.silent[rank] >= b.lease && !try(move{name: "lost", a: rank, b: s}, func(n *world) {
			b.event(n, s, Event{Kind: EventLost, Rank: int(rank)})
		}) {
			return false
		}
	}
	return true
}

// clockMoves let a unit pass; agents that are not frozen do their local work first.
func (b *bounds) clockMoves(w *world, try attempt) bool {
	for rank := range uint8(b.members) {
		a := &w.agents[rank]
		if a.frozen && !try(move{name: "thaw", a: rank}, func(n *world) { n.agents[rank].frozen = false }) {
			return false
		}
		if a.cut && !try(move{name: "heal", a: rank}, func(n *world) { n.agents[rank].cut = false }) {
			return false
		}
		if a.cutLeader && !try(move{name: "heal leader", a: rank}, func(n *world) { n.agents[rank].cutLeader = false }) {
			return false
		}
	}
	if w.busy(b) || b.punctual && b.pending(w) {
		return true
	}
	return try(move{name: "tick"}, func(n *world) { b.tick(n) })
}

// busy says whether an agent has local work that takes less than a unit.
func (w *world) busy(b *bounds) bool {
	for rank := range uint8(b.members) {
		a := &w.agents[rank]
		if !a.up || a.frozen {
			continue
		}
		if a.task > endpointRunning {
			return true
		}
		for i := range uint8(maxAttempts) {
			m := &a.members[i]
			if m.launching || m.is(wire.TaskState_TASK_STOPPING) || w.pingDue(rank, i) {
				return true
			}
		}
	}
	return false
}

// pending says whether a message or report is due in this unit.
func (b *bounds) pending(w *world) bool {
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
		for rank := range uint8(b.members) {
			if w.reportsTo(rank, s) {
				n := *w
				b.report(&n, rank, s)
				if n != *w {
					return true
				}
			}
		}
	}
	return false
}

// isDeposed says whether a successor exists, so that the scheduler may be frozen.
func (w *world) isDeposed(s uint8) bool {
	return s+1 < maxSchedulers && w.schedulers[s+1].mode != schedulerAbsent
}

func (b *bounds) allows(f faultSet) bool { return b.only == 0 || b.only&f != 0 }

func (b *bounds) faultMoves(w *world, try attempt) bool {
	if w.faults == 0 {
		return true
	}
	fault := func(kind faultSet, m move, change func(n *world)) bool {
		return !b.allows(kind) || try(m, func(n *world) { n.faults--; change(n) })
	}
	for i := range w.messages() {
		m := w.net[i]
		if m.kind == joinMessage {
			continue
		}
		ok := fault(faultLose, move{name: "lose", msg: m}, func(n *world) { n.remove(i); b.unreachable(n, m) }) &&
			(!w.reachable(m) || fault(faultDuplicate, move{name: "duplicate", msg: m}, func(n *world) { n.net[i].late = true; n.sortNet(); b.deliver(n, m) })) &&
			(m.late || !b.punctual || fault(faultDelay, move{name: "delay", msg: m}, func(n *world) { n.net[i].late = true; n.sortNet() })) &&
			(m.kind == responseMessage || fault(faultTimeout, move{name: "time out", msg: m}, func(n *world) { n.net[i].late = true; n.sortNet(); b.unreachable(n, m) }))
		if !ok {
			return false
		}
	}
	return b.processFaults(w, fault)
}

func (b *bounds) processFaults(w *world, fault func(faultSet, move, func(n *world)) bool) bool {
	first := &w.schedulers[0]
	if first.mode == schedulerRunning || first.mode == schedulerEnding {
		ok := fault(faultKillScheduler, move{name: "kill scheduler"}, func(n *world) { n.retire(0, schedulerDead) }) &&
			(w.schedulers[1].mode != schedulerAbsent ||
				fault(faultDepose, move{name: "depose scheduler"}, func(n *world) { n.schedulers[1].mode = schedulerReading }))
		if !ok {
			return false
		}
	}
	for rank := range uint8(b.members) {
		a := &w.agents[rank]
		ok := (!a.up || fault(faultKillAgent, move{name: "kill agent", a: rank}, func(n *world) { b.killAgent(n, rank) })) &&
			(!a.up || a.frozen || fault(faultFreezeAgent, move{name: "freeze agent", a: rank}, func(n *world) { n.agents[rank].frozen = true })) &&
			(a.cut || fault(faultCutAgent, move{name: "cut agent", a: rank}, func(n *world) { n.agents[rank].cut = true })) &&
			(rank == 0 || a.cutLeader || fault(faultCutLeader, move{name: "cut from leader", a: rank}, func(n *world) { n.agents[rank].cutLeader = true })) &&
			(a.task != endpointRunning || fault(faultTaskFails, move{name: "task fails", a: rank}, func(n *world) {
				b.exit(n, rank, endpointFailed)
			}))
		if !ok {
			return false
		}
	}
	return true
}
