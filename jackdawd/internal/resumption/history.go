package resumption

import (
	"slices"
	"sync"
	"time"

	"jackdawhinge/common/traffic"
)

// recentMix is how long after another version came streams may still have begun at hosts that did not
// know of it: as long as two reads of the list of upstreams take.
const recentMix = 3 * time.Second

// A Presence is the time for which upstreams of a pool have had a software version.
type Presence struct {
	Version string
	Since   time.Time
	// Until is zero while there are such upstreams.
	Until time.Time
}

// A History holds which software versions the upstreams of each pool have had. It is safe for
// concurrent use.
type History struct {
	mu    sync.Mutex
	pools map[string][]Presence
	// completeSince is the time since when no version can be missing.
	completeSince time.Time
}

// NewHistory returns a history that lacks what was before now; it lacks nothing if firstStart is set,
// since there was nothing before.
func NewHistory(now time.Time, firstStart bool) *History {
	h := &History{pools: map[string][]Presence{}, completeSince: now}
	if firstStart {
		h.completeSince = now.Add(-Memory)
	}
	return h
}

// Observe updates the history with the upstreams that are listed now, and returns the pools whose
// versions have changed.
func (h *History) Observe(now time.Time, pools map[string][]*traffic.Upstream) (changed []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for pool, upstreams := range pools {
		if h.observePool(now, pool, upstreams) {
			changed = append(changed, pool)
		}
	}
	for pool := range h.pools {
		if _, listed := pools[pool]; !listed && h.observePool(now, pool, nil) {
			changed = append(changed, pool)
		}
	}
	return changed
}

func (h *History) observePool(now time.Time, pool string, upstreams []*traffic.Upstream) (changed bool) {
	listed := map[string]bool{}
	for _, u := range upstreams {
		listed[u.SoftwareVersion] = true
	}
	presences := slices.DeleteFunc(h.pools[pool], func(p Presence) bool { return p.endedBefore(now.Add(-Memory)) })
	for i := range presences {
		p := &presences[i]
		switch {
		case listed[p.Version] && !p.Until.IsZero():
			p.Until, changed = time.Time{}, true
		case !listed[p.Version] && p.Until.IsZero():
			p.Until, changed = now, true
		}
		delete(listed, p.Version)
	}
	for version := range listed {
		presences, changed = append(presences, Presence{Version: version, Since: now}), true
	}
	h.pools[pool] = presences
	return changed
}

func (p Presence) endedBefore(t time.Time) bool { return !p.Until.IsZero() && p.Until.Before(t) }

// Presences returns the versions that a pool's upstreams have had.
func (h *History) Presences(pool string) []Presence {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.pools[pool])
}

// Merge adds what was stored before this process started, after which nothing is missing. A version
// that was listed then and is not now may have left at any time until now.
func (h *History) Merge(now time.Time, stored map[string][]Presence) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.completeSince = now.Add(-Memory)
	for pool, presences := range stored {
		for _, p := range presences {
			h.merge(now, pool, p)
		}
	}
}

func (h *History) merge(now time.Time, pool string, stored Presence) {
	if stored.Until.IsZero() || stored.Until.After(now) {
		stored.Until = now
	}
	if stored.Since.After(stored.Until) {
		stored.Since = stored.Until
	}
	for i, p := range h.pools[pool] {
		if p.Version != stored.Version {
			continue
		}
		if stored.Since.Before(p.Since) {
			h.pools[pool][i].Since = stored.Since
		}
		if !p.Until.IsZero() && p.Until.Before(stored.Until) {
			h.pools[pool][i].Until = stored.Until
		}
		return
	}
	h.pools[pool] = append(h.pools[pool], stored)
}

// recent returns the versions that streams which may still be resumed can have. The lock must be held.
func (h *History) recent(now time.Time, pool string) []Presence {
	return slices.DeleteFunc(slices.Clone(h.pools[pool]), func(p Presence) bool { return p.endedBefore(now.Add(-Memory)) })
}

// IsMixed reports whether streams of a pool that may still be resumed can have several versions.
func (h *History) IsMixed(now time.Time, pool string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.recent(now, pool)) > 1
}

// Only returns the version that all streams of a pool that may still be resumed have, and false if
// that is not known.
func (h *History) Only(now time.Time, pool string) (version string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	recent := h.recent(now, pool)
	if len(recent) != 1 || now.Sub(h.completeSince) < Memory {
		return "", false
	}
	return recent[0].Version, true
}

// BeforeMix returns the only version that a pool had until a moment ago and since when there are
// others, and false if there was none. Hosts that did not know of the others have told nobody of
// their streams.
func (h *History) BeforeMix(now time.Time, pool string) (version string, since time.Time, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.completeSince) < Memory {
		return "", time.Time{}, false
	}
	since = now
	for _, p := range h.recent(now, pool) {
		switch {
		case now.Sub(p.Since) < recentMix:
			if p.Since.Before(since) {
				since = p.Since
			}
		case ok:
			return "", time.Time{}, false
		default:
			version, ok = p.Version, true
		}
	}
	return version, since, ok
}

// MixedPools returns the pools whose streams can have several versions.
func (h *History) MixedPools(now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var mixed []string
	for pool := range h.pools {
		if len(h.recent(now, pool)) > 1 {
			mixed = append(mixed, pool)
		}
	}
	return mixed
}

// Versions returns the number of versions that streams which may still be resumed can have, by pool.
func (h *History) Versions() map[string]int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	now, versions := time.Now(), map[string]int64{}
	for pool := range h.pools {
		versions[pool] = int64(len(h.recent(now, pool)))
	}
	return versions
}
