package fakeep

import "time"

// Usage is what the endpoint reports about its load; it is UsageLag old.
type Usage struct {
	Tasks        int `json:"tasks"`
	Slots        int `json:"slots"`
	Accelerators int `json:"accelerators"`
	// TotalAccelerators are those of the worker.
	TotalAccelerators int   `json:"total_accelerators"`
	AgeMS             int64 `json:"age_ms"`
}

type usagePoint struct {
	time         time.Time
	tasks        int
	accelerators int
}

// noteUsage keeps the load from now on for later reports.
func (e *Endpoint) noteUsage() {
	e.trimUsage()
	e.history = append(e.history, usagePoint{time.Now(), len(e.running), e.usedAccelerators()})
}

// trimUsage drops the points that no report needs: all before the last one that
// is older than the lag.
func (e *Endpoint) trimUsage() {
	limit := time.Now().Add(-e.opts.UsageLag)
	for len(e.history) > 1 && !e.history[1].time.After(limit) {
		e.history = e.history[1:]
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
	limit := time.Now().Add(-e.opts.UsageLag)
	if len(e.history) > 0 && !e.history[0].time.After(limit) {
		usage.Tasks = e.history[0].tasks
		usage.Accelerators = e.history[0].accelerators
	}
	return usage
}
