package traffic

import "cmp"

// A LogPosition is a read position in a topic of the platform's store. The store may be restored
// from an older backup and then assigns offsets again, so offsets compare only within one era.
type LogPosition struct {
	// Era counts the restores of the store from an older backup.
	Era int64
	// Offset is the offset of the next record to read.
	Offset int64
}

// A StoredRecord is the newest record of a key in a topic of the platform's store.
type StoredRecord struct {
	// Value is nil if the record deletes the key.
	Value []byte
	// End is the position after the record.
	End LogPosition
}

// IsZero reports whether nothing was read yet.
func (p LogPosition) IsZero() bool { return p == LogPosition{} }

// Before reports whether p is behind other.
func (p LogPosition) Before(other LogPosition) bool { return p.Compare(other) < 0 }

// Compare orders positions by era first, then by offset.
func (p LogPosition) Compare(other LogPosition) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Offset, other.Offset))
}
