package entry

import (
	"time"

	"golang.org/x/sys/unix"
)

// uptime is a steady clock that also counts the time for which the host was
// suspended. Go's clock does not, so that after a suspension a host would go on
// honoring keys that were revoked meanwhile.
func uptime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every kernel that this runs on has the clock.
		panic(err)
	}
	return time.Duration(t.Nano())
}
