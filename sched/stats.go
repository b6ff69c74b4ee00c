package sched

import (
	"sync"
	"time"

	"catkinpoint/wire"
)

// stats are counted for the metrics page.
type stats struct {
	mu        sync.Mutex
	fates     map[wire.Fate]int64
	decisions int64
	deciding  time.Duration
}

// Stats is a copy of a scheduler's counts.
type Stats struct {
	Fates     map[wire.Fate]int64
	Decisions int64
	Deciding  time.Duration // in total
}

func (s *stats) count(fate wire.Fate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fates == nil {
		s.fates = make(map[wire.Fate]int64)
	}
	s.fates[fate]++
}

func (s *stats) decided(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decisions++
	s.deciding += took
}

// Stats returns the scheduler's counts so far.
func (s *Scheduler) Stats() Stats {
	s.stats.mu.Lock()
	defer s.stats.mu.Unlock()
	fates := make(map[wire.Fate]int64, len(s.stats.fates))
	for fate, n := range s.stats.fates {
		fates[fate] = n
	}
	return Stats{Fates: fates, Decisions: s.stats.decisions, Deciding: s.stats.deciding}
}
