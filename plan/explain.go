package plan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"catkinpoint/graph"
)

// Outcome says what a decision does with a unit.
type Outcome int

// Outcomes.
const (
	// StartsNow means that the unit starts.
	StartsNow Outcome = iota
	// WaitsForStops means that runs are being stopped to free resources for the unit.
	WaitsForStops
	// WaitsForRoom means that the unit waits until enough runs have ended.
	WaitsForRoom
	// NeverFits means that the unit would not fit on the usable workers even if they were
	// empty.
	NeverFits
)

// String returns the outcome as operators see it.
func (o Outcome) String() string {
	return [...]string{"starts now", "waits for stops", "waits for room", "does not fit"}[o]
}

// Obstacle is the reason for which a worker takes no task of a unit now.
type Obstacle string

// Obstacles, in the order in which they are looked for.
const (
	OtherService  Obstacle = "serves another service"
	NotUsable     Obstacle = "takes no starts: drains, is banned, evacuated or not heard of"
	LacksLabel    Obstacle = "lacks the required label"
	SetAside      Obstacle = "rack is set aside for urgent work"
	FailedBefore  Obstacle = "on trial or avoided after failures"
	KeptApart     Obstacle = "kept apart from work that may crash its worker"
	TooSmall      Obstacle = "too small even when empty"
	NoRoom        Obstacle = "too little free room"
	ReservedRoom  Obstacle = "free room is reserved for other work"
	TooFewOfThese Obstacle = "has room, but too few workers have"
)

// Explanation says what a decision does with one unit and why.
type Explanation struct {
	Unit    graph.Unit
	Outcome Outcome
	// Places are the workers of the unit, one for each task, now or when it is expected to
	// fit.
	Places []graph.Place
	// ExpectedIn is the expected time until the unit fits; 0 if it starts now, and also if
	// the time is not known, in which case Places is empty.
	ExpectedIn time.Duration
	// Stops are the runs that this decision stops for the unit.
	Stops []Stop
	// Ahead is the number of units that come before this one and do not start now.
	Ahead int
	// Obstacles counts the workers by what keeps the unit from them, the most frequent
	// first. It is empty if the unit starts now.
	Obstacles []ObstacleCount
}

// ObstacleCount is the number of workers with the same obstacle.
type ObstacleCount struct {
	Obstacle Obstacle
	Workers  int
}

// Explain returns what Decide does with the units of a job that are among the input's
// requests, in the order in which it considers them.
func Explain(in Input, job *graph.Job) []Explanation {
	s, d := decide(in)
	var explanations []Explanation
	ahead := 0
	for i := range s.requests {
		r := &s.requests[i]
		starts := slices.ContainsFunc(d.Starts, func(a Assignment) bool { return sameUnit(a.Unit, r.Unit) })
		if r.Unit.Job == job {
			e := s.explain(r, d)
			e.Ahead = ahead
			explanations = append(explanations, e)
		}
		if !starts {
			ahead++
		}
	}
	return explanations
}

func sameUnit(a, b graph.Unit) bool { return a.Job == b.Job && a.Tasks[0] == b.Tasks[0] }

// explain returns what the decision does with a unit. The state is that after the decision.
func (s *state) explain(r *Request, d Decision) Explanation {
	e := Explanation{Unit: r.Unit}
	for _, a := range d.Starts {
		if sameUnit(a.Unit, r.Unit) {
			e.Places = a.Places
			return e
		}
	}
	for _, stop := range d.Stops {
		if sameUnit(stop.Preemptor, r.Unit) {
			e.Stops = append(e.Stops, stop)
		}
	}
	e.Obstacles = s.obstacles(r)
	for _, a := range d.Holds {
		if sameUnit(a.Unit, r.Unit) {
			e.Outcome, e.Places, e.ExpectedIn = WaitsForStops, a.Places, stopDelay
			return e
		}
	}
	workers, from, ok := s.earliestFit(r)
	switch {
	case !ok && fitsEmptyWorkers(s.workers, r):
		// It waits for the ends of runs that this decision starts, or for other reasons.
		e.Outcome = WaitsForRoom
		return e
	case !ok:
		e.Outcome = NeverFits
		return e
	}
	e.Outcome, e.Places, e.ExpectedIn = WaitsForRoom, s.placesOf(workers), from
	return e
}

// obstacles counts the workers by what keeps the unit from them.
func (s *state) obstacles(r *Request) []ObstacleCount {
	counts := map[Obstacle]int{}
	for w := range s.workers {
		counts[s.obstacle(r, w)]++
	}
	list := make([]ObstacleCount, 0, len(counts))
	for _, obstacle := range slices.Sorted(maps.Keys(counts)) {
		list = append(list, ObstacleCount{obstacle, counts[obstacle]})
	}
	slices.SortStableFunc(list, func(a, b ObstacleCount) int { return cmp.Compare(b.Workers, a.Workers) })
	return list
}

// obstacle returns what keeps the unit from a worker. It looks at what eligible and
// fitAmong look at, in the same order.
func (s *state) obstacle(r *Request, w int) Obstacle {
	worker := &s.workers[w]
	label := r.Unit.Step.GetRequiredLabel()
	switch {
	case worker.Service != r.Unit.Job.Spec.GetService():
		return OtherService
	case !worker.Usable:
		return NotUsable
	case label != "" && !worker.hasLabel(label):
		return LacksLabel
	case !worker.Capacity.Covers(r.Need):
		return TooSmall
	case s.avoidsRack(r, s.rackOf[w]):
		return SetAside
	case !s.allowsDespiteFailures(r, w):
		return FailedBefore
	case !s.keepsApart(r, w):
		return KeptApart
	case !s.free[w].Covers(r.Need):
		return NoRoom
	case !s.respectsReservations(r, w, s.free[w]):
		return ReservedRoom
	}
	return TooFewOfThese
}
