package clock

import (
	"fmt"
	"time"
	"unsafe"
)

// secondsShift is where time.Time holds the seconds of its time of day if it has a monotonic reading.
const secondsShift = 30

// AfterJump returns a time as a clock tells it whose time of day has jumped by a number of seconds: the time of day
// differs from that of t, the monotonic reading does not. It panics if t has no monotonic reading.
func AfterJump(t time.Time, seconds int) time.Time {
	jumped := t
	// No function of the standard library changes one of the two readings and keeps the other one.
	*(*uint64)(unsafe.Pointer(&jumped)) += uint64(int64(seconds) << secondsShift)
	if by := jumped.Round(0).Sub(t.Round(0)); by != time.Duration(seconds)*time.Second || jumped.Sub(t) != 0 {
		panic(fmt.Sprintf("clock: the time of day of %v jumped by %v and its monotonic reading by %v", t, by, jumped.Sub(t)))
	}
	return jumped
}
