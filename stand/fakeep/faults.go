package fakeep

import "time"

// SetFailTasks sets whether every task that is started from now on fails at once.
func (e *Endpoint) SetFailTasks(fail bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failTasks = fail
}

// SetDelay sets the time by which the handling of every HTTP request is delayed.
func (e *Endpoint) SetDelay(delay time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.delay = delay
}

// Freeze stops the handling of HTTP requests and the ends of tasks, as in a
// suspended process; leases and run times go on.
func (e *Endpoint) Freeze() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.frozen() {
		return
	}
	e.thawed = make(chan struct{})
	e.recordEvent(Event{Kind: KindFreeze})
}

// Thaw ends a freeze; tasks whose lease has passed stop now.
func (e *Endpoint) Thaw() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.frozen() {
		return
	}
	close(e.thawed)
	e.recordEvent(Event{Kind: KindThaw})
	for _, t := range e.runningTasks() {
		t.endIfDue()
	}
}

func (e *Endpoint) frozen() bool {
	select {
	case <-e.thawed:
		return false
	default:
		return true
	}
}

// SilenceConnections makes all open connections silent for good and returns their
// number: what arrives is discarded and nothing is sent. New connections work.
func (e *Endpoint) SilenceConnections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		c.silent.Store(true)
	}
	return len(e.conns)
}

// requestHold returns the delay of a request and a channel that is closed unless
// the endpoint is frozen, or else at the end of the freeze.
func (e *Endpoint) requestHold() (time.Duration, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.delay, e.thawed
}
