package plan

import (
	"cmp"
	"slices"
	"time"
)

const (
	// rackPatience is how long a unit waits at most for room on the right rack
	// while there is room elsewhere, and crowdedPatience while there is little.
	rackPatience    = 2500 * time.Millisecond
	crowdedPatience = 8 * time.Second
	// crowdedShare is the free share of all room below which there is little.
	crowdedShare = 0.4
	// keptRacks is the number of racks of which one is held open for urgent units.
	keptRacks = 4
	// keptSlack is the slack above which a unit leaves the emptiest rack to
	// urgent units.
	keptSlack = 4 * time.Second
	// keptPatience is how long it does so while most room is free.
	keptPatience = 2 * time.Second
	// rackWeight is what free room on a worker's rack counts against room on the
	// worker itself, so that whole racks stay open.
	rackWeight = 0.2
	// leastRemaining is the expected time to the end of a run that has outlived
	// its declared time.
	leastRemaining = 400 * time.Millisecond
	// reserveStep is how finely the times are told apart at which a unit that
	// waits may fit.
	reserveStep = 200 * time.Millisecond
	// maxReservations bounds the units for which room is kept free.
	maxReservations = 4
)

// Decide returns the starts and stops for the present state.
func Decide(in Input) Decision {
	s := newState(in)
	requests := slices.Clone(in.Requests)
	slices.SortStableFunc(requests, compareRequests)
	for i := range requests {
		s.holdEarlier(&requests[i])
	}
	var d Decision
	reserved := 0
	for i := range requests {
		r := &requests[i]
		if places, ok := s.fit(r, false); ok {
			s.take(r, places)
			d.Starts = append(d.Starts, Assignment{Unit: r.Unit, Places: s.placesOf(places)})
			continue
		}
		stops, held := s.makeRoom(r)
		d.Stops = append(d.Stops, stops...)
		switch {
		case held != nil:
			d.Holds = append(d.Holds, Assignment{Unit: r.Unit, Places: s.placesOf(held)})
		case reserved < maxReservations:
			s.reserve(r)
			reserved++
		}
	}
	return d
}

// compareRequests orders units: guarantees, then priority, then those that can
// still meet their objective, the most pressing first.
func compareRequests(a, b Request) int {
	first := func(x bool) int {
		if x {
			return 0
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(first(a.Reclaims), first(b.Reclaims)),
		cmp.Compare(first(a.Lateness > 0), first(b.Lateness > 0)),
		cmp.Compare(first(a.priority() == 0), first(b.priority() == 0)),
		cmp.Compare(first(a.Slack > 0), first(b.Slack > 0)),
		cmp.Compare(a.priority(), b.priority()),
		cmp.Compare(a.Slack, b.Slack),
		cmp.Compare(a.Unit.Job.Spec.GetAcceptedUnixMs(), b.Unit.Job.Spec.GetAcceptedUnixMs()),
	)
}

func (r *Request) priority() int32 { return r.Unit.Job.Spec.GetPriority() }
