package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

var (
	begin          = time.Now()
	beginSuspended = suspended()
)

// origin keeps readings positive where a test's clock begins long before the
// process did.
const origin = 50 * 365 * 24 * time.Hour

// Steady returns the time since a moment that is fixed for the process. It
// never jumps, and unlike the runtime's clock it counts a suspension of the
// machine.
func Steady() time.Duration {
	return origin + time.Since(begin) + suspended() - beginSuspended
}

// suspended returns how long the machine has been suspended since it booted. It
// is 0 where the kernel lacks a clock; the runtime's clock then decides alone.
func suspended() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}
	// The readings are apart by the time between the calls, which is no suspension.
	const readingTime = 10 * time.Millisecond
	d := time.Duration(boot.Nano() - monotonic.Nano())
	return d.Truncate(readingTime)
}
