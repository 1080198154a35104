package quarantine

import "time"

// A Record is what one host sends another about a request during which upstreams crashed. It holds
// ages instead of times because the clocks of hosts differ.
type Record struct {
	Request Fingerprint
	Crashes []CrashRecord
	// Answered is set if an upstream has responded to the request, AnsweredAge is how long ago.
	Answered    bool
	AnsweredAge time.Duration
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

func (s *suspect) record(now time.Time, f Fingerprint) Record {
	r := Record{Request: f}
	for _, c := range s.crashes {
		r.Crashes = append(r.Crashes, CrashRecord{Start: c.instance, Age: now.Sub(c.crashedAt), Ran: c.crashedAt.Sub(c.sentAt)})
	}
	if !s.answeredAt.IsZero() {
		r.Answered, r.AnsweredAge = true, now.Sub(s.answeredAt)
	}
	return r
}

// merge merges a record into the suspect and reports whether that changed anything.
func (s *suspect) merge(now time.Time, r Record) bool {
	changed := false
	if r.Answered {
		changed = s.addResponse(now.Add(-max(r.AnsweredAge, 0)))
	}
	for _, c := range r.Crashes {
		changed = s.addCrash(c.crash(now)) || changed
	}
	return changed
}
