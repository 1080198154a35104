package resumption

import (
	"crypto/sha256"
	"encoding/binary"
)

// A Key identifies a stream in the whole fleet.
type Key uint64

// NewKey returns the key of the stream whose first event a caller's attempt brought. The hash is a
// cryptographic one, as callers choose the IDs of attempts and could make those of others collide.
func NewKey(workspace, attemptID string) Key {
	h := sha256.New()
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(len(workspace)))
	// Writes to a hash never fail.
	_, _ = h.Write(size[:])
	_, _ = h.Write([]byte(workspace))
	_, _ = h.Write([]byte(attemptID))
	return Key(binary.LittleEndian.Uint64(h.Sum(nil)))
}
