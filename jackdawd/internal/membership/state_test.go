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
	runTest(t, func(t *testing.T, tracker *Tracker, store *fakeStore, _ *atomic.Int64) {
		store.update(func(store *fakeStore) {
			store.changes = []traffic.UpstreamChange{
				{Complete: true, Entries: []traffic.UpstreamEntry{entry("a", 1, traffic.Ready), entry("b", 1, traffic.Ready)}},
				{Entries: []traffic.UpstreamEntry{entry("a", 3, traffic.Leaving), entry("a", 2, traffic.Ready)}},
				{Entries: []traffic.UpstreamEntry{entry("a", 2, traffic.Ready)}},
			}
		})
		time.Sleep(2 * time.Second)
		require.Equal(t, []string{"a", "b"}, ids(tracker.Snapshot().ReadyUpstreams("reader")))
		time.Sleep(2 * time.Second)
		require.Equal(t, []string{"b"}, ids(tracker.Snapshot().ReadyUpstreams("reader")))
		require.False(t, tracker.Snapshot().IsReady("a"))
		time.Sleep(2 * time.Second)
		require.Equal(t, []string{"b"}, ids(tracker.Snapshot().ReadyUpstreams("reader")))
		_, ok := tracker.Snapshot().Lookup("a")
		require.True(t, ok, "other engines may still fetch cached prompts from it")
	})
}

// Guards against hosts that are told twice that an upstream is gone, and so read a list again that has
// not changed: it was replaced at its address while its entry had expired, or another writer
// overwrote the entry that is left of it.
func TestGoneUpstreamIsRemovedOnce(t *testing.T) {
	for name, last := range map[string]traffic.UpstreamEntry{
		"entry expired":     traffic.RemovedEntry("a"),
		"entry overwritten": entry("a", 9, traffic.Ready),
	} {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(t *testing.T, tracker *Tracker, store *fakeStore, _ *atomic.Int64) {
				first := entry("a", 1, traffic.Ready)
				first.Upstream.Incarnation = 5
				store.update(func(store *fakeStore) {
					store.changes = []traffic.UpstreamChange{{Complete: true, Entries: []traffic.UpstreamEntry{first, entry("b", 1, traffic.Ready)}}}
				})
				time.Sleep(1600 * time.Millisecond)
				tracker.inputs <- func(s *state) {
					if last.Upstream == nil {
						s.removeAt["a"] = time.Now().Add(time.Second)
					}
				}
				tracker.RemoveReplaced(first.Upstream.Instance())
				if last.Upstream != nil {
					store.update(func(store *fakeStore) {
						store.changes = []traffic.UpstreamChange{{Entries: []traffic.UpstreamEntry{last}}}
					})
				}
				time.Sleep(5 * time.Second)
				require.Equal(t, []string{"b"}, ids(tracker.Snapshot().AllUpstreams("reader")))
				require.EqualValues(t, 3, tracker.Changes().End().Next, "two entries and one removal")
			})
		})
	}
}

// While the store is unavailable, entries expire although their upstreams run. After the store's
// return the upstreams are kept for two seconds, and removed if they do not write their entries
// again.
func TestExpiredEntriesAreKeptForGracePeriod(t *testing.T) {
	runTest(t, func(t *testing.T, tracker *Tracker, store *fakeStore, _ *atomic.Int64) {
		store.update(func(store *fakeStore) {
			store.changes = []traffic.UpstreamChange{{Complete: true, Entries: []traffic.UpstreamEntry{entry("a", 1, traffic.Ready), entry("b", 1, traffic.Ready)}}}
		})
		time.Sleep(2 * time.Second)
		store.update(func(store *fakeStore) { store.unavailable = true })
		time.Sleep(10 * time.Second)
		require.Equal(t, []string{"a", "b"}, ids(tracker.Snapshot().ReadyUpstreams("reader")))
		store.update(func(store *fakeStore) {
			store.unavailable = false
			store.changes = []traffic.UpstreamChange{{Complete: true}, {Entries: []traffic.UpstreamEntry{entry("b", 9, traffic.Ready)}}}
		})
		time.Sleep(time.Second)
		require.Equal(t, []string{"a", "b"}, ids(tracker.Snapshot().ReadyUpstreams("reader")))
		// The return is noticed by the next read, at most one retry interval later, and the end of
		// the grace period by the next tick.
		time.Sleep(expiryGracePeriod - time.Second + maxRetryInterval + maxRetryInterval/2 + tickInterval)
		require.Equal(t, []string{"b"}, ids(tracker.Snapshot().ReadyUpstreams("reader")))
	})
}

