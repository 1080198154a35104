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

// An upstream says that it leaves. An older entry that says it is ready was held up
// and comes after that; it must not get new work again.
func TestOlderEntryIsPassedOver(t *testing.T) {
	keep(t, func(t *testing.T, k *Keeper, s *source, _ *atomic.Int64) {
		s.set(func(s *source) {
			s.changes = []traffic.UpstreamChange{
				{Whole: true, Entries: []traffic.UpstreamEntry{listed("a", 1, traffic.Ready), listed("b", 1, traffic.Ready)}},
				{Entries: []traffic.UpstreamEntry{listed("a", 3, traffic.Leaving), listed("a", 2, traffic.Ready)}},
				{Entries: []traffic.UpstreamEntry{listed("a", 2, traffic.Ready)}},
			}
		})
		time.Sleep(2 * time.Second)
		require.Equal(t, []string{"a", "b"}, ids(k.Snapshot().Upstreams("reader")))
		time.Sleep(2 * time.Second)
		require.Equal(t, []string{"b"}, ids(k.Snapshot().Upstreams("reader")))
		require.False(t, k.Snapshot().Takes("a"))
		time.Sleep(2 * time.Second)
		require.Equal(t, []string{"b"}, ids(k.Snapshot().Upstreams("reader")))
		_, ok := k.Snapshot().Listed("a")
		require.True(t, ok, "other engines may still fetch prompts from it")
	})
}

// While the store is away entries lapse though their upstreams live. After its
// return they are believed in for two seconds, and given up if they do not come back.
func TestLapsedEntriesAreBelievedForAWhile(t *testing.T) {
	keep(t, func(t *testing.T, k *Keeper, s *source, _ *atomic.Int64) {
		s.set(func(s *source) {
			s.changes = []traffic.UpstreamChange{{Whole: true, Entries: []traffic.UpstreamEntry{listed("a", 1, traffic.Ready), listed("b", 1, traffic.Ready)}}}
		})
		time.Sleep(2 * time.Second)
		s.set(func(s *source) { s.away = true })
		time.Sleep(10 * time.Second)
		require.Equal(t, []string{"a", "b"}, ids(k.Snapshot().Upstreams("reader")))
		s.set(func(s *source) {
			s.away = false
			s.changes = []traffic.UpstreamChange{{Whole: true}, {Entries: []traffic.UpstreamEntry{listed("b", 9, traffic.Ready)}}}
		})
		time.Sleep(time.Second)
		require.Equal(t, []string{"a", "b"}, ids(k.Snapshot().Upstreams("reader")))
		// The return is noticed by the next read, after the longest pause at most, and the end of the grace by the next tick.
		time.Sleep(lapseGrace - time.Second + longestRetry + longestRetry/2 + tick)
		require.Equal(t, []string{"b"}, ids(k.Snapshot().Upstreams("reader")))
	})
}

// A few reads fail. In so short a time no entry can have lapsed, so that what is gone
// afterwards has left, and must not be sent work for two seconds more.
func TestShortOutageExcusesNoRemovedEntry(t *testing.T) {
	keep(t, func(t *testing.T, k *Keeper, s *source, _ *atomic.Int64) {
		s.set(func(s *source) {
			s.changes = []traffic.UpstreamChange{{Whole: true, Entries: []traffic.UpstreamEntry{listed("a", 1, traffic.Ready), listed("b", 1, traffic.Ready)}}}
		})
		time.Sleep(2 * time.Second)
		s.set(func(s *source) { s.away = true })
		time.Sleep(2 * time.Second)
		s.set(func(s *source) {
			s.away = false
			s.changes = []traffic.UpstreamChange{{Entries: []traffic.UpstreamEntry{traffic.Gone("a")}}}
		})
		time.Sleep(longestRetry + longestRetry/2)
		require.Equal(t, []string{"b"}, ids(k.Snapshot().Upstreams("reader")))
	})
}

// Without an outage an entry that is removed means that its upstream leaves.
func TestRemovedEntryIsGone(t *testing.T) {
	keep(t, func(t *testing.T, k *Keeper, s *source, _ *atomic.Int64) {
		s.set(func(s *source) {
			s.changes = []traffic.UpstreamChange{
				{Whole: true, Entries: []traffic.UpstreamEntry{listed("a", 1, traffic.Ready), listed("b", 1, traffic.Ready)}},
				{Entries: []traffic.UpstreamEntry{traffic.Gone("a")}},
			}
		})
		time.Sleep(4 * time.Second)
		require.Equal(t, []string{"b"}, ids(k.Snapshot().Upstreams("reader")))
	})
}

