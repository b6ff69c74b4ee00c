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

// Options sets the extent of a measurement. Zero values select the defaults.
type Options struct {
	// MinRunCPU is the least CPU time of one run, by default 100 ms. getrusage
	// has a resolution of up to 4 ms.
	MinRunCPU time.Duration
	// Runs is the number of runs, of which the median is the result, by default 5.
	Runs int
	// ObjectCounts holds the numbers of objects at which memory is measured, by
	// default 2,000 to 32,000.
	ObjectCounts []int
	// Small limits all sizes, for tests of the measurement itself.
	Small bool
}

func (o Options) withDefaults() Options {
	if o.MinRunCPU == 0 {
		o.MinRunCPU = 100 * time.Millisecond
	}
	if o.Runs == 0 {
		o.Runs = 5
	}
	if len(o.ObjectCounts) == 0 {
		o.ObjectCounts = []int{2000, 4000, 8000, 16000, 32000}
	}
	return o
}

// CodecSeries holds the costs of one kind of message by its size.
type CodecSeries struct {
	Bytes        Series // on the wire, with the length prefix
	EncodeCPU    Series // nanoseconds, including garbage collection
	DecodeCPU    Series // nanoseconds, including garbage collection
	EncodeAllocs Series // heap objects
	DecodeAllocs Series // heap objects
}

// MeasureCodec measures the encoding and decoding of one kind of message at each of
// its sizes.
func MeasureCodec(m MessageKind, options Options) (CodecSeries, error) {
	options = options.withDefaults()
	newSeries := func(output string) Series {
		return Series{Subject: m.Name, Input: m.Input, Output: output}
	}
	c := CodecSeries{
		Bytes:        newSeries("bytes"),
		EncodeCPU:    newSeries("ns to encode"),
		DecodeCPU:    newSeries("ns to decode"),
		EncodeAllocs: newSeries("allocations to encode"),
		DecodeAllocs: newSeries("allocations to decode"),
	}
	for _, size := range m.Sizes {
		if err := c.addSize(m.Build(size), size, options); err != nil {
			return CodecSeries{}, Error.New("%s of size %d: %w", m.Name, size, err)
		}
	}
	return c, nil
}

// addSize measures a message and adds its point to each series.
func (c *CodecSeries) addSize(message proto.Message, size int, options Options) error {
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
	unlimited := protodelim.UnmarshalOptions{MaxSize: -1}
	decode := func() error {
		reader.Reset(frame)
		return unlimited.UnmarshalFrom(reader, message.ProtoReflect().New().Interface())
	}
	encodeCost, err := measureCost(encode, options)
	if err != nil {
		return err
	}
	decodeCost, err := measureCost(decode, options)
	if err != nil {
		return err
	}
	for _, point := range []struct {
		series *Series
		value  float64
	}{
		{&c.Bytes, float64(len(frame))},
		{&c.EncodeCPU, encodeCost.nanoseconds},
		{&c.DecodeCPU, decodeCost.nanoseconds},
		{&c.EncodeAllocs, encodeCost.allocations},
		{&c.DecodeAllocs, decodeCost.allocations},
	} {
		point.series.Points = append(point.series.Points, Point{X: float64(size), Y: point.value})
	}
	return nil
}

// callCost is the CPU time and the number of heap allocations of one call.
type callCost struct {
	nanoseconds, allocations float64
}

// measureCost returns the cost of one call of op: the median of several runs, each
// with enough calls to take at least options.MinRunCPU.
func measureCost(op func() error, options Options) (callCost, error) {
	calls := 1
	for {
		cpu, _, err := measureRun(op, calls)
		if err != nil {
			return callCost{}, err
		}
		if cpu >= options.MinRunCPU {
			break
		}
		calls *= 2
	}
	var cpuTimes, allocations []float64
	for range options.Runs {
		cpu, allocated, err := measureRun(op, calls)
		if err != nil {
			return callCost{}, err
		}
		cpuTimes = append(cpuTimes, float64(cpu)/float64(calls))
		allocations = append(allocations, float64(allocated)/float64(calls))
	}
	// Allocations of the Go runtime itself add a few thousandths to each call;
	// rounding removes them.
	roundedAllocations := math.Round(10*median(allocations)) / 10
	return callCost{nanoseconds: median(cpuTimes), allocations: roundedAllocations}, nil
}

// measureRun calls op the given number of times and returns the CPU time that the
// process used and the number of heap objects that it allocated.
func measureRun(op func() error, calls int) (time.Duration, uint64, error) {
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

// median returns the middle one of the values, or the upper of the two if their
// number is even. It sorts the values in place.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}
