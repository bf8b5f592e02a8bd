package clock

import "golang.org/x/sys/unix"

// suspended returns the time for which the machine was suspended since it started.
func suspended() Millis {
	var withSuspensions, without unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &withSuspensions) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &without) != nil {
		return 0 // the kernel has no such clock and counts suspensions nowhere
	}
	return Millis((withSuspensions.Nano() - without.Nano()) / 1e6)
}
