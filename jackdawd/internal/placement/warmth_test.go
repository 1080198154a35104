package placement

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/traffic"
)

func TestSourceOfAPrompt(t *testing.T) {
	upstreams, now := pool(3), time.Unix(100, 0)
	all := map[string]*traffic.Upstream{}
	for _, u := range upstreams {
		all[u.ID] = u
	}
	listed := func(id string) (*traffic.Upstream, bool) { u, ok := all[id]; return u, ok }
	w := NewWarmth()
	usual := upstreams[rank(42, upstreams)[0]]
	other := upstreams[rank(42, upstreams)[1]]
	require.Same(t, usual, w.Source(now, 42, other, upstreams, listed), "other hosts send it to its first engine")
	require.Same(t, other, w.Source(now, 42, usual, upstreams, listed))
	w.Used(now, 42, usual.ID)
	require.Nil(t, w.Source(now, 42, usual, upstreams, listed), "what is cached need not be fetched")
	require.Same(t, usual, w.Source(now, 42, other, upstreams, listed))
	delete(all, usual.ID)
	require.NotNil(t, w.Source(now, 42, other, upstreams, listed))
	require.Nil(t, w.Source(now.Add(time.Second), 42, usual, upstreams[:1], func(string) (*traffic.Upstream, bool) { return nil, false }))
}

// A draining engine takes no requests, but what it has cached can still be fetched.
func TestLeavingEngineIsASource(t *testing.T) {
	upstreams, now := pool(3), time.Unix(100, 0)
	w := NewWarmth()
	w.Used(now, 42, upstreams[0].ID)
	leaving := func(id string) (*traffic.Upstream, bool) { return upstreams[0], id == upstreams[0].ID }
	require.Same(t, upstreams[0], w.Source(now, 42, upstreams[1], upstreams[1:], leaving))
}

func TestFewPlacesAreRemembered(t *testing.T) {
	w, now := NewWarmth(), time.Unix(100, 0)
	for _, id := range []string{"a", "b", "c", "d", "b"} {
		w.Used(now, 42, id)
	}
	places, _ := w.places.Get(42)
	require.Len(t, places, rememberedPlaces)
	require.Equal(t, "b", places[0].id)
}

func BenchmarkWarmth(b *testing.B) {
	for _, n := range []int{1000, 4000, 16000} {
		b.Run(fmt.Sprintf("prompts=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				w, now := NewWarmth(), time.Unix(100, 0)
				for key := range uint64(n) {
					for _, id := range []string{"a", "b"} {
						w.Used(now, key, id)
					}
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(w)
			}
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(n), "held-B/prompt")
		})
	}
}
