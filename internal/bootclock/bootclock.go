// Package bootclock reads a clock that counts the time during which the VM is suspended. Leases are
// measured on it: the monotonic clock of the runtime stands still while a VM is suspended.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM was booted.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Linux has had this clock since 2.6.39; without it no lease can be measured safely.
		panic("bootclock: " + err.Error())
	}
	return time.Duration(now.Nano())
}
