package fakeep

import (
	"encoding/json"
	"time"
)

// Kind is the kind of an Event.
type Kind string

// The kinds of events.
const (
	KindStart      Kind = "start"
	KindEnd        Kind = "end"
	KindStop       Kind = "stop"
	KindRefuse     Kind = "refuse"
	KindCheckpoint Kind = "checkpoint"
	KindThrottle   Kind = "throttle"
	KindFreeze     Kind = "freeze"
	KindThaw       Kind = "thaw"
)

// Event is one entry of the record.
type Event struct {
	Seq     int       `json:"seq"`
	Time    time.Time `json:"time"`
	Kind    Kind      `json:"kind"`
	Attempt string    `json:"attempt,omitempty"`
	// Run is the number of the start among all starts of this endpoint, so that
	// two starts of the same attempt differ.
	Run          int `json:"run,omitempty"`
	Accelerators int `json:"accelerators,omitempty"`
	// Detail is the state at an end, the cause of a stop, the error code of a
	// refusal, the work done at a checkpoint or the speed of a throttle.
	Detail string `json:"detail,omitempty"`
}

// Violations counts the mistakes of callers.
type Violations struct {
	// Slots, Connections and Accelerators count the starts and connections that
	// were refused because of that limit.
	Slots        int `json:"slots"`
	Connections  int `json:"connections"`
	Accelerators int `json:"accelerators"`
	// DoubleStarts counts the starts of an attempt that was started before.
	DoubleStarts int `json:"double_starts"`
}

// Record returns a copy of all events so far.
func (e *Endpoint) Record() []Event {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Event{}, e.record...)
}

// Violations returns the numbers of mistakes of callers so far.
func (e *Endpoint) Violations() Violations {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.violations
}

// recordEvent appends an event to the record and sets its number and time. The
// caller holds the mutex.
func (e *Endpoint) recordEvent(event Event) {
	event.Seq = len(e.record) + 1
	event.Time = time.Now()
	e.record = append(e.record, event)
	if e.opts.RecordTo != nil {
		// If the write fails, the test that reads the record notices the gap.
		_ = json.NewEncoder(e.opts.RecordTo).Encode(event)
	}
}
