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
	racks   map[string][]int
	// reservations keep room for units that do not fit yet.
	reservations []reservation
	// on has the running work of each worker, and stopping what is being
	// stopped, by index of Running.
	on       [][]int
	stopping []bool
	// rackRoom is the free cores on the usable workers of a rack.
	rackRoom map[string]float64
	// started counts the tasks of a step that this decision starts on a worker.
	started map[stepOn]int32
	// free is the room that is left on each worker.
	free []Amount
	// refused are requests that fit nowhere in the room that is left.
	refused []*Request
	// all has the index of each worker.
	all []int
	// fits, left and used are the scratch space of fitAmong.
	fits []int
	left []Amount
	used []int32
	// kept are the racks that are held open for urgent units.
	kept map[string]bool
	// busy tells whether more than half of the room was taken at the start.
	busy bool
}

// stepOn is a step of one occurrence of a job on one worker.
type stepOn struct {
	job        *graph.Job
	occurrence int32
	step       int32
	worker     int
}

// reservation keeps room on a worker from a time on.
type reservation struct {
	owner  *Request
	worker int
	need   Amount
	from   time.Duration
}

func newState(in Input) *state {
	s := &state{
		in: in, workers: in.Workers, index: map[graph.Place]int{}, racks: map[string][]int{},
		on: make([][]int, len(in.Workers)), stopping: make([]bool, len(in.Running)),
		rackRoom: map[string]float64{}, started: map[stepOn]int32{},
		free: make([]Amount, len(in.Workers)), all: make([]int, len(in.Workers)),
		left: make([]Amount, len(in.Workers)), used: make([]int32, len(in.Workers)),
	}
	for i, w := range s.workers {
		s.all[i], s.free[i] = i, w.Free
		s.index[w.Place] = i
		s.racks[w.Rack] = append(s.racks[w.Rack], i)
		if w.Usable {
			s.rackRoom[w.Rack] += w.Free.Cores()
		}
	}
	for i := range in.Running {
		s.stopping[i] = in.Running[i].Stopping
		if w, ok := s.index[in.Running[i].At]; ok {
			s.on[w] = append(s.on[w], i)
		}
	}
	s.kept, s.busy = s.emptiestRacks(), s.mostlyBusy()
	return s
}

// emptiestRacks returns the racks with the most free room on usable workers:
// one in keptRacks, and none if there is only one rack.
func (s *state) emptiestRacks() map[string]bool {
	if len(s.racks) < 2 {
		return nil
	}
	racks := sortedKeys(s.racks)
	slices.SortStableFunc(racks, func(a, b string) int { return cmp.Compare(s.rackRoom[b], s.rackRoom[a]) })
	kept := map[string]bool{}
	for _, rack := range racks[:(len(racks)+keptRacks-1)/keptRacks] {
		if s.rackRoom[rack] > 0 {
			kept[rack] = true
		}
	}
	return kept
}

// leaves tells whether a unit leaves a rack to urgent units for now. Work whose
// data is there does not, and nothing waits for long while half of all room is
// free.
func (s *state) leaves(r *Request, rack string) bool {
	if !s.kept[rack] || r.priority() == 0 || r.Slack <= keptSlack || r.Unit.Step.GetDataRack() == rack {
		return false
	}
	return r.Ready < keptPatience || s.busy
}

// mostlyBusy tells whether more than half of the room on usable workers is taken.
func (s *state) mostlyBusy() bool {
	free, all := 0.0, 0.0
	for i := range s.workers {
		if s.workers[i].Usable {
			free += s.free[i].Cores()
			all += s.workers[i].Capacity.Cores()
		}
	}
	return free < all/2
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
		s.rackRoom[s.workers[w].Rack] -= r.Need.Cores()
		s.started[stepOn{r.Unit.Job, first.Occurrence, first.Step, w}]++
	}
}

// fit finds workers for all tasks of the unit, one for each, in the room that
// is free now. With anywhere set, the unit does not wait for its rack.
func (s *state) fit(r *Request, anywhere bool) ([]int, bool) {
	for _, f := range s.refused {
		if s.tighter(r, f) {
			return nil, false
		}
	}
	found, ok := s.fitInto(r, s.free, anywhere)
	if !ok && !anywhere && !r.patient() && len(r.Held) == 0 {
		s.refused = append(s.refused, r)
	}
	return found, ok
}

