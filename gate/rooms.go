package gate

import (
	"sync"
	"time"

	"catkinpoint/clock"
	"catkinpoint/flow"
)

// roomAge is the oldest count of workers by which a job is refused.
const roomAge = 20 * time.Second

// rooms are the workers that the scheduler has told of.
type rooms struct {
	mu   sync.Mutex
	list []*flow.Room
	at   time.Duration
}

func (r *rooms) set(list []*flow.Room) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list, r.at = list, clock.Steady()
}

// knownRooms returns the workers of the service and the age of that knowledge;
// nothing if it is too old, or if the scheduler cannot tell yet.
func (g *Gate) knownRooms() ([]*flow.Room, time.Duration) {
	if s := g.scheduler.Load(); s != nil {
		return s.Rooms(), 0
	}
	g.rooms.mu.Lock()
	defer g.rooms.mu.Unlock()
	age := clock.Steady() - g.rooms.at
	if age > roomAge {
		return nil, age
	}
	return g.rooms.list, age
}
