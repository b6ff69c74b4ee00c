package fakewk

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"catkinpoint/graph"
)

// joinTimeout is how long a member waits until all others have started.
const joinTimeout = 4 * time.Second

// GangSpec returns the spec of a start whose task belongs to a gang of the given
// number of members.
func GangSpec(members int) string { return fmt.Sprint("gang ", members) }

// gangSize returns the number of members in a spec of GangSpec, or 0 for any other
// spec.
func gangSize(spec string) int {
	members := 0
	if _, err := fmt.Sscanf(spec, "gang %d", &members); err != nil {
		return 0
	}
	return members
}

// Coordinator tells workers when all members of a gang have started and when one
// has ended before it was done.
type Coordinator struct {
	mu    sync.Mutex
	gangs map[string]*gang // by gangKey
}

// gang is one run of all tasks of a step.
type gang struct {
	size    int             // number of members in the spec
	members map[string]bool // tasks that have been started
	// started is when the last member was started, or zero.
	started time.Time
	// brokenAt is when the first member ended before it was done, or zero.
	brokenAt time.Time
}

// NewCoordinator returns a coordinator without gangs.
func NewCoordinator() *Coordinator { return &Coordinator{gangs: map[string]*gang{}} }

// gangKey identifies a gang by its step, which is the task name without the last
// part, and its run number.
func gangKey(task string, run int64) string {
	step := task[:strings.LastIndex(task, ".")]
	return fmt.Sprintf("%s/%d", step, run)
}

// join adds a member that was started now.
func (c *Coordinator) join(task string, run int64, size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := gangKey(task, run)
	g := c.gangs[key]
	if g == nil {
		g = &gang{size: size, members: map[string]bool{}}
		c.gangs[key] = g
	}
	g.members[task] = true
	if len(g.members) == g.size && g.started.IsZero() {
		g.started = time.Now()
	}
}

// markBroken records that a member ended at the time at before it was done.
func (c *Coordinator) markBroken(task string, run int64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if g := c.gangs[gangKey(task, run)]; g != nil && (g.brokenAt.IsZero() || at.Before(g.brokenAt)) {
		g.brokenAt = at
	}
}

// memberEnd returns how and when a member that was started at the time joined has
// ended because of its gang, or "" while it goes on. Its work takes runTime from
// the start of the last member.
func (c *Coordinator) memberEnd(task string, run int64, joined time.Time, runTime time.Duration) (how string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.gangs[gangKey(task, run)]
	done := g.started.Add(runTime)
	incomplete := joined.Add(joinTimeout)
	switch now := time.Now(); {
	case !g.started.IsZero() && !done.After(now) && (g.brokenAt.IsZero() || done.Before(g.brokenAt)):
		return graph.EndDone, done
	case !g.brokenAt.IsZero():
		return graph.EndGangBroken, g.brokenAt
	case g.started.IsZero() && !incomplete.After(now):
		return graph.EndGangIncomplete, incomplete
	}
	return "", time.Time{}
}