// tighter tells whether r fits nowhere if f, which looked at all workers, does
// not: room is only taken while requests are looked at.
func (s *state) tighter(r, f *Request) bool {
	rs, fs := r.Unit.Step, f.Unit.Step
	return len(r.Held) == 0 && r.Need.Covers(f.Need) && len(r.Unit.Tasks) >= len(f.Unit.Tasks) && r.Duration >= f.Duration &&
		s.leavesNoLess(r, f) && r.Unit.Job.Spec.GetService() == f.Unit.Job.Spec.GetService() &&
		(fs.GetRequiredLabel() == "" || fs.GetRequiredLabel() == rs.GetRequiredLabel()) &&
		(fs.GetMaxPerWorker() == 0 || fs == rs && r.Unit.Tasks[0].Occurrence == f.Unit.Tasks[0].Occurrence)
}

// leavesNoLess tells whether r leaves each rack to urgent units that f leaves.
func (s *state) leavesNoLess(r, f *Request) bool {
	for rack := range s.kept {
		if s.leaves(f, rack) && !s.leaves(r, rack) {
			return false
		}
	}
	return true
}

// patient tells whether the unit still waits for room on the right rack.
func (r *Request) patient() bool {
	step := r.Unit.Step
	racked := step.GetDataRack() != "" || step.GetGang() && step.GetSameRack() && step.GetCount() > 1
	return racked && r.Ready < rackPatience && r.Slack > 0
}

// fitInto is fit with the given room on each worker.
func (s *state) fitInto(r *Request, free []Amount, anywhere bool) ([]int, bool) {
	step := r.Unit.Step
	patient := !anywhere && r.patient()
	if rack := step.GetDataRack(); rack != "" && len(s.racks[rack]) > 0 {
		if found, ok := s.fitAmong(r, s.racks[rack], free); ok {
			return found, true
		}
		if patient {
			return nil, false
		}
	}
	if step.GetGang() && step.GetSameRack() && step.GetCount() > 1 {
		if found, ok := s.fitOneRack(r, free); ok {
			return found, true
		}
		if patient && s.rackCouldHold(r) {
			return nil, false
		}
	}
	return s.fitAmong(r, nil, free)
}

// rackCouldHold tells whether some rack would hold the gang if it were empty.
func (s *state) rackCouldHold(r *Request) bool {
	for _, members := range s.racks {
		fits := int64(0)
		for _, w := range members {
			if worker := &s.workers[w]; worker.Usable && worker.Service == r.Unit.Job.Spec.GetService() {
				fits += worker.Capacity.holds(r.Need)
			}
		}
		if fits >= int64(len(r.Unit.Tasks)) {
			return true
		}
	}
	return false
}

// fitOneRack finds the rack that the gang fills best.
func (s *state) fitOneRack(r *Request, free []Amount) ([]int, bool) {
	var best []int
	bestLeft := 0.0
	for _, rack := range sortedKeys(s.racks) {
		members := s.racks[rack]
		found, ok := s.fitAmong(r, members, free)
		if !ok {
			continue
		}
		left := 0.0
		for _, w := range members {
			left += free[w].Cores()
		}
		for _, w := range found {
			left += slowCost * max(0, s.workers[w].Slowness-1)
		}
		if best == nil || left < bestLeft {
			best, bestLeft = found, left
		}
	}
	return best, best != nil
}

// slowCost is how many cores left over count as much as a worker that takes
// twice as long.
const slowCost = 64

// fitAmong finds workers among the given ones; nil means all.
func (s *state) fitAmong(r *Request, among []int, free []Amount) ([]int, bool) {
	if among == nil {
		among = s.all
	}
	limited := r.Unit.Step.GetMaxPerWorker() > 0
	if limited {
		s.countUsed(r)
	}
	s.fits = s.fits[:0]
	for _, w := range among {
		if s.suits(r, w) && free[w].Covers(r.Need) {
			s.fits = append(s.fits, w)
			s.left[w] = free[w]
		}
	}
	found := make([]int, 0, len(r.Unit.Tasks))
	for range r.Unit.Tasks {
		best, bestCost := -1, 0.0
		for _, w := range s.fits {
			if !s.left[w].Covers(r.Need) || limited && s.used[w] >= r.Unit.Step.GetMaxPerWorker() {
				continue
			}
			cost := s.cost(w, s.left[w].Minus(r.Need))
			if (best < 0 || cost < bestCost) && s.leavesReserved(r, w, s.left[w]) {
				best, bestCost = w, cost
			}
		}
		if best < 0 {
			return nil, false
		}
		s.left[best] = s.left[best].Minus(r.Need)
		s.used[best]++
		found = append(found, best)
	}
	return found, true
}

