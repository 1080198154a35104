package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/traffic"
)

func TestPausesEnd(t *testing.T) {
	p, now, busy := NewPauses(), time.Unix(1_800_000_000, 0), traffic.Start{ID: "a", Incarnation: 1}
	require.Zero(t, p.Left(now)[busy])
	p.Ask(now, busy, 4*time.Second)
	require.GreaterOrEqual(t, p.Left(now)[busy], 4*time.Second)
	require.Less(t, p.Left(now)[busy], 4*time.Second+longestReturn)
	require.Zero(t, p.Left(now)[traffic.Start{ID: "a", Incarnation: 2}], "it has started again")
	p.Ask(now, busy, time.Second)
	require.GreaterOrEqual(t, p.Left(now)[busy], 4*time.Second, "an answer that was held up takes nothing back")
	require.Zero(t, p.Left(now.Add(5 * time.Second))[busy])
	p.Ask(now.Add(5*time.Second), traffic.Start{ID: "b"}, time.Second)
	require.Len(t, p.until, 1, "what has ended is forgotten")
}
