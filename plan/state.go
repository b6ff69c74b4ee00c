package plan

import (
	"cmp"
	"slices"
	"time"

	"catkinpoint/graph"
)

// state is the room that is left while a decision is made.
type state struct {
	in Input
	// workers are those of the input; free has the room that is left on them.
	workers []Worker
	index   map[graph.Place]int
	free    []Amount
	// racks has the workers of each rack, by the order of the racks' names, and
	// rackOf the rack of each worker.
	racks     [][]int
	rackIndex map[string]int
	rackOf    []int
	// rackRoom is the free cores on the usable workers of a rack.
	rackRoom []float64
	// kept tells which racks are held open for urgent units.
	kept []bool
	// reserved keeps room on each worker for units that do not fit yet.
	reserved [][]reservation
	// on has the running work of each worker, and stopping what is being
	// stopped, by index of Running.
	on       [][]int
	stopping []bool
	// ending has the running work by its expected end; nil after a stop.
	ending []int
	// groups is the running work that may be stopped, nil until it is needed, and
	// groupsOn those of each worker, the cheapest first.
	groups   []group
	groupsOn [][]groupOn
	// room and slots are the scratch space of a choice, and search its number.
	room   []Amount
	slots  []slot
	search int
	// started counts the tasks of a step that this decision starts on a worker.
	started map[stepOn]int32
	// tried tells which workers on trial have got their task.
	tried []bool
	// refused are requests that fit nowhere in the room that is left.
	refused []*Request
	// hopeless are requests for which no stop makes room.
	hopeless []*Request
	// all has the index of each worker.
	all []int
	// fits, left, used and after are scratch space.
	fits  []int
	left  []Amount
	used  []int32
	after []Amount
	// busy tells whether more than half of the room was taken at the start, and
	// crowded whether little was free.
	busy, crowded bool
}

// stepOn is a step of one occurrence of a job on one worker.
type stepOn struct {
	job        *graph.Job
	occurrence int32
	step       int32
	worker     int
}

func newState(in Input) *state {
	n := len(in.Workers)
	s := &state{
		in: in, workers: in.Workers, index: make(map[graph.Place]int, n), free: make([]Amount, n),
		rackIndex: map[string]int{}, rackOf: make([]int, n), reserved: make([][]reservation, n),
		on: make([][]int, n), stopping: make([]bool, len(in.Running)), started: map[stepOn]int32{},
		all: make([]int, n), tried: make([]bool, n), left: make([]Amount, n), used: make([]int32, n), after: make([]Amount, n),
	}
	for i, w := range s.workers {
		s.all[i], s.free[i] = i, w.Free
		s.index[w.Place] = i
	}
	s.sortRacks()
	for i := range in.Running {
		s.stopping[i] = in.Running[i].Stopping
		if w, ok := s.index[in.Running[i].At]; ok {
			s.on[w] = append(s.on[w], i)
		}
	}
	free := s.freeShare()
	s.kept, s.busy, s.crowded = s.emptiestRacks(), free < 0.5, free < crowdedShare
	return s
}

// sortRacks numbers the racks by their names.
func (s *state) sortRacks() {
	members := map[string][]int{}
	for i, w := range s.workers {
		members[w.Rack] = append(members[w.Rack], i)
	}
	names := sortedKeys(members)
	s.racks, s.rackRoom = make([][]int, len(names)), make([]float64, len(names))
	for rack, name := range names {
		s.rackIndex[name], s.racks[rack] = rack, members[name]
		for _, w := range members[name] {
			s.rackOf[w] = rack
			if s.workers[w].Usable {
				s.rackRoom[rack] += s.free[w].Cores()
			}
		}
	}
}

// emptiestRacks returns the racks with the most free room on usable workers:
// one in keptRacks, and none if there is only one rack.
func (s *state) emptiestRacks() []bool {
	kept := make([]bool, len(s.racks))
	if len(s.racks) < 2 {
		return kept
	}
	racks := make([]int, len(s.racks))
	for i := range racks {
		racks[i] = i
	}
	slices.SortStableFunc(racks, func(a, b int) int { return cmp.Compare(s.rackRoom[b], s.rackRoom[a]) })
	for _, rack := range racks[:(len(racks)+keptRacks-1)/keptRacks] {
		kept[rack] = s.rackRoom[rack] > 0
	}
	return kept
}

// leaves tells whether a unit leaves a rack to urgent units for now. Work whose
// data is there does not, nor, unless urgent units have just had to wait, work
// with little time to spare; and nothing waits for long while half of all room
// is free.
func (s *state) leaves(r *Request, rack int) bool {
	switch {
	case !s.kept[rack] || r.priority() == 0 || s.holdsData(r, rack):
		return false
	case s.busy && s.in.Pressed:
		return true
	case r.Slack <= keptSlack:
		return false
	}
	return s.busy || r.Ready < keptPatience
}

// holdsData tells whether a rack has the unit's data.
func (s *state) holdsData(r *Request, rack int) bool {
	name := r.Unit.Step.GetDataRack()
	if name == "" {
		return false
	}
	at, ok := s.rackIndex[name]
	return ok && at == rack
}

// freeShare returns the free share of the room on usable workers.
func (s *state) freeShare() float64 {
	free, all := 0.0, 0.0
	for i := range s.workers {
		if s.workers[i].Usable {
			free += s.free[i].Cores()
			all += s.workers[i].Capacity.Cores()
		}
	}
	if all == 0 {
		return 1
	}
	return free / all
}

func (s *state) placesOf(workers []int) []graph.Place {
	places := make([]graph.Place, len(workers))
	for i, w := range workers {
		places[i] = s.workers[w].Place
	}
	return places
}

// take gives the unit's tasks their room.
func (s *state) take(r *Request, workers []int) {
	s.release(r)
	first := r.Unit.Tasks[0]
	for _, w := range workers {
		s.free[w] = s.free[w].Minus(r.Need)
		s.rackRoom[s.rackOf[w]] -= r.Need.Cores()
		s.started[stepOn{r.Unit.Job, first.Occurrence, first.Step, w}]++
		s.tried[w] = true
	}
}

// remaining returns the expected time to the end of running work.
func (s *state) remaining(i int) time.Duration {
	if s.stopping[i] {
		return 0
	}
	return max(s.in.Running[i].Remaining, leastRemaining)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
