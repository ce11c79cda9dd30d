// Package bootclock reads a monotonic clock that includes the time during which the VM is suspended.
// Leases are measured with it because the monotonic clock of Go does not advance during a suspension.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM was booted, including suspensions.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// CLOCK_BOOTTIME exists since Linux 2.6.39. Leases cannot be measured safely without it.
		panic("bootclock: " + err.Error())
	}
	return time.Duration(now.Nano())
}
