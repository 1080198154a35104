package membership

import (
	"cmp"
	"slices"

	"jackdawhinge/common/traffic"
)

// A Snapshot is what the host believed at one moment.
type Snapshot struct {
	configuration *traffic.Configuration
	pools         map[string][]*traffic.Upstream
	listed        map[string]*traffic.Upstream
	avoided       map[string]bool
}

// Configuration returns the configuration in force, or nil before there is one.
func (s *Snapshot) Configuration() *traffic.Configuration { return s.configuration }

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

// Avoided reports whether this host's own experience speaks against an upstream.
func (s *Snapshot) Avoided(id string) bool { return s.avoided[id] }

// newSnapshot returns a snapshot of the upstreams that take new work.
func newSnapshot(c *traffic.Configuration, listed map[string]traffic.Upstream, avoided map[string]bool) *Snapshot {
	s := &Snapshot{
		configuration: c, pools: map[string][]*traffic.Upstream{},
		listed: map[string]*traffic.Upstream{}, avoided: avoided,
	}
	for id, u := range listed {
		s.listed[id] = &u
		if u.State != traffic.Ready {
			continue
		}
		s.pools[u.Pool] = append(s.pools[u.Pool], &u)
	}
	for _, pool := range s.pools {
		slices.SortFunc(pool, func(a, b *traffic.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
	return s
}