// Another upstream answers at an upstream's address.
func TestLostUpstreamIsGoneAtOnce(t *testing.T) {
	keep(t, func(t *testing.T, k *Keeper, s *source, _ *atomic.Int64) {
		s.set(func(s *source) {
			s.changes = []traffic.UpstreamChange{{Whole: true, Entries: []traffic.UpstreamEntry{listed("a", 1, traffic.Ready), listed("b", 1, traffic.Ready)}}}
		})
		time.Sleep(2 * time.Second)
		k.Lost(traffic.Start{ID: "a"})
		synctest.Wait()
		require.Equal(t, []string{"b"}, ids(k.Snapshot().Upstreams("reader")))
	})
}

// An upstream fails here three times in a row, and is avoided for a while.
func TestFailingUpstreamIsAvoided(t *testing.T) {
	keep(t, func(t *testing.T, k *Keeper, s *source, _ *atomic.Int64) {
		s.set(func(s *source) {
			s.changes = []traffic.UpstreamChange{{Whole: true, Entries: []traffic.UpstreamEntry{
				listed("a", 1, traffic.Ready), listed("b", 1, traffic.Ready), listed("c", 1, traffic.Ready),
			}}}
		})
		time.Sleep(2 * time.Second)
		for range 3 {
			k.Observe(traffic.Start{ID: "a"}, control.Broken)
		}
		synctest.Wait()
		require.True(t, k.Snapshot().Avoided("a"))
		time.Sleep(2 * time.Second)
		require.False(t, k.Snapshot().Avoided("a"))
	})
}

// An upstream comes and goes between two reads, so that both are in one answer.
// The later entry holds: it must not stay believed in until the next entry.
func TestLaterOfTwoEntriesHolds(t *testing.T) {
	keep(t, func(t *testing.T, k *Keeper, s *source, _ *atomic.Int64) {
		s.set(func(s *source) {
			s.changes = []traffic.UpstreamChange{
				{Whole: true, Entries: []traffic.UpstreamEntry{listed("b", 1, traffic.Ready)}},
				{Entries: []traffic.UpstreamEntry{listed("a", 1, traffic.Ready), traffic.Gone("a")}},
				{Entries: []traffic.UpstreamEntry{traffic.Gone("b"), listed("b", 2, traffic.Ready)}},
			}
		})
		time.Sleep(6 * time.Second)
		require.Equal(t, []string{"b"}, ids(k.Snapshot().Upstreams("reader")))
	})
}

// An upstream is gone. An entry of before that is held up and comes only then.
func TestHeldUpEntryOfAGoneUpstreamIsPassedOver(t *testing.T) {
	keep(t, func(t *testing.T, k *Keeper, s *source, _ *atomic.Int64) {
		s.set(func(s *source) {
			s.changes = []traffic.UpstreamChange{
				{Whole: true, Entries: []traffic.UpstreamEntry{listed("a", 4, traffic.Ready), listed("b", 1, traffic.Ready)}},
				{Entries: []traffic.UpstreamEntry{traffic.Gone("a"), listed("a", 3, traffic.Ready)}},
				{Entries: []traffic.UpstreamEntry{listed("a", 3, traffic.Ready)}},
			}
		})
		time.Sleep(6 * time.Second)
		require.Equal(t, []string{"b"}, ids(k.Snapshot().Upstreams("reader")))
	})
}

// An upstream is gone. A host that has not heard of it still tells of the entry that
// was known here; only a later entry brings the upstream back.
func TestGoneUpstreamComesBackByALaterEntry(t *testing.T) {
	keep(t, func(t *testing.T, k *Keeper, s *source, _ *atomic.Int64) {
		s.set(func(s *source) {
			s.changes = []traffic.UpstreamChange{
				{Whole: true, Entries: []traffic.UpstreamEntry{listed("a", 4, traffic.Ready), listed("b", 1, traffic.Ready)}},
				{Entries: []traffic.UpstreamEntry{traffic.Gone("a")}},
				{Whole: true, Entries: []traffic.UpstreamEntry{listed("a", 4, traffic.Ready), listed("b", 1, traffic.Ready)}},
			}
		})
		time.Sleep(6 * time.Second)
		require.Equal(t, []string{"b"}, ids(k.Snapshot().Upstreams("reader")))
		s.set(func(s *source) {
			s.changes = []traffic.UpstreamChange{{Entries: []traffic.UpstreamEntry{listed("a", 5, traffic.Ready)}}}
		})
		time.Sleep(2 * time.Second)
		require.Equal(t, []string{"a", "b"}, ids(k.Snapshot().Upstreams("reader")))
	})
}

