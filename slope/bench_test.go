package slope

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/encoding/protodelim"

	"catkinpoint/wire"
)

// BenchmarkReport guards against a slow growth of the cost of the most frequent
// message, with the tasks of one worker at the target size. The decision has
// its benchmark in package place, the whole-set check in package decl.
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
