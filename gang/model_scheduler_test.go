package gang

import "catkinpoint/wire"

const (
	recordAccepted  = uint8(wire.JobRecord_ACCEPTED)
	recordCommitted = uint8(wire.JobRecord_COMMITTED)
	recordEnded     = uint8(wire.JobRecord_ENDED)
)

// beginAttempt begins a new attempt: it sends Prepare to every member.
func (cfg *modelConfig) beginAttempt(w *world, s, attempt uint8) {
	state := &w.schedulers[s]
	state.mode, state.attempt = schedulerRunning, attempt
	state.attemptsUsed++
	state.save(NewCoordinator(cfg.members, cfg.recorded))
	for rank := range uint8(cfg.members) {
		w.send(message{kind: prepareMessage, scheduler: s, attempt: attempt, rank: rank, boot: w.agents[rank].boot})
	}
}

// resumeAttempt continues the attempt that the record names.
func (cfg *modelConfig) resumeAttempt(w *world, s uint8) {
	state := &w.schedulers[s]
	state.mode, state.attempt, state.revision = schedulerRunning, w.record.attempt, w.record.revision
	// A second attempt of an idempotent job may follow one that ran.
	state.ranBefore = state.ranBefore || cfg.idempotent && w.record.attempt == 1
	members := make([]*wire.Member, cfg.members)
	for i := range members {
		members[i] = &wire.Member{Rank: int32(i), BootId: bootName(w.record.boots[i])}
	}
	c, effects := ResumeCoordinator(members)
	cfg.applyEffects(w, s, c, effects)
}

// readRecord lets a new scheduler read the job record and act on it.
func (cfg *modelConfig) readRecord(w *world, s uint8) {
	state := &w.schedulers[s]
	switch {
	case !cfg.recorded:
		// Without a record, the successor runs another job on the same workers.
		cfg.beginAttempt(w, s, 2)
	case w.record.phase == recordAccepted:
		state.revision = w.record.revision
		cfg.beginAttempt(w, s, 2)
	case w.record.phase == recordCommitted:
		cfg.resumeAttempt(w, s)
	default:
		cfg.answerCaller(w, s, w.record.fate)
	}
}

// answerCaller lets a scheduler answer its caller and end its work.
func (cfg *modelConfig) answerCaller(w *world, s, fate uint8) {
	w.retire(s, schedulerDone)
	w.notRun[s] = fate == uint8(wire.Fate_NOT_RUN)
}

// retire drops the state of a scheduler that does nothing more, and the answers
// that are in flight to it.
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

// stepCoordinator applies an event to the Coordinator of a scheduler.
func (cfg *modelConfig) stepCoordinator(w *world, s uint8, e Event) {
	state := &w.schedulers[s]
	if state.mode != schedulerRunning {
		return
	}
	c := cfg.restoreCoordinator(state)
	if e.Kind == EventStatus && cfg.mutation == noBootCheckAtScheduler && c.Members[e.Rank].BootID != "" {
		e.BootID = c.Members[e.Rank].BootID
	}
	cfg.applyEffects(w, s, c, c.Step(e))
}

// applyEffects stores the Coordinator and carries out its effects.
func (cfg *modelConfig) applyEffects(w *world, s uint8, c *Coordinator, effects []Effect) {
	state := &w.schedulers[s]
	state.save(c)
	for _, effect := range effects {
		m := message{scheduler: s, attempt: state.attempt, rank: uint8(effect.Rank)}
		switch effect.Kind {
		case EffectCommit:
			cfg.sendCommit(w, s)
			if cfg.mutation == noCommitBeforeStart {
				cfg.applyEffects(w, s, c, c.Step(Event{Kind: EventCommitted}))
			}
		case EffectStart:
			m.kind, m.boot = startMessage, state.members[effect.Rank].boot
			w.send(m)
		case EffectStop:
			m.kind = stopMessage
			w.send(m)
		case EffectEnd:
			cfg.finishAttempt(w, s, c)
		}
	}
}

func (cfg *modelConfig) sendCommit(w *world, s uint8) {
	state := &w.schedulers[s]
	m := message{kind: commitMessage, scheduler: s, attempt: state.attempt, revision: state.revision}
	for i := range state.members {
		m.boots[i] = state.members[i].boot
	}
	w.sendOnce(m)
}

// finishAttempt acts on the verdict of an attempt that has ended.
func (cfg *modelConfig) finishAttempt(w *world, s uint8, c *Coordinator) {
	state := &w.schedulers[s]
	v := c.Verdict()
	if cfg.mutation == verdictIgnoresLost {
		v.MayHaveStarted = false
	}
	if v.ProvedNotStarted() {
		w.proved[state.attempt] = true
	}
	attemptLimit, nextAttempt := uint8(1), uint8(2)
	if s == 0 {
		nextAttempt = state.attempt + 1
		if cfg.retries {
			attemptLimit = 2
		}
	}
	retry := v.Repeatable(cfg.idempotent) && !state.cancelled && state.attemptsUsed < attemptLimit
	if retry {
		state.ranBefore = state.ranBefore || !v.ProvedNotStarted()
		cfg.beginAttempt(w, s, nextAttempt)
		return
	}
	fate := v.Fate()
	if fate == wire.Fate_NOT_RUN && state.ranBefore {
		fate = wire.Fate_UNKNOWN
	}
	if !cfg.recorded {
		cfg.answerCaller(w, s, uint8(fate))
		return
	}
	state.mode, state.fate = schedulerEnding, uint8(fate)
	cfg.sendEnd(w, s)
}

