package plan

import (
	"cmp"
	"slices"
	"time"

	"catkinpoint/graph"
)

// state is the working state of one decision. Workers, racks, runs and victims
// are identified by their indices.
type state struct {
	input Input
	// requests are those of the input in the order in which the decision considers them.
	requests []Request
	// workers are those of the input, workerIndex their indices, and free the
	// resources that this decision has not taken yet.
	workers     []Worker
	workerIndex map[graph.Place]int
	free        []Resources
	// racks has the workers of each rack, with the racks sorted by name, rackIndex
	// the index of each rack's name, and rackOf the rack of each worker.
	racks     [][]int
	rackIndex map[string]int
	rackOf    []int
	// rackFree has the free core equivalents on the usable workers of each rack.
	rackFree []float64
	// urgentRacks marks the racks that are set aside for urgent units.
	urgentRacks []bool
	// reserved has the reservations on each worker for units that do not fit yet.
	reserved [][]reservation
	// runsOn has the runs on each worker, and stopping marks the runs that are
	// being stopped.
	runsOn   [][]int
	stopping []bool
	// sortedRuns caches the result of runsByEnd; it is nil after a stop.
	sortedRuns []int
	// victims are the gangs and tasks that may be preempted, and victimsOn those on
	// each worker, the cheapest first. Both are nil until listVictims is called.
	victims   []victim
	victimsOn [][]victimOnWorker
	// simFree and slots are scratch space of a victimSearch, by worker, and
	// searchNumber is the number of the current search.
	simFree      []Resources
	slots        []slot
	searchNumber int
	// started counts the tasks of a step that this decision starts on a worker.
	started map[stepOnWorker]int32
	// gotTask marks the workers on which this decision has started a task.
	gotTask []bool
	// isolated marks those on which it has started a unit that runs apart from others.
	isolated []bool
	// noFit are requests that fit nowhere in the free resources. Without a search,
	// fit rejects a request that is at least as hard as one of them.
	noFit []*Request
	// noVictims are requests for which no preemption frees enough resources. preempt
	// uses them like noFit.
	noVictims []*Request
	// allWorkers has the index of each worker.
	allWorkers []int
	// candidates and leftover are scratch space of fitAmong; stepTasks is set by
	// countStepTasks, and freeAfter by freeAfterStops.
	candidates []int
	leftover   []Resources
	stepTasks  []int32
	freeAfter  []Resources
	// busy reports whether less than half of the capacity of usable workers was
	// free at the start of the decision, and crowded whether less than
	// crowdedShare of it was.
	busy, crowded bool
	// fastPace, slowest and uneven are set by measurePaces.
	fastPace, slowest float64
	uneven            bool
	// order is the order by cost, or nil if room is not short.
	order *costOrder
	// small has the small runs on the workers.
	small smallCounts
	// visits counts the workers and runs that searches have looked at; see maxVisits.
	visits int
	// paceLimits caches the results of computePaceLimit.
	paceLimits map[*Request]float64
}

// stepOnWorker identifies a step of one occurrence of a job on one worker.
type stepOnWorker struct {
	job        *graph.Job
	occurrence int32
	step       int32
	worker     int
}

func newState(in Input) *state {
	n := len(in.Workers)
	s := &state{
		input: in, workers: in.Workers, workerIndex: make(map[graph.Place]int, n), free: make([]Resources, n),
		rackIndex: map[string]int{}, rackOf: make([]int, n), reserved: make([][]reservation, n),
		runsOn: make([][]int, n), stopping: make([]bool, len(in.Running)), started: map[stepOnWorker]int32{}, paceLimits: map[*Request]float64{},
		allWorkers: make([]int, n), gotTask: make([]bool, n), isolated: make([]bool, n), leftover: make([]Resources, n), stepTasks: make([]int32, n), freeAfter: make([]Resources, n),
		small: smallCounts{total: make([]int, n), byCustomer: map[customerOnWorker]int{}, byJob: map[jobOnWorker]int{}, noRoom: map[stepOfJob]bool{}, wide: map[stepOfJob]bool{}, left: make([]int, n)},
	}
	for i, w := range s.workers {
		s.allWorkers[i], s.free[i] = i, w.Free
		s.workerIndex[w.Place] = i
	}
	s.sortRacks()
	for i := range in.Running {
		s.stopping[i] = in.Running[i].Stopping
		if w, ok := s.workerIndex[in.Running[i].Place]; ok {
			s.runsOn[w] = append(s.runsOn[w], i)
			s.countSmall(in.Running[i].Job, in.Running[i].Ref, in.Running[i].Need, w)
		}
	}
	s.measurePaces()
	free := s.freeShare()
	s.urgentRacks, s.busy, s.crowded = s.emptiestRacks(), free < 0.5, free < crowdedShare
	return s
}

