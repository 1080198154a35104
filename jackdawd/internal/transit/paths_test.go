package transit

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A host must be able to tell an upstream that it does not reach from one that it has not tried.
func TestPathsTellUnreachedUpstreams(t *testing.T) {
	paths, now := NewPaths(), time.Now()
	require.True(t, paths.IsReached("10.1.0.1:80"), "no connection was tried")
	paths.recordDirect(now, "10.1.0.1:80", errors.New("i/o timeout"))
	require.False(t, paths.IsReached("10.1.0.1:80"))
	require.False(t, paths.IsLost("10.1.0.1:80"), "the upstream may be down")
	require.True(t, paths.IsReached("10.1.0.2:80"))
	paths.recordDirect(now.Add(time.Second), "10.1.0.1:80", nil)
	require.True(t, paths.IsReached("10.1.0.1:80"))
}

// A path is lost only while another host reaches the upstream.
func TestPathIsLostUntilUpstreamIsReachedDirectly(t *testing.T) {
	paths, now := NewPaths(), time.Now()
	lost, othersInDoubt := paths.recordThrough(now, "10.1.0.1:80", "entry-2")
	require.True(t, lost)
	require.False(t, othersInDoubt)
	require.True(t, paths.IsLost("10.1.0.1:80"))
	lost, _ = paths.recordThrough(now, "10.1.0.1:80", "entry-2")
	require.False(t, lost, "it was lost before")
	_, othersInDoubt = paths.recordThrough(now, "10.1.0.2:80", "entry-2")
	require.True(t, othersInDoubt, "two were lost at the same time")
	require.ElementsMatch(t, []string{"10.1.0.1:80", "10.1.0.2:80"}, paths.lost())
	paths.recordDirect(now, "10.1.0.1:80", nil)
	require.Equal(t, []string{"10.1.0.2:80"}, paths.lost())
}

// Requests for an upstream that nobody reaches must not each wait for the timeout of a connection.
func TestUnreachedUpstreamIsProbedOnly(t *testing.T) {
	paths, now := NewPaths(), time.Now()
	paths.recordDirect(now, "10.1.0.1:80", errors.New("i/o timeout"))
	paths.recordUnreached(now, "10.1.0.1:80")
	require.True(t, paths.IsUnreached(now, "10.1.0.1:80"))
	require.False(t, paths.IsUnreached(now, "10.1.0.2:80"))
	require.Empty(t, paths.takeProbes(now))
	now = now.Add(minProbeBackoff)
	require.Equal(t, []string{"10.1.0.1:80"}, paths.takeProbes(now))
	require.Empty(t, paths.takeProbes(now), "its result is not known yet")
	require.True(t, paths.IsUnreached(now, "10.1.0.1:80"))
	for range 5 {
		paths.recordUnreached(now, "10.1.0.1:80")
	}
	require.Empty(t, paths.takeProbes(now.Add(maxProbeBackoff-1)))
	require.NotEmpty(t, paths.takeProbes(now.Add(maxProbeBackoff)))
	paths.recordDirect(now, "10.1.0.1:80", nil)
	require.False(t, paths.IsUnreached(now, "10.1.0.1:80"))
	paths.recordUnreached(now, "10.1.0.1:80")
	require.False(t, paths.IsUnreached(now.Add(probeRetention+time.Second), "10.1.0.1:80"), "nobody asked for it")
}

func TestUnusedPathsAreRemoved(t *testing.T) {
	paths, now := NewPaths(), time.Now()
	paths.recordDirect(now, "10.1.0.1:80", errors.New("i/o timeout"))
	paths.RemoveUnused(now.Add(pathRetention))
	require.False(t, paths.IsReached("10.1.0.1:80"))
	paths.RemoveUnused(now.Add(pathRetention + time.Second))
	require.Empty(t, paths.byAddress)
}
