package quarantine

import "time"

// A Record is what one host sends another about a subject of requests during which upstreams crashed.
// It holds ages instead of times because the clocks of hosts differ.
type Record struct {
	// Request is the fingerprint of the subject. Older builds know whole requests only.
	Request Fingerprint
	Crashes []CrashRecord
	// Answered is set if an upstream has responded to a request of the subject, AnsweredAge is how
	// long ago.
	Answered    bool
	AnsweredAge time.Duration
	// Kind and Depth are those of the subject. Part and Workspace are too, but empty before the subject
	// has had crashThreshold crashes, as most subjects never have.
	Kind      Kind
	Depth     int
	Part      string
	Workspace string
}

// A CrashRecord is the crash of one upstream during a request.
type CrashRecord struct {
	// Start is the short hash of the upstream's instance.
	Start uint32
	// Age is how long ago the upstream crashed, Ran how long it had the request until then.
	Age time.Duration
	Ran time.Duration
}

func (r CrashRecord) crash(now time.Time) crash {
	crashedAt := now.Add(-max(r.Age, 0))
	return crash{instance: r.Start, sentAt: crashedAt.Add(-max(r.Ran, 0)), crashedAt: crashedAt}
}

func (c crash) record(now time.Time) CrashRecord {
	return CrashRecord{Start: c.instance, Age: now.Sub(c.crashedAt), Ran: c.crashedAt.Sub(c.sentAt)}
}

// Subject returns the subject of the record.
func (r Record) Subject() Subject {
	return Subject{Fingerprint: r.Request, Kind: r.Kind, Part: r.Part, Workspace: r.Workspace, Depth: r.Depth}
}

func (s *suspect) record(now time.Time) Record {
	r := Record{Request: s.subject.Fingerprint, Kind: s.subject.Kind, Depth: s.subject.Depth}
	if len(s.crashes) >= crashThreshold {
		r.Part, r.Workspace = s.subject.Part, s.subject.Workspace
	}
	for _, c := range s.crashes {
		r.Crashes = append(r.Crashes, c.record(now))
	}
	if !s.answeredAt.IsZero() {
		r.Answered, r.AnsweredAge = true, now.Sub(s.answeredAt)
	}
	return r
}

// merge merges a record into the suspect and reports whether that changed anything that other hosts
// have to know. That includes an answer of which the record's sender does not know.
func (s *suspect) merge(now time.Time, r Record) bool {
	s.learn(r.Subject())
	s.peakCrashes = max(s.peakCrashes, len(r.Crashes))
	// Whether there was any answer decides between suspects with the same crashes.
	changed := r.Answered == s.answeredAt.IsZero()
	if r.Answered {
		changed = s.addResponse(now.Add(-max(r.AnsweredAge, 0))) || changed
	}
	for _, c := range r.Crashes {
		added := c.crash(now)
		changed = s.addCrash(added) || changed || !added.crashedAt.After(s.answeredAt)
	}
	return changed
}
