package membership

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/traffic"
)

// coldEntry returns an entry of an upstream that is cold for a time.
func coldEntry(sequence int64, incarnation traffic.Incarnation, coldFor time.Duration) traffic.UpstreamEntry {
	e := entry("a", sequence, traffic.Ready)
	e.Upstream.Incarnation, e.Upstream.ColdFor = incarnation, coldFor
	return e
}

// Guards against an upstream that counts as warm while it is cold, or as cold for ever.
func TestColdTimeFollowsEntries(t *testing.T) {
	// The upstreams are read each 1.5 s.
	const interval = 1500 * time.Millisecond
	for name, test := range map[string]struct {
		entries []traffic.UpstreamEntry
		// left is how much longer the upstream is cold when the last entry has been read.
		left time.Duration
		// changes is how many changes hosts that follow this one are sent.
		changes int64
	}{
		"warm":                       {[]traffic.UpstreamEntry{coldEntry(1, 1, 0)}, 0, 1},
		"just started":               {[]traffic.UpstreamEntry{coldEntry(1, 1, 3*time.Second)}, 3 * time.Second, 1},
		"earliest end holds":         {[]traffic.UpstreamEntry{coldEntry(1, 1, 3*time.Second), coldEntry(2, 1, time.Second)}, time.Second, 1},
		"later entry is older":       {[]traffic.UpstreamEntry{coldEntry(1, 1, 3*time.Second), coldEntry(2, 1, 2900*time.Millisecond)}, interval, 1},
		"warm sooner than expected":  {[]traffic.UpstreamEntry{coldEntry(1, 1, 3*time.Second), coldEntry(2, 1, 0)}, 0, 2},
		"cold again":                 {[]traffic.UpstreamEntry{coldEntry(1, 1, 0), coldEntry(2, 1, 2*time.Second)}, 2 * time.Second, 2},
		"cold again while cold":      {[]traffic.UpstreamEntry{coldEntry(1, 1, time.Second), coldEntry(2, 1, 2*time.Second)}, 2 * time.Second, 3},
		"old entry after its end":    {[]traffic.UpstreamEntry{coldEntry(1, 1, time.Second), coldEntry(2, 1, 500*time.Millisecond)}, 0, 2},
		"restarted under its ID":     {[]traffic.UpstreamEntry{coldEntry(9, 1, 3*time.Second), coldEntry(1, 2, 3*time.Second)}, 3 * time.Second, 2},
		"late entry, before restart": {[]traffic.UpstreamEntry{coldEntry(1, 2, 0), coldEntry(9, 1, 3*time.Second)}, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(t *testing.T, tracker *Tracker, store *fakeStore, _ *atomic.Int64) {
				store.update(func(store *fakeStore) {
					for _, e := range test.entries {
						store.changes = append(store.changes, traffic.UpstreamChange{Entries: []traffic.UpstreamEntry{e}})
					}
				})
				// The snapshot follows with the next tick.
				time.Sleep(time.Duration(len(test.entries))*interval + tickInterval + time.Millisecond)
				left := max(time.Until(tracker.Snapshot().ColdUntil("a")), 0)
				require.InDelta(t, max(test.left-tickInterval, 0), left, float64(50*time.Millisecond))
				require.Equal(t, test.changes, tracker.Changes().End().Next)
				time.Sleep(left + 2*tickInterval)
				require.Zero(t, tracker.Snapshot().ColdUntil("a"))
			})
		})
	}
}

// Guards against a host that has just started to follow this one and takes all upstreams that were
// ever cold for cold.
func TestCompleteListHasTimeLeftCold(t *testing.T) {
	runTest(t, func(t *testing.T, tracker *Tracker, store *fakeStore, _ *atomic.Int64) {
		store.update(func(store *fakeStore) {
			store.changes = []traffic.UpstreamChange{{Entries: []traffic.UpstreamEntry{coldEntry(1, 1, 2*time.Second)}}}
		})
		time.Sleep(1600 * time.Millisecond)
		coldFor := func() time.Duration {
			return tracker.Changes().Since(Position{}).Entries[0].Upstream.ColdFor
		}
		require.Positive(t, coldFor())
		time.Sleep(3 * time.Second)
		require.Zero(t, coldFor())
	})
}
