package duty

import (
	"cmp"
	"slices"
	"time"

	"catkinpoint/flow"
)

const (
	// roomsSettleTime is how long after its start a scheduler does not know which
	// workers exist, as some have not reported to it yet.
	roomsSettleTime = 10 * time.Second
	// roomsMemory is how long a worker counts after its last report. Workers that
	// are cut off or being replaced return within this time.
	roomsMemory = time.Minute
)

// Rooms returns the workers that reported within roomsMemory, grouped by equal
// properties. It returns nil until roomsSettleTime after the scheduler's start.
// Workers that are draining, gone or cut off count, as they or their replacements
// may return.
func (s *Scheduler) Rooms() []*flow.Room {
	if rooms := s.rooms.Load(); rooms != nil {
		return *rooms
	}
	return nil
}

// updateRooms refreshes what Rooms returns, at most once in a planPeriod.
func (st *state) updateRooms(s *Scheduler, now time.Duration) {
	if now < st.nextRooms || now-st.startedAt < roomsSettleTime {
		return
	}
	st.nextRooms = now + planPeriod
	var rooms []*flow.Room
	for _, w := range st.workers {
		if now-w.lastReport > roomsMemory {
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
