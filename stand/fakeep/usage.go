package fakeep

import "time"

// Usage is the load that the endpoint reports; it is Options.UsageLag old.
type Usage struct {
	Tasks        int `json:"tasks"`
	Slots        int `json:"slots"`
	Accelerators int `json:"accelerators"`
	// TotalAccelerators is the number of accelerators of the worker.
	TotalAccelerators int   `json:"total_accelerators"`
	AgeMS             int64 `json:"age_ms"`
}

// usagePoint is the load from a time on, until the next point.
type usagePoint struct {
	time         time.Time
	tasks        int
	accelerators int
}

// recordUsage adds the current load to the history for later reports.
func (e *Endpoint) recordUsage() {
	e.trimUsage()
	e.usageHistory = append(e.usageHistory, usagePoint{time.Now(), len(e.running), e.usedAccelerators()})
}

// trimUsage drops the points that no report needs: all before the latest one that
// is at least as old as the lag.
func (e *Endpoint) trimUsage() {
	cutoff := time.Now().Add(-e.opts.UsageLag)
	for len(e.usageHistory) > 1 && !e.usageHistory[1].time.After(cutoff) {
		e.usageHistory = e.usageHistory[1:]
	}
}

// Usage returns the load as it was UsageLag ago.
func (e *Endpoint) Usage() Usage {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.trimUsage()
	usage := Usage{
		Slots:             e.opts.Slots,
		TotalAccelerators: e.opts.Accelerators,
		AgeMS:             e.opts.UsageLag.Milliseconds(),
	}
	cutoff := time.Now().Add(-e.opts.UsageLag)
	if len(e.usageHistory) > 0 && !e.usageHistory[0].time.After(cutoff) {
		usage.Tasks = e.usageHistory[0].tasks
		usage.Accelerators = e.usageHistory[0].accelerators
	}
	return usage
}
