package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

var (
	processStart     = time.Now()
	suspendedAtStart = suspended()
)

// readingOffset is added to every reading. It keeps readings positive in a
// synctest bubble, whose clock starts long before processStart.
const readingOffset = 50 * 365 * 24 * time.Hour

// Monotonic returns the time since a moment that is fixed for the process. It is
// not affected by changes of the wall clock and, unlike the runtime's monotonic
// clock, includes time during which the machine was suspended.
func Monotonic() time.Duration {
	return readingOffset + time.Since(processStart) + suspended() - suspendedAtStart
}

// suspended returns for how long in total the machine has been suspended since
// it booted. It returns 0 if the kernel lacks one of the clocks; readings then
// leave suspensions out.
func suspended() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}
	// The clocks are read one after the other. Truncating keeps the time between
	// the two reads from counting as suspension.
	const maxReadGap = 10 * time.Millisecond
	d := time.Duration(boot.Nano() - monotonic.Nano())
	return d.Truncate(maxReadGap)
}
