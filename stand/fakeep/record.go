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
	// Run numbers the starts of this endpoint, so that two starts of the
	// same attempt differ.
	Run          int `json:"run,omitempty"`
	Accelerators int `json:"accelerators,omitempty"`
	// Detail is the outcome of an end, the cause of a stop or of a refusal.
	Detail string `json:"detail,omitempty"`
}

// Violations count the mistakes of callers.
type Violations struct {
	Slots        int `json:"slots"`
	Connections  int `json:"connections"`
	Accelerators int `json:"accelerators"`
	// DoubleStarts are starts of an attempt that was started before.
	DoubleStarts int `json:"double_starts"`
}

// Record returns a copy of all events so far.
func (e *Endpoint) Record() []Event {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Event{}, e.record...)
}

// Violations returns the mistakes of callers so far.
func (e *Endpoint) Violations() Violations {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.violations
}

// note appends to the record; the caller holds the mutex.
func (e *Endpoint) note(event Event) {
	event.Seq = len(e.record) + 1
	event.Time = time.Now()
	e.record = append(e.record, event)
	if e.opts.RecordTo != nil {
		// A record that can't be written is missed by the test that reads it.
		_ = json.NewEncoder(e.opts.RecordTo).Encode(event)
	}
}
