package meter

import (
	"runtime/metrics"
	"syscall"
	"time"

	"go.opentelemetry.io/otel/metric"
)

// The Go runtime's own account of memory: all that it mapped, less what it gave
// back to the operating system.
const (
	mappedMemory   = "/memory/classes/total:bytes"
	releasedMemory = "/memory/classes/heap/released:bytes"
)

// kibibyte is the unit of Maxrss on Linux, in bytes.
const kibibyte = 1024

// Usage is what this process used of its node.
type Usage struct {
	CPU        time.Duration // user and system time since the start
	Memory     uint64        // bytes held by the Go runtime now
	PeakMemory uint64        // largest resident set since the start, bytes
}

// ReadUsage returns the present usage of this process.
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

// registerProcess makes a node's control budget (2.8% of a core and 64 MB) visible.
func (m *Meter) registerProcess() error {
	read := func(value func(Usage) float64) func(Observe) {
		return func(observe Observe) {
			// getrusage of the own process fails only on an invalid argument; the value is left out then.
			if usage, err := ReadUsage(); err == nil {
				observe(value(usage))
			}
		}
	}
	cpu := read(func(u Usage) float64 { return u.CPU.Seconds() })
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
		if err := m.Gauge(g.name, g.help, read(g.value)); err != nil {
			return err
		}
	}
	return nil
}
