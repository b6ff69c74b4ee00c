package plan

import (
	"math"
	"time"
)

const (
	// leavingStopTime is how long before its worker leaves a run with checkpoints is
	// stopped: up to 0.25 s until the next decision, 0.05 s to the worker, and a stop grace
	// of up to 0.9 s.
	leavingStopTime = 1200 * time.Millisecond
	// usualStay is how long workers stay beyond the time that they announce: half of 85
	// workers stayed for 0.41 s, and all but two for at most 0.5 s.
	usualStay = 500 * time.Millisecond
)

// Leaving is a unit at work with a task on a worker that is about to leave.
type Leaving struct {
	// Left is the shortest time until the first of these workers leaves.
	Left time.Duration
	// Remaining is the expected time until the unit's tasks have ended.
	Remaining time.Duration
	// Checkpointing reports whether the tasks save their work at a stop.
	Checkpointing bool
	// Done is the work that a stop loses, and Rate the work that the unit does in a
	// second, in core-seconds.
	Done, Rate float64
}

// StopLeaving reports whether a unit is to be stopped now, as less work is lost than if it
// runs on. It answers workers that are taken away at short notice, with gangs of many tasks
// of which one is on such a worker: their work after the notice was lost too.
func StopLeaving(l Leaving) bool {
	if l.Left <= 0 || l.Remaining <= l.Left {
		return false
	}
	if l.Checkpointing {
		return l.Left <= leavingStopTime
	}
	stays := math.Exp(-float64(l.Remaining-l.Left) / float64(usualStay))
	return stays*l.Done < (1-stays)*l.Rate*l.Left.Seconds()
}
