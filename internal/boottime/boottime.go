// Package boottime reads a clock that goes on while the VM is suspended. Go's
// monotonic clock stands still then, so a lease that ran out during the
// suspension would look valid to its former holder.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, suspended time included. Only differences
// mean anything.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every Linux since 2.6.39 has this clock; without it no lease can be judged.
		panic("boottime: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
