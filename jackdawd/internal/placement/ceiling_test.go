package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The ceiling rises to its maximum while loads vary only randomly, so that prompts stay where they
// are, and falls to its minimum while an engine is far above the others.
func TestCeilingFollowsExcessLoad(t *testing.T) {
	even := []float64{4, 5, 6, 5, 4, 7, 5, 4, 6, 4}
	uneven := []float64{4, 5, 6, 5, 4, 20, 5, 4, 6, 4}
	c := newCeiling()
	initial := c.forMean(5)
	for range 500 {
		c.observe(even, cappedMean(even), 2, time.Second/2)
	}
	require.InDelta(t, 5+maxHeadroom*2.236+1, c.forMean(5), 0.01)
	for range 20 {
		c.observe(uneven, cappedMean(uneven), 2, time.Second/2)
	}
	require.Less(t, c.forMean(5), initial)
	require.InDelta(t, 5+minHeadroom*2.236+1, c.forMean(5), 0.01)
	c.observe(nil, 0, 2, time.Second/2)
	require.InDelta(t, 1, c.forMean(0), 0.01)
}
