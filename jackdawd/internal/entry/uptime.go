package entry

import (
	"time"

	"golang.org/x/sys/unix"
)

// uptime returns the time since boot, including the time for which the host was suspended. Go's
// monotonic clock excludes that time, so after a suspension a host would keep accepting keys
// that were revoked in the meantime.
func uptime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// All supported kernels have CLOCK_BOOTTIME.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
