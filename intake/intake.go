package intake

import (
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"catkinpoint/clock"
)

const (
	// waitTime is how long a client waits for room before it is refused; callers wait
	// 3 s for an answer.
	waitTime = time.Second
	// acceptTime is how long a new connection waits for others to be closed.
	acceptTime = 250 * time.Millisecond
	// acceptPeriod is the time between two searches for one to close; a client falls behind
	// without an event that would start a search.
	acceptPeriod = 5 * time.Millisecond
	// searchPeriod is the time after a search for one to close for bytes that has found
	// none, as each search looks at all connections.
	searchPeriod = 5 * time.Millisecond
	// logPeriod limits the log lines of each kind of decision.
	logPeriod = time.Second
	// defaultStall applies if no stall is set.
	defaultStall = 5 * time.Second
)

// ErrBusy means that there was no room for a body. No part of it was decoded.
var ErrBusy = errors.New("too much is held for clients")

// turnTime is how long a pipelined request waits for its turn at most.
const turnTime = 50 * time.Millisecond

// errDropped means that the connection is closed, for others or without room for its
// headers.
var errDropped = errors.New("connection is closed for others")

// Intake bounds what the clients of a process make it hold. Its methods may be called
// from any goroutine.
type Intake struct {
	resources Resources
	// pipelined has room for one request that came before the answer to the earlier one
	// on its connection.
	pipelined chan struct{}

	mu         sync.Mutex // guards the fields below and all holders
	ledger     *Ledger
	changed    chan struct{}       // closed when something is released
	lastSearch time.Duration       // that has found none
	logged     map[string]logState // by decision and reason
}

// logState limits the log lines of one kind of decision.
type logState struct {
	last   time.Duration
	passed int64 // decisions since the last line
}

// New returns an Intake for a process with the resources.
func New(r Resources) *Intake {
	r = r.withDefaults()
	i := &Intake{resources: r, ledger: NewLedger(logLimits(r)), changed: make(chan struct{}), pipelined: make(chan struct{}, 1), logged: map[string]logState{}}
	i.observe()
	return i
}

// Resize puts the limits of other resources into force. The rest of the resources, which is
// not about limits, stays.
func (i *Intake) Resize(r Resources) {
	limits := logLimits(r)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ledger.SetLimits(limits)
	i.signal()
}

// logLimits returns the limits of resources and logs them.
func logLimits(r Resources) Limits {
	l := LimitsOf(r)
	klog.InfoS("intake: limits", "listeners", r.Name, "bytes", l.Bytes, "large_bytes", l.Large, "connections", l.Connections)
	return l
}

// decided counts a decision and logs it, at most one of a kind in each logPeriod.
// i.mu must be held.
func (i *Intake) decided(decision, reason string) {
	countDecision(i.resources.Name, decision, reason)
	now := clock.Monotonic()
	state, known := i.logged[decision+reason]
	state.passed++
	if !known || now-state.last >= logPeriod {
		klog.InfoS("intake: client "+decision, "listeners", i.resources.Name, "reason", reason, "count", state.passed,
			"held_bytes", i.ledger.Held(), "connections", i.ledger.Connections())
		state = logState{last: now}
	}
	i.logged[decision+reason] = state
}

// signal wakes who waits for room. i.mu must be held.
func (i *Intake) signal() {
	close(i.changed)
	i.changed = make(chan struct{})
}

// open admits a new connection, for which another one may be closed. It waits for room
// for acceptTime at most, in which further ones wait in the order in which they came, and
// returns nil if there is none.
func (i *Intake) open(closeConn func(idle bool)) *Holder {
	deadline := clock.Monotonic() + acceptTime
	for {
		now := clock.Monotonic()
		i.mu.Lock()
		h, victim := i.ledger.Open(now)
		if victim != nil {
			i.decided("closed", "connections")
		}
		refused := h == nil && now >= deadline
		if refused {
			i.decided("refused", "connections")
		}
		if h != nil {
			h.close = closeConn
		}
		changed := i.changed
		idle := victim != nil && victim.phase == Idle
		i.mu.Unlock()
		if victim != nil {
			victim.close(idle)
		}
		if h != nil || refused {
			return h
		}
		wait(changed, min(deadline, now+acceptPeriod))
	}
}

// hold lets a connection hold more bytes. It closes others for that and waits until
// there is room, for waitTime at most. It reports whether there is room.
func (i *Intake) hold(h *Holder, bytes int64, large bool, reason string) bool {
	deadline := clock.Monotonic() + waitTime
	i.mu.Lock()
	before := *h
	start := deadline - waitTime
	h.enter(start, Waiting)
	h.wantsLarge, h.wants = large, bytes
	defer func() {
		// The time in which the client could not go on is not its own.
		h.phase, h.since, h.received = before.phase, before.since+clock.Monotonic()-start, before.received
		i.mu.Unlock()
	}()
	for {
		now := clock.Monotonic()
		if h.dropped || h.closed {
			return false
		}
		if i.ledger.Hold(h, bytes, large) {
			return true
		}
		if now >= deadline {
			i.decided("refused", reason)
			return false
		}
		var victim *Holder
		if now-i.lastSearch >= searchPeriod {
			if victim = i.ledger.ForBytes(now, h, large); victim != nil {
				i.ledger.Drop(victim)
				i.decided("closed", reason)
			} else {
				i.lastSearch = now
			}
		}
		changed := i.changed
		idle := victim != nil && victim.phase == Idle
		i.mu.Unlock()
		if victim != nil {
			victim.close(idle)
		}
		wait(changed, min(deadline, now+4*searchPeriod))
		i.mu.Lock()
	}
}

// takeTurn waits until no other pipelined request is served, for turnTime at most. Clients
// that send requests without reading the answers would otherwise take all processors. It
// returns what is to be called after the request.
func (i *Intake) takeTurn() (end func()) {
	timer := time.NewTimer(turnTime)
	defer timer.Stop()
	select {
	case i.pipelined <- struct{}{}:
		return func() { <-i.pipelined }
	case <-timer.C:
		return func() {}
	}
}

// wait returns when changed is closed or at the deadline.
func wait(changed <-chan struct{}, deadline time.Duration) {
	timer := time.NewTimer(max(0, deadline-clock.Monotonic()))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}

// enter begins a phase of a connection.
func (i *Intake) enter(h *Holder, phase Phase) {
	i.mu.Lock()
	defer i.mu.Unlock()
	h.enter(clock.Monotonic(), phase)
}

// release ends a request: the connection holds nothing besides itself. It is not idle
// before the HTTP server has sent the answer.
func (i *Intake) release(h *Holder) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ledger.Release(h)
	h.enter(clock.Monotonic(), Answering)
	i.signal()
}

// remove ends a connection.
func (i *Intake) remove(h *Holder) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ledger.Close(h)
	i.signal()
}
