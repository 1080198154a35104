package placement

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/traffic"
)

// engines are a pool in which some have just come and some are no longer listed.
type engines struct {
	all   []*traffic.Upstream
	since map[string]time.Time
	gone  map[string]bool
}

func (e engines) All(string) []*traffic.Upstream {
	var listed []*traffic.Upstream
	for _, u := range e.all {
		if !e.gone[u.ID] {
			listed = append(listed, u)
		}
	}
	return listed
}

func (e engines) Listed(id string) (*traffic.Upstream, bool) {
	for _, u := range e.All("") {
		if u.ID == id {
			return u, true
		}
	}
	return nil, false
}

func (e engines) Since(id string) time.Time { return e.since[id] }

func TestSourceOfAPrompt(t *testing.T) {
	upstreams, now := pool(3), time.Unix(100, 0)
	e := engines{all: upstreams, gone: map[string]bool{}}
	w := NewWarmth()
	order := rank(42, upstreams)
	usual, other := upstreams[order[0]], upstreams[order[1]]
	require.Same(t, usual, w.Source(now, 42, other, e), "other hosts send it to its first engine")
	require.Same(t, other, w.Source(now, 42, usual, e))
	w.Used(now, 42, usual.Start())
	require.Nil(t, w.Source(now, 42, usual, e), "what is cached need not be fetched")
	require.Same(t, usual, w.Source(now, 42, other, e))
	e.gone[usual.ID] = true
	require.Same(t, upstreams[order[2]], w.Source(now, 42, other, e))
	e.gone[upstreams[order[2]].ID] = true
	require.Nil(t, w.Source(now, 42, other, e))
}

// Engines are added. The prompts that are theirs now are where they were before, at
// the first engine in the order that has not just come.
func TestEnginesThatHaveJustComeAreNoSource(t *testing.T) {
	upstreams, now := pool(4), time.Unix(100, 0)
	order := rank(42, upstreams)
	e := engines{all: upstreams, since: map[string]time.Time{
		upstreams[order[0]].ID: now, upstreams[order[1]].ID: now.Add(-time.Second),
	}}
	require.Same(t, upstreams[order[2]], NewWarmth().Source(now, 42, upstreams[order[0]], e))
	for _, u := range upstreams {
		e.since[u.ID] = now
	}
	require.Same(t, upstreams[order[1]], NewWarmth().Source(now, 42, upstreams[order[0]], e), "a host that has just started knows no better")
}

// An engine starts again under its identifier with an empty cache.
func TestRestartedEngineIsNoSource(t *testing.T) {
	upstreams, now := pool(3), time.Unix(100, 0)
	e := engines{all: upstreams, gone: map[string]bool{}, since: map[string]time.Time{}}
	order := rank(42, upstreams)
	usual, other := upstreams[order[0]], upstreams[order[1]]
	w := NewWarmth()
	w.Used(now, 42, usual.Start())
	require.Nil(t, w.Source(now, 42, usual, e))
	usual.Incarnation, e.since[usual.ID] = 2000, now
	require.Same(t, other, w.Source(now, 42, usual, e), "it fetches the prompt itself")
	require.Same(t, upstreams[order[2]], w.Source(now, 42, other, e))
}

func TestFewPlacesAreRemembered(t *testing.T) {
	w, now := NewWarmth(), time.Unix(100, 0)
	for _, id := range []string{"a", "b", "c", "d", "b"} {
		w.Used(now, 42, traffic.Start{ID: id})
	}
	places, _ := w.places.Get(42)
	require.Len(t, places, rememberedPlaces)
	require.Equal(t, "b", places[0].start.ID)
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
						w.Used(now, key, traffic.Start{ID: id})
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
