package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"jackdawhinge/common/traffic"
)

// A Snapshot is a host's view of the configuration and the upstreams at one moment. It is immutable.
type Snapshot struct {
	configuration *traffic.Configuration
	// ready and all hold the upstreams by pool, byID each upstream by its identifier. Upstreams of
	// evacuated failure domains are not ready.
	ready     map[string][]*traffic.Upstream
	byID      map[string]*traffic.Upstream
	addresses map[string]bool
	all       map[string][]*traffic.Upstream
	firstSeen map[string]time.Time
	avoided   map[string]bool
	// upstreamsKnown is set once the list of upstreams has been read.
	upstreamsKnown bool
	coldUntil      map[string]time.Time
	evacuatedSince map[string]time.Time
	// evacuatedCounts holds, by pool, the number of upstreams that are not ready only because their
	// failure domain is evacuated.
	evacuatedCounts map[string]int
}

// Configuration returns the configuration in force, or nil before there is one.
func (s *Snapshot) Configuration() *traffic.Configuration { return s.configuration }

// UpstreamsKnown reports whether the list of upstreams has been read.
func (s *Snapshot) UpstreamsKnown() bool { return s.upstreamsKnown }

// ReadyUpstreams returns a pool's ready upstreams, sorted by identifier; the slice must not be
// changed.
func (s *Snapshot) ReadyUpstreams(pool string) []*traffic.Upstream { return s.ready[pool] }

// ReadyPools returns the ready upstreams by pool; the map must not be changed.
func (s *Snapshot) ReadyPools() map[string][]*traffic.Upstream { return s.ready }

// IsReady reports whether an upstream is listed and ready, so that it may get new work.
func (s *Snapshot) IsReady(id string) bool {
	u, ok := s.byID[id]
	return ok && u.State == traffic.Ready && !s.IsEvacuated(u.FailureDomain)
}

// IsEvacuated reports whether operators have taken a failure domain out of use.
func (s *Snapshot) IsEvacuated(failureDomain string) bool {
	if s.configuration == nil {
		return false
	}
	_, evacuated := s.configuration.Evacuations().Domains[failureDomain]
	return evacuated
}

// EvacuatedCount returns the number of a pool's upstreams that would be ready if their failure
// domains were not evacuated.
func (s *Snapshot) EvacuatedCount(pool string) int { return s.evacuatedCounts[pool] }

// EvacuatedCounts returns these numbers by pool; the map must not be changed.
func (s *Snapshot) EvacuatedCounts() map[string]int { return s.evacuatedCounts }

// EvacuatedSince returns when this host learned of each evacuation in force, by failure domain; the
// map must not be changed.
func (s *Snapshot) EvacuatedSince() map[string]time.Time { return s.evacuatedSince }

// ColdUntil returns until when an upstream bears only its pool's ColdRate, or the zero time if it
// is warm.
func (s *Snapshot) ColdUntil(id string) time.Time { return s.coldUntil[id] }

// Lookup returns an upstream by its identifier, ready or leaving, and whether it is listed.
func (s *Snapshot) Lookup(id string) (*traffic.Upstream, bool) {
	u, ok := s.byID[id]
	return u, ok
}

// HasAddress reports whether an upstream with this address is listed, ready or leaving.
func (s *Snapshot) HasAddress(address string) bool { return s.addresses[address] }

// AllUpstreams returns a pool's upstreams, ready or leaving, sorted by identifier; the slice must
// not be changed.
func (s *Snapshot) AllUpstreams(pool string) []*traffic.Upstream { return s.all[pool] }

// AllPools returns the upstreams by pool, ready or leaving; the map must not be changed.
func (s *Snapshot) AllPools() map[string][]*traffic.Upstream { return s.all }

// FirstSeen returns when this host first saw the current instance of an upstream, or the zero time.
func (s *Snapshot) FirstSeen(id string) time.Time { return s.firstSeen[id] }

// Avoided reports whether an upstream is to be avoided because this host's requests to it fail.
func (s *Snapshot) Avoided(id string) bool { return s.avoided[id] }

func newSnapshot(c *traffic.Configuration, upstreams map[string]traffic.Upstream, firstSeen map[string]time.Time, avoided map[string]bool) *Snapshot {
	s := &Snapshot{
		configuration: c, ready: map[string][]*traffic.Upstream{},
		all: map[string][]*traffic.Upstream{}, byID: map[string]*traffic.Upstream{}, addresses: map[string]bool{},
		firstSeen: maps.Clone(firstSeen), avoided: avoided, evacuatedCounts: map[string]int{},
	}
	for id, u := range upstreams {
		s.byID[id] = &u
		s.addresses[u.Address] = true
		s.all[u.Pool] = append(s.all[u.Pool], &u)
		switch {
		case u.State != traffic.Ready:
			continue
		case s.IsEvacuated(u.FailureDomain):
			s.evacuatedCounts[u.Pool]++
			continue
		}
		s.ready[u.Pool] = append(s.ready[u.Pool], &u)
	}
	byID := func(a, b *traffic.Upstream) int { return cmp.Compare(a.ID, b.ID) }
	for _, pool := range s.ready {
		slices.SortFunc(pool, byID)
	}
	for _, pool := range s.all {
		slices.SortFunc(pool, byID)
	}
	return s
}
