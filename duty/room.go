package duty

import (
	"cmp"
	"slices"
	"time"

	"catkinpoint/flow"
)

const (
	// roomSettle is how long after its start a scheduler does not judge how many
	// workers there are, as they have yet to report.
	roomSettle = 10 * time.Second
	// roomMemory is how long a worker counts that is not heard any more: what
	// has been cut off or is being replaced returns within that time.
	roomMemory = time.Minute
)

// Rooms returns the workers that were heard of late, empty if it is too early to
// tell. Workers that drain, have ended or are cut off count, as they or others
// in their place may return.
func (s *Scheduler) Rooms() []*flow.Room {
	if rooms := s.rooms.Load(); rooms != nil {
		return *rooms
	}
	return nil
}

// countRooms makes the workers known to callers of Rooms.
func (st *state) countRooms(s *Scheduler, now time.Duration) {
	if now < st.roomsAt || now-st.began < roomSettle {
		return
	}
	st.roomsAt = now + planPeriod
	var rooms []*flow.Room
	for _, w := range st.workers {
		if now-w.heard > roomMemory {
			continue
		}
		room := &flow.Room{
			Service: w.info.GetService(), Labels: w.info.GetLabels(), Cpu: w.info.GetCpu(),
			MemoryMb: w.info.GetMemoryMb(), Accelerators: w.info.GetAccelerators(), Workers: 1,
		}
		i, found := slices.BinarySearchFunc(rooms, room, compareRooms)
		if found {
			rooms[i].Workers++
			continue
		}
		rooms = slices.Insert(rooms, i, room)
	}
	s.rooms.Store(&rooms)
}

func compareRooms(a, b *flow.Room) int {
	return cmp.Or(
		cmp.Compare(a.GetService(), b.GetService()), slices.Compare(a.GetLabels(), b.GetLabels()), cmp.Compare(a.GetCpu(), b.GetCpu()),
		cmp.Compare(a.GetMemoryMb(), b.GetMemoryMb()), cmp.Compare(a.GetAccelerators(), b.GetAccelerators()),
	)
}