// A host has read the configuration, but its first read of the upstreams fails. Callers
// that came now would be refused for lack of upstreams, so it is not ready.
func TestNotReadyBeforeTheUpstreamsAreKnown(t *testing.T) {
	logrus.SetOutput(io.Discard)
	synctest.Test(t, func(t *testing.T) {
		s, away := &source{versions: []*traffic.Configuration{version(7)}}, &source{away: true}
		begin := time.Now()
		k := NewKeeper(Options{
			Configurations: configurationSource{s}, Upstreams: upstreamSource{away}, Uptime: func() time.Duration { return time.Since(begin) },
			Bounds: Bounds{Revoke: 5 * time.Second, Drain: 2 * time.Second, Lapse: 3600 * time.Millisecond},
		})
		defer k.Close()
		synctest.Wait()
		require.NotNil(t, k.Snapshot().Configuration())
		require.False(t, k.Ready())
		away.set(func(s *source) { s.away = false })
		time.Sleep(2 * time.Second)
		require.True(t, k.Ready(), "also if there are none")
	})
}

// started returns the entry of an upstream that says when it started.
func started(id string, incarnation traffic.Incarnation, sequence int64, state traffic.State) traffic.UpstreamEntry {
	e := listed(id, sequence, state)
	e.Upstream.Incarnation = incarnation
	return e
}

// An upstream starts again under its identifier and counts its entries from one. What
// failed before says nothing of it, and entries of its earlier start that were held up
// no longer count.
func TestRestartUnderTheSameIdentifier(t *testing.T) {
	keep(t, func(t *testing.T, k *Keeper, s *source, _ *atomic.Int64) {
		say := func(entries ...traffic.UpstreamEntry) {
			s.set(func(s *source) { s.changes = append(s.changes, traffic.UpstreamChange{Entries: entries}) })
			time.Sleep(2 * time.Second)
		}
		say(started("a", 1000, 9, traffic.Ready), started("b", 1000, 9, traffic.Ready), started("c", 1000, 9, traffic.Ready), started("d", 1000, 9, traffic.Ready))
		before := k.Snapshot().Since("a")
		for range 8 {
			k.Observe(traffic.Start{ID: "a", Incarnation: 1000}, control.Broken)
		}
		synctest.Wait()
		require.True(t, k.Snapshot().Avoided("a"))
		say(started("a", 2000, 1, traffic.Ready))
		require.False(t, k.Snapshot().Avoided("a"))
		require.True(t, k.Snapshot().Since("a").After(before), "it holds nothing of what it had cached")
		for range 8 {
			k.Observe(traffic.Start{ID: "a", Incarnation: 1000}, control.Broken)
		}
		k.Lost(traffic.Start{ID: "a", Incarnation: 1000})
		synctest.Wait()
		require.False(t, k.Snapshot().Avoided("a"), "requests that were sent to its earlier start")
		require.True(t, k.Snapshot().Takes("a"))
		say(started("a", 1000, 10, traffic.Leaving))
		require.True(t, k.Snapshot().Takes("a"))
		say(started("a", 2000, 2, traffic.Leaving))
		require.False(t, k.Snapshot().Takes("a"))
	})
}

// Something else is written in the place of a sound entry. It names no upstream to use;
// the others stay, and the upstream's next entry brings it back.
func TestEntryOfAnotherWriterTakesItsUpstreamOut(t *testing.T) {
	tests := map[string]traffic.UpstreamEntry{
		"it describes no upstream":                   traffic.Unusable("a"),
		"it lacks the start that was there before":   listed("a", 20, traffic.Ready),
		"it lacks the start and comes as if earlier": listed("a", 1, traffic.Ready),
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			keep(t, func(t *testing.T, k *Keeper, s *source, _ *atomic.Int64) {
				s.set(func(s *source) {
					s.changes = []traffic.UpstreamChange{
						{Whole: true, Entries: []traffic.UpstreamEntry{started("a", 1000, 9, traffic.Ready), started("b", 1000, 9, traffic.Ready)}},
						{Entries: []traffic.UpstreamEntry{test}},
						{Entries: []traffic.UpstreamEntry{started("a", 1000, 10, traffic.Ready)}},
					}
				})
				time.Sleep(2 * time.Second)
				require.Equal(t, []string{"a", "b"}, ids(k.Snapshot().Upstreams("reader")))
				time.Sleep(1500 * time.Millisecond)
				require.Equal(t, []string{"b"}, ids(k.Snapshot().Upstreams("reader")))
				time.Sleep(1500 * time.Millisecond)
				require.Equal(t, []string{"a", "b"}, ids(k.Snapshot().Upstreams("reader")))
			})
		})
	}
}

