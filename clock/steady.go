package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

var (
	begin     = time.Now()
	bootBegin = bootTime()
)

// Steady returns the time since the process began. It never jumps, and unlike
// the runtime's clock it counts a suspension of the machine.
func Steady() time.Duration {
	return max(time.Since(begin), bootTime()-bootBegin)
}

// bootTime is 0 where the kernel does not have the clock; the runtime's clock
// then decides alone.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
