package monotonic

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/standin/clock"
)

// Guards against intervals that follow jumps of the time of day: clock.AfterJump stands for the jump, with the monotonic
// clock unchanged.
func TestIntervalsIgnoreClockJumps(t *testing.T) {
	const age = 5 * time.Second
	marked := time.Now()
	now := marked.Add(age)
	for name, jump := range map[string]int{"none": 0, "backward": -3, "far backward": -3600, "forward": 3, "far forward": 3600} {
		t.Run(name, func(t *testing.T) {
			var m Mark
			m.Set(clock.AfterJump(marked, jump))
			since, ok := m.Since(now)
			require.True(t, ok)
			require.Equal(t, age, since)
			decoded := FromUnixMilli(marked, marked.UnixMilli())
			require.InDelta(t, age, clock.AfterJump(now, jump).Sub(decoded), float64(time.Millisecond))
		})
	}
}

// Guards against a mark that was never set and counts as long ago.
func TestMarkIsUnsetAtFirst(t *testing.T) {
	var m Mark
	_, ok := m.Since(time.Now())
	require.False(t, ok)
}