func (cfg *modelConfig) sendEnd(w *world, s uint8) {
	state := &w.schedulers[s]
	w.sendOnce(message{kind: endMessage, scheduler: s, revision: state.revision, state: state.fate})
}

// handleStoreWrite applies a compare-and-swap of the job record at the store and
// answers it.
func (cfg *modelConfig) handleStoreWrite(w *world, m message) {
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

// handleStoreAnswer handles the store's answer to a commit at a scheduler; after a
// conflict the scheduler reads the record.
func (cfg *modelConfig) handleStoreAnswer(w *world, m message) {
	s := m.scheduler
	state := &w.schedulers[s]
	if m.kind == endAnswer {
		cfg.handleEndAnswer(w, m)
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
		cfg.stepCoordinator(w, s, Event{Kind: EventCommitted})
	case w.record.phase == recordCommitted && w.record.attempt == m.attempt:
		state.revision = w.record.revision
		cfg.stepCoordinator(w, s, Event{Kind: EventCommitted})
	case w.record.phase == recordCommitted && attemptOwner(w.record.attempt) == s && state.revision < w.record.revision:
		state.revision = w.record.revision
		cfg.sendCommit(w, s)
	case w.record.phase == recordEnded:
		// The ended record may name this attempt, so it is not certain that
		// the commit failed.
		cfg.stepCoordinator(w, s, Event{Kind: EventStop, Reason: "the job has ended"})
	default:
		cfg.stepCoordinator(w, s, Event{Kind: EventCommitFailed, Reason: "conflict"})
	}
}

// attemptOwner returns the scheduler that begins the attempt.
func attemptOwner(attempt uint8) uint8 {
	if attempt == 2 {
		return 1
	}
	return 0
}

// handleEndAnswer handles the store's answer to the end of the job record.
func (cfg *modelConfig) handleEndAnswer(w *world, m message) {
	s := m.scheduler
	state := &w.schedulers[s]
	if state.mode != schedulerEnding {
		return
	}
	noSuccessor := s+1 == maxSchedulers || w.schedulers[s+1].mode == schedulerAbsent
	switch {
	case m.flag == 1:
		cfg.answerCaller(w, s, state.fate)
	case w.record.phase == recordEnded:
		cfg.answerCaller(w, s, w.record.fate)
	case w.record.attempt == state.attempt, attemptOwner(w.record.attempt) == s:
		state.revision = w.record.revision
		cfg.sendEnd(w, s)
	case noSuccessor:
		cfg.resumeAttempt(w, s)
	default:
		w.retire(s, schedulerDone)
	}
}

// handleResponse handles an agent's response at a scheduler.
func (cfg *modelConfig) handleResponse(w *world, m message) {
	s := m.scheduler
	if w.schedulers[s].attempt == m.attempt {
		cfg.stepCoordinator(w, s, statusEvent(m.rank, m.boot, m.state, m.flag == 1))
	}
}

func statusEvent(rank, boot, state uint8, started bool) Event {
	return Event{
		Kind: EventStatus, Rank: int(rank), BootID: bootName(boot),
		Status: &wire.TaskStatus{State: wire.TaskState(state), Started: started},
	}
}

// deliverReport delivers a report of an agent with the state of the scheduler's
// attempt.
func (cfg *modelConfig) deliverReport(w *world, rank, s uint8) {
	a := &w.agents[rank]
	a.epoch = max(a.epoch, s+1)
	m := a.members[w.schedulers[s].attempt]
	cfg.stepCoordinator(w, s, statusEvent(rank, a.boot, max(m.state, stateAbsent), m.started))
}

// handleUnreachable handles, at the scheduler, a call that failed without an
// answer.
func (cfg *modelConfig) handleUnreachable(w *world, m message) {
	s := &w.schedulers[m.scheduler]
	switch m.kind {
	case prepareMessage, startMessage, stopMessage, responseMessage:
		if s.attempt == m.attempt {
			cfg.stepCoordinator(w, m.scheduler, Event{Kind: EventUnreachable, Rank: int(m.rank)})
		}
	case commitMessage, commitAnswer:
		// The write may have taken effect, so the same compare-and-swap is sent
		// again.
		if s.mode == schedulerRunning && s.attempt == m.attempt {
			cfg.sendCommit(w, m.scheduler)
		}
	case endMessage, endAnswer:
		if s.mode == schedulerEnding {
			cfg.sendEnd(w, m.scheduler)
		}
	}
}