// Reads fail for less than the entry TTL, so that no entry can have expired. An upstream that is
// missing afterwards has left and must get no more work.
func TestNoGracePeriodAfterShortOutage(t *testing.T) {
	runTest(t, func(t *testing.T, tracker *Tracker, store *fakeStore, _ *atomic.Int64) {
		store.update(func(store *fakeStore) {
			store.changes = []traffic.UpstreamChange{{Complete: true, Entries: []traffic.UpstreamEntry{entry("a", 1, traffic.Ready), entry("b", 1, traffic.Ready)}}}
		})
		time.Sleep(2 * time.Second)
		store.update(func(store *fakeStore) { store.unavailable = true })
		time.Sleep(2 * time.Second)
		store.update(func(store *fakeStore) {
			store.unavailable = false
			store.changes = []traffic.UpstreamChange{{Entries: []traffic.UpstreamEntry{traffic.RemovedEntry("a")}}}
		})
		time.Sleep(maxRetryInterval + maxRetryInterval/2)
		require.Equal(t, []string{"b"}, ids(tracker.Snapshot().ReadyUpstreams("reader")))
	})
}

// Without an outage, a removed entry means that its upstream has left.
func TestRemovedEntryRemovesUpstream(t *testing.T) {
	runTest(t, func(t *testing.T, tracker *Tracker, store *fakeStore, _ *atomic.Int64) {
		store.update(func(store *fakeStore) {
			store.changes = []traffic.UpstreamChange{
				{Complete: true, Entries: []traffic.UpstreamEntry{entry("a", 1, traffic.Ready), entry("b", 1, traffic.Ready)}},
				{Entries: []traffic.UpstreamEntry{traffic.RemovedEntry("a")}},
			}
		})
		time.Sleep(4 * time.Second)
		require.Equal(t, []string{"b"}, ids(tracker.Snapshot().ReadyUpstreams("reader")))
	})
}

// Another upstream answers at an upstream's address.
func TestUpstreamWithReusedAddressIsRemovedAtOnce(t *testing.T) {
	runTest(t, func(t *testing.T, tracker *Tracker, store *fakeStore, _ *atomic.Int64) {
		store.update(func(store *fakeStore) {
			store.changes = []traffic.UpstreamChange{{Complete: true, Entries: []traffic.UpstreamEntry{entry("a", 1, traffic.Ready), entry("b", 1, traffic.Ready)}}}
		})
		time.Sleep(2 * time.Second)
		tracker.RemoveReplaced(traffic.UpstreamInstance{ID: "a"})
		synctest.Wait()
		require.Equal(t, []string{"b"}, ids(tracker.Snapshot().ReadyUpstreams("reader")))
	})
}

