package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strconv"
)

// A Fingerprint identifies what a caller asks for; copies of a request bear the same one. It is the
// beginning of a cryptographic hash: no caller can make requests that crash upstreams and bear the
// fingerprint of somebody else's, which would be refused for it.
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
	d := sha256.New()
	for _, text := range []string{c.Workspace, c.Method, c.Host, c.Target} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(text)))
		// Writing to a hash never fails.
		_, _ = d.Write(length[:])
		_, _ = d.Write([]byte(text))
	}
	_, _ = d.Write(c.Body)
	return Fingerprint(binary.BigEndian.Uint64(d.Sum(nil)))
}

// ParseFingerprint returns the fingerprint that stands in a log.
func ParseFingerprint(text string) (Fingerprint, error) {
	f, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, &NoticeError{Request: text, Field: "fingerprint", Problem: "is not a number in hexadecimal"}
	}
	return Fingerprint(f), nil
}

// String returns the fingerprint as it stands in logs.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }
