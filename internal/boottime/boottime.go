// Package boottime reads a monotonic clock that goes on while the VM is suspended. Go's
// monotonic clock stops then, so a lease that expired during the suspension would
// look valid to its former holder.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, including the time for which the VM was suspended. Only
// differences between two readings are meaningful.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has this clock since 2.6.39. Without it the validity of a lease is unknown.
		panic("boottime: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