// An upstream fails three requests in a row of this host and is avoided for a while.
func TestFailingUpstreamIsAvoided(t *testing.T) {
	runTest(t, func(t *testing.T, tracker *Tracker, store *fakeStore, _ *atomic.Int64) {
		store.update(func(store *fakeStore) {
			store.changes = []traffic.UpstreamChange{{Complete: true, Entries: []traffic.UpstreamEntry{
				entry("a", 1, traffic.Ready), entry("b", 1, traffic.Ready), entry("c", 1, traffic.Ready),
			}}}
		})
		time.Sleep(2 * time.Second)
		for range 3 {
			tracker.Observe(traffic.UpstreamInstance{ID: "a"}, control.ConnectionFailed)
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
	runTest(t, func(t *testing.T, tracker *Tracker, store *fakeStore, _ *atomic.Int64) {
		store.update(func(store *fakeStore) {
			store.changes = []traffic.UpstreamChange{
				{Complete: true, Entries: []traffic.UpstreamEntry{entry("b", 1, traffic.Ready)}},
				{Entries: []traffic.UpstreamEntry{entry("a", 1, traffic.Ready), traffic.RemovedEntry("a")}},
				{Entries: []traffic.UpstreamEntry{traffic.RemovedEntry("b"), entry("b", 2, traffic.Ready)}},
			}
		})
		time.Sleep(6 * time.Second)
		require.Equal(t, []string{"b"}, ids(tracker.Snapshot().ReadyUpstreams("reader")))
	})
}

// An entry that was written before its upstream left is delayed and arrives after the upstream's
// removal.
func TestDelayedEntryOfRemovedUpstreamIsIgnored(t *testing.T) {
	runTest(t, func(t *testing.T, tracker *Tracker, store *fakeStore, _ *atomic.Int64) {
		store.update(func(store *fakeStore) {
			store.changes = []traffic.UpstreamChange{
				{Complete: true, Entries: []traffic.UpstreamEntry{entry("a", 4, traffic.Ready), entry("b", 1, traffic.Ready)}},
				{Entries: []traffic.UpstreamEntry{traffic.RemovedEntry("a"), entry("a", 3, traffic.Ready)}},
				{Entries: []traffic.UpstreamEntry{entry("a", 3, traffic.Ready)}},
			}
		})
		time.Sleep(6 * time.Second)
		require.Equal(t, []string{"b"}, ids(tracker.Snapshot().ReadyUpstreams("reader")))
	})
}

// A host that does not know yet of an upstream's removal sends the upstream's last entry again.
// Only a newer entry makes the upstream return.
func TestRemovedUpstreamReturnsOnlyWithNewerEntry(t *testing.T) {
	runTest(t, func(t *testing.T, tracker *Tracker, store *fakeStore, _ *atomic.Int64) {
		store.update(func(store *fakeStore) {
			store.changes = []traffic.UpstreamChange{
				{Complete: true, Entries: []traffic.UpstreamEntry{entry("a", 4, traffic.Ready), entry("b", 1, traffic.Ready)}},
				{Entries: []traffic.UpstreamEntry{traffic.RemovedEntry("a")}},
				{Complete: true, Entries: []traffic.UpstreamEntry{entry("a", 4, traffic.Ready), entry("b", 1, traffic.Ready)}},
			}
		})
		time.Sleep(6 * time.Second)
		require.Equal(t, []string{"b"}, ids(tracker.Snapshot().ReadyUpstreams("reader")))
		store.update(func(store *fakeStore) {
			store.changes = []traffic.UpstreamChange{{Entries: []traffic.UpstreamEntry{entry("a", 5, traffic.Ready)}}}
		})
		time.Sleep(2 * time.Second)
		require.Equal(t, []string{"a", "b"}, ids(tracker.Snapshot().ReadyUpstreams("reader")))
	})
}

// The configuration has been read, but the first read of the upstreams fails. The host is not
// ready, as it would refuse all requests for lack of upstreams.
func TestNotReadyBeforeUpstreamsAreKnown(t *testing.T) {
	logrus.SetOutput(io.Discard)
	synctest.Test(t, func(t *testing.T) {
		store, unavailable := &fakeStore{configurations: []*traffic.Configuration{configuration(7)}}, &fakeStore{unavailable: true}
		begin := time.Now()
		tracker := NewTracker(Options{
			Configurations: fakeConfigurations{store}, Upstreams: fakeUpstreams{unavailable}, Uptime: func() time.Duration { return time.Since(begin) },
			Bounds: Bounds{MaxRevocationDelay: 5 * time.Second, MaxDrainDelay: 2 * time.Second, EntryTTL: 3600 * time.Millisecond},
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

// entryWithIncarnation returns the entry of an upstream that reports its incarnation.
func entryWithIncarnation(id string, incarnation traffic.Incarnation, sequence int64, state traffic.UpstreamState) traffic.UpstreamEntry {
	e := entry(id, sequence, state)
	e.Upstream.Incarnation = incarnation
	return e
}

// An upstream restarts with the same identifier and numbers its entries from one again. Earlier
// failures say nothing of the new instance, and delayed entries of the earlier one are ignored.
func TestRestartWithSameID(t *testing.T) {
	runTest(t, func(t *testing.T, tracker *Tracker, store *fakeStore, _ *atomic.Int64) {
		apply := func(entries ...traffic.UpstreamEntry) {
			store.update(func(store *fakeStore) {
				store.changes = append(store.changes, traffic.UpstreamChange{Entries: entries})
			})
			time.Sleep(2 * time.Second)
		}
		apply(entryWithIncarnation("a", 1000, 9, traffic.Ready), entryWithIncarnation("b", 1000, 9, traffic.Ready), entryWithIncarnation("c", 1000, 9, traffic.Ready), entryWithIncarnation("d", 1000, 9, traffic.Ready))
		before := tracker.Snapshot().FirstSeen("a")
		for range 8 {
			tracker.Observe(traffic.UpstreamInstance{ID: "a", Incarnation: 1000}, control.ConnectionFailed)
		}
		synctest.Wait()
		require.True(t, tracker.Snapshot().Avoided("a"))
		apply(entryWithIncarnation("a", 2000, 1, traffic.Ready))
		require.False(t, tracker.Snapshot().Avoided("a"))
		require.True(t, tracker.Snapshot().FirstSeen("a").After(before), "its cache is empty after the restart")
		for range 8 {
			tracker.Observe(traffic.UpstreamInstance{ID: "a", Incarnation: 1000}, control.ConnectionFailed)
		}
		tracker.RemoveReplaced(traffic.UpstreamInstance{ID: "a", Incarnation: 1000})
		synctest.Wait()
		require.False(t, tracker.Snapshot().Avoided("a"), "the requests were sent to its earlier instance")
		require.True(t, tracker.Snapshot().IsReady("a"))
		apply(entryWithIncarnation("a", 1000, 10, traffic.Leaving))
		require.True(t, tracker.Snapshot().IsReady("a"))
		apply(entryWithIncarnation("a", 2000, 2, traffic.Leaving))
		require.False(t, tracker.Snapshot().IsReady("a"))
	})
}

// Another writer overwrites an upstream's entry. The upstream is removed, the others stay, and the
// upstream's next own entry makes it return.
func TestEntryOfAnotherWriterRemovesUpstream(t *testing.T) {
	tests := map[string]traffic.UpstreamEntry{
		"describes no upstream":                 traffic.UnusableEntry("a"),
		"lacks the incarnation":                 entry("a", 20, traffic.Ready),
		"lacks the incarnation, lower sequence": entry("a", 1, traffic.Ready),
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(t *testing.T, tracker *Tracker, store *fakeStore, _ *atomic.Int64) {
				store.update(func(store *fakeStore) {
					store.changes = []traffic.UpstreamChange{
						{Complete: true, Entries: []traffic.UpstreamEntry{entryWithIncarnation("a", 1000, 9, traffic.Ready), entryWithIncarnation("b", 1000, 9, traffic.Ready)}},
						{Entries: []traffic.UpstreamEntry{test}},
						{Entries: []traffic.UpstreamEntry{entryWithIncarnation("a", 1000, 10, traffic.Ready)}},
					}
				})
				time.Sleep(2 * time.Second)
				require.Equal(t, []string{"a", "b"}, ids(tracker.Snapshot().ReadyUpstreams("reader")))
				time.Sleep(1500 * time.Millisecond)
				require.Equal(t, []string{"b"}, ids(tracker.Snapshot().ReadyUpstreams("reader")))
				time.Sleep(1500 * time.Millisecond)
				require.Equal(t, []string{"a", "b"}, ids(tracker.Snapshot().ReadyUpstreams("reader")))
			})
		})
	}
}

// After a long outage of the store, upstreams whose entries have expired are kept for a grace
// period. An overwritten entry has not expired, so its upstream is removed at once.
func TestOverwrittenEntryGetsNoGracePeriod(t *testing.T) {
	runTest(t, func(t *testing.T, tracker *Tracker, store *fakeStore, _ *atomic.Int64) {
		store.update(func(store *fakeStore) {
			store.changes = []traffic.UpstreamChange{{Complete: true, Entries: []traffic.UpstreamEntry{entry("a", 1, traffic.Ready), entry("b", 1, traffic.Ready)}}}
		})
		time.Sleep(2 * time.Second)
		store.update(func(store *fakeStore) { store.unavailable = true })
		time.Sleep(10 * time.Second)
		store.update(func(store *fakeStore) {
			store.unavailable = false
			store.changes = []traffic.UpstreamChange{{Complete: true, Entries: []traffic.UpstreamEntry{traffic.UnusableEntry("a")}}}
		})
		time.Sleep(maxRetryInterval + maxRetryInterval/2)
		require.Equal(t, []string{"b"}, ids(tracker.Snapshot().ReadyUpstreams("reader")))
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
		runTest(t, func(t *testing.T, tracker *Tracker, store *fakeStore, _ *atomic.Int64) {
			store.update(func(store *fakeStore) {
				store.changes = []traffic.UpstreamChange{{Complete: true, Entries: []traffic.UpstreamEntry{entry("a", 1, traffic.Ready), entry("b", 1, traffic.Ready)}}}
			})
			time.Sleep(2 * time.Second)
			store.update(func(store *fakeStore) { store.timingOut = true })
			time.Sleep(8*time.Second + time.Duration(phase)*125*time.Millisecond)
			store.update(func(store *fakeStore) {
				store.timingOut = false
				store.changes = []traffic.UpstreamChange{{Entries: []traffic.UpstreamEntry{entry("a", 2, traffic.Leaving)}}}
			})
			time.Sleep(currentAfter - 500*time.Millisecond)
			require.False(t, tracker.Snapshot().IsReady("a"))
			require.True(t, tracker.Snapshot().IsReady("b"))
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
		"delta":         {Entries: []traffic.UpstreamEntry{traffic.RemovedEntry("a"), traffic.RemovedEntry("b")}},
		"complete list": {Complete: true, Entries: entries("c", "d", "e")},
	} {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(t *testing.T, tracker *Tracker, store *fakeStore, _ *atomic.Int64) {
				store.update(func(store *fakeStore) {
					store.changes = []traffic.UpstreamChange{{Complete: true, Entries: entries("a", "b", "c", "d", "e")}}
				})
				time.Sleep(2 * time.Second)
				store.update(func(store *fakeStore) { store.unavailable = true })
				time.Sleep(12 * time.Second)
				store.update(func(store *fakeStore) {
					store.unavailable = false
					store.changes = []traffic.UpstreamChange{change}
				})
				time.Sleep(maxRetryInterval + maxRetryInterval/2)
				require.Equal(t, []string{"c", "d", "e"}, ids(tracker.Snapshot().ReadyUpstreams("reader")))
			})
		})
	}
}

// Guards against requests, and the retries that they need, that are sent to an upstream which another one has replaced
// at its address until its entry expires.
func TestNewUpstreamReplacesTheOneAtItsAddress(t *testing.T) {
	at := func(address string, e traffic.UpstreamEntry) traffic.UpstreamEntry {
		e.Upstream.Address = address
		return e
	}
	both := traffic.UpstreamChange{Complete: true, Entries: []traffic.UpstreamEntry{at("x:80", entry("a", 1, traffic.Ready)), at("y:80", entry("b", 1, traffic.Ready))}}
	for name, test := range map[string]struct {
		changes []traffic.UpstreamChange
		want    []string
	}{
		"same address":               {[]traffic.UpstreamChange{both, {Entries: []traffic.UpstreamEntry{at("x:80", entry("c", 1, traffic.Ready))}}}, []string{"b", "c"}},
		"in a complete list":         {[]traffic.UpstreamChange{both, {Complete: true, Entries: append([]traffic.UpstreamEntry{at("x:80", entry("c", 1, traffic.Ready))}, both.Entries...)}}, []string{"b", "c"}},
		"another address":            {[]traffic.UpstreamChange{both, {Entries: []traffic.UpstreamEntry{at("z:80", entry("c", 1, traffic.Ready))}}}, []string{"a", "b", "c"}},
		"first list":                 {[]traffic.UpstreamChange{{Complete: true, Entries: []traffic.UpstreamEntry{at("x:80", entry("a", 1, traffic.Ready)), at("x:80", entry("c", 1, traffic.Ready))}}}, []string{"a", "c"}},
		"restored store":             {[]traffic.UpstreamChange{both, {Restored: true, Entries: []traffic.UpstreamEntry{at("x:80", entry("c", 1, traffic.Ready))}}}, []string{"a", "b", "c"}},
		"heartbeat of the first one": {[]traffic.UpstreamChange{both, {Entries: []traffic.UpstreamEntry{at("x:80", entry("c", 1, traffic.Ready))}}, {Entries: []traffic.UpstreamEntry{at("x:80", entry("a", 2, traffic.Ready))}}}, []string{"a", "b", "c"}},
	} {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(t *testing.T, tracker *Tracker, store *fakeStore, _ *atomic.Int64) {
				store.update(func(store *fakeStore) { store.changes = test.changes })
				time.Sleep(6 * time.Second)
				require.ElementsMatch(t, test.want, ids(tracker.Snapshot().AllUpstreams("reader")))
			})
		})
	}
}
