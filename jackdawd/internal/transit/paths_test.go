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
	require.True(t, paths.IsReached("10.1.0.2:80"))
	paths.recordDirect(now.Add(time.Second), "10.1.0.1:80", nil)
	require.True(t, paths.IsReached("10.1.0.1:80"))
}

func TestUnusedPathsAreRemoved(t *testing.T) {
	paths, now := NewPaths(), time.Now()
	paths.recordDirect(now, "10.1.0.1:80", errors.New("i/o timeout"))
	paths.RemoveUnused(now.Add(pathRetention))
	require.False(t, paths.IsReached("10.1.0.1:80"))
	paths.RemoveUnused(now.Add(pathRetention + time.Second))
	require.Empty(t, paths.byAddress)
}
