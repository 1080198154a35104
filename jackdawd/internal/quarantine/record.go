package quarantine

import "time"

// A Record is what one host tells another of a request under which upstreams have ended. It holds ages,
// not times, as hosts' clocks differ.
type Record struct {
	Request Fingerprint
	Crashes []CrashRecord
	// Answered is set if an upstream that had run the request has answered, AnsweredAge how long ago.
	Answered    bool
	AnsweredAge time.Duration
}

// A CrashRecord is one upstream that ended under a request.
type CrashRecord struct {
	// Start is the short hash of the start of the upstream.
	Start uint32
	// Age is how long ago it ended, Ran for how long it had had the request then.
	Age time.Duration
	Ran time.Duration
}

func (r CrashRecord) crash(now time.Time) crash {
	at := now.Add(-max(r.Age, 0))
	return crash{start: r.Start, from: at.Add(-max(r.Ran, 0)), at: at}
}

// record returns what is told of a case.
func (c *suspect) record(now time.Time, f Fingerprint) Record {
	r := Record{Request: f}
	for _, k := range c.crashes {
		r.Crashes = append(r.Crashes, CrashRecord{Start: k.start, Age: now.Sub(k.at), Ran: k.at.Sub(k.from)})
	}
	if !c.answeredAt.IsZero() {
		r.Answered, r.AnsweredAge = true, now.Sub(c.answeredAt)
	}
	return r
}

// take takes in what another host knows of the case, and reports whether any of it is news.
func (c *suspect) take(now time.Time, r Record) bool {
	news := false
	if r.Answered {
		news = c.answer(now.Add(-max(r.AnsweredAge, 0)))
	}
	for _, k := range r.Crashes {
		news = c.add(k.crash(now)) || news
	}
	return news
}
