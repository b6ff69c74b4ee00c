package gang

import "catkinpoint/wire"

const (
	recordAccepted  = uint8(wire.JobRecord_ACCEPTED)
	recordCommitted = uint8(wire.JobRecord_COMMITTED)
	recordEnded     = uint8(wire.JobRecord_ENDED)
)

// begin prepares a fresh attempt.
func (b *bounds) begin(w *world, s, attempt uint8) {
	state := &w.schedulers[s]
	state.mode, state.attempt = schedulerRunning, attempt
	state.ownUsed++
	state.keep(NewCoordinator(b.members, b.recorded))
	for rank := range uint8(b.members) {
		w.send(message{kind: prepareMessage, scheduler: s, attempt: attempt, rank: rank, boot: w.agents[rank].boot})
	}
}

// resume continues the attempt that the record names.
func (b *bounds) resume(w *world, s uint8) {
	state := &w.schedulers[s]
	state.mode, state.attempt, state.revision = schedulerRunning, w.record.attempt, w.record.revision
	// A second attempt of an idempotent job may follow one that ran.
	state.ranBefore = state.ranBefore || b.idempotent && w.record.attempt == 1
	members := make([]*wire.Member, b.members)
	for i := range members {
		members[i] = &wire.Member{Rank: int32(i), BootId: bootName(w.record.boots[i])}
	}
	c, effects := ResumeCoordinator(members)
	b.apply(w, s, c, effects)
}

// read lets a new scheduler look at the record and act on it.
func (b *bounds) read(w *world, s uint8) {
	state := &w.schedulers[s]
	switch {
	case !b.recorded:
		b.begin(w, s, 2) // another job on the same workers
	case w.record.phase == recordAccepted:
		state.revision = w.record.revision
		b.begin(w, s, 2)
	case w.record.phase == recordCommitted:
		b.resume(w, s)
	default:
		b.told(w, s, w.record.fate)
	}
}

// told ends the work of a scheduler with the answer to the caller.
func (b *bounds) told(w *world, s, fate uint8) {
	w.retire(s, schedulerDone)
	w.notRun[s] = fate == uint8(wire.Fate_NOT_RUN)
}

// retire forgets what a scheduler that does nothing more was told.
func (w *world) retire(s uint8, mode schedulerMode) {
	w.schedulers[s] = schedulerState{mode: mode}
	for i := 0; i < maxMessages && w.net[i].kind != noMessage; {
		m := w.net[i]
		response := m.kind == responseMessage || m.kind == commitAnswer || m.kind == endAnswer
		if response && m.scheduler == s {
			w.remove(i)
			continue
		}
		i++
	}
}

// event steps the coordinator of a scheduler.
func (b *bounds) event(w *world, s uint8, e Event) {
	state := &w.schedulers[s]
	if state.mode != schedulerRunning {
		return
	}
	c := b.coordinator(state)
	if e.Kind == EventStatus && b.mutation == noBootCheckAtScheduler && c.Members[e.Rank].BootID != "" {
		e.BootID = c.Members[e.Rank].BootID
	}
	b.apply(w, s, c, c.Step(e))
}

func (b *bounds) apply(w *world, s uint8, c *Coordinator, effects []Effect) {
	state := &w.schedulers[s]
	state.keep(c)
	for _, effect := range effects {
		m := message{scheduler: s, attempt: state.attempt, rank: uint8(effect.Rank)}
		switch effect.Kind {
		case EffectCommit:
			b.sendCommit(w, s)
			if b.mutation == noCommitBeforeStart {
				b.apply(w, s, c, c.Step(Event{Kind: EventCommitted}))
			}
		case EffectStart:
			m.kind, m.boot = startMessage, state.members[effect.Rank].boot
			w.send(m)
		case EffectStop:
			m.kind = stopMessage
			w.send(m)
		case EffectEnd:
			b.finish(w, s, c)
		}
	}
}

func (b *bounds) sendCommit(w *world, s uint8) {
	state := &w.schedulers[s]
	m := message{kind: commitMessage, scheduler: s, attempt: state.attempt, revision: state.revision}
	for i := range state.members {
		m.boots[i] = state.members[i].boot
	}
	w.sendOnce(m)
}

// finish acts on the verdict of an attempt that has ended.
func (b *bounds) finish(w *world, s uint8, c *Coordinator) {
	state := &w.schedulers[s]
	v := c.Verdict()
	if b.mutation == verdictIgnoresLost {
		v.MayHaveStarted = false
	}
	if v.Proved() {
		w.proved[state.attempt] = true
	}
	attempts, next := uint8(1), uint8(2)
	if s == 0 {
		next = state.attempt + 1
		if b.retries {
			attempts = 2
		}
	}
	again := v.Repeatable(b.idempotent) && !state.cancelled && state.ownUsed < attempts
	if again {
		state.ranBefore = state.ranBefore || !v.Proved()
		b.begin(w, s, next)
		return
	}
	fate := v.Fate()
	if fate == wire.Fate_NOT_RUN && state.ranBefore {
		fate = wire.Fate_UNKNOWN
	}
	if !b.recorded {
		b.told(w, s, uint8(fate))
		return
	}
	state.mode, state.fate = schedulerEnding, uint8(fate)
	b.sendEnd(w, s)
}