// sortRacks numbers the racks in the order of their names and sums up their free
// resources.
func (s *state) sortRacks() {
	byRack := map[string][]int{}
	for i, w := range s.workers {
		byRack[w.Rack] = append(byRack[w.Rack], i)
	}
	names := sortedKeys(byRack)
	s.racks, s.rackFree = make([][]int, len(names)), make([]float64, len(names))
	for rack, name := range names {
		s.rackIndex[name], s.racks[rack] = rack, byRack[name]
		for _, w := range byRack[name] {
			s.rackOf[w] = rack
			if s.workers[w].Usable {
				s.rackFree[rack] += s.free[w].CoreEquivalents()
			}
		}
	}
}

// emptiestRacks marks the racks with the most free resources on usable workers:
// one in urgentRackRatio, rounded up, and none if there is only one rack.
func (s *state) emptiestRacks() []bool {
	emptiest := make([]bool, len(s.racks))
	if len(s.racks) < 2 {
		return emptiest
	}
	racks := make([]int, len(s.racks))
	for i := range racks {
		racks[i] = i
	}
	slices.SortStableFunc(racks, func(a, b int) int { return cmp.Compare(s.rackFree[b], s.rackFree[a]) })
	for _, rack := range racks[:(len(racks)+urgentRackRatio-1)/urgentRackRatio] {
		emptiest[rack] = s.rackFree[rack] > 0
	}
	return emptiest
}

// avoidsRack reports whether a unit stays off a rack for now because the rack is
// set aside for urgent units. Units whose data is on the rack may use it, and so
// may units with little slack, unless the cluster is busy and urgent units have
// recently had to wait. On a cluster that is not busy, no unit avoids the rack for
// longer than urgentRackMaxWait.
func (s *state) avoidsRack(r *Request, rack int) bool {
	switch {
	case !s.urgentRacks[rack] || r.priority() == 0 || s.holdsData(r, rack) || s.order.sharesUrgentRacks(r):
		return false
	case s.busy && s.input.UrgentWaitedRecently:
		return true
	case r.Slack <= urgentRackSlack:
		return false
	}
	return s.busy || r.ReadyFor < urgentRackMaxWait
}

// holdsData reports whether the unit's data is on the rack.
func (s *state) holdsData(r *Request, rack int) bool {
	name := r.Unit.Step.GetDataRack()
	if name == "" {
		return false
	}
	dataRack, ok := s.rackIndex[name]
	return ok && dataRack == rack
}

// freeShare returns the share of the capacity of usable workers that is free, or
// 1 if no worker is usable.
func (s *state) freeShare() float64 {
	free, capacity := 0.0, 0.0
	for i := range s.workers {
		if s.workers[i].Usable {
			free += s.free[i].CoreEquivalents()
			capacity += s.workers[i].Capacity.CoreEquivalents()
		}
	}
	if capacity == 0 {
		return 1
	}
	return free / capacity
}

func (s *state) placesOf(workers []int) []graph.Place {
	places := make([]graph.Place, len(workers))
	for i, w := range workers {
		places[i] = s.workers[w].Place
	}
	return places
}

// allocate takes the resources of the unit's tasks on the given workers, one for
// each task, and drops the unit's reservations.
func (s *state) allocate(r *Request, workers []int) {
	s.releaseReservations(r)
	first := r.Unit.Tasks[0]
	for _, w := range workers {
		s.free[w] = s.free[w].Sub(r.Need)
		s.rackFree[s.rackOf[w]] -= r.Need.CoreEquivalents()
		s.started[stepOnWorker{r.Unit.Job, first.Occurrence, first.Step, w}]++
		s.gotTask[w] = true
		s.countSmall(r.Unit.Job, first, r.Need, w)
		s.isolated[w] = s.isolated[w] || r.Isolated
	}
}

// remaining returns the expected time until a run ends: 0 if it is being stopped,
// and at least minRemaining otherwise.
func (s *state) remaining(i int) time.Duration {
	if s.stopping[i] {
		return 0
	}
	return max(s.input.Running[i].Remaining, minRemaining)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