// The store was away for long, so that entries that lapsed are believed in for a while.
// One that was written over did not lapse.
func TestEntryThatWasWrittenOverIsNotBelievedIn(t *testing.T) {
	keep(t, func(t *testing.T, k *Keeper, s *source, _ *atomic.Int64) {
		s.set(func(s *source) {
			s.changes = []traffic.UpstreamChange{{Whole: true, Entries: []traffic.UpstreamEntry{listed("a", 1, traffic.Ready), listed("b", 1, traffic.Ready)}}}
		})
		time.Sleep(2 * time.Second)
		s.set(func(s *source) { s.away = true })
		time.Sleep(10 * time.Second)
		s.set(func(s *source) {
			s.away = false
			s.changes = []traffic.UpstreamChange{{Whole: true, Entries: []traffic.UpstreamEntry{traffic.Unusable("a")}}}
		})
		time.Sleep(longestRetry + longestRetry/2)
		require.Equal(t, []string{"b"}, ids(k.Snapshot().Upstreams("reader")))
	})
}

// A host is cut off from everybody; each of its reads hangs for a second and fails. An
// upstream says that it leaves just before the cut heals. Whenever that is in the host's
// pauses, it knows well before it counts as in touch again, which is 3 s later: from
// then on no request may reach the upstream. A rest of two seconds on top of the pauses, after
// other hosts and the store have failed it, would be too much.
func TestLeaversAreKnownSoonAfterACutHeals(t *testing.T) {
	const inTouchAfter = 3 * time.Second
	for phase := range 20 {
		keep(t, func(t *testing.T, k *Keeper, s *source, _ *atomic.Int64) {
			s.set(func(s *source) {
				s.changes = []traffic.UpstreamChange{{Whole: true, Entries: []traffic.UpstreamEntry{listed("a", 1, traffic.Ready), listed("b", 1, traffic.Ready)}}}
			})
			time.Sleep(2 * time.Second)
			s.set(func(s *source) { s.silent = true })
			time.Sleep(8*time.Second + time.Duration(phase)*125*time.Millisecond)
			s.set(func(s *source) {
				s.silent = false
				s.changes = []traffic.UpstreamChange{{Entries: []traffic.UpstreamEntry{listed("a", 2, traffic.Leaving)}}}
			})
			time.Sleep(inTouchAfter - 500*time.Millisecond)
			require.False(t, k.Snapshot().Takes("a"))
			require.True(t, k.Snapshot().Takes("b"))
		})
	}
}

// A host is cut off for long while the store and everybody else go on. When it reads again
// a few upstreams are gone, because they have left: unlike entries that lapsed while the
// store was away, they get no work from that moment on.
func TestUpstreamsThatLeftWhileTheHostWasCutOffAreGone(t *testing.T) {
	entries := func(ids ...string) []traffic.UpstreamEntry {
		var out []traffic.UpstreamEntry
		for _, id := range ids {
			out = append(out, listed(id, 1, traffic.Ready))
		}
		return out
	}
	for name, change := range map[string]traffic.UpstreamChange{
		"what has changed": {Entries: []traffic.UpstreamEntry{traffic.Gone("a"), traffic.Gone("b")}},
		"the whole list":   {Whole: true, Entries: entries("c", "d", "e")},
	} {
		t.Run(name, func(t *testing.T) {
			keep(t, func(t *testing.T, k *Keeper, s *source, _ *atomic.Int64) {
				s.set(func(s *source) {
					s.changes = []traffic.UpstreamChange{{Whole: true, Entries: entries("a", "b", "c", "d", "e")}}
				})
				time.Sleep(2 * time.Second)
				s.set(func(s *source) { s.away = true })
				time.Sleep(12 * time.Second)
				s.set(func(s *source) {
					s.away = false
					s.changes = []traffic.UpstreamChange{change}
				})
				time.Sleep(longestRetry + longestRetry/2)
				require.Equal(t, []string{"c", "d", "e"}, ids(k.Snapshot().Upstreams("reader")))
			})
		})
	}
}
