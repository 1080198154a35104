package membership

import (
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/control"
)

// An upstream announces that it leaves, and then an older, delayed entry says that it is ready. The
// upstream must not get new work again.
func TestOlderEntryIsIgnored(t *testing.T) {
	runTest(t, func(t *testing.T, tracker *Keeper, store *fakeStore, _ *atomic.Int64) {
		store.update(func(store *fakeStore) {
			store.changes = []traffic.UpstreamChange{
				{Whole: true, Entries: []traffic.UpstreamEntry{entry("a", 1, traffic.Ready), entry("b", 1, traffic.Ready)}},
				{Entries: []traffic.UpstreamEntry{entry("a", 3, traffic.Leaving), entry("a", 2, traffic.Ready)}},
				{Entries: []traffic.UpstreamEntry{entry("a", 2, traffic.Ready)}},
			}
		})
		time.Sleep(2 * time.Second)
		require.Equal(t, []string{"a", "b"}, ids(tracker.Snapshot().Upstreams("reader")))
		time.Sleep(2 * time.Second)
		require.Equal(t, []string{"b"}, ids(tracker.Snapshot().Upstreams("reader")))
		require.False(t, tracker.Snapshot().Takes("a"))
		time.Sleep(2 * time.Second)
		require.Equal(t, []string{"b"}, ids(tracker.Snapshot().Upstreams("reader")))
		_, ok := tracker.Snapshot().Listed("a")
		require.True(t, ok, "other engines may still fetch cached prompts from it")
	})
}

// While the store is unavailable, entries expire although their upstreams run. After the store's
// return the upstreams are kept for two seconds, and removed if they do not write their entries
// again.
func TestExpiredEntriesAreKeptForGracePeriod(t *testing.T) {
	runTest(t, func(t *testing.T, tracker *Keeper, store *fakeStore, _ *atomic.Int64) {
		store.update(func(store *fakeStore) {
			store.changes = []traffic.UpstreamChange{{Whole: true, Entries: []traffic.UpstreamEntry{entry("a", 1, traffic.Ready), entry("b", 1, traffic.Ready)}}}
		})
		time.Sleep(2 * time.Second)
		store.update(func(store *fakeStore) { store.unavailable = true })
		time.Sleep(10 * time.Second)
		require.Equal(t, []string{"a", "b"}, ids(tracker.Snapshot().Upstreams("reader")))
		store.update(func(store *fakeStore) {
			store.unavailable = false
			store.changes = []traffic.UpstreamChange{{Whole: true}, {Entries: []traffic.UpstreamEntry{entry("b", 9, traffic.Ready)}}}
		})
		time.Sleep(time.Second)
		require.Equal(t, []string{"a", "b"}, ids(tracker.Snapshot().Upstreams("reader")))
		// The return is noticed by the next read, at most one retry interval later, and the end of
		// the grace period by the next tick.
		time.Sleep(expiryGracePeriod - time.Second + maxRetryInterval + maxRetryInterval/2 + tickInterval)
		require.Equal(t, []string{"b"}, ids(tracker.Snapshot().Upstreams("reader")))
	})
}

// Reads fail for less than the entry TTL, so that no entry can have expired. An upstream that is
// missing afterwards has left and must get no more work.
func TestNoGracePeriodAfterShortOutage(t *testing.T) {
	runTest(t, func(t *testing.T, tracker *Keeper, store *fakeStore, _ *atomic.Int64) {
		store.update(func(store *fakeStore) {
			store.changes = []traffic.UpstreamChange{{Whole: true, Entries: []traffic.UpstreamEntry{entry("a", 1, traffic.Ready), entry("b", 1, traffic.Ready)}}}
		})
		time.Sleep(2 * time.Second)
		store.update(func(store *fakeStore) { store.unavailable = true })
		time.Sleep(2 * time.Second)
		store.update(func(store *fakeStore) {
			store.unavailable = false
			store.changes = []traffic.UpstreamChange{{Entries: []traffic.UpstreamEntry{traffic.Gone("a")}}}
		})
		time.Sleep(maxRetryInterval + maxRetryInterval/2)
		require.Equal(t, []string{"b"}, ids(tracker.Snapshot().Upstreams("reader")))
	})
}

// Without an outage, a removed entry means that its upstream has left.
func TestRemovedEntryRemovesUpstream(t *testing.T) {
	runTest(t, func(t *testing.T, tracker *Keeper, store *fakeStore, _ *atomic.Int64) {
		store.update(func(store *fakeStore) {
			store.changes = []traffic.UpstreamChange{
				{Whole: true, Entries: []traffic.UpstreamEntry{entry("a", 1, traffic.Ready), entry("b", 1, traffic.Ready)}},
				{Entries: []traffic.UpstreamEntry{traffic.Gone("a")}},
			}
		})
		time.Sleep(4 * time.Second)
		require.Equal(t, []string{"b"}, ids(tracker.Snapshot().Upstreams("reader")))
	})
}

