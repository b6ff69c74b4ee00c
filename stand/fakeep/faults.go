package fakeep

import "time"

// FailTasks makes every task that starts from now on fail at once, or ends this.
func (e *Endpoint) FailTasks(fail bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failTasks = fail
}

// SlowBy delays the handling of every HTTP request.
func (e *Endpoint) SlowBy(delay time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = delay
}

// Freeze stops the handling of HTTP requests and the ends of tasks, as a paused
// process would; leases and run times go on.
func (e *Endpoint) Freeze() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.frozen() {
		return
	}
	e.thawed = make(chan struct{})
	e.note(Event{Kind: KindFreeze})
}

// Thaw ends a freeze; tasks whose lease has passed stop now.
func (e *Endpoint) Thaw() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.frozen() {
		return
	}
	close(e.thawed)
	e.note(Event{Kind: KindThaw})
	for _, t := range e.active() {
		t.step()
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

// SilenceConnections makes all open connections silent for good and returns
// their number: what arrives is swallowed and nothing is sent. New connections work.
func (e *Endpoint) SilenceConnections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.connections {
		c.silent.Store(true)
	}
	return len(e.connections)
}

// gate returns the delay and the end of the freeze that a request waits for.
func (e *Endpoint) gate() (time.Duration, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.slow, e.thawed
}
