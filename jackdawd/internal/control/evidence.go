package control

import "time"

const (
	// failuresToAvoid is how many failures in a row speak against a host.
	failuresToAvoid = 3
	// successesToTrust is how many successes in a row end a host's history of failures.
	successesToTrust = 20
	firstAvoidance   = time.Second
	longestAvoidance = 30 * time.Second
	// maxAvoidedShare is the part of a group that evidence may take out: 1 in 3.
	maxAvoidedShare = 3
)

// An Evidence is this host's own experience of which hosts answer.
// It is not safe for concurrent use.
type Evidence struct {
	records map[string]*experience
}

// experience is what this host has seen of one other.
type experience struct {
	failures  int
	successes int
	avoidance time.Duration
	until     time.Time
}

// NewEvidence returns an evidence without experience.
func NewEvidence() *Evidence {
	return &Evidence{records: map[string]*experience{}}
}

// Observe takes in that a host answered or did not, and reports whether what to avoid has changed.
func (e *Evidence) Observe(now time.Time, name string, ok bool) bool {
	r, known := e.records[name]
	if !known {
		if ok {
			return false
		}
		r = &experience{}
		e.records[name] = r
	}
	if ok {
		r.failures = 0
		r.successes++
		// A flapping host succeeds now and then. Forgetting its failures at
		// once would send its chats there and back at every flap.
		if r.successes >= successesToTrust {
			delete(e.records, name)
		}
		return false
	}
	r.successes = 0
	r.failures++
	if now.Before(r.until) || (r.failures < failuresToAvoid && r.avoidance == 0) {
		return false
	}
	r.avoidance = min(max(2*r.avoidance, firstAvoidance), longestAvoidance)
	r.until = now.Add(r.avoidance)
	return true
}

// Avoid returns the names of a group that speak for avoiding: none if they are
// more than a third of it.
func (e *Evidence) Avoid(now time.Time, group []string) map[string]bool {
	avoid := map[string]bool{}
	for _, name := range group {
		if r, ok := e.records[name]; ok && now.Before(r.until) {
			avoid[name] = true
		}
	}
	// When this host's own network fails, everybody else seems down. Dropping
	// them all would leave no upstream; keeping them lets each try decide.
	if len(avoid)*maxAvoidedShare > len(group) {
		return nil
	}
	return avoid
}

// Forget drops what is known of hosts that are no longer listed.
func (e *Evidence) Forget(listed map[string]bool) {
	for name := range e.records {
		if !listed[name] {
			delete(e.records, name)
		}
	}
}
