package membership

import (
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/traffic"
)

func TestChangesSince(t *testing.T) {
	l := newChangeLog()
	all := map[string]traffic.Upstream{}
	for i := range 3 {
		u := traffic.Upstream{ID: fmt.Sprint(i)}
		all[u.ID] = u
		l.add(traffic.ListedEntry(u))
	}
	before := l.snapshot(nil, all)
	l.add(traffic.RemovedEntry("1"))
	delete(all, "1")
	after := l.snapshot(nil, all)
	change := after.Since(before.End())
	require.False(t, change.Complete)
	require.Equal(t, []traffic.UpstreamEntry{traffic.RemovedEntry("1")}, change.Entries)
	require.Empty(t, after.Since(after.End()).Entries)
	for name, p := range map[string]Position{
		"other epoch":     {Epoch: after.End().Epoch + 1, Next: 2},
		"future position": {Epoch: after.End().Epoch, Next: 99},
		"zero position":   {},
	} {
		t.Run(name, func(t *testing.T) {
			change := after.Since(p)
			require.True(t, change.Complete)
			require.Len(t, change.Entries, 2)
		})
	}
}

// A follower that has missed more changes than are kept gets the complete list.
func TestOldChangesAreDropped(t *testing.T) {
	l := newChangeLog()
	start := l.snapshot(nil, nil).End()
	for i := range maxRecentChanges + 1 {
		l.add(traffic.RemovedEntry(fmt.Sprint(i)))
	}
	require.True(t, l.snapshot(nil, nil).Since(start).Complete)
}

func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{20, 150, 440, 880} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			upstreams := map[string]traffic.Upstream{}
			l := newChangeLog()
			for i := range n {
				id := fmt.Sprintf("i-%010d", i)
				upstreams[id] = traffic.Upstream{ID: id, Hash: traffic.HashID(id), Pool: fmt.Sprint(i % 23), Address: "10.200.100.100:8080", State: traffic.Ready}
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			snapshot, changes := newSnapshot(nil, upstreams, nil, nil), l.snapshot(nil, upstreams)
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(snapshot)
			runtime.KeepAlive(changes)
			size := float64(after.HeapAlloc) - float64(before.HeapAlloc)
			for b.Loop() {
				newSnapshot(nil, upstreams, nil, nil)
				l.snapshot(nil, upstreams)
			}
			b.ReportMetric(size, "held-B")
		})
	}
}

// An upstream's entry expires and returns within the grace period. A host that follows this one may
// have removed the upstream and must be sent its entry again.
func TestReturnedUpstreamIsInChanges(t *testing.T) {
	runTest(t, func(t *testing.T, tracker *Tracker, store *fakeStore, _ *atomic.Int64) {
		store.update(func(store *fakeStore) {
			store.changes = []traffic.UpstreamChange{{Complete: true, Entries: []traffic.UpstreamEntry{entry("a", 1, traffic.Ready)}}}
		})
		time.Sleep(2 * time.Second)
		before := tracker.Changes().End()
		store.update(func(store *fakeStore) { store.unavailable = true })
		time.Sleep(5 * time.Second)
		store.update(func(store *fakeStore) {
			store.unavailable = false
			store.changes = []traffic.UpstreamChange{
				{Complete: true, Entries: []traffic.UpstreamEntry{}},
				{Entries: []traffic.UpstreamEntry{entry("a", 2, traffic.Ready)}},
			}
		})
		time.Sleep(4 * time.Second)
		require.Equal(t, []string{"a"}, ids(tracker.Snapshot().ReadyUpstreams("reader")))
		missed := tracker.Changes().Since(before)
		require.False(t, missed.Complete)
		require.Len(t, missed.Entries, 1)
		require.Equal(t, int64(2), missed.Entries[0].Upstream.Sequence)
	})
}
