package gate

import (
	"sync"
	"time"

	"catkinpoint/clock"
	"catkinpoint/flow"
)

// maxRoomAge is the age up to which a count of workers may cause a job to be
// refused.
const maxRoomAge = 20 * time.Second

// reportedRooms holds the counts of workers that the scheduler last answered with. A
// flow.Room counts the workers that have the same service, labels and size.
type reportedRooms struct {
	mu         sync.Mutex
	list       []*flow.Room
	receivedAt time.Duration
}

func (r *reportedRooms) set(list []*flow.Room) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list, r.receivedAt = list, clock.Monotonic()
}

// knownRooms returns the counts of workers and their age. It returns no counts if
// they are older than maxRoomAge, or if the scheduler has not counted its workers
// yet. On the gate that runs the scheduler the counts are the scheduler's own, of
// age 0.
func (g *Gate) knownRooms() ([]*flow.Room, time.Duration) {
	if s := g.scheduler.Load(); s != nil {
		return s.Rooms(), 0
	}
	g.rooms.mu.Lock()
	defer g.rooms.mu.Unlock()
	age := clock.Monotonic() - g.rooms.receivedAt
	if age > maxRoomAge {
		return nil, age
	}
	return g.rooms.list, age
}
