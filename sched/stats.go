package sched

import (
	"sync"
	"time"

	"catkinpoint/wire"
)

// stats holds the counters behind Stats.
type stats struct {
	mu           sync.Mutex
	fates        map[wire.Fate]int64
	decisions    int64
	decisionTime time.Duration
}

// Stats are counters of a scheduler since its start.
type Stats struct {
	Fates        map[wire.Fate]int64 // jobs that ended here for good, by fate
	Decisions    int64               // decisions of the placement policy
	DecisionTime time.Duration       // total time of the decisions
}

func (s *stats) countFate(fate wire.Fate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fates == nil {
		s.fates = make(map[wire.Fate]int64)
	}
	s.fates[fate]++
}

func (s *stats) countDecision(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decisions++
	s.decisionTime += took
}

// Stats returns a copy of the scheduler's counters.
func (s *Scheduler) Stats() Stats {
	s.stats.mu.Lock()
	defer s.stats.mu.Unlock()
	fates := make(map[wire.Fate]int64, len(s.stats.fates))
	for fate, n := range s.stats.fates {
		fates[fate] = n
	}
	return Stats{Fates: fates, Decisions: s.stats.decisions, DecisionTime: s.stats.decisionTime}
}
