package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"jackdawhinge/common/traffic"
)

// A Snapshot is what the host believed at one moment.
type Snapshot struct {
	configuration *traffic.Configuration
	pools         map[string][]*traffic.Upstream
	listed        map[string]*traffic.Upstream
	all           map[string][]*traffic.Upstream
	since         map[string]time.Time
	avoided       map[string]bool
	known         bool
}

// Configuration returns the configuration in force, or nil before there is one.
func (s *Snapshot) Configuration() *traffic.Configuration { return s.configuration }

// Known reports whether the upstreams have been listed.
func (s *Snapshot) Known() bool { return s.known }

// Upstreams returns a pool's upstreams that take new work, in order of their
// identifiers; the slice must not be changed.
func (s *Snapshot) Upstreams(pool string) []*traffic.Upstream { return s.pools[pool] }

// Pools returns the upstreams that take new work by pool; the map must not be changed.
func (s *Snapshot) Pools() map[string][]*traffic.Upstream { return s.pools }

// Takes reports whether an upstream still takes new work.
func (s *Snapshot) Takes(id string) bool {
	u, ok := s.listed[id]
	return ok && u.State == traffic.Ready
}

// Listed returns an upstream that is still listed, leaving or not.
func (s *Snapshot) Listed(id string) (*traffic.Upstream, bool) {
	u, ok := s.listed[id]
	return u, ok
}

// All returns a pool's upstreams, also those that leave, in order of their
// identifiers; the slice must not be changed.
func (s *Snapshot) All(pool string) []*traffic.Upstream { return s.all[pool] }

// Since returns when the upstream was listed first, as far as this host saw it.
func (s *Snapshot) Since(id string) time.Time { return s.since[id] }

// Avoided reports whether this host's own experience speaks against an upstream.
func (s *Snapshot) Avoided(id string) bool { return s.avoided[id] }

// newSnapshot returns a snapshot of the upstreams that take new work.
func newSnapshot(c *traffic.Configuration, listed map[string]traffic.Upstream, since map[string]time.Time, avoided map[string]bool) *Snapshot {
	s := &Snapshot{
		configuration: c, pools: map[string][]*traffic.Upstream{},
		all: map[string][]*traffic.Upstream{}, listed: map[string]*traffic.Upstream{},
		since: maps.Clone(since), avoided: avoided,
	}
	for id, u := range listed {
		s.listed[id] = &u
		s.all[u.Pool] = append(s.all[u.Pool], &u)
		if u.State != traffic.Ready {
			continue
		}
		s.pools[u.Pool] = append(s.pools[u.Pool], &u)
	}
	byID := func(a, b *traffic.Upstream) int { return cmp.Compare(a.ID, b.ID) }
	for _, pool := range s.pools {
		slices.SortFunc(pool, byID)
	}
	for _, pool := range s.all {
		slices.SortFunc(pool, byID)
	}
	return s
}
