package plan

import (
	"slices"
	"time"
)

// waryTime is how long a unit waits, for each time that it has failed, for
// workers on which nothing has failed of late. A job that is given up is worth
// nothing, and one that is late most of it.
const waryTime = 4 * time.Second

// reclaimTrial is how long guaranteed work keeps off workers on trial.
const reclaimTrial = time.Second

// trusts tells whether a unit may run on a worker in spite of what failed there.
// A worker on trial is given one task that can bear to fail.
func (s *state) trusts(r *Request, w int) bool {
	worker := &s.workers[w]
	switch {
	case worker.Trial && r.Reclaims:
		return r.Ready > reclaimTrial
	case worker.Trial:
		return mayTry(r) && !s.tried[w]
	case !wary(r):
		return true
	}
	return !worker.Doubtful && !slices.Contains(r.FailedAt, worker.Place)
}

// wary tells whether a unit that has failed still keeps to workers without doubt.
func wary(r *Request) bool {
	return r.Failures > 0 && r.Ready < time.Duration(r.Failures)*waryTime
}

// mayTry tells whether a unit may show whether a worker is sound again.
func mayTry(r *Request) bool {
	return r.Failures == 0 && len(r.Unit.Tasks) == 1 && r.priority() > 0
}
