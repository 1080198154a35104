package placement

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/traffic"
)

// fakeMembership is a pool in which some upstreams are new and some are no longer listed.
type fakeMembership struct {
	all       []*traffic.Upstream
	firstSeen map[string]time.Time
	removed   map[string]bool
}

func (m fakeMembership) AllUpstreams(string) []*traffic.Upstream {
	var listed []*traffic.Upstream
	for _, u := range m.all {
		if !m.removed[u.ID] {
			listed = append(listed, u)
		}
	}
	return listed
}

func (m fakeMembership) Lookup(id string) (*traffic.Upstream, bool) {
	for _, u := range m.AllUpstreams("") {
		if u.ID == id {
			return u, true
		}
	}
	return nil, false
}

func (m fakeMembership) FirstSeen(id string) time.Time { return m.firstSeen[id] }

func (m fakeMembership) ColdUntil(string) time.Time { return time.Time{} }

func TestSource(t *testing.T) {
	upstreams, now := newUpstreams(3), time.Unix(100, 0)
	members := fakeMembership{all: upstreams, removed: map[string]bool{}}
	locations := NewCacheLocations()
	order := rankIndexes(42, upstreams)
	usual, other := upstreams[order[0]], upstreams[order[1]]
	require.Same(t, usual, locations.Source(now, 42, other, members), "other hosts use its first engine")
	require.Same(t, other, locations.Source(now, 42, usual, members))
	locations.Record(now, 42, usual.Instance())
	require.Nil(t, locations.Source(now, 42, usual, members), "already cached")
	require.Same(t, usual, locations.Source(now, 42, other, members))
	members.removed[usual.ID] = true
	require.Same(t, upstreams[order[2]], locations.Source(now, 42, other, members))
	members.removed[upstreams[order[2]].ID] = true
	require.Nil(t, locations.Source(now, 42, other, members))
}

// When engines join, prompts that now belong to them are cached where they were before: at the first
// engine in the order that is not new.
func TestNewEnginesAreNoSource(t *testing.T) {
	upstreams, now := newUpstreams(4), time.Unix(100, 0)
	order := rankIndexes(42, upstreams)
	members := fakeMembership{all: upstreams, firstSeen: map[string]time.Time{
		upstreams[order[0]].ID: now, upstreams[order[1]].ID: now.Add(-time.Second),
	}}
	require.Same(t, upstreams[order[2]], NewCacheLocations().Source(now, 42, upstreams[order[0]], members))
	for _, u := range upstreams {
		members.firstSeen[u.ID] = now
	}
	require.Same(t, upstreams[order[1]], NewCacheLocations().Source(now, 42, upstreams[order[0]], members), "all engines seem new to a host that has just started")
}

// An engine that has restarted under the same ID has an empty cache.
func TestRestartedEngineIsNoSource(t *testing.T) {
	upstreams, now := newUpstreams(3), time.Unix(100, 0)
	members := fakeMembership{all: upstreams, removed: map[string]bool{}, firstSeen: map[string]time.Time{}}
	order := rankIndexes(42, upstreams)
	usual, other := upstreams[order[0]], upstreams[order[1]]
	locations := NewCacheLocations()
	locations.Record(now, 42, usual.Instance())
	require.Nil(t, locations.Source(now, 42, usual, members))
	usual.Incarnation, members.firstSeen[usual.ID] = 2000, now
	require.Same(t, other, locations.Source(now, 42, usual, members), "the restarted engine fetches the prompt")
	require.Same(t, upstreams[order[2]], locations.Source(now, 42, other, members))
}

func TestLocationsPerPromptAreBounded(t *testing.T) {
	locations, now := NewCacheLocations(), time.Unix(100, 0)
	for _, id := range []string{"a", "b", "c", "d", "b"} {
		locations.Record(now, 42, traffic.UpstreamInstance{ID: id})
	}
	kept, _ := locations.locations.Get(42)
	require.Len(t, kept, maxLocations)
	require.Equal(t, "b", kept[0].instance.ID)
}

func BenchmarkWarmth(b *testing.B) {
	for _, n := range []int{1000, 4000, 16000} {
		b.Run(fmt.Sprintf("prompts=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				locations, now := NewCacheLocations(), time.Unix(100, 0)
				for key := range uint64(n) {
					for _, id := range []string{"a", "b"} {
						locations.Record(now, key, traffic.UpstreamInstance{ID: id})
					}
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(locations)
			}
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(n), "held-B/prompt")
		})
	}
}
