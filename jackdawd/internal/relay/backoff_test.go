package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/traffic"
)

func TestBackoffs(t *testing.T) {
	backoffs, now, upstream := NewBackoffs(), time.Unix(1_800_000_000, 0), traffic.UpstreamInstance{ID: "a", Incarnation: 1}
	require.Zero(t, backoffs.Remaining(now)[upstream])
	backoffs.Add(now, upstream, 4*time.Second)
	require.GreaterOrEqual(t, backoffs.Remaining(now)[upstream], 4*time.Second)
	require.Less(t, backoffs.Remaining(now)[upstream], 4*time.Second+maxBackoffJitter)
	require.Zero(t, backoffs.Remaining(now)[traffic.UpstreamInstance{ID: "a", Incarnation: 2}], "another incarnation has no backoff")
	backoffs.Add(now, upstream, time.Second)
	require.GreaterOrEqual(t, backoffs.Remaining(now)[upstream], 4*time.Second, "a delayed response does not shorten a backoff")
	require.Zero(t, backoffs.Remaining(now.Add(5 * time.Second))[upstream])
	backoffs.Add(now.Add(5*time.Second), traffic.UpstreamInstance{ID: "b"}, time.Second)
	require.Len(t, backoffs.until, 1, "expired backoffs are removed")
}
