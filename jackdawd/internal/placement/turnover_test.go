package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// come lets so many requests a second come for a time, each of which takes as long as given, and returns
// when that is over and in how many of them requests outpaced what hosts tell each other.
func come(t *Turnovers, from time.Time, perSecond int, during, lasts time.Duration) (until time.Time, outpaced int) {
	for at := from; at.Before(from.Add(during)); at = at.Add(time.Second / time.Duration(perSecond)) {
		t.Began(at, "reader")
		if t.Outpaced(at, "reader") {
			outpaced++
		}
		t.Ended(at, "reader", "class", lasts)
	}
	return from.Add(during), outpaced
}

func TestSteadyRequestsAreNotOutpaced(t *testing.T) {
	for name, perSecond := range map[string]int{"few": 3, "many": 200} {
		t.Run(name, func(t *testing.T) {
			_, outpaced := come(NewTurnovers(), time.Unix(1_800_000_000, 0), perSecond, 20*time.Second, time.Second)
			require.Zero(t, outpaced)
		})
	}
}

func TestShortRequestsAreOutpaced(t *testing.T) {
	turnovers := NewTurnovers()
	now, _ := come(turnovers, time.Unix(1_800_000_000, 0), 20, 5*time.Second, 200*time.Millisecond)
	require.True(t, turnovers.Outpaced(now, "reader"))
	require.False(t, turnovers.Outpaced(now, "another"))
	now, _ = come(turnovers, now, 20, 5*time.Second, time.Second)
	require.False(t, turnovers.Outpaced(now, "reader"))
}

// A crowd comes. The host sees it by itself before anybody can tell it, and goes by what it is told again
// once that is of the crowd.
func TestJumpIsSeenAtOnce(t *testing.T) {
	turnovers := NewTurnovers()
	now, outpaced := come(turnovers, time.Unix(1_800_000_000, 0), 3, 20*time.Second, time.Second)
	require.Zero(t, outpaced)
	now, outpaced = come(turnovers, now, 35, 300*time.Millisecond, time.Second)
	require.GreaterOrEqual(t, outpaced, 5)
	now, _ = come(turnovers, now, 35, 5*time.Second, time.Second)
	_, outpaced = come(turnovers, now, 35, 5*time.Second, time.Second)
	require.Zero(t, outpaced)
}

// Most requests in progress are of the long ones, also where most that come are short.
func TestLongRequestsAreMostlyInProgress(t *testing.T) {
	turnovers, now := NewTurnovers(), time.Unix(1_800_000_000, 0)
	for n := range 1000 {
		took := 100 * time.Millisecond
		if n%4 == 0 {
			took = 1500 * time.Millisecond
		}
		turnovers.Ended(now, "reader", "class", took)
	}
	require.InDelta(t, 1.27, turnovers.InProgress(now, "reader").Seconds(), 0.25)
	require.InDelta(t, 0.45, turnovers.Usually("class").Seconds(), 0.2)
	require.Equal(t, usuallyLasts, turnovers.InProgress(now, "another"))
	require.Equal(t, usuallyLasts, turnovers.Usually("another"))
}
