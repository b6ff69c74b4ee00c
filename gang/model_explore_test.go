package gang

import (
	"fmt"
	"hash/maphash"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"catkinpoint/wire"
)

var fingerprintSeeds = [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()}

// fingerprint identifies a state by two independent hashes.
type fingerprint [2]uint64

func (w *world) fingerprint() fingerprint {
	return fingerprint{maphash.Comparable(fingerprintSeeds[0], *w), maphash.Comparable(fingerprintSeeds[1], *w)}
}

// initialWorld returns the state in which the first scheduler begins its first
// attempt.
func (cfg *modelConfig) initialWorld() *world {
	w := &world{faults: cfg.faults, cancels: cfg.cancels}
	if cfg.recorded {
		w.record = record{phase: recordAccepted, revision: 1}
		w.schedulers[0].revision = 1
	}
	for rank := range cfg.members {
		w.agents[rank] = agentState{up: true, boot: 1, permitLeft: cfg.permitUnits}
	}
	cfg.beginAttempt(w, 0, 0)
	return w
}

// searchResult is the outcome of an exploration.
type searchResult struct {
	states    int
	depth     int
	violation property
	trace     []string // steps that lead to the violation, and its state
	complete  bool     // neither a violation nor the limit of states ended the search
}

const (
	visitedShards = 256
	searchWorkers = 4
)

// visited is a set of fingerprints that is safe for concurrent use.
type visited [visitedShards]struct {
	mu  sync.Mutex
	set map[fingerprint]struct{}
}

func newVisited() *visited {
	v := &visited{}
	for i := range v {
		v[i].set = make(map[fingerprint]struct{})
	}
	return v
}