// Another upstream answers at an upstream's address.
func TestUpstreamWithReusedAddressIsRemovedAtOnce(t *testing.T) {
	runTest(t, func(t *testing.T, tracker *Keeper, store *fakeStore, _ *atomic.Int64) {
		store.update(func(store *fakeStore) {
			store.changes = []traffic.UpstreamChange{{Whole: true, Entries: []traffic.UpstreamEntry{entry("a", 1, traffic.Ready), entry("b", 1, traffic.Ready)}}}
		})
		time.Sleep(2 * time.Second)
		tracker.Lost(traffic.Start{ID: "a"})
		synctest.Wait()
		require.Equal(t, []string{"b"}, ids(tracker.Snapshot().Upstreams("reader")))
	})
}

// An upstream fails three requests in a row of this host and is avoided for a while.
func TestFailingUpstreamIsAvoided(t *testing.T) {
	runTest(t, func(t *testing.T, tracker *Keeper, store *fakeStore, _ *atomic.Int64) {
		store.update(func(store *fakeStore) {
			store.changes = []traffic.UpstreamChange{{Whole: true, Entries: []traffic.UpstreamEntry{
				entry("a", 1, traffic.Ready), entry("b", 1, traffic.Ready), entry("c", 1, traffic.Ready),
			}}}
		})
		time.Sleep(2 * time.Second)
		for range 3 {
			tracker.Observe(traffic.Start{ID: "a"}, control.Broken)
		}
		synctest.Wait()
		require.True(t, tracker.Snapshot().Avoided("a"))
		time.Sleep(2 * time.Second)
		require.False(t, tracker.Snapshot().Avoided("a"))
	})
}

// An upstream appears and leaves between two reads, so that one change has two entries for it. The
// later entry wins: the upstream must not stay listed until its next entry.
func TestLaterOfTwoEntriesWins(t *testing.T) {
	runTest(t, func(t *testing.T, tracker *Keeper, store *fakeStore, _ *atomic.Int64) {
		store.update(func(store *fakeStore) {
			store.changes = []traffic.UpstreamChange{
				{Whole: true, Entries: []traffic.UpstreamEntry{entry("b", 1, traffic.Ready)}},
				{Entries: []traffic.UpstreamEntry{entry("a", 1, traffic.Ready), traffic.Gone("a")}},
				{Entries: []traffic.UpstreamEntry{traffic.Gone("b"), entry("b", 2, traffic.Ready)}},
			}
		})
		time.Sleep(6 * time.Second)
		require.Equal(t, []string{"b"}, ids(tracker.Snapshot().Upstreams("reader")))
	})
}

// An entry that was written before its upstream left is delayed and arrives after the upstream's
// removal.
func TestDelayedEntryOfRemovedUpstreamIsIgnored(t *testing.T) {
	runTest(t, func(t *testing.T, tracker *Keeper, store *fakeStore, _ *atomic.Int64) {
		store.update(func(store *fakeStore) {
			store.changes = []traffic.UpstreamChange{
				{Whole: true, Entries: []traffic.UpstreamEntry{entry("a", 4, traffic.Ready), entry("b", 1, traffic.Ready)}},
				{Entries: []traffic.UpstreamEntry{traffic.Gone("a"), entry("a", 3, traffic.Ready)}},
				{Entries: []traffic.UpstreamEntry{entry("a", 3, traffic.Ready)}},
			}
		})
		time.Sleep(6 * time.Second)
		require.Equal(t, []string{"b"}, ids(tracker.Snapshot().Upstreams("reader")))
	})
}

// A host that does not know yet of an upstream's removal sends the upstream's last entry again.
// Only a newer entry makes the upstream return.
func TestRemovedUpstreamReturnsOnlyWithNewerEntry(t *testing.T) {
	runTest(t, func(t *testing.T, tracker *Keeper, store *fakeStore, _ *atomic.Int64) {
		store.update(func(store *fakeStore) {
			store.changes = []traffic.UpstreamChange{
				{Whole: true, Entries: []traffic.UpstreamEntry{entry("a", 4, traffic.Ready), entry("b", 1, traffic.Ready)}},
				{Entries: []traffic.UpstreamEntry{traffic.Gone("a")}},
				{Whole: true, Entries: []traffic.UpstreamEntry{entry("a", 4, traffic.Ready), entry("b", 1, traffic.Ready)}},
			}
		})
		time.Sleep(6 * time.Second)
		require.Equal(t, []string{"b"}, ids(tracker.Snapshot().Upstreams("reader")))
		store.update(func(store *fakeStore) {
			store.changes = []traffic.UpstreamChange{{Entries: []traffic.UpstreamEntry{entry("a", 5, traffic.Ready)}}}
		})
		time.Sleep(2 * time.Second)
		require.Equal(t, []string{"a", "b"}, ids(tracker.Snapshot().Upstreams("reader")))
	})
}

