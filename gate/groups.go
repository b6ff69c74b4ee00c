package gate

import (
	"sync"
	"time"

	"catkinpoint/clock"
	"catkinpoint/flow"
)

// maxGroupsAge is the age up to which a count of workers may cause a job to be
// refused.
const maxGroupsAge = 20 * time.Second

// reportedGroups holds the counts of workers that the scheduler last answered with. A
// flow.WorkerGroup counts the workers that have the same service, labels and size.
type reportedGroups struct {
	mu         sync.Mutex
	list       []*flow.WorkerGroup
	receivedAt time.Duration
}

func (r *reportedGroups) set(list []*flow.WorkerGroup) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list, r.receivedAt = list, clock.Monotonic()
}

// knownWorkerGroups returns the counts of workers and their age. It returns no counts if
// they are older than maxGroupsAge, or if the scheduler has not counted its workers
// yet. On the gate that runs the scheduler the counts are the scheduler's own, of
// age 0.
func (g *Gate) knownWorkerGroups() ([]*flow.WorkerGroup, time.Duration) {
	if s := g.scheduler.Load(); s != nil {
		return s.WorkerGroups(), 0
	}
	g.groups.mu.Lock()
	defer g.groups.mu.Unlock()
	age := clock.Monotonic() - g.groups.receivedAt
	if age > maxGroupsAge {
		return nil, age
	}
	return g.groups.list, age
}
