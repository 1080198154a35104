package membership

import (
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/common/traffic"
)

// restoredEvacuationGrace is how long an evacuation is kept that a store restored from an older
// backup lacks. If it still holds, operators write it again soon.
const restoredEvacuationGrace = 15 * time.Second

// mergeConfiguration returns the configuration in force after c arrived, of the latest version and
// with the latest evacuations, or nil if c brings nothing new. The store may return the newest
// record again, and hosts may send versions and evacuations in another order than written; an older
// one never replaces a newer one.
func (s *state) mergeConfiguration(c *traffic.Configuration) *traffic.Configuration {
	if s.configuration == nil {
		return c
	}
	before, after := s.configuration.Evacuations(), c.Evacuations()
	if !after.IsNewerThan(before) {
		after = before
	}
	switch {
	case c.Version() > s.configuration.Version():
		return c.WithEvacuations(withUnconfirmed(before, after))
	case after.IsNewerThan(before):
		return s.configuration.WithEvacuations(withUnconfirmed(before, after))
	}
	return nil
}

// withUnconfirmed returns the later evacuations together with those that are missing from them only
// because the store was restored from an older backup.
func withUnconfirmed(before, after traffic.Evacuations) traffic.Evacuations {
	if before.Position.Era == after.Position.Era {
		return after
	}
	domains := maps.Clone(before.Domains)
	if domains == nil {
		domains = map[string]traffic.LogPosition{}
	}
	maps.Copy(domains, after.Domains)
	return traffic.Evacuations{Position: after.Position, Domains: domains}
}

// updateEvacuations records which failure domains are evacuated from now on. The upstreams of one
// whose evacuation has ended may be cold, which their entries do not say yet.
func (s *state) updateEvacuations(now time.Time, domains map[string]traffic.LogPosition) {
	for domain, record := range domains {
		if _, known := s.evacuatedSince[domain]; !known {
			s.evacuatedSince[domain] = now
			logrus.WithFields(logrus.Fields{"failure-domain": domain, "record": record.Offset - 1}).Info("membership: Failure domain evacuated. Its upstreams get no new requests.")
		}
	}
	for domain, since := range s.evacuatedSince {
		if _, still := domains[domain]; still {
			continue
		}
		delete(s.evacuatedSince, domain)
		logrus.WithFields(logrus.Fields{"failure-domain": domain, "took": now.Sub(since).String()}).Info("membership: Evacuation of a failure domain ended.")
		for id, u := range s.upstreams {
			if u.FailureDomain == domain {
				s.assumeCold(now, id)
			}
		}
	}
}

// expireEvacuations drops the evacuations that operators have not written again within
// restoredEvacuationGrace after the store was restored, and reports whether there were any.
func (s *state) expireEvacuations(now time.Time) bool {
	if s.configuration == nil {
		return false
	}
	evacuations := s.configuration.Evacuations()
	kept := maps.Clone(evacuations.Domains)
	maps.DeleteFunc(kept, func(_ string, record traffic.LogPosition) bool {
		return record.Era != evacuations.Position.Era && now.Sub(s.restoredAt) > restoredEvacuationGrace
	})
	if len(kept) == len(evacuations.Domains) {
		return false
	}
	evacuations.Domains = kept
	s.configuration = s.configuration.WithEvacuations(evacuations)
	s.updateEvacuations(now, kept)
	return true
}
