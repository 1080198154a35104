package membership

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/traffic"
)

// An upstream announces in a response that it leaves. Entries that say that it is ready arrive
// later, delayed or from other hosts. The upstream gets no work until it has restarted.
func TestLeavingFromResponseOverridesEntries(t *testing.T) {
	entries := map[string]traffic.UpstreamChange{
		"same entry again":         {Entries: []traffic.UpstreamEntry{entryWithIncarnation("a", 1000, 1, traffic.Ready)}},
		"newer entry, delayed":     {Entries: []traffic.UpstreamEntry{entryWithIncarnation("a", 1000, 9, traffic.Ready)}},
		"complete list":            {Complete: true, Entries: []traffic.UpstreamEntry{entryWithIncarnation("a", 1000, 9, traffic.Ready), entryWithIncarnation("b", 1000, 1, traffic.Ready)}},
		"removed and listed again": {Entries: []traffic.UpstreamEntry{traffic.RemovedEntry("a"), entryWithIncarnation("a", 1000, 9, traffic.Ready)}},
	}
	for name, change := range entries {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(t *testing.T, tracker *Tracker, store *fakeStore, _ *atomic.Int64) {
				store.update(func(store *fakeStore) {
					store.changes = []traffic.UpstreamChange{{Complete: true, Entries: []traffic.UpstreamEntry{entryWithIncarnation("a", 1000, 1, traffic.Ready), entryWithIncarnation("b", 1000, 1, traffic.Ready)}}}
				})
				time.Sleep(2 * time.Second)
				tracker.MarkLeaving(traffic.UpstreamInstance{ID: "a", Incarnation: 1000})
				synctest.Wait()
				require.Equal(t, []string{"b"}, ids(tracker.Snapshot().ReadyUpstreams("reader")), "at once")
				store.update(func(store *fakeStore) { store.changes = append(store.changes, change) })
				for range 400 {
					time.Sleep(10 * time.Millisecond)
					require.Equal(t, []string{"b"}, ids(tracker.Snapshot().ReadyUpstreams("reader")), "at all times")
				}
				store.update(func(store *fakeStore) {
					store.changes = append(store.changes, traffic.UpstreamChange{Entries: []traffic.UpstreamEntry{entryWithIncarnation("a", 2000, 1, traffic.Ready)}})
				})
				time.Sleep(4 * time.Second)
				require.Equal(t, []string{"a", "b"}, ids(tracker.Snapshot().ReadyUpstreams("reader")), "it has restarted")
			})
		})
	}
}

// A host that got an upstream's announcement sends the entry on as leaving, with the sequence
// number of the entry that says ready. Another host sends the original entry after it.
func TestLeavingOverridesReadyWithSameSequence(t *testing.T) {
	runTest(t, func(t *testing.T, tracker *Tracker, store *fakeStore, _ *atomic.Int64) {
		store.update(func(store *fakeStore) {
			store.changes = []traffic.UpstreamChange{
				{Complete: true, Entries: []traffic.UpstreamEntry{entry("a", 1, traffic.Ready), entry("b", 1, traffic.Ready)}},
				{Entries: []traffic.UpstreamEntry{entry("a", 1, traffic.Leaving)}},
				{Entries: []traffic.UpstreamEntry{entry("a", 1, traffic.Ready)}},
			}
		})
		time.Sleep(6 * time.Second)
		require.Equal(t, []string{"b"}, ids(tracker.Snapshot().ReadyUpstreams("reader")))
	})
}

// Hosts that follow this one receive what an upstream announced to it.
func TestLeavingIsInChanges(t *testing.T) {
	runTest(t, func(t *testing.T, tracker *Tracker, store *fakeStore, _ *atomic.Int64) {
		store.update(func(store *fakeStore) {
			store.changes = []traffic.UpstreamChange{{Complete: true, Entries: []traffic.UpstreamEntry{entry("a", 1, traffic.Ready)}}}
		})
		time.Sleep(2 * time.Second)
		before := tracker.Changes()
		tracker.MarkLeaving(traffic.UpstreamInstance{ID: "a"})
		synctest.Wait()
		change := tracker.Changes().Since(before.End())
		require.Len(t, change.Entries, 1)
		require.Equal(t, traffic.Leaving, change.Entries[0].Upstream.State)
	})
}

// The input queue is full when an upstream announces that it leaves. The announcement is not lost.
func TestLeavingIsAppliedWithFullQueue(t *testing.T) {
	runTest(t, func(t *testing.T, tracker *Tracker, store *fakeStore, _ *atomic.Int64) {
		store.update(func(store *fakeStore) {
			store.changes = []traffic.UpstreamChange{{Complete: true, Entries: []traffic.UpstreamEntry{entry("a", 1, traffic.Ready), entry("b", 1, traffic.Ready)}}}
		})
		time.Sleep(2 * time.Second)
		tracker.inputs <- func(*state) { time.Sleep(100 * time.Millisecond) }
		for range inputQueueSize + 1 {
			tracker.inputs <- func(*state) {}
			if len(tracker.inputs) == inputQueueSize {
				break
			}
		}
		tracker.MarkLeaving(traffic.UpstreamInstance{ID: "a"})
		time.Sleep(100*time.Millisecond + 2*tickInterval)
		require.Equal(t, []string{"b"}, ids(tracker.Snapshot().ReadyUpstreams("reader")))
	})
}