// countUsed counts the tasks of the unit's step that hold each worker.
func (s *state) countUsed(r *Request) {
	first := r.Unit.Tasks[0]
	for w := range s.workers {
		s.used[w] = s.started[stepOn{r.Unit.Job, first.Occurrence, first.Step, w}]
	}
	for _, t := range r.Unit.Job.Active() {
		if t.Ref.Step == first.Step && t.Ref.Occurrence == first.Occurrence {
			if w, ok := s.index[t.Place]; ok {
				s.used[w]++
			}
		}
	}
}

// suits tells whether the unit may run on a worker, whatever room there is.
func (s *state) suits(r *Request, w int) bool {
	worker := &s.workers[w]
	label := r.Unit.Step.GetRequiredLabel()
	return worker.Usable && worker.Service == r.Unit.Job.Spec.GetService() &&
		(label == "" || worker.hasLabel(label)) && !s.leaves(r, worker.Rack)
}

// leavesReserved tells whether the reservations on a worker survive a start.
func (s *state) leavesReserved(r *Request, w int, room Amount) bool {
	after := room.Minus(r.Need)
	for _, kept := range s.reservations {
		if kept.worker != w || kept.owner == r || r.Duration <= kept.from {
			continue
		}
		if !s.freeAt(w, after, kept.from).Covers(kept.need) {
			return false
		}
	}
	return true
}

// freeAt returns the room on a worker at a later time, as far as running work
// is expected to have ended.
func (s *state) freeAt(w int, room Amount, at time.Duration) Amount {
	for _, i := range s.on[w] {
		if s.remaining(i) <= at {
			room = room.Plus(s.in.Running[i].Need)
		}
	}
	return room
}

// remaining returns the expected time to the end of running work.
func (s *state) remaining(i int) time.Duration {
	if s.stopping[i] {
		return 0
	}
	return max(s.in.Running[i].Remaining, leastRemaining)
}

// cost is low for workers that the task fills well and for fast ones.
func (s *state) cost(w int, after Amount) float64 {
	return after.Cores() + rackWeight*s.rackRoom[s.workers[w].Rack] + slowCost*max(0, s.workers[w].Slowness-1)
}

// reserve keeps the room where the unit fits soonest.
func (s *state) reserve(r *Request) {
	order := make([]int, len(s.in.Running))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(s.remaining(a), s.remaining(b)) })
	free := slices.Clone(s.free)
	for n, i := range order {
		run := &s.in.Running[i]
		w, ok := s.index[run.At]
		if !ok {
			continue
		}
		free[w] = free[w].Plus(run.Need)
		// The fit is tried at a few moments, not after each end.
		if n+1 < len(order) && s.remaining(order[n+1])/reserveStep == s.remaining(i)/reserveStep {
			continue
		}
		if found, ok := s.fitInto(r, free, false); ok {
			s.keep(r, found, s.remaining(i))
			return
		}
	}
}

// keep holds room for a unit on workers, one entry for each task.
func (s *state) keep(r *Request, workers []int, from time.Duration) {
	byWorker := map[int]Amount{}
	for _, w := range workers {
		byWorker[w] = byWorker[w].Plus(r.Need)
	}
	for _, w := range sortedKeys(byWorker) {
		s.reservations = append(s.reservations, reservation{owner: r, worker: w, need: byWorker[w], from: from})
	}
}

// release drops what is kept for a unit.
func (s *state) release(r *Request) {
	n := len(s.reservations)
	s.reservations = slices.DeleteFunc(s.reservations, func(kept reservation) bool { return kept.owner == r })
	if len(s.reservations) < n {
		s.refused = nil // others may use the room now
	}
}

// holdEarlier keeps the room that an earlier decision makes for a unit, so that
// no other unit takes it while it becomes free piece by piece.
func (s *state) holdEarlier(r *Request) {
	if len(r.Held) != len(r.Unit.Tasks) {
		return
	}
	workers := make([]int, len(r.Held))
	for i, p := range r.Held {
		w, ok := s.index[p]
		if !ok || !s.workers[w].Usable {
			return
		}
		workers[i] = w
	}
	s.keep(r, workers, 0)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
