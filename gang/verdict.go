package gang

import "catkinpoint/wire"

// Verdict is the outcome of an attempt that has ended.
type Verdict struct {
	AllDone bool // every task has succeeded
	// Started means that at least one member certainly ran.
	Started bool
	// MayHaveStarted means that for at least one member it is unknown whether
	// it ran.
	MayHaveStarted bool
	// FailedRanks are the ranks of the members whose task itself failed.
	FailedRanks []int
	Reason      string // why the attempt was stopped; empty if it was not
}

// Verdict returns the outcome of the attempt, as far as the last known state of
// each member proves it.
func (c *Coordinator) Verdict() Verdict {
	v := Verdict{AllDone: len(c.Members) > 0, Reason: c.Reason}
	for rank, m := range c.Members {
		v.AllDone = v.AllDone && m.State == wire.TaskState_TASK_DONE
		v.Started = v.Started || m.Started && !m.Unconfirmed
		if m.State == wire.TaskState_TASK_FAILED {
			v.FailedRanks = append(v.FailedRanks, rank)
		}
		// A lost member cannot have run if this scheduler sent no Start and the
		// job record cannot name the attempt: a scheduler that takes over the
		// job starts only the attempt that the record names.
		lost := (c.StartSent || c.MayBeCommitted) && m.Lost
		v.MayHaveStarted = v.MayHaveStarted || lost || m.Started && m.Unconfirmed
	}
	return v
}

// ProvedNotStarted reports whether it is certain that no member ran.
func (v Verdict) ProvedNotStarted() bool { return !v.AllDone && !v.Started && !v.MayHaveStarted }

// Repeatable reports whether the job may run again.
func (v Verdict) Repeatable(idempotent bool) bool {
	return !v.AllDone && (idempotent || v.ProvedNotStarted())
}

// Fate returns what the caller is told if the job is not run again.
func (v Verdict) Fate() wire.Fate {
	switch {
	case v.AllDone:
		return wire.Fate_DONE
	case v.Started:
		return wire.Fate_FAILED
	case v.MayHaveStarted:
		return wire.Fate_UNKNOWN
	}
	return wire.Fate_NOT_RUN
}
