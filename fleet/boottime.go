package fleet

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot is the time since the machine started, with the time that it was
// suspended. 0 where it cannot be read: the steady clock alone counts then.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
