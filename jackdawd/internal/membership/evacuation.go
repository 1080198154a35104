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
func (s *state) mergeConfiguration(now time.Time, c *traffic.Configuration) *traffic.Configuration {
	if s.configuration == nil {
		return c
	}
	before, after := s.configuration.Evacuations(), c.Evacuations()
	isNewer := after.IsNewerThan(before)
	if isNewer {
		after = mergeEvacuations(now, before, after)
	} else {
		after = before
	}
	switch {
	case c.Version() > s.configuration.Version():
		return c.WithEvacuations(after)
	case isNewer:
		return s.configuration.WithEvacuations(after)
	}
	return nil
}

// mergeEvacuations returns the later evacuations together with those that are missing from them only
// because the store was restored from an older backup, and with the recent ends of both.
func mergeEvacuations(now time.Time, before, after traffic.Evacuations) traffic.Evacuations {
	ends, domains := traffic.MergeEnds(before.Ends(), after.Ends()), map[string]traffic.LogPosition{}
	maps.Copy(domains, after.Domains)
	for domain, record := range before.Domains {
		_, still := domains[domain]
		switch hasEnded := record.Before(ends[domain].Record); {
		case still || hasEnded:
		case record.Era != after.Position.Era:
			domains[domain] = record
		default:
			ends[domain] = traffic.EvacuationEnd{Record: after.Position, At: now}
		}
	}
	return traffic.Evacuations{Position: after.Position, Domains: domains}.WithEnds(ends)
}

// updateEvacuations records which failure domains are evacuated from now on.
func (s *state) updateEvacuations(now time.Time, domains map[string]traffic.LogPosition) {
	for domain, record := range domains {
		if _, known := s.evacuatedSince[domain]; !known {
			s.evacuatedSince[domain] = now
			logrus.WithFields(logrus.Fields{"failure-domain": domain, "record": record.Offset - 1}).Info("membership: Failure domain evacuated. Its upstreams get no new requests.")
		}
	}
	for domain, since := range s.evacuatedSince {
		if _, still := domains[domain]; !still {
			delete(s.evacuatedSince, domain)
			logrus.WithFields(logrus.Fields{"failure-domain": domain, "took": now.Sub(since).String()}).Info("membership: Evacuation of a failure domain ended.")
		}
	}
}

// expireEvacuations ends the evacuations that operators have not written again within
// restoredEvacuationGrace after the store was restored, and reports whether there were any.
func (s *state) expireEvacuations(now time.Time) bool {
	if s.configuration == nil || now.Sub(s.restoredAt) <= restoredEvacuationGrace {
		return false
	}
	evacuations := s.configuration.Evacuations()
	kept, ends := maps.Clone(evacuations.Domains), traffic.MergeEnds(evacuations.Ends(), nil)
	maps.DeleteFunc(kept, func(domain string, record traffic.LogPosition) bool {
		if record.Era == evacuations.Position.Era {
			return false
		}
		ends[domain] = traffic.EvacuationEnd{Record: evacuations.Position, At: now}
		return true
	})
	if len(kept) == len(evacuations.Domains) {
		return false
	}
	evacuations.Domains = kept
	s.configuration = s.configuration.WithEvacuations(evacuations.WithEnds(ends))
	s.updateEvacuations(now, kept)
	return true
}

// expireEnds drops the ends of evacuations after which no upstream can be cold any more, and reports
// whether there were any.
func (s *state) expireEnds(now time.Time) bool {
	if s.configuration == nil {
		return false
	}
	evacuations := s.configuration.Evacuations()
	kept, coldStart := maps.Clone(evacuations.Ends()), s.configuration.MaxColdStart()
	maps.DeleteFunc(kept, func(_ string, end traffic.EvacuationEnd) bool { return now.Sub(end.At) >= coldStart })
	if len(kept) == len(evacuations.Ends()) {
		return false
	}
	s.configuration = s.configuration.WithEvacuations(evacuations.WithEnds(kept))
	return true
}
