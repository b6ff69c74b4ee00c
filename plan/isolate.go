package plan

import "time"

// isolationWait is how long a unit that may make its workers crash waits for workers
// without other runs. After it the unit takes those on which least is at stake.
const isolationWait = 1500 * time.Millisecond

// waitsAlone reports whether a unit still waits for workers without other runs.
func (r *Request) waitsAlone() bool { return r.Isolated && r.ReadyFor <= isolationWait }

// keepsApart reports whether a unit may run on a worker, given the other runs there
// and the units that must run apart from others.
func (s *state) keepsApart(r *Request, w int) bool {
	switch {
	case s.isolated[w]:
		return false
	case !r.Isolated:
		return true
	}
	return !s.gotTask[w] && (s.workers[w].Runs == 0 || !r.waitsAlone())
}

// exposureCost ranks workers for a task of a unit that may make them crash by what
// would be lost there. A worker that already has another task of the unit costs
// nothing more.
func (s *state) exposureCost(w int, shared bool) float64 {
	if shared {
		return -1
	}
	return s.workers[w].Capacity.Sub(s.workers[w].Free).CoreEquivalents()
}
