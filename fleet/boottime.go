package fleet

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the machine started, including suspension. It
// returns 0 if the clock cannot be read; then only the monotonic clock counts.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
