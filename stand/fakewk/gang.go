package fakewk

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"catkinpoint/graph"
)

// gangWait is how long a member waits for the others.
const gangWait = 4 * time.Second

// Gang returns the text of a start whose task is one of so many members.
func Gang(members int) string { return fmt.Sprint("gang ", members) }

// membersOf returns the number of members that a start's text asks for, or 0.
func membersOf(text string) int {
	members := 0
	if _, err := fmt.Sscanf(text, "gang %d", &members); err != nil {
		return 0
	}
	return members
}

// Site is what workers know of each other's gangs.
type Site struct {
	mu    sync.Mutex
	gangs map[string]*gang
}

// gang is one run of a step's tasks.
type gang struct {
	size    int
	members map[string]bool
	// began is when the last member came.
	began time.Time
	// broken is when the first member ended without being done.
	broken time.Time
}

// NewSite returns a site without gangs.
func NewSite() *Site { return &Site{gangs: map[string]*gang{}} }

// gangOf names a gang by its step and run.
func gangOf(task string, run int64) string {
	step := task[:strings.LastIndex(task, ".")]
	return fmt.Sprintf("%s/%d", step, run)
}

// join adds a member that was started now.
func (s *Site) join(task string, run int64, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := gangOf(task, run)
	g := s.gangs[name]
	if g == nil {
		g = &gang{size: size, members: map[string]bool{}}
		s.gangs[name] = g
	}
	g.members[task] = true
	if len(g.members) == g.size && g.began.IsZero() {
		g.began = time.Now()
	}
}

// leave notes that a member ended at a time without being done.
func (s *Site) leave(task string, run int64, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.gangs[gangOf(task, run)]; g != nil && (g.broken.IsZero() || at.Before(g.broken)) {
		g.broken = at
	}
}

// end returns how and when a member that came at a time ends by its gang, or ""
// while it goes on. took is the time of its work.
func (s *Site) end(task string, run int64, came time.Time, took time.Duration) (how string, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.gangs[gangOf(task, run)]
	done := g.began.Add(took)
	alone := came.Add(gangWait)
	switch now := time.Now(); {
	case !g.began.IsZero() && !done.After(now) && (g.broken.IsZero() || done.Before(g.broken)):
		return graph.EndDone, done
	case !g.broken.IsZero():
		return graph.EndGangBroken, g.broken
	case g.began.IsZero() && !alone.After(now):
		return graph.EndGangIncomplete, alone
	}
	return "", time.Time{}
}
