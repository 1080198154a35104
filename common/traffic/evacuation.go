package traffic

// Evacuations are the failure domains that operators have taken out of use. Their upstreams finish
// what they have and get nothing new.
type Evacuations struct {
	// Position is the position in the operators' topic at which Domains holds. It orders
	// evacuations that come from different hosts.
	Position LogPosition
	// Domains holds the position after the operators' record, by failure domain.
	Domains map[string]LogPosition
}

// IsNewerThan reports whether e holds at a later position than other.
func (e Evacuations) IsNewerThan(other Evacuations) bool {
	return other.Position.Before(e.Position)
}
