package fleet

import (
	"sync"
	"sync/atomic"
	"time"
)

// listGuard decides whether a complete upstream list from another host may replace this host's
// list. An older list would remove upstreams that have just been added. Known upstreams only
// increment the sequence number of their entry, which is not sent as a change, so the removed ones
// would stay unknown here and their prompts would be computed again elsewhere.
type listGuard struct {
	mu sync.Mutex
	// reading is set while the store is read; asOf is when the current list was read.
	reading bool
	asOf    time.Duration
	// skipped is set if a list of the parent was skipped since takeSkipped was last called.
	skipped bool
}

// beginRead reports whether the store may be read, which it may not while another host is followed.
func (g *listGuard) beginRead(following *atomic.Pointer[Peer]) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reading = following.Load() == nil
	return g.reading
}

// endRead records the end of a read, and its time if the store answered.
func (g *listGuard) endRead(answered bool, readAt time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reading = false
	if answered {
		g.asOf = readAt
	}
}

// tryReplace reports whether a complete list valid at asOf may replace the current one, and calls
// follow if so.
func (g *listGuard) tryReplace(asOf time.Duration, follow func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.skipped = g.reading || asOf < g.asOf
	if g.skipped {
		return false
	}
	follow()
	return true
}

// takeSkipped reports whether a list of the parent was skipped since the last call.
func (g *listGuard) takeSkipped() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	skipped := g.skipped
	g.skipped = false
	return skipped
}

// recordChange records the time of changes received from the parent.
func (g *listGuard) recordChange(at time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.asOf = at
}
