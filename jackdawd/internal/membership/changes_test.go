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

func TestChangesSinceAPosition(t *testing.T) {
	l := newChangeLog()
	all := map[string]traffic.Upstream{}
	for i := range 3 {
		u := traffic.Upstream{ID: fmt.Sprint(i)}
		all[u.ID] = u
		l.add(traffic.Listed(u))
	}
	before := l.changes(nil, all)
	l.add(traffic.Gone("1"))
	delete(all, "1")
	after := l.changes(nil, all)
	change := after.Since(before.End())
	require.False(t, change.Whole)
	require.Equal(t, []traffic.UpstreamEntry{traffic.Gone("1")}, change.Entries)
	require.Empty(t, after.Since(after.End()).Entries)
	for name, p := range map[string]Position{
		"other process": {Epoch: after.End().Epoch + 1, Next: 2},
		"in the future": {Epoch: after.End().Epoch, Next: 99},
		"nothing yet":   {},
	} {
		t.Run(name, func(t *testing.T) {
			change := after.Since(p)
			require.True(t, change.Whole)
			require.Len(t, change.Entries, 2)
		})
	}
}

// One that is further behind than changes are kept is told everything.
func TestOldChangesAreForgotten(t *testing.T) {
	l := newChangeLog()
	start := l.changes(nil, nil).End()
	for i := range keptChanges + 1 {
		l.add(traffic.Gone(fmt.Sprint(i)))
	}
	require.True(t, l.changes(nil, nil).Since(start).Whole)
}

func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{20, 150, 440, 880} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			listed := map[string]traffic.Upstream{}
			l := newChangeLog()
			for i := range n {
				id := fmt.Sprintf("i-%010d", i)
				listed[id] = traffic.Upstream{ID: id, Hash: traffic.HashOf(id), Pool: fmt.Sprint(i % 23), Address: "10.200.100.100:8080", State: traffic.Ready}
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			kept, changes := newSnapshot(nil, listed, nil, nil), l.changes(nil, listed)
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(kept)
			runtime.KeepAlive(changes)
			size := float64(after.HeapAlloc) - float64(before.HeapAlloc)
			for b.Loop() {
				newSnapshot(nil, listed, nil, nil)
				l.changes(nil, listed)
			}
			b.ReportMetric(size, "held-B")
		})
	}
}

// An upstream's entry lapses and comes back before it is given up here. A host that
// follows this one may have given it up and must hear that it is back.
func TestUpstreamThatIsBackIsTold(t *testing.T) {
	keep(t, func(t *testing.T, k *Keeper, s *source, _ *atomic.Int64) {
		s.set(func(s *source) {
			s.changes = []traffic.UpstreamChange{{Whole: true, Entries: []traffic.UpstreamEntry{listed("a", 1, traffic.Ready)}}}
		})
		time.Sleep(2 * time.Second)
		before := k.Changes().End()
		s.set(func(s *source) { s.away = true })
		time.Sleep(5 * time.Second)
		s.set(func(s *source) {
			s.away = false
			s.changes = []traffic.UpstreamChange{
				{Whole: true, Entries: []traffic.UpstreamEntry{}},
				{Entries: []traffic.UpstreamEntry{listed("a", 2, traffic.Ready)}},
			}
		})
		time.Sleep(4 * time.Second)
		require.Equal(t, []string{"a"}, ids(k.Snapshot().Upstreams("reader")))
		missed := k.Changes().Since(before)
		require.False(t, missed.Whole)
		require.Len(t, missed.Entries, 1)
		require.Equal(t, int64(2), missed.Entries[0].Upstream.Sequence)
	})
}
