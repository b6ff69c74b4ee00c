package slope

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/encoding/protodelim"

	"catkinpoint/place"
	"catkinpoint/wire"
)

// The benchmarks guard against a slow growth of the costs that the capacity
// page counts on, at the size of one data centre of the target. That of the
// whole-set check is BenchmarkCheck in package decl.

func BenchmarkDecide(b *testing.B) {
	for _, c := range []struct {
		name string
		full bool
	}{{"room", false}, {"no_room", true}} {
		b.Run(c.name, func(b *testing.B) {
			state := NewState(DecideShape{Workers: sampleWorkers, Tasks: sampleTasks, Queued: 100}, c.full)
			policy := place.New(place.Options{})
			b.ReportAllocs()
			for b.Loop() {
				policy.Decide(state, sampleNow)
			}
		})
	}
}

func BenchmarkReport(b *testing.B) {
	report := newReport(0, sampleTasks)
	var frame bytes.Buffer
	if _, err := protodelim.MarshalTo(&frame, report); err != nil {
		b.Fatal(err)
	}
	b.Run("encode", func(b *testing.B) {
		var buffer bytes.Buffer
		b.ReportAllocs()
		for b.Loop() {
			buffer.Reset()
			if _, err := protodelim.MarshalTo(&buffer, report); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("decode", func(b *testing.B) {
		reader := bytes.NewReader(nil)
		b.ReportAllocs()
		for b.Loop() {
			reader.Reset(frame.Bytes())
			if err := protodelim.UnmarshalFrom(reader, new(wire.Report)); err != nil {
				b.Fatal(err)
			}
		}
	})
}
