package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	noon  = time.Unix(1_800_000_000, 0)
	group = []string{"engine-1", "engine-2", "engine-3", "engine-4"}
)

func fail(e *Evidence, now time.Time, name string, times int) {
	for range times {
		e.Observe(now, name, false)
	}
}

// One lost connection is no evidence. Three in a row are, for a second.
func TestAvoidAfterThreeFailures(t *testing.T) {
	e := NewEvidence()
	fail(e, noon, "engine-1", failuresToAvoid-1)
	require.Empty(t, e.Avoid(noon, group))
	fail(e, noon, "engine-1", 1)
	require.Equal(t, map[string]bool{"engine-1": true}, e.Avoid(noon, group))
	require.Empty(t, e.Avoid(noon.Add(firstAvoidance), group))
}

// An engine flaps: it answers now and then, and fails again. Each failure after
// its return avoids it twice as long, so that its chats do not go to and fro.
func TestFlappingIsAvoidedLonger(t *testing.T) {
	e := NewEvidence()
	fail(e, noon, "engine-1", failuresToAvoid)
	now := noon
	for _, want := range []time.Duration{2, 4, 8, 16, 30, 30} {
		now = now.Add(time.Minute)
		e.Observe(now, "engine-1", true)
		require.True(t, e.Observe(now, "engine-1", false))
		require.NotEmpty(t, e.Avoid(now.Add(want*time.Second-1), group))
		require.Empty(t, e.Avoid(now.Add(want*time.Second), group))
	}
}

// This host's own network fails: every engine seems down. None is avoided, or
// there would be nowhere left to send anything.
func TestOwnNetworkFault(t *testing.T) {
	e := NewEvidence()
	for _, name := range group {
		fail(e, noon, name, failuresToAvoid)
	}
	require.Empty(t, e.Avoid(noon, group))
}

func TestTrustReturns(t *testing.T) {
	e := NewEvidence()
	fail(e, noon, "engine-1", failuresToAvoid)
	for range successesToTrust {
		e.Observe(noon, "engine-1", true)
	}
	fail(e, noon, "engine-1", failuresToAvoid-1)
	require.Empty(t, e.Avoid(noon, group))
}
