package quarantine

import (
	"encoding/json"
	"fmt"
	"time"
)

// A Notice is the stored form of the Record of a quarantined subject. The store keeps it while all
// hosts restart.
type Notice struct {
	// Crashes are the first crashThreshold crashes one after the other, which is how many older builds
	// expect.
	Crashes []CrashNotice `json:"crashes"`
	// OtherCrashes are all others. With fewer crashes a subject that was only there could be taken
	// for the cause.
	OtherCrashes []CrashNotice `json:"other-crashes,omitempty"`
	Kind         Kind          `json:"kind,omitempty"`
	Part         string        `json:"part,omitempty"`
	Workspace    string        `json:"workspace,omitempty"`
	Depth        int           `json:"depth,omitempty"`
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
	n := Notice{Kind: r.Kind, Part: r.Part, Workspace: r.Workspace, Depth: r.Depth}
	s := &suspect{subject: r.Subject()}
	for _, c := range r.Crashes {
		s.addCrash(c.crash(now))
	}
	sequence := s.sequence(s.crashes)
	sequence = sequence[:min(crashThreshold, len(sequence))]
	for _, c := range s.crashes {
		switch i := indexOf(sequence, c); {
		case i > 0:
			// Older builds ignore crashes of requests that were at two upstreams at the same time.
			c.sentAt = latest(c.sentAt, sequence[i-1].crashedAt)
			n.Crashes = append(n.Crashes, c.notice())
		case i == 0:
			n.Crashes = append(n.Crashes, c.notice())
		default:
			n.OtherCrashes = append(n.OtherCrashes, c.notice())
		}
	}
	return n
}

func indexOf(crashes []crash, c crash) int {
	for i, other := range crashes {
		if other.instance == c.instance {
			return i
		}
	}
	return -1
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (c crash) notice() CrashNotice {
	return CrashNotice{Instance: c.instance, SentAt: c.sentAt.UTC(), CrashedAt: c.crashedAt.UTC()}
}

func (n CrashNotice) record(now time.Time) CrashRecord {
	return CrashRecord{Start: n.Instance, Age: now.Sub(n.CrashedAt), Ran: n.CrashedAt.Sub(n.SentAt)}
}

// DecodeNotice returns the record of a notice that was stored under a subject's fingerprint. It
// returns an error if fingerprint or notice are malformed or the notice is of a subject that is not
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
	if len(n.OtherCrashes) > maxCrashes {
		return Record{}, &NoticeError{Request: request, Field: "other-crashes", Problem: fmt.Sprintf("are %d and more than %d", len(n.OtherCrashes), maxCrashes)}
	}
	r := Record{Request: f, Kind: n.Kind, Part: n.Part, Workspace: n.Workspace, Depth: n.Depth}
	all := append(n.Crashes, n.OtherCrashes...)
	// The writer's clock may be ahead of this host's. What matters is how far the crashes are apart.
	for _, c := range all {
		now = latest(now, c.CrashedAt)
	}
	for _, c := range all {
		r.Crashes = append(r.Crashes, c.record(now))
	}
	return r, nil
}

// Expired reports whether the quarantine of the record's subject has ended.
func (r Record) Expired() bool {
	for _, c := range r.Crashes {
		if c.Age < quarantineTTL {
			return false
		}
	}
	return true
}
