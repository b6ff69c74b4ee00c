package meter

import (
	"runtime/metrics"
	"syscall"
	"time"

	"go.opentelemetry.io/otel/metric"
)

// Names in runtime/metrics. The memory held by the Go runtime is all memory that
// it has mapped, less what it has released to the operating system.
const (
	mappedMemory   = "/memory/classes/total:bytes"
	releasedMemory = "/memory/classes/heap/released:bytes"
)

// kibibyte is the unit of Maxrss on Linux, in bytes.
const kibibyte = 1024

// Usage is the CPU time and memory used by this process.
type Usage struct {
	CPU        time.Duration // user and system time since the start
	Memory     uint64        // bytes held by the Go runtime now
	PeakMemory uint64        // largest resident set since the start, in bytes
}

// ReadUsage returns the usage of this process up to now.
func ReadUsage() (Usage, error) {
	var rusage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &rusage); err != nil {
		return Usage{}, Error.New("getrusage: %w", err)
	}
	samples := []metrics.Sample{{Name: mappedMemory}, {Name: releasedMemory}}
	metrics.Read(samples)
	return Usage{
		CPU:        time.Duration(rusage.Utime.Nano() + rusage.Stime.Nano()),
		Memory:     samples[0].Value.Uint64() - samples[1].Value.Uint64(),
		PeakMemory: uint64(rusage.Maxrss) * kibibyte,
	}, nil
}

// registerProcess registers the metrics of the process's CPU and memory use, so
// that they can be compared with a node's budget for control processes: 2.8% of a
// core and 64 MB.
func (m *Meter) registerProcess() error {
	observeUsage := func(value func(Usage) float64) func(Observe) {
		return func(observe Observe) {
			// getrusage of the process itself fails only on an invalid argument. The
			// value is then left out of the scrape.
			if usage, err := ReadUsage(); err == nil {
				observe(value(usage))
			}
		}
	}
	cpu := observeUsage(func(u Usage) float64 { return u.CPU.Seconds() })
	_, err := m.meter.Float64ObservableCounter(Prefix+"process_cpu_seconds",
		metric.WithDescription("User and system CPU time of this process, seconds."),
		metric.WithFloat64Callback(observer(cpu)))
	if err != nil {
		return Error.New("counter process_cpu_seconds: %w", err)
	}
	gauges := []struct {
		name, help string
		value      func(Usage) float64
	}{
		{"process_memory_bytes", "Memory held by the Go runtime, bytes.", func(u Usage) float64 { return float64(u.Memory) }},
		{"process_memory_peak_bytes", "Largest resident set of this process, bytes.", func(u Usage) float64 { return float64(u.PeakMemory) }},
	}
	for _, g := range gauges {
		if err := m.Gauge(g.name, g.help, observeUsage(g.value)); err != nil {
			return err
		}
	}
	return nil
}
