package membership

import (
	"maps"
	"time"

	"jackdawhinge/common/traffic"
)

// recordCold records for how long an upstream reports to be cold, and reports whether it has turned
// cold or warm, which hosts that follow this one must learn. While an upstream is cold each of its
// entries says for how much longer; as entries are some time old, the earliest end holds. A longer
// time than in the entry before means that it has turned cold again.
func (s *state) recordCold(now time.Time, old *traffic.Upstream, u traffic.Upstream) bool {
	end, wasCold := s.coldUntil[u.ID]
	reported := now.Add(u.ColdFor)
	switch {
	case u.ColdFor <= 0:
		delete(s.coldUntil, u.ID)
		return wasCold
	case old == nil || old.Incarnation != u.Incarnation || u.ColdFor > old.ColdFor:
		s.coldUntil[u.ID] = reported
		return true
	case wasCold && reported.Before(end):
		s.coldUntil[u.ID] = reported
		s.coldShortened = true
	}
	return false
}

// expireCold ends the cold time of upstreams and reports whether that of any has ended or become
// shorter.
func (s *state) expireCold(now time.Time) bool {
	changed := s.coldShortened
	s.coldShortened = false
	for id, end := range s.coldUntil {
		if now.Before(end) {
			continue
		}
		delete(s.coldUntil, id)
		u := s.upstreams[id]
		u.ColdFor = 0
		s.changes.add(traffic.ListedEntry(u))
		changed = true
	}
	return changed
}

// withTimeLeftCold returns the upstreams with the time for which they are still cold.
func (s *state) withTimeLeftCold(now time.Time) map[string]traffic.Upstream {
	upstreams := maps.Clone(s.upstreams)
	for id, u := range upstreams {
		if u.ColdFor > 0 {
			u.ColdFor = max(s.coldUntil[id].Sub(now), 0)
			upstreams[id] = u
		}
	}
	return upstreams
}

// coldUpstreams returns until when each cold upstream is cold. One whose failure domain was evacuated
// may be cold although its entry, written before, does not say so. It counts as cold for as long as
// one that has just started.
func (s *state) coldUpstreams() map[string]time.Time {
	cold := maps.Clone(s.coldUntil)
	if s.configuration == nil {
		return cold
	}
	ends := s.configuration.Evacuations().Ends()
	for id, u := range s.upstreams {
		end, ended := ends[u.FailureDomain]
		pool, ok := s.configuration.Pool(u.Pool)
		if !ended || !ok || pool.ColdRate <= 0 {
			continue
		}
		if until := end.At.Add(pool.ColdStart); until.After(cold[id]) {
			cold[id] = until
		}
	}
	return cold
}
