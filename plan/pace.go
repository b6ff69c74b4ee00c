package plan

import (
	"math"
	"slices"
	"time"
)

const (
	// likePace is the ratio up to which the paces of two workers are alike. A gang on
	// workers that differ by more holds the faster ones while it waits for the slower.
	likePace = 1.3
	// unevenPace is the ratio of the slowest to a fast worker up to which paces are not used
	// at all. Workers that differ by a third may seem to differ by this while little is
	// known, and setting such workers aside costs more room than it saves time.
	unevenPace = 1.5
	// guaranteedPaceWait is how long a guaranteed unit avoids workers for their pace. It is
	// a fraction of the time in which a guarantee must take effect.
	guaranteedPaceWait = time.Second
	// urgentPaceWait is how long any other unit avoids workers for their pace. A job may not
	// wait for 3 s while there is room for it, on slow workers too.
	urgentPaceWait = 2 * time.Second
	// overheadMargin is the time from a decision until the start of a unit and from its end
	// until its caller knows, which both count.
	overheadMargin = 400 * time.Millisecond
	// paceMargin is the share by which a unit may take longer than expected on a worker of
	// known pace: paces are known to about a tenth.
	paceMargin = 0.15
)

// pace returns the pace of a worker, which is 1 if it is not known.
func (s *state) pace(w int) float64 {
	if p := s.workers[w].Pace; p > 0 {
		return p
	}
	return 1
}

// durationOn returns the expected run time of a task of the unit on a worker. Among workers
// of like pace it is the same on all.
func (s *state) durationOn(r *Request, w int) time.Duration {
	if !s.uneven {
		return r.Duration
	}
	return time.Duration(float64(r.Duration) * s.pace(w))
}

// measurePaces sets the pace of a fast worker, which is the lower quartile, and that of the
// slowest one, and whether they differ by more than unevenPace.
func (s *state) measurePaces() {
	var paces []float64
	for w := range s.workers {
		if s.workers[w].Usable {
			paces = append(paces, s.pace(w))
		}
	}
	if len(paces) == 0 {
		return
	}
	slices.Sort(paces)
	s.fastPace, s.slowest = paces[len(paces)/4], paces[len(paces)-1]
	s.uneven = s.slowest > unevenPace*s.fastPace
}

// objectivePace returns the largest pace with which the unit is expected to meet its objective
// if it starts now, and infinity if it can't meet it even on a worker of pace 1.
func (r *Request) objectivePace() float64 {
	if r.Slack < 0 || r.Duration <= 0 {
		return math.Inf(1)
	}
	return 1 + r.Slack.Seconds()/r.Duration.Seconds()
}

// surePace is like objectivePace, with margins for what is not known.
func (r *Request) surePace() float64 {
	if r.Slack < 0 || r.Duration <= 0 {
		return math.Inf(1)
	}
	return max(1, (1+(r.Slack-overheadMargin).Seconds()/r.Duration.Seconds())/(1+paceMargin))
}

// paceLimit returns the pace from which the unit does not take a worker (urgent gangs while
// a third of the workers takes twice as long). It is infinite for units that cannot preempt,
// as nothing says when they would get a faster worker; for a unit that would miss its
// objective anyway; for one that has waited; and if the faster workers could never hold the
// unit.
func (s *state) paceLimit(r *Request) float64 {
	wait := urgentPaceWait
	if r.Guaranteed {
		wait = guaranteedPaceWait
	}
	if !s.uneven || !r.mayPreempt() || r.ReadyFor > wait {
		return math.Inf(1)
	}
	limit, ok := s.paceLimits[r]
	if !ok {
		limit = s.computePaceLimit(r)
		s.paceLimits[r] = limit
	}
	return limit
}

// computePaceLimit returns the limit of a unit that may preempt.
func (s *state) computePaceLimit(r *Request) float64 {
	limit := max(r.surePace(), s.fastPace*likePace)
	if limit >= s.slowest || s.fastCapacity(r, limit) < int64(len(r.Unit.Tasks)) {
		return math.Inf(1)
	}
	return limit
}

// fastCapacity returns how many tasks of the unit the usable workers up to a pace hold if
// they are empty.
func (s *state) fastCapacity(r *Request, limit float64) int64 {
	label, capacity := r.Unit.Step.GetRequiredLabel(), int64(0)
	for w := range s.workers {
		worker := &s.workers[w]
		if !worker.Usable || s.pace(w) > limit || worker.Service != r.Unit.Job.Spec.GetService() || label != "" && !worker.hasLabel(label) {
			continue
		}
		tasks := worker.Capacity.maxTasks(r.Need)
		if most := int64(r.Unit.Step.GetMaxPerWorker()); most > 0 {
			tasks = min(tasks, most)
		}
		capacity += tasks
	}
	return capacity
}

// paceCost ranks workers for a task of the unit by their pace, the fastest first. On a worker
// that takes twice as long it weighs as much as a whole free worker, in cores. On a busy
// cluster the units that leave fast workers to others take the slowest on which they still meet
// their objective.
func (s *state) paceCost(r *Request, w int) float64 {
	if !s.uneven || s.pace(w) <= s.fastPace*likePace {
		return 0 // workers of like pace are packed
	}
	cost := s.workers[w].Capacity.CoreEquivalents() * (s.pace(w) - s.fastPace)
	if s.leavesFast(r) && s.pace(w) <= r.objectivePace() {
		return -cost
	}
	return cost
}

// leavesFast reports whether the unit leaves fast workers to others: on a busy cluster
// those that are not urgent and meet their objective, or miss it, on any worker.
func (s *state) leavesFast(r *Request) bool {
	return s.busy && r.priority() > 0 && r.objectivePace() > s.fastPace*likePace
}

// paceBand is a range of paces.
type paceBand struct{ from, to float64 }

var anyPace = paceBand{0, math.Inf(1)}

// paceBands returns the ranges of paces in which a unit is tried, one after another: for a
// gang those of like pace, the preferred ones first, and then all (gangs whose slowest
// member holds the others back).
func (s *state) paceBands(r *Request) []paceBand {
	if !s.uneven || len(r.Unit.Tasks) < 2 {
		return []paceBand{anyPace}
	}
	bands := []paceBand{{0, s.fastPace * likePace}, {s.fastPace * likePace, math.Inf(1)}}
	if s.leavesFast(r) && r.objectivePace() >= s.slowest {
		slices.Reverse(bands)
	}
	return append(bands, anyPace)
}

func (b paceBand) has(pace float64) bool { return pace > b.from && pace <= b.to }
