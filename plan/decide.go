package plan

import (
	"cmp"
	"slices"
	"time"
)

const (
	// rackMaxWait is the longest time that a unit waits for its preferred rack while
	// it could run elsewhere, and crowdedRackMaxWait that on a crowded cluster.
	rackMaxWait        = 2500 * time.Millisecond
	crowdedRackMaxWait = 8 * time.Second
	// crowdedShare is the free share of the capacity below which a cluster is
	// crowded.
	crowdedShare = 0.4
	// urgentRackRatio is the number of racks of which one is set aside for urgent
	// units.
	urgentRackRatio = 4
	// urgentRackSlack is the slack above which a unit stays off the racks that are
	// set aside for urgent units.
	urgentRackSlack = 4 * time.Second
	// urgentRackMaxWait is how long it does so while at least half of the capacity
	// is free.
	urgentRackMaxWait = 2 * time.Second
	// rackWeight is the weight of the free resources of a worker's rack relative to
	// those of the worker itself in placementCost. It keeps whole racks free.
	rackWeight = 0.2
	// minRemaining is the least expected remaining time of a run that is not being
	// stopped. It applies to runs that have exceeded their declared run time.
	minRemaining = 400 * time.Millisecond
	// reservationStep is the resolution of the times at which reserveEarliest tries
	// to fit a unit.
	reservationStep = 200 * time.Millisecond
	// maxReservations is the highest number of units for which one decision calls
	// reserveEarliest. Holds do not count.
	maxReservations = 4
	// maxVisits is the number of workers and runs that the searches of a decision look at
	// before it frees and reserves no more room. It is some tens of milliseconds.
	maxVisits = 2 << 20
)

// Decide returns the units to start, the runs to preempt and the units for which
// resources are being freed. It does not change the input.
func Decide(in Input) Decision {
	_, d := decide(in)
	return d
}

// decide is Decide, and returns the state after the decision too.
func decide(in Input) (*state, Decision) {
	s := newState(in)
	requests := slices.Clone(in.Requests)
	var d Decision
	if in.OrderByCost {
		s.order = newCostOrder(&in)
	}
	if s.order != nil {
		d.Shortage = s.order.shortage
		s.order.sort(requests)
	} else {
		slices.SortStableFunc(requests, compareRequests)
	}
	s.requests = requests
	for i := range requests {
		s.restoreHold(&requests[i])
	}
	reservations := 0
	reservedFor := map[occurrence]bool{}
	for i := range requests {
		r := &requests[i]
		if workers, ok := s.fit(r, false); ok {
			s.allocate(r, workers)
			d.Starts = append(d.Starts, Assignment{Unit: r.Unit, Places: s.placesOf(workers)})
			continue
		}
		if r.waitsAlone() || s.small.noRoom[stepOfJob{r.Unit.Job, r.Unit.Tasks[0].Step}] && len(r.Held) == 0 {
			continue // stops and reservations would be of no use
		}
		stops, held := s.preempt(r)
		d.Stops = append(d.Stops, stops...)
		switch {
		case held != nil:
			d.Holds = append(d.Holds, Assignment{Unit: r.Unit, Places: s.placesOf(held)})
		case s.order != nil:
			// One reservation for each job: the other units of its step need the same.
			if reservations < s.reservationLimit() && s.order.mayReserve(r) && !reservedFor[r.occurrence()] {
				if s.reserveApart(r) {
					reservations++
				}
				reservedFor[r.occurrence()] = true
			}
		case reservations < s.reservationLimit():
			s.reserveEarliest(r)
			reservations++
		}
	}
	return s, d
}

// compareRequests orders requests by precedence: guaranteed units, units whose
// result can still be of use, units of priority 0, and units that can still meet
// their objective come first, in this order. The rest is decided by priority, by
// slack and by the time at which the job was accepted.
func compareRequests(a, b Request) int {
	rank := func(x bool) int {
		if x {
			return 0
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(rank(a.Guaranteed), rank(b.Guaranteed)),
		cmp.Compare(rank(a.DeadlineSlack > 0), rank(b.DeadlineSlack > 0)),
		cmp.Compare(rank(a.priority() == 0), rank(b.priority() == 0)),
		cmp.Compare(rank(a.Slack > 0), rank(b.Slack > 0)),
		cmp.Compare(a.priority(), b.priority()),
		cmp.Compare(a.Slack, b.Slack),
		cmp.Compare(a.Unit.Job.Spec.GetAcceptedUnixMs(), b.Unit.Job.Spec.GetAcceptedUnixMs()),
	)
}

func (r *Request) priority() int32 { return r.Unit.Job.Spec.GetPriority() }
