package quarantine

import (
	"encoding/json"
	"fmt"
	"time"
)

// A Notice is what is written of a barred request where it outlasts all hosts.
type Notice struct {
	Crashes []CrashNotice `json:"crashes"`
}

// A CrashNotice is one upstream that ended under a request.
type CrashNotice struct {
	Start uint32    `json:"upstream-start"`
	From  time.Time `json:"from"`
	At    time.Time `json:"at"`
}

// A NoticeError says why a notice cannot be used.
type NoticeError struct {
	Request string
	Field   string
	Problem string
}

// Error returns the request, the field and what is wrong with it.
func (e *NoticeError) Error() string {
	return fmt.Sprintf("notice of request %q: %s %s", e.Request, e.Field, e.Problem)
}

// Notice returns what is written of a record at a moment.
func (r Record) Notice(now time.Time) Notice {
	var n Notice
	for _, k := range r.Crashes {
		n.Crashes = append(n.Crashes, CrashNotice{Start: k.Start, From: now.Add(-k.Age - k.Ran).UTC(), At: now.Add(-k.Age).UTC()})
	}
	return n
}

// DecodeNotice returns the record of a notice that was written under a request's fingerprint.
func DecodeNotice(now time.Time, request string, data []byte) (Record, error) {
	f, err := ParseFingerprint(request)
	if err != nil {
		return Record{}, err
	}
	var n Notice
	if err := json.Unmarshal(data, &n); err != nil {
		return Record{}, fmt.Errorf("decode notice of request %q: %w", request, err)
	}
	if len(n.Crashes) != mostCrashes {
		return Record{}, &NoticeError{Request: request, Field: "crashes", Problem: fmt.Sprintf("are %d and not %d", len(n.Crashes), mostCrashes)}
	}
	r := Record{Request: f}
	for _, k := range n.Crashes {
		r.Crashes = append(r.Crashes, CrashRecord{Start: k.Start, Age: now.Sub(k.At), Ran: k.At.Sub(k.From)})
	}
	return r, nil
}

// Expired reports whether the record is of a request that is no longer barred.
func (r Record) Expired() bool {
	for _, k := range r.Crashes {
		if k.Age < barredFor {
			return false
		}
	}
	return true
}
