package slope

import (
	"runtime"

	"google.golang.org/protobuf/proto"
)

// ObjectKind is a kind of object that a process holds as a decoded wire message.
type ObjectKind struct {
	Name  string
	Build func(i int) proto.Message
}

// HeldObjects returns the kinds of objects whose number grows with the number of
// workers and their load.
func HeldObjects() []ObjectKind {
	return []ObjectKind{
		{"worker (Report without tasks)", func(i int) proto.Message { return newReport(i%agentCount, 0) }},
		{"job (Job)", func(i int) proto.Message { return newJob(i) }},
		{"running task (TaskStatus)", func(i int) proto.Message { return newTaskStatus(i) }},
		{"configuration object (Object)", newConfigObject},
	}
}

// MeasureMemory measures the heap size of objects of one kind against their number.
// Each object is decoded from its encoding, so that it shares no strings with
// others. The result includes the pointer to the object in a slice, but no index
// by name.
func MeasureMemory(kind ObjectKind, options Options) (Series, error) {
	options = options.withDefaults()
	series := Series{Subject: kind.Name, Input: "objects", Output: "heap bytes"}
	// The first use of each message type allocates its descriptor once.
	const warmUp = 8
	for i := range warmUp {
		if _, err := decodedCopy(kind.Build(i)); err != nil {
			return Series{}, Error.New("%s: %w", kind.Name, err)
		}
	}
	for _, count := range options.ObjectCounts {
		objects := make([]proto.Message, count)
		before := liveHeap()
		for i := range objects {
			object, err := decodedCopy(kind.Build(i))
			if err != nil {
				return Series{}, Error.New("%s: %w", kind.Name, err)
			}
			objects[i] = object
		}
		growth := float64(liveHeap()) - float64(before)
		runtime.KeepAlive(objects)
		// growth does not include the slice, which was allocated before and holds
		// interfaces of two words. A process holds objects of one type in a slice
		// of pointers instead.
		const pointerSize = 8
		series.Points = append(series.Points, Point{X: float64(count), Y: growth + float64(pointerSize*count)})
	}
	return series, nil
}

// decodedCopy returns a copy of the message, decoded from its encoding.
func decodedCopy(m proto.Message) (proto.Message, error) {
	encoded, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	copied := m.ProtoReflect().New().Interface()
	return copied, proto.Unmarshal(encoded, copied)
}

// liveHeap returns the bytes of reachable heap objects. The second collection frees
// objects that finalizers and pools kept alive during the first.
func liveHeap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
