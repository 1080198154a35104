package traffic

import "cmp"

// A LogPosition is how far a topic of the store is known. The store may come back from an older copy of
// itself and give offsets out again, so that those of different eras do not compare.
type LogPosition struct {
	// Era counts how often the store has come back from an older copy.
	Era int64
	// Offset is that of the next record.
	Offset int64
}

// IsZero reports whether nothing is known.
func (p LogPosition) IsZero() bool { return p == LogPosition{} }

// Before reports whether less is known at a position than at another one.
func (p LogPosition) Before(other LogPosition) bool { return p.Compare(other) < 0 }

// Compare orders positions: all of a later era come after those of an earlier one.
func (p LogPosition) Compare(other LogPosition) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Offset, other.Offset))
}