func (b *bounds) sendEnd(w *world, s uint8) {
	state := &w.schedulers[s]
	w.sendOnce(message{kind: endMessage, scheduler: s, revision: state.revision, state: state.fate})
}

// storeWrite applies a compare-and-swap to the record and answers it.
func (b *bounds) storeWrite(w *world, m message) {
	r := &w.record
	answer := message{kind: commitAnswer, scheduler: m.scheduler, attempt: m.attempt}
	if m.kind == endMessage {
		answer.kind = endAnswer
	}
	if r.phase != recordEnded && r.revision == m.revision {
		r.revision++
		answer.flag, answer.revision = 1, r.revision
		if m.kind == commitMessage {
			r.phase, r.attempt, r.boots = recordCommitted, m.attempt, m.boots
			w.committed[m.attempt] = true
		} else {
			r.phase, r.fate = recordEnded, m.state
		}
	}
	if mode := w.schedulers[m.scheduler].mode; mode == schedulerRunning || mode == schedulerEnding {
		w.send(answer)
	}
}

// answered takes the store's answer at a scheduler; a conflict is resolved by a read.
func (b *bounds) answered(w *world, m message) {
	s := m.scheduler
	state := &w.schedulers[s]
	if m.kind == endAnswer {
		b.endAnswered(w, m)
		return
	}
	if m.flag == 1 {
		state.revision = max(state.revision, m.revision)
	}
	if state.mode != schedulerRunning || state.attempt != m.attempt {
		return
	}
	switch {
	case m.flag == 1:
		b.event(w, s, Event{Kind: EventCommitted})
	case w.record.phase == recordCommitted && w.record.attempt == m.attempt:
		state.revision = w.record.revision
		b.event(w, s, Event{Kind: EventCommitted})
	case w.record.phase == recordCommitted && owner(w.record.attempt) == s && state.revision < w.record.revision:
		state.revision = w.record.revision
		b.sendCommit(w, s)
	case w.record.phase == recordEnded:
		// The ended record may name this attempt, so the commit is not proved to have failed.
		b.event(w, s, Event{Kind: EventStop, Reason: "the job has ended"})
	default:
		b.event(w, s, Event{Kind: EventCommitFailed, Reason: "conflict"})
	}
}

func owner(attempt uint8) uint8 {
	if attempt == 2 {
		return 1
	}
	return 0
}

func (b *bounds) endAnswered(w *world, m message) {
	s := m.scheduler
	state := &w.schedulers[s]
	if state.mode != schedulerEnding {
		return
	}
	last := s+1 == maxSchedulers || w.schedulers[s+1].mode == schedulerAbsent
	switch {
	case m.flag == 1:
		b.told(w, s, state.fate)
	case w.record.phase == recordEnded:
		b.told(w, s, w.record.fate)
	case w.record.attempt == state.attempt, owner(w.record.attempt) == s:
		state.revision = w.record.revision
		b.sendEnd(w, s)
	case last:
		b.resume(w, s)
	default:
		w.retire(s, schedulerDone)
	}
}

// respond takes an agent's response at a scheduler.
func (b *bounds) respond(w *world, m message) {
	s := m.scheduler
	if w.schedulers[s].attempt == m.attempt {
		b.event(w, s, status(m.rank, m.boot, m.state, m.flag == 1))
	}
}

func status(rank, boot, state uint8, started bool) Event {
	return Event{
		Kind: EventStatus, Rank: int(rank), BootID: bootName(boot),
		Status: &wire.TaskStatus{State: wire.TaskState(state), Started: started},
	}
}

// report passes an agent's present state of the attempt to a scheduler.
func (b *bounds) report(w *world, rank, s uint8) {
	a := &w.agents[rank]
	a.epoch = max(a.epoch, s+1)
	m := a.members[w.schedulers[s].attempt]
	b.event(w, s, status(rank, a.boot, max(m.state, stateAbsent), m.started))
}

// unreachable tells a scheduler that a call failed without an answer.
func (b *bounds) unreachable(w *world, m message) {
	s := &w.schedulers[m.scheduler]
	switch m.kind {
	case prepareMessage, startMessage, stopMessage, responseMessage:
		if s.attempt == m.attempt {
			b.event(w, m.scheduler, Event{Kind: EventUnreachable, Rank: int(m.rank)})
		}
	case commitMessage, commitAnswer:
		// The write may have taken effect; the same compare-and-swap is issued again.
		if s.mode == schedulerRunning && s.attempt == m.attempt {
			b.sendCommit(w, m.scheduler)
		}
	case endMessage, endAnswer:
		if s.mode == schedulerEnding {
			b.sendEnd(w, m.scheduler)
		}
	}
}
