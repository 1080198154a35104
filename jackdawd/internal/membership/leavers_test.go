package membership

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/traffic"
)

// An upstream says in an answer that it leaves. Entries that it wrote before, or that other hosts tell, arrive later
// and say that it is ready. It gets no work until it has started again.
func TestWordOfAnAnswerOutlastsEntries(t *testing.T) {
	entries := map[string]traffic.UpstreamChange{
		"the same entry again":        {Entries: []traffic.UpstreamEntry{started("a", 1000, 1, traffic.Ready)}},
		"a later one, held up":        {Entries: []traffic.UpstreamEntry{started("a", 1000, 9, traffic.Ready)}},
		"a list of all":               {Whole: true, Entries: []traffic.UpstreamEntry{started("a", 1000, 9, traffic.Ready), started("b", 1000, 1, traffic.Ready)}},
		"gone and back with the same": {Entries: []traffic.UpstreamEntry{traffic.Gone("a"), started("a", 1000, 9, traffic.Ready)}},
	}
	for name, change := range entries {
		t.Run(name, func(t *testing.T) {
			keep(t, func(t *testing.T, k *Keeper, s *source, _ *atomic.Int64) {
				s.set(func(s *source) {
					s.changes = []traffic.UpstreamChange{{Whole: true, Entries: []traffic.UpstreamEntry{started("a", 1000, 1, traffic.Ready), started("b", 1000, 1, traffic.Ready)}}}
				})
				time.Sleep(2 * time.Second)
				k.Leaves(traffic.Start{ID: "a", Incarnation: 1000})
				synctest.Wait()
				require.Equal(t, []string{"b"}, ids(k.Snapshot().Upstreams("reader")), "at once")
				s.set(func(s *source) { s.changes = append(s.changes, change) })
				for range 400 {
					time.Sleep(10 * time.Millisecond)
					require.Equal(t, []string{"b"}, ids(k.Snapshot().Upstreams("reader")), "not for a moment")
				}
				s.set(func(s *source) {
					s.changes = append(s.changes, traffic.UpstreamChange{Entries: []traffic.UpstreamEntry{started("a", 2000, 1, traffic.Ready)}})
				})
				time.Sleep(4 * time.Second)
				require.Equal(t, []string{"a", "b"}, ids(k.Snapshot().Upstreams("reader")), "it has started again")
			})
		})
	}
}

// The host above has heard from an upstream that it leaves, and tells so under the number of the entry that says
// ready. Another host tells that entry as it was.
func TestLeavingGoesBeforeReadyOfOneNumber(t *testing.T) {
	keep(t, func(t *testing.T, k *Keeper, s *source, _ *atomic.Int64) {
		s.set(func(s *source) {
			s.changes = []traffic.UpstreamChange{
				{Whole: true, Entries: []traffic.UpstreamEntry{listed("a", 1, traffic.Ready), listed("b", 1, traffic.Ready)}},
				{Entries: []traffic.UpstreamEntry{listed("a", 1, traffic.Leaving)}},
				{Entries: []traffic.UpstreamEntry{listed("a", 1, traffic.Ready)}},
			}
		})
		time.Sleep(6 * time.Second)
		require.Equal(t, []string{"b"}, ids(k.Snapshot().Upstreams("reader")))
	})
}

// Hosts that follow this one are told what it heard from an upstream.
func TestLeavingIsTold(t *testing.T) {
	keep(t, func(t *testing.T, k *Keeper, s *source, _ *atomic.Int64) {
		s.set(func(s *source) {
			s.changes = []traffic.UpstreamChange{{Whole: true, Entries: []traffic.UpstreamEntry{listed("a", 1, traffic.Ready)}}}
		})
		time.Sleep(2 * time.Second)
		before := k.Changes()
		k.Leaves(traffic.Start{ID: "a"})
		synctest.Wait()
		change := k.Changes().Since(before.End())
		require.Len(t, change.Entries, 1)
		require.Equal(t, traffic.Leaving, change.Entries[0].Upstream.State)
	})
}

// Control has more to take in than it holds. What an upstream said is not lost for it.
func TestLeavingIsNotDropped(t *testing.T) {
	keep(t, func(t *testing.T, k *Keeper, s *source, _ *atomic.Int64) {
		s.set(func(s *source) {
			s.changes = []traffic.UpstreamChange{{Whole: true, Entries: []traffic.UpstreamEntry{listed("a", 1, traffic.Ready), listed("b", 1, traffic.Ready)}}}
		})
		time.Sleep(2 * time.Second)
		k.inputs <- func(*beliefs) { time.Sleep(100 * time.Millisecond) }
		for range inputBuffer + 1 {
			k.inputs <- func(*beliefs) {}
			if len(k.inputs) == inputBuffer {
				break
			}
		}
		k.Leaves(traffic.Start{ID: "a"})
		time.Sleep(100*time.Millisecond + 2*tick)
		require.Equal(t, []string{"b"}, ids(k.Snapshot().Upstreams("reader")))
	})
}
