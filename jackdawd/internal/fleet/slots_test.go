package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// More requests than a brittle upstream has slots must not get one, and slots whose host died must
// become free again.
func TestSlotsAreGrantedOnce(t *testing.T) {
	table, now := slotTable{expiry: map[uint32]map[uint64]time.Time{}}, time.Now()
	lease := func(n uint64) *SlotArgs { return &SlotArgs{Upstream: 1, Slots: 2, Lease: n, TTL: time.Second} }
	require.True(t, table.apply(now, lease(1)))
	require.True(t, table.apply(now, lease(2)))
	require.False(t, table.apply(now, lease(3)))
	other := lease(3)
	other.Upstream = 2
	require.True(t, table.apply(now, other), "another upstream has slots of its own")
	released := lease(1)
	released.Release = true
	require.False(t, table.apply(now, released))
	require.True(t, table.apply(now, lease(3)))
	require.False(t, table.apply(now.Add(time.Second), lease(4)))
	require.True(t, table.apply(now.Add(time.Second+1), lease(4)), "the others have expired")
}
