package traffic

import (
	"maps"
	"time"
)

// Evacuations are the failure domains that operators have taken out of use. Their upstreams finish
// what they have and get nothing new.
type Evacuations struct {
	// Position is the position in the operators' topic at which Domains holds. It orders
	// evacuations that come from different hosts.
	Position LogPosition
	// Domains holds the position after the operators' record, by failure domain.
	Domains map[string]LogPosition
	// ends holds the evacuations that ended recently; nil means that they are not known. It is not
	// encoded, as times are of this host.
	ends map[string]EvacuationEnd
}

// An EvacuationEnd is the end of an evacuation. The failure domain's upstreams may be cold after it
// although their entries do not say so yet.
type EvacuationEnd struct {
	// Record is the position after the operators' record that ended the evacuation.
	Record LogPosition
	// At is the latest time at which it may have ended.
	At time.Time
}

// IsNewerThan reports whether e holds at a later position than other.
func (e Evacuations) IsNewerThan(other Evacuations) bool {
	return other.Position.Before(e.Position)
}

// Ends returns the evacuations that ended recently, by failure domain, or nil if they are not known;
// the map must not be changed.
func (e Evacuations) Ends() map[string]EvacuationEnd { return e.ends }

// WithEnds returns the same evacuations after others ended recently.
func (e Evacuations) WithEnds(ends map[string]EvacuationEnd) Evacuations {
	e.ends = ends
	return e
}

// MergeEnds returns the ends of both maps, the later one where both have one.
func MergeEnds(a, b map[string]EvacuationEnd) map[string]EvacuationEnd {
	merged := map[string]EvacuationEnd{}
	maps.Copy(merged, a)
	for domain, end := range b {
		if known, ok := merged[domain]; !ok || known.Record.Before(end.Record) || known.Record == end.Record && end.At.Before(known.At) {
			merged[domain] = end
		}
	}
	return merged
}