// add adds the fingerprint and reports whether it is new.
func (v *visited) add(f fingerprint) bool {
	s := &v[f[0]%visitedShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.set[f]; ok {
		return false
	}
	s.set[f] = struct{}{}
	return true
}

func (v *visited) contains(f fingerprint) bool {
	s := &v[f[0]%visitedShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.set[f]
	return ok
}

// searchNode is a state together with the steps that lead to it.
type searchNode struct {
	world   world
	path    *pathStep // steps to the predecessor
	ordinal uint16    // number of the step from the predecessor, from 1; 0 for the first state
}

// pathStep is the last step to a state. The linked steps before it are shared by
// all paths that begin with them.
type pathStep struct {
	previous *pathStep
	ordinal  uint16 // number of the step among the successors of its state, from 1
}

// search is an exploration in progress.
type search struct {
	*modelConfig
	// terminating holds the states from which the attempt is known to end if no
	// further fault occurs.
	visited, terminating *visited
	limit                int
	count                atomic.Int64
	mu                   sync.Mutex
	result               searchResult
}

// explore visits every reachable state breadth first, up to limit states.
func (cfg *modelConfig) explore(limit int) searchResult {
	s := &search{modelConfig: cfg, visited: newVisited(), terminating: newVisited(), limit: limit}
	start := cfg.initialWorld()
	s.visited.add(start.fingerprint())
	s.count.Store(1)
	level := []searchNode{{world: *start}}
	depth := 0
	for ; len(level) > 0 && !s.stopped() && (cfg.depth == 0 || depth < cfg.depth); depth++ {
		level = s.expandLevel(level)
	}
	s.result.states, s.result.depth = int(s.count.Load()), depth
	s.result.complete = !s.stopped()
	return s.result
}

// stopped reports whether a violation was found or the limit of states is reached.
func (s *search) stopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.result.violation != noViolation || s.count.Load() >= int64(s.limit)
}

// expandLevel returns the new successors of all states of a level.
func (s *search) expandLevel(level []searchNode) []searchNode {
	const chunk = 256
	var next [searchWorkers][]searchNode
	var position atomic.Int64
	var group sync.WaitGroup
	for worker := range searchWorkers {
		group.Go(func() {
			for !s.stopped() {
				begin := int(position.Add(chunk)) - chunk
				if begin >= len(level) {
					return
				}
				for i := begin; i < min(begin+chunk, len(level)); i++ {
					next[worker] = s.expand(&level[i], next[worker])
				}
			}
		})
	}
	group.Wait()
	return slices.Concat(next[:]...)
}

func (s *search) expand(from *searchNode, next []searchNode) []searchNode {
	var path *pathStep
	if from.ordinal > 0 {
		path = &pathStep{from.path, from.ordinal}
	}
	if (s.onlyProperty == noViolation || s.onlyProperty == termination) && !s.terminates(&from.world, s.terminating) {
		s.reportViolation(termination, append(s.trace(path), s.describeNonTermination(&from.world)...))
		return next
	}
	ordinal := uint16(0)
	s.successors(&from.world, func(_ move, n *world) bool {
		ordinal++
		s.checkNotRunProof(n)
		if !s.visited.add(n.fingerprint()) {
			return true
		}
		s.count.Add(1)
		if n.violation != noViolation {
			s.reportViolation(n.violation, s.trace(&pathStep{path, ordinal}))
			return false
		}
		next = append(next, searchNode{world: *n, path: path, ordinal: ordinal})
		return true
	})
	return next
}

func (s *search) reportViolation(p property, trace []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.result.violation == noViolation {
		s.result.violation, s.result.trace = p, trace
	}
}

// checkNotRunProof checks verdicts and answers that no member ran against what the
// endpoints did.
func (cfg *modelConfig) checkNotRunProof(w *world) {
	anyStart := [maxAttempts]bool{}
	for i := range w.starts {
		for rank := range w.starts[i] {
			anyStart[i] = anyStart[i] || w.starts[i][rank] > 0
		}
		if w.proved[i] && anyStart[i] {
			cfg.violate(w, notRunProof)
		}
	}
	for s, notRun := range w.notRun {
		if !notRun {
			continue
		}
		for i := range uint8(maxAttempts) {
			if anyStart[i] && (cfg.recorded || attemptOwner(i) == uint8(s)) {
				cfg.violate(w, notRunProof)
			}
		}
	}
}

// trace replays the steps that lead to a state and returns them and the state as
// text.
func (cfg *modelConfig) trace(last *pathStep) []string {
	var path []uint16
	for ; last != nil; last = last.previous {
		path = append(path, last.ordinal)
	}
	w := cfg.initialWorld()
	var lines []string
	for i := len(path) - 1; i >= 0; i-- {
		ordinal := uint16(0)
		var chosen world
		cfg.successors(w, func(m move, n *world) bool {
			ordinal++
			if ordinal != path[i] {
				return true
			}
			cfg.checkNotRunProof(n)
			chosen = *n
			lines = append(lines, m.String())
			return false
		})
		w = &chosen
	}
	return append(lines, w.String())
}

func (w *world) String() string {
	var out strings.Builder
	for s, state := range w.schedulers {
		fmt.Fprintf(&out, "scheduler %d: mode %d attempt %d phase %d fate %d members %v\n", s, state.mode, state.attempt, state.phase, state.fate, state.members)
	}
	fmt.Fprintf(&out, "record: %+v\n", w.record)
	for rank, a := range w.agents {
		if a.boot == 0 {
			continue
		}
		fmt.Fprintf(&out, "agent %d: up %v frozen %v cut %v %v boot %d epoch %d permit %d task %d of %d lease %d\n", rank,
			a.up, a.frozen, a.cutFromSchedulers, a.cutFromLeader, a.boot, a.epoch, a.permitLeft, a.task, a.taskOwner, a.leaseLeft)
		for i, m := range a.members {
			if m != (memberState{}) {
				fmt.Fprintf(&out, "  attempt %d: %s %+v\n", i, wire.TaskState(m.state), m)
			}
		}
	}
	for i, m := range w.monitors {
		if m.exists {
			fmt.Fprintf(&out, "monitor %d: %+v\n", i, m)
		}
	}
	fmt.Fprintf(&out, "net: %+v\n", w.net[:w.messages()])
	fmt.Fprintf(&out, "starts %v completed %v refused %v partial %v notRun %v proved %v", w.starts, w.completed, w.refused, w.partialUnits, w.notRun, w.proved)
	return out.String()
}

// maxFairSteps is the number of steps without faults in which an attempt must end.
const maxFairSteps = 400

// quiescent reports whether all schedulers, agents and endpoints have finished,
// no message is in flight and the job record, if any, is ended.
func (cfg *modelConfig) quiescent(w *world) bool {
	lastMode := w.schedulers[0].mode
	if w.schedulers[1].mode != schedulerAbsent {
		lastMode = w.schedulers[1].mode
	}
	if lastMode != schedulerDone || w.messages() > 0 {
		return false
	}
	for rank := range cfg.members {
		a := &w.agents[rank]
		if !a.up || a.frozen || a.task != endpointIdle {
			return false
		}
		for i := range a.members {
			if a.members[i].active() {
				return false
			}
		}
	}
	return !cfg.recorded || w.record.phase == recordEnded
}

// terminates reports whether the attempt ends if no further fault occurs, and adds
// the states on the way to terminating.
func (cfg *modelConfig) terminates(w *world, terminating *visited) bool {
	now := *w
	var path []fingerprint
	for range maxFairSteps {
		key := now.fingerprint()
		if terminating.contains(key) || cfg.quiescent(&now) {
			for _, k := range path {
				terminating.add(k)
			}
			return true
		}
		path = append(path, key)
		if !cfg.fairStep(&now) {
			return false
		}
	}
	return false
}

// fairStep takes the next step of a run without faults: first repairs, then
// deliveries, then local work, reports, the ends of tasks and detected losses, and
// last the passing of time. It returns false if there is no step.
func (cfg *modelConfig) fairStep(w *world) bool {
	faultless := *w
	faultless.faults, faultless.cancels = 0, 0
	priority := func(m move) int {
		switch m.name {
		case "restart agent", "thaw", "heal", "heal leader", "successor", "read record":
			return 0
		case "deliver", "drop":
			return 1
		case "launch", "collect", "task killed", "ping":
			return 2
		case "report":
			return 3
		case "task done":
			return 4
		case "lost":
			return 5
		}
		return 6
	}
	bestPriority, next := 7, faultless
	cfg.successors(&faultless, func(m move, n *world) bool {
		if p := priority(m); p < bestPriority {
			bestPriority, next = p, *n
		}
		return bestPriority > 0
	})
	if bestPriority == 7 {
		return false
	}
	next.faults, next.cancels = w.faults, w.cancels
	*w = next
	return true
}

// describeNonTermination describes the state in which a run without faults is
// stuck.
func (cfg *modelConfig) describeNonTermination(w *world) []string {
	now := *w
	for range maxFairSteps {
		if !cfg.fairStep(&now) {
			break
		}
	}
	return []string{"run-out ends in:", now.String(), fmt.Sprint("record phase ", wire.JobRecord_Phase(now.record.phase))}
}
