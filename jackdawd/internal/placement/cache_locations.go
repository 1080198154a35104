package placement

import (
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/routing"
)

const (
	// maxPrompts bounds the prompts whose cache locations are kept, to about 3 MB of memory.
	maxPrompts = 16384
	// maxLocations bounds the upstreams that are kept per prompt.
	maxLocations = 3
	// cacheTTL is how long after its last use a prompt is assumed to be cached.
	cacheTTL = 5 * time.Minute
)

// cacheLocation is an upstream that has a prompt cached.
type cacheLocation struct {
	instance traffic.UpstreamInstance
	usedAt   time.Time
}

// CacheLocations tracks at which upstreams this host has used a prompt, most recent first.
//
// An engine that receives a prompt for the first time, because the usual engine is full or has
// left, fetches the prompt's cache from another engine. Transferring 10,000 tokens takes 5 ms, while
// computing them takes 110 ms of the time of every request on that engine.
type CacheLocations struct {
	mu        sync.Mutex
	locations *lru.Cache[uint64, []cacheLocation]
}

// NewCacheLocations returns an empty tracker.
func NewCacheLocations() *CacheLocations {
	// The only error is a size that isn't positive.
	locations, _ := lru.New[uint64, []cacheLocation](maxPrompts)
	return &CacheLocations{locations: locations}
}

// Record records that an upstream has answered a request with the prompt.
func (c *CacheLocations) Record(now time.Time, key uint64, instance traffic.UpstreamInstance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous, _ := c.locations.Get(key)
	kept := make([]cacheLocation, 1, maxLocations)
	kept[0] = cacheLocation{instance: instance, usedAt: now}
	for _, l := range previous {
		if l.instance != instance && len(kept) < maxLocations {
			kept = append(kept, l)
		}
	}
	c.locations.Add(key, kept)
}

// Membership lists the upstreams that a prompt may be fetched from.
type Membership interface {
	// AllUpstreams returns the pool's upstreams, including those that are draining.
	AllUpstreams(pool string) []*traffic.Upstream
	// Lookup returns an upstream that is still listed.
	Lookup(id string) (*traffic.Upstream, bool)
	// FirstSeen returns when an upstream was first listed.
	FirstSeen(id string) time.Time
	// ColdUntil returns until when an upstream is cold, or the zero time.
	ColdUntil(id string) time.Time
}

// newUpstreamWindow is how long a newly listed upstream is assumed to have nothing cached.
const newUpstreamWindow = 4 * time.Second

// Source returns another upstream from which the upstream to may fetch the prompt, or nil.
//
// If this host has not used the prompt itself, the source is the upstream that probably had it
// before engines joined and left: the first in the prompt's rendezvous order that is not new,
// including draining ones, which still have it. While a third of a pool was being replaced,
// considering only upstreams that take requests left every third prompt without a source.
func (c *CacheLocations) Source(now time.Time, key uint64, to *traffic.Upstream, members Membership) *traffic.Upstream {
	c.mu.Lock()
	locations, _ := c.locations.Get(key)
	c.mu.Unlock()
	if slices.ContainsFunc(locations, func(l cacheLocation) bool { return l.instance == to.Instance() && now.Sub(l.usedAt) < cacheTTL }) {
		return nil
	}
	for _, l := range locations {
		// An upstream that has restarted under the same ID has nothing cached.
		if u, ok := members.Lookup(l.instance.ID); ok && u.Instance() == l.instance && now.Sub(l.usedAt) < cacheTTL {
			return u
		}
	}
	return firstInOrder(now, key, to, members)
}

// firstInOrder returns the first upstream other than to in the prompt's rendezvous order. New and
// cold upstreams rank last, as they probably have nothing cached.
func firstInOrder(now time.Time, key uint64, to *traffic.Upstream, members Membership) *traffic.Upstream {
	var best *traffic.Upstream
	var bestScore uint64
	bestIsNew := true
	for _, u := range members.AllUpstreams(to.Pool) {
		if u.ID == to.ID {
			continue
		}
		score, isNew := routing.RendezvousScore(key, u.Hash), now.Sub(members.FirstSeen(u.ID)) < newUpstreamWindow || members.ColdUntil(u.ID).After(now)
		if best == nil || (bestIsNew && !isNew) || (bestIsNew == isNew && score > bestScore) {
			best, bestScore, bestIsNew = u, score, isNew
		}
	}
	return best
}
