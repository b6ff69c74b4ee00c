package slope

import (
	"bytes"
	"math"
	"runtime"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"catkinpoint/meter"
)

// Options bound the length of a measurement; zero values stand for the defaults.
type Options struct {
	// Run is the least CPU time of one run, default 100 ms; getrusage counts
	// in steps of up to 4 ms.
	Run time.Duration
	// Runs is the number of runs whose median counts, default 5.
	Runs int
	// Objects are the counts at which memory is measured, default 2,000 to 32,000.
	Objects []int
	// Small limits all sizes, to try the measurement itself.
	Small bool
}

func (o Options) withDefaults() Options {
	if o.Run == 0 {
		o.Run = 100 * time.Millisecond
	}
	if o.Runs == 0 {
		o.Runs = 5
	}
	if len(o.Objects) == 0 {
		o.Objects = []int{2000, 4000, 8000, 16000, 32000}
	}
	return o
}

// CodecSeries are the costs of one kind of message by its size.
type CodecSeries struct {
	Bytes        Series // on the wire, with the length prefix
	EncodeCPU    Series // nanoseconds, garbage collection included
	DecodeCPU    Series // nanoseconds, garbage collection included
	EncodeAllocs Series // heap objects
	DecodeAllocs Series // heap objects
}

// MeasureCodec measures encoding and decoding of one kind of message.
func MeasureCodec(m Message, options Options) (CodecSeries, error) {
	options = options.withDefaults()
	series := func(output string) Series {
		return Series{Subject: m.Name, Input: m.Input, Output: output}
	}
	c := CodecSeries{
		Bytes:        series("bytes"),
		EncodeCPU:    series("ns to encode"),
		DecodeCPU:    series("ns to decode"),
		EncodeAllocs: series("allocations to encode"),
		DecodeAllocs: series("allocations to decode"),
	}
	for _, size := range m.Sizes {
		if err := c.measure(m.Build(size), size, options); err != nil {
			return CodecSeries{}, Error.New("%s of size %d: %w", m.Name, size, err)
		}
	}
	return c, nil
}

func (c *CodecSeries) measure(message proto.Message, size int, options Options) error {
	var buffer bytes.Buffer
	encode := func() error {
		buffer.Reset()
		_, err := protodelim.MarshalTo(&buffer, message)
		return err
	}
	if err := encode(); err != nil {
		return err
	}
	frame := bytes.Clone(buffer.Bytes())
	reader := bytes.NewReader(nil)
	limit := protodelim.UnmarshalOptions{MaxSize: -1}
	decode := func() error {
		reader.Reset(frame)
		return limit.UnmarshalFrom(reader, message.ProtoReflect().New().Interface())
	}
	encoded, err := measureCost(encode, options)
	if err != nil {
		return err
	}
	decoded, err := measureCost(decode, options)
	if err != nil {
		return err
	}
	for _, v := range []struct {
		series *Series
		value  float64
	}{
		{&c.Bytes, float64(len(frame))},
		{&c.EncodeCPU, encoded.nanoseconds},
		{&c.DecodeCPU, decoded.nanoseconds},
		{&c.EncodeAllocs, encoded.allocations},
		{&c.DecodeAllocs, decoded.allocations},
	} {
		v.series.Points = append(v.series.Points, Point{X: float64(size), Y: v.value})
	}
	return nil
}

// cost is the cost of one call.
type cost struct {
	nanoseconds, allocations float64
}

// measureCost calls op often enough for runs of the given CPU time and returns
// the median of the runs.
func measureCost(op func() error, options Options) (cost, error) {
	calls := 1
	for {
		used, _, err := run(op, calls)
		if err != nil {
			return cost{}, err
		}
		if used >= options.Run {
			break
		}
		calls *= 2
	}
	var times, allocations []float64
	for range options.Runs {
		used, objects, err := run(op, calls)
		if err != nil {
			return cost{}, err
		}
		times = append(times, float64(used)/float64(calls))
		allocations = append(allocations, float64(objects)/float64(calls))
	}
	// The runtime's own objects add a few thousandths for each call.
	objects := math.Round(10*median(allocations)) / 10
	return cost{nanoseconds: median(times), allocations: objects}, nil
}

// run returns the CPU time of the process and the heap objects allocated.
func run(op func() error, calls int) (time.Duration, uint64, error) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	start, err := meter.ReadUsage()
	if err != nil {
		return 0, 0, err
	}
	for range calls {
		if err := op(); err != nil {
			return 0, 0, err
		}
	}
	end, err := meter.ReadUsage()
	if err != nil {
		return 0, 0, err
	}
	runtime.ReadMemStats(&after)
	return end.CPU - start.CPU, after.Mallocs - before.Mallocs, nil
}

func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}
