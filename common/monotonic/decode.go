package monotonic

import "time"

// FromUnixMilli returns a time of day in Unix milliseconds as a time with the monotonic reading of now. Jumps of the time
// of day after now do not change how long ago it was.
func FromUnixMilli(now time.Time, milliseconds int64) time.Time {
	return now.Add(time.UnixMilli(milliseconds).Sub(now))
}
