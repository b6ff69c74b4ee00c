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

var seeds = [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()}

type fingerprint [2]uint64

func (w *world) fingerprint() fingerprint {
	return fingerprint{maphash.Comparable(seeds[0], *w), maphash.Comparable(seeds[1], *w)}
}

// initial returns the state in which the first scheduler has placed the job.
func (b *bounds) initial() *world {
	w := &world{faults: b.faults, cancels: b.cancels}
	if b.recorded {
		w.record = record{phase: recordAccepted, revision: 1}
		w.schedulers[0].revision = 1
	}
	for rank := range b.members {
		w.agents[rank] = agentState{up: true, boot: 1, permitLeft: b.permit}
	}
	b.begin(w, 0, 0)
	return w
}

// result is the outcome of an exploration.
type result struct {
	states    int
	depth     int
	violation property
	trace     []string
	complete  bool
}

const (
	shards  = 256
	workers = 4
)

// visited is a set of fingerprints that several goroutines use.
type visited [shards]struct {
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

// add says whether the fingerprint is new.
func (v *visited) add(f fingerprint) bool {
	s := &v[f[0]%shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.set[f]; ok {
		return false
	}
	s.set[f] = struct{}{}
	return true
}

func (v *visited) has(f fingerprint) bool {
	s := &v[f[0]%shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.set[f]
	return ok
}

// node is a state of the search with the way to it.
type node struct {
	w       world
	from    *step
	ordinal uint16
}

// step is one link of the way to a state, shared by all states behind it.
type step struct {
	from    *step
	ordinal uint16
}

type search struct {
	*bounds
	seen, ended *visited
	limit       int
	count       atomic.Int64
	mu          sync.Mutex
	found       result
}

// explore visits every reachable state breadth first, up to limit states.
func (b *bounds) explore(limit int) result {
	s := &search{bounds: b, seen: newVisited(), ended: newVisited(), limit: limit}
	start := b.initial()
	s.seen.add(start.fingerprint())
	s.count.Store(1)
	level := []node{{w: *start}}
	depth := 0
	for ; len(level) > 0 && !s.stopped() && (b.depth == 0 || depth < b.depth); depth++ {
		level = s.expandLevel(level)
	}
	s.found.states, s.found.depth = int(s.count.Load()), depth
	s.found.complete = !s.stopped()
	return s.found
}

func (s *search) stopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.found.violation != noViolation || s.count.Load() >= int64(s.limit)
}

func (s *search) expandLevel(level []node) []node {
	const chunk = 256
	var next [workers][]node
	var position atomic.Int64
	var group sync.WaitGroup
	for worker := range workers {
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

func (s *search) expand(from *node, next []node) []node {
	var link *step
	if from.ordinal > 0 {
		link = &step{from.from, from.ordinal}
	}
	if (s.watch == noViolation || s.watch == ends) && !s.runOut(&from.w, s.ended) {
		s.report(ends, append(s.trace(link), s.stuck(&from.w)...))
		return next
	}
	ordinal := uint16(0)
	s.successors(&from.w, func(_ move, n *world) bool {
		ordinal++
		s.judge(n)
		if !s.seen.add(n.fingerprint()) {
			return true
		}
		s.count.Add(1)
		if n.violation != noViolation {
			s.report(n.violation, s.trace(&step{link, ordinal}))
			return false
		}
		next = append(next, node{w: *n, from: link, ordinal: ordinal})
		return true
	})
	return next
}

func (s *search) report(p property, trace []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.found.violation == noViolation {
		s.found.violation, s.found.trace = p, trace
	}
}

// judge checks what was claimed against what endpoints did.
func (b *bounds) judge(w *world) {
	anyStart := [maxAttempts]bool{}
	for i := range w.starts {
		for rank := range w.starts[i] {
			anyStart[i] = anyStart[i] || w.starts[i][rank] > 0
		}
		if w.proved[i] && anyStart[i] {
			b.violate(w, notRunProof)
		}
	}
	for s, notRun := range w.notRun {
		if !notRun {
			continue
		}
		for i := range uint8(maxAttempts) {
			if anyStart[i] && (b.recorded || owner(i) == uint8(s)) {
				b.violate(w, notRunProof)
			}
		}
	}
}

// trace replays the moves that lead to a state.
func (b *bounds) trace(last *step) []string {
	var path []uint16
	for ; last != nil; last = last.from {
		path = append(path, last.ordinal)
	}
	w := b.initial()
	var lines []string
	for i := len(path) - 1; i >= 0; i-- {
		ordinal := uint16(0)
		var taken world
		b.successors(w, func(m move, n *world) bool {
			ordinal++
			if ordinal != path[i] {
				return true
			}
			b.judge(n)
			taken = *n
			lines = append(lines, m.String())
			return false
		})
		w = &taken
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
			a.up, a.frozen, a.cut, a.cutLeader, a.boot, a.epoch, a.permitLeft, a.task, a.taskOwner, a.lease)
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
	fmt.Fprintf(&out, "starts %v completed %v refused %v partial %v notRun %v proved %v", w.starts, w.completed, w.refused, w.partial, w.notRun, w.proved)
	return out.String()
}

const runOutSteps = 400

// settled says whether no party has anything left to do.
func (b *bounds) settled(w *world) bool {
	last := w.schedulers[0].mode
	if w.schedulers[1].mode != schedulerAbsent {
		last = w.schedulers[1].mode
	}
	if last != schedulerDone || w.messages() > 0 {
		return false
	}
	for rank := range b.members {
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
	return !b.recorded || w.record.phase == recordEnded
}

// runOut says whether the attempt ends if no further fault occurs.
func (b *bounds) runOut(w *world, ended *visited) bool {
	now := *w
	var path []fingerprint
	for range runOutSteps {
		key := now.fingerprint()
		if ended.has(key) || b.settled(&now) {
			for _, k := range path {
				ended.add(k)
			}
			return true
		}
		path = append(path, key)
		if !b.fairStep(&now) {
			return false
		}
	}
	return false
}

// fairStep takes the next step of a run without faults; it prefers repairs,
// then deliveries, then local work, and lets time pass last.
func (b *bounds) fairStep(w *world) bool {
	calm := *w
	calm.faults, calm.cancels = 0, 0
	rank := func(m move) int {
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
	best, next := 7, calm
	b.successors(&calm, func(m move, n *world) bool {
		if r := rank(m); r < best {
			best, next = r, *n
		}
		return best > 0
	})
	if best == 7 {
		return false
	}
	next.faults, next.cancels = w.faults, w.cancels
	*w = next
	return true
}

// stuck describes a run-out that does not end.
func (b *bounds) stuck(w *world) []string {
	now := *w
	for range runOutSteps {
		if !b.fairStep(&now) {
			break
		}
	}
	return []string{"run-out ends in:", now.String(), fmt.Sprint("record phase ", wire.JobRecord_Phase(now.record.phase))}
}
