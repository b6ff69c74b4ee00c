package gang

import "catkinpoint/wire"

// Verdict sums up an attempt that has ended.
type Verdict struct {
	AllDone bool
	// Started means that some member certainly ran.
	Started bool
	// MayHaveStarted means that some member may have run, with no proof.
	MayHaveStarted bool
	// FailedRanks lists the members whose task failed by itself.
	FailedRanks []int
	Reason      string
}

// Verdict judges the attempt from what each member has proved.
func (c *Coordinator) Verdict() Verdict {
	v := Verdict{AllDone: len(c.Members) > 0, Reason: c.Reason}
	for rank, m := range c.Members {
		v.AllDone = v.AllDone && m.State == wire.TaskState_TASK_DONE
		v.Started = v.Started || m.Started && !m.Unconfirmed
		if m.State == wire.TaskState_TASK_FAILED {
			v.FailedRanks = append(v.FailedRanks, rank)
		}
		// Without a Start from here and without a record that names the attempt
		// no member ran: a successor starts only what the record names.
		lost := (c.StartSent || c.MayBeCommitted) && m.Lost
		v.MayHaveStarted = v.MayHaveStarted || lost || m.Started && m.Unconfirmed
	}
	return v
}

// Proved says whether the attempt proved that no member ran.
func (v Verdict) Proved() bool { return !v.AllDone && !v.Started && !v.MayHaveStarted }

// Repeatable says whether the job may run again.
func (v Verdict) Repeatable(idempotent bool) bool {
	return !v.AllDone && (idempotent || v.Proved())
}

// Fate is what the caller is told if the job is not run again.
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