// The configuration has been read, but the first read of the upstreams fails. The host is not
// ready, as it would refuse all requests for lack of upstreams.
func TestNotReadyBeforeUpstreamsAreKnown(t *testing.T) {
	logrus.SetOutput(io.Discard)
	synctest.Test(t, func(t *testing.T) {
		store, unavailable := &fakeStore{configurations: []*traffic.Configuration{configuration(7)}}, &fakeStore{unavailable: true}
		begin := time.Now()
		tracker := NewKeeper(Options{
			Configurations: fakeConfigurations{store}, Upstreams: fakeUpstreams{unavailable}, Uptime: func() time.Duration { return time.Since(begin) },
			Bounds: Bounds{Revoke: 5 * time.Second, Drain: 2 * time.Second, Lapse: 3600 * time.Millisecond},
		})
		defer tracker.Close()
		synctest.Wait()
		require.NotNil(t, tracker.Snapshot().Configuration())
		require.False(t, tracker.Ready())
		unavailable.update(func(store *fakeStore) { store.unavailable = false })
		time.Sleep(2 * time.Second)
		require.True(t, tracker.Ready(), "also with an empty list")
	})
}

// entryWithStart returns the entry of an upstream that reports its start.
func entryWithStart(id string, incarnation traffic.Incarnation, sequence int64, state traffic.State) traffic.UpstreamEntry {
	e := entry(id, sequence, state)
	e.Upstream.Incarnation = incarnation
	return e
}

// An upstream restarts with the same identifier and numbers its entries from one again. Earlier
// failures say nothing of the new start, and delayed entries of the earlier start are ignored.
func TestRestartWithSameID(t *testing.T) {
	runTest(t, func(t *testing.T, tracker *Keeper, store *fakeStore, _ *atomic.Int64) {
		apply := func(entries ...traffic.UpstreamEntry) {
			store.update(func(store *fakeStore) {
				store.changes = append(store.changes, traffic.UpstreamChange{Entries: entries})
			})
			time.Sleep(2 * time.Second)
		}
		apply(entryWithStart("a", 1000, 9, traffic.Ready), entryWithStart("b", 1000, 9, traffic.Ready), entryWithStart("c", 1000, 9, traffic.Ready), entryWithStart("d", 1000, 9, traffic.Ready))
		before := tracker.Snapshot().Since("a")
		for range 8 {
			tracker.Observe(traffic.Start{ID: "a", Incarnation: 1000}, control.Broken)
		}
		synctest.Wait()
		require.True(t, tracker.Snapshot().Avoided("a"))
		apply(entryWithStart("a", 2000, 1, traffic.Ready))
		require.False(t, tracker.Snapshot().Avoided("a"))
		require.True(t, tracker.Snapshot().Since("a").After(before), "its cache is empty after the restart")
		for range 8 {
			tracker.Observe(traffic.Start{ID: "a", Incarnation: 1000}, control.Broken)
		}
		tracker.Lost(traffic.Start{ID: "a", Incarnation: 1000})
		synctest.Wait()
		require.False(t, tracker.Snapshot().Avoided("a"), "the requests were sent to its earlier start")
		require.True(t, tracker.Snapshot().Takes("a"))
		apply(entryWithStart("a", 1000, 10, traffic.Leaving))
		require.True(t, tracker.Snapshot().Takes("a"))
		apply(entryWithStart("a", 2000, 2, traffic.Leaving))
		require.False(t, tracker.Snapshot().Takes("a"))
	})
}

// Another writer overwrites an upstream's entry. The upstream is removed, the others stay, and the
// upstream's next own entry makes it return.
func TestEntryOfAnotherWriterRemovesUpstream(t *testing.T) {
	tests := map[string]traffic.UpstreamEntry{
		"describes no upstream":           traffic.Unusable("a"),
		"lacks the start":                 entry("a", 20, traffic.Ready),
		"lacks the start, lower sequence": entry("a", 1, traffic.Ready),
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(t *testing.T, tracker *Keeper, store *fakeStore, _ *atomic.Int64) {
				store.update(func(store *fakeStore) {
					store.changes = []traffic.UpstreamChange{
						{Whole: true, Entries: []traffic.UpstreamEntry{entryWithStart("a", 1000, 9, traffic.Ready), entryWithStart("b", 1000, 9, traffic.Ready)}},
						{Entries: []traffic.UpstreamEntry{test}},
						{Entries: []traffic.UpstreamEntry{entryWithStart("a", 1000, 10, traffic.Ready)}},
					}
				})
				time.Sleep(2 * time.Second)
				require.Equal(t, []string{"a", "b"}, ids(tracker.Snapshot().Upstreams("reader")))
				time.Sleep(1500 * time.Millisecond)
				require.Equal(t, []string{"b"}, ids(tracker.Snapshot().Upstreams("reader")))
				time.Sleep(1500 * time.Millisecond)
				require.Equal(t, []string{"a", "b"}, ids(tracker.Snapshot().Upstreams("reader")))
			})
		})
	}
}

