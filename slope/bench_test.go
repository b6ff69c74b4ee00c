package slope

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/encoding/protodelim"

	"catkinpoint/wire"
)

// BenchmarkReport guards against a gradual increase in the cost of Report, the most
// frequent message, with as many tasks as a worker has at the target size.
// Benchmarks of a placement decision and of the check of the whole set are in
// packages place and decl.
func BenchmarkReport(b *testing.B) {
	report := newReport(0, tasksPerWorker)
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
