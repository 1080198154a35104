package quarantine

import (
	"encoding/json"
	"fmt"
	"time"
)

// A Notice is the stored form of the Record of a quarantined request. The store keeps it while all
// hosts restart.
type Notice struct {
	Crashes []CrashNotice `json:"crashes"`
}

// A CrashNotice is the stored form of a CrashRecord.
type CrashNotice struct {
	// Instance is the short hash of the upstream's instance.
	Instance uint32 `json:"upstream-start"`
	// SentAt is when the request was sent to the upstream, CrashedAt when the upstream crashed.
	SentAt    time.Time `json:"from"`
	CrashedAt time.Time `json:"at"`
}

// A NoticeError says why a notice or its fingerprint cannot be decoded.
type NoticeError struct {
	Request string
	Field   string
	Problem string
}

// Error returns the request, the field and what is wrong with it.
func (e *NoticeError) Error() string {
	return fmt.Sprintf("notice of request %q: %s %s", e.Request, e.Field, e.Problem)
}

// Notice returns the stored form of the record; now is the time at which the record's ages hold.
func (r Record) Notice(now time.Time) Notice {
	var n Notice
	for _, c := range r.Crashes {
		n.Crashes = append(n.Crashes, CrashNotice{Instance: c.Start, SentAt: now.Add(-c.Age - c.Ran).UTC(), CrashedAt: now.Add(-c.Age).UTC()})
	}
	return n
}

// DecodeNotice returns the record of a notice that was stored under a request's fingerprint. It
// returns an error if fingerprint or notice are malformed or the notice is of a request that is not
// quarantined.
func DecodeNotice(now time.Time, request string, data []byte) (Record, error) {
	f, err := ParseFingerprint(request)
	if err != nil {
		return Record{}, err
	}
	var n Notice
	if err := json.Unmarshal(data, &n); err != nil {
		return Record{}, fmt.Errorf("decode notice of request %q: %w", request, err)
	}
	if len(n.Crashes) != crashThreshold {
		return Record{}, &NoticeError{Request: request, Field: "crashes", Problem: fmt.Sprintf("are %d and not %d", len(n.Crashes), crashThreshold)}
	}
	r := Record{Request: f}
	for _, c := range n.Crashes {
		r.Crashes = append(r.Crashes, CrashRecord{Start: c.Instance, Age: now.Sub(c.CrashedAt), Ran: c.CrashedAt.Sub(c.SentAt)})
	}
	return r, nil
}

// Expired reports whether the quarantine of the record's request has ended.
func (r Record) Expired() bool {
	for _, c := range r.Crashes {
		if c.Age < quarantineTTL {
			return false
		}
	}
	return true
}
