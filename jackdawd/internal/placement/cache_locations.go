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
	start  traffic.Start
	usedAt time.Time
}

// Warmth tracks at which upstreams this host has used a prompt, most recent first.
//
// An engine that receives a prompt for the first time, because the usual engine is full or has
// left, fetches the prompt's cache from another engine. Transferring 10,000 tokens takes 5 ms, while
// computing them takes 110 ms of the time of every request on that engine.
type Warmth struct {
	mu        sync.Mutex
	locations *lru.Cache[uint64, []cacheLocation]
}

// NewWarmth returns an empty tracker.
func NewWarmth() *Warmth {
	// The only error is a size that isn't positive.
	locations, _ := lru.New[uint64, []cacheLocation](maxPrompts)
	return &Warmth{locations: locations}
}

// Used records that an upstream has answered a request with the prompt.
func (w *Warmth) Used(now time.Time, key uint64, start traffic.Start) {
	w.mu.Lock()
	defer w.mu.Unlock()
	previous, _ := w.locations.Get(key)
	kept := make([]cacheLocation, 1, maxLocations)
	kept[0] = cacheLocation{start: start, usedAt: now}
	for _, l := range previous {
		if l.start != start && len(kept) < maxLocations {
			kept = append(kept, l)
		}
	}
	w.locations.Add(key, kept)
}

// Membership lists the upstreams that a prompt may be fetched from.
type Membership interface {
	// All returns the pool's upstreams, including those that are draining.
	All(pool string) []*traffic.Upstream
	// Listed returns an upstream that is still listed.
	Listed(id string) (*traffic.Upstream, bool)
	// Since returns when an upstream was first listed.
	Since(id string) time.Time
}

// newUpstreamWindow is how long a newly listed upstream is assumed to have nothing cached.
const newUpstreamWindow = 4 * time.Second

// Source returns another upstream from which the upstream to may fetch the prompt, or nil.
//
// If this host has not used the prompt itself, the source is the upstream that probably had it
// before engines joined and left: the first in the prompt's rendezvous order that is not new,
// including draining ones, which still have it. While a third of a pool was being replaced,
// considering only upstreams that take requests left every third prompt without a source.
func (w *Warmth) Source(now time.Time, key uint64, to *traffic.Upstream, members Membership) *traffic.Upstream {
	w.mu.Lock()
	locations, _ := w.locations.Get(key)
	w.mu.Unlock()
	if slices.ContainsFunc(locations, func(l cacheLocation) bool { return l.start == to.Start() && now.Sub(l.usedAt) < cacheTTL }) {
		return nil
	}
	for _, l := range locations {
		// An upstream that has restarted under the same identifier has nothing cached.
		if u, ok := members.Listed(l.start.ID); ok && u.Start() == l.start && now.Sub(l.usedAt) < cacheTTL {
			return u
		}
	}
	return firstInOrder(now, key, to, members)
}

// firstInOrder returns the first upstream other than to in the prompt's rendezvous order. New
// upstreams rank last.
func firstInOrder(now time.Time, key uint64, to *traffic.Upstream, members Membership) *traffic.Upstream {
	var best *traffic.Upstream
	var bestScore uint64
	bestIsNew := true
	for _, u := range members.All(to.Pool) {
		if u.ID == to.ID {
			continue
		}
		score, isNew := routing.Score(key, u.Hash), now.Sub(members.Since(u.ID)) < newUpstreamWindow
		if best == nil || (bestIsNew && !isNew) || (bestIsNew == isNew && score > bestScore) {
			best, bestScore, bestIsNew = u, score, isNew
		}
	}
	return best
}
