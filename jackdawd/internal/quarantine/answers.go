package quarantine

import "time"

const (
	// maxRecentAnswers bounds the subjects in each half of recentAnswers.
	maxRecentAnswers = 8192
	// minAnswerAge is how long an answer is remembered at least, unless there are too many.
	minAnswerAge = time.Minute
)

// recentAnswers holds when upstreams last responded to requests, by subject. A host that hears of a
// crash only later can then tell that the subject was not the cause.
type recentAnswers struct {
	// current holds the latest answers, previous those before currentSince.
	current, previous map[Fingerprint]time.Time
	currentSince      time.Time
}

// put records an answer to a request of a subject.
func (a *recentAnswers) put(now time.Time, f Fingerprint) {
	if a.current == nil || len(a.current) >= maxRecentAnswers || now.Sub(a.currentSince) >= minAnswerAge {
		a.previous, a.current, a.currentSince = a.current, map[Fingerprint]time.Time{}, now
	}
	a.current[f] = now
}

// last returns when the last answer came, and false if none is remembered.
func (a *recentAnswers) last(f Fingerprint) (time.Time, bool) {
	if at, ok := a.current[f]; ok {
		return at, true
	}
	at, ok := a.previous[f]
	return at, ok
}
