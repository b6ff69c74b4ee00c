package slope

import (
	"runtime"

	"google.golang.org/protobuf/proto"
)

// Held is a kind of object that a process holds as a decoded wire message.
type Held struct {
	Name  string
	Build func(i int) proto.Message
}

// HeldObjects returns the objects whose number grows with the fleet and its load.
func HeldObjects() []Held {
	return []Held{
		{"worker (Report without tasks)", func(i int) proto.Message { return newReport(i%sampleAgents, 0) }},
		{"job (Job)", func(i int) proto.Message { return newJob(i) }},
		{"running task (TaskStatus)", func(i int) proto.Message { return newTask(i) }},
		{"configuration object (Object)", newObject},
	}
}

// MeasureMemory measures the heap that objects of one kind hold. Each object is
// decoded from its encoding, so that it shares no strings with others; the
// pointer to it in a slice is included, an index by name is not.
func MeasureMemory(h Held, options Options) (Series, error) {
	options = options.withDefaults()
	s := Series{Subject: h.Name, Input: "objects", Output: "heap bytes"}
	// The first use of each message type allocates its description once.
	const warmUp = 8
	for i := range warmUp {
		if _, err := decoded(h.Build(i)); err != nil {
			return Series{}, Error.New("%s: %w", h.Name, err)
		}
	}
	for _, count := range options.Objects {
		held := make([]proto.Message, count)
		before := liveHeap()
		for i := range held {
			object, err := decoded(h.Build(i))
			if err != nil {
				return Series{}, Error.New("%s: %w", h.Name, err)
			}
			held[i] = object
		}
		grown := float64(liveHeap()) - float64(before)
		runtime.KeepAlive(held)
		// The slice existed before, and holds interfaces of two words; a slice
		// of one type holds a pointer of 8 bytes for each object.
		const pointer = 8
		s.Points = append(s.Points, Point{X: float64(count), Y: grown + float64(pointer*count)})
	}
	return s, nil
}

func decoded(m proto.Message) (proto.Message, error) {
	encoded, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	fresh := m.ProtoReflect().New().Interface()
	return fresh, proto.Unmarshal(encoded, fresh)
}

// liveHeap returns the bytes of reachable objects; the second collection frees
// what finalizers and pools held during the first.
func liveHeap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