// After a long outage of the store, upstreams whose entries have expired are kept for a grace
// period. An overwritten entry has not expired, so its upstream is removed at once.
func TestOverwrittenEntryGetsNoGracePeriod(t *testing.T) {
	runTest(t, func(t *testing.T, tracker *Keeper, store *fakeStore, _ *atomic.Int64) {
		store.update(func(store *fakeStore) {
			store.changes = []traffic.UpstreamChange{{Whole: true, Entries: []traffic.UpstreamEntry{entry("a", 1, traffic.Ready), entry("b", 1, traffic.Ready)}}}
		})
		time.Sleep(2 * time.Second)
		store.update(func(store *fakeStore) { store.unavailable = true })
		time.Sleep(10 * time.Second)
		store.update(func(store *fakeStore) {
			store.unavailable = false
			store.changes = []traffic.UpstreamChange{{Whole: true, Entries: []traffic.UpstreamEntry{traffic.Unusable("a")}}}
		})
		time.Sleep(maxRetryInterval + maxRetryInterval/2)
		require.Equal(t, []string{"b"}, ids(tracker.Snapshot().Upstreams("reader")))
	})
}

// A host is partitioned, and each of its reads times out after a second. An upstream announces that
// it leaves just before the partition heals. At whatever phase of the retry intervals that happens,
// the host must know well before 3 s later, when it counts as current again: from then on no
// request may reach the upstream. An additional pause of two seconds after failures of other hosts
// and the store would be too much.
func TestLeavingUpstreamIsKnownSoonAfterPartitionHeals(t *testing.T) {
	const currentAfter = 3 * time.Second
	for phase := range 20 {
		runTest(t, func(t *testing.T, tracker *Keeper, store *fakeStore, _ *atomic.Int64) {
			store.update(func(store *fakeStore) {
				store.changes = []traffic.UpstreamChange{{Whole: true, Entries: []traffic.UpstreamEntry{entry("a", 1, traffic.Ready), entry("b", 1, traffic.Ready)}}}
			})
			time.Sleep(2 * time.Second)
			store.update(func(store *fakeStore) { store.timingOut = true })
			time.Sleep(8*time.Second + time.Duration(phase)*125*time.Millisecond)
			store.update(func(store *fakeStore) {
				store.timingOut = false
				store.changes = []traffic.UpstreamChange{{Entries: []traffic.UpstreamEntry{entry("a", 2, traffic.Leaving)}}}
			})
			time.Sleep(currentAfter - 500*time.Millisecond)
			require.False(t, tracker.Snapshot().Takes("a"))
			require.True(t, tracker.Snapshot().Takes("b"))
		})
	}
}

// A host is partitioned for longer than the entry TTL while the store and all others keep running.
// A few upstreams that are missing when it reads again have left. Unlike entries that expired
// during an outage of the store, they get no grace period.
func TestUpstreamsThatLeftDuringPartitionAreRemoved(t *testing.T) {
	entries := func(ids ...string) []traffic.UpstreamEntry {
		var out []traffic.UpstreamEntry
		for _, id := range ids {
			out = append(out, entry(id, 1, traffic.Ready))
		}
		return out
	}
	for name, change := range map[string]traffic.UpstreamChange{
		"delta":         {Entries: []traffic.UpstreamEntry{traffic.Gone("a"), traffic.Gone("b")}},
		"complete list": {Whole: true, Entries: entries("c", "d", "e")},
	} {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(t *testing.T, tracker *Keeper, store *fakeStore, _ *atomic.Int64) {
				store.update(func(store *fakeStore) {
					store.changes = []traffic.UpstreamChange{{Whole: true, Entries: entries("a", "b", "c", "d", "e")}}
				})
				time.Sleep(2 * time.Second)
				store.update(func(store *fakeStore) { store.unavailable = true })
				time.Sleep(12 * time.Second)
				store.update(func(store *fakeStore) {
					store.unavailable = false
					store.changes = []traffic.UpstreamChange{change}
				})
				time.Sleep(maxRetryInterval + maxRetryInterval/2)
				require.Equal(t, []string{"c", "d", "e"}, ids(tracker.Snapshot().Upstreams("reader")))
			})
		})
	}
}
