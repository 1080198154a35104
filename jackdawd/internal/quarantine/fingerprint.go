package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strconv"
)

// A Fingerprint identifies what requests have in common: the same content, or a part of the prompt. It
// is the first 64 bits of a cryptographic hash, so that no caller can craft requests that crash
// upstreams and have the fingerprint of another caller's request, which would then be refused.
type Fingerprint uint64

// Content is the part of a request that its copies have in common.
type Content struct {
	Workspace string
	Method    string
	Host      string
	// Target is the path and query.
	Target string
	Body   []byte
}

// Fingerprint returns the fingerprint of the content.
func (c Content) Fingerprint() Fingerprint {
	return hashWithBody(c.Body, c.Workspace, c.Method, c.Host, c.Target)
}

// hash returns the fingerprint of texts.
func hash(texts ...string) Fingerprint { return hashWithBody(nil, texts...) }

// hashWithBody returns the fingerprint of texts followed by a body.
func hashWithBody(body []byte, texts ...string) Fingerprint {
	d := sha256.New()
	for _, text := range texts {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(text)))
		// Writing to a hash never fails.
		_, _ = d.Write(length[:])
		_, _ = d.Write([]byte(text))
	}
	_, _ = d.Write(body)
	return Fingerprint(binary.BigEndian.Uint64(d.Sum(nil)))
}

// ParseFingerprint parses a fingerprint in the form that String returns; an error is a *NoticeError.
func ParseFingerprint(text string) (Fingerprint, error) {
	f, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, &NoticeError{Request: text, Field: "fingerprint", Problem: "is not a number in hexadecimal"}
	}
	return Fingerprint(f), nil
}

// String returns the fingerprint as 16 hexadecimal digits, as in logs.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }
