package quarantine

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// A Fingerprint identifies what a caller asks for; copies of a request bear the same one.
type Fingerprint uint64

// Content is what copies of a request have in common.
type Content struct {
	Workspace string
	Method    string
	Host      string
	// Target is the path and query.
	Target string
	Body   []byte
}

// Fingerprint returns the hash of the content.
func (c Content) Fingerprint() Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, text := range []string{c.Workspace, c.Method, c.Host, c.Target} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(text)))
		// Writing to a digest never fails.
		_, _ = d.Write(length[:])
		_, _ = d.WriteString(text)
	}
	_, _ = d.Write(c.Body)
	return Fingerprint(d.Sum64())
}

// String returns the fingerprint as it stands in logs.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }
