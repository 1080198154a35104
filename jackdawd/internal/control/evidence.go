package control

import (
	"maps"
	"time"
)

// An Experience is how one request at another host or upstream went.
type Experience string

// The experiences.
const (
	// Good: it did what it should.
	Good Experience = "good"
	// Failed: it answered that it failed, which may be the request's own fault.
	Failed Experience = "failed"
	// Silent: it did not begin to answer, or paused, for longer than it should.
	Silent Experience = "silent"
	// Broken: it could not be reached, or broke off.
	Broken Experience = "broken"
)

const (
	// scoreToAvoid is the score from which evidence speaks against a host: three
	// failures in a row, or more with some successes in between.
	scoreToAvoid = 3
	// forgiveness is what one success takes off the score. With it the score of a host
	// that fails less than one request in three stays near zero, and that of one that
	// fails three in five reaches scoreToAvoid after some ten.
	forgiveness = 0.5
	// probation is the score of a host that was avoided: one success and one failure
	// avoid it again, each success in a row makes it less likely.
	probation = scoreToAvoid - forgiveness
	// successesToTrust is how many successes in a row end a host's history of failures.
	successesToTrust = 20
	firstAvoidance   = time.Second
	longestAvoidance = 30 * time.Second
	// trust is how far successes take the score below zero, so that a host which answers
	// here needs more failures for others' word to count.
	trust = 2
	// othersShare is what other hosts' scores add to this host's own, and mostOfOthers the
	// most that they do: without a failure of its own a host avoids nobody, or hosts whose
	// own network fails would take upstreams from all.
	othersShare  = 0.5
	mostOfOthers = probation
	// tellFrom is the score from which other hosts are told, tellFor for how long after the last failure.
	tellFrom = 1
	tellFor  = 3 * time.Second
	// maxAvoidedShare is the part of a group that evidence may take out: 1 in 3. Those that
	// do not answer at all come on top.
	maxAvoidedShare = 3
	// answersFor is how long an answer shows that this host's own network is sound: two
	// targets of the slowest classes.
	answersFor = 2 * time.Second
)

// weights is what each experience adds to the score. Requests that fail wherever they run
// are a tenth of some callers'; alone they never make up the score.
var weights = map[Experience]float64{Failed: 0.8, Silent: 1, Broken: 1}

// An Evidence is this host's own experience of which hosts answer.
// It is not safe for concurrent use.
type Evidence struct {
	records map[string]*record
	// others are the scores that other hosts have told, added up.
	others map[string]float64
	// answered is when each host answered last.
	answered map[string]time.Time
}

// record is what this host has seen of one other.
type record struct {
	score     float64
	successes int
	// unanswered is how many requests in a row had no answer.
	unanswered int
	// failedAt is when it failed last.
	failedAt  time.Time
	avoidance time.Duration
	until     time.Time
}

// NewEvidence returns an evidence without experience.
func NewEvidence() *Evidence {
	return &Evidence{records: map[string]*record{}, answered: map[string]time.Time{}}
}

// Observe takes in how a request at a host went, and reports whether what to avoid has changed.
func (e *Evidence) Observe(now time.Time, name string, x Experience) bool {
	if x == Good {
		e.answered[name] = now
	}
	r, known := e.records[name]
	if !known {
		if x == Good {
			return false
		}
		r = &record{}
		e.records[name] = r
	}
	if x == Good {
		r.score = max(r.score-forgiveness, -trust)
		r.successes++
		r.unanswered = 0
		// A flapping host succeeds now and then. Forgetting its failures at
		// once would send its chats there and back at every flap.
		if r.successes >= successesToTrust {
			delete(e.records, name)
		}
		return false
	}
	r.successes, r.failedAt = 0, now
	r.unanswered++
	if x == Failed {
		r.unanswered = 0
	}
	if now.Before(r.until) {
		// What was sent before it was avoided still fails, which says nothing new.
		return false
	}
	r.score += weights[x]
	if r.score+min(othersShare*e.others[name], mostOfOthers) < scoreToAvoid {
		return false
	}
	r.score = probation
	r.avoidance = min(max(2*r.avoidance, firstAvoidance), longestAvoidance)
	r.until = now.Add(r.avoidance)
	return true
}

// Scores returns what speaks against hosts here, for other hosts to be told.
func (e *Evidence) Scores(now time.Time) map[string]float64 {
	scores := map[string]float64{}
	for name, r := range e.records {
		if r.score >= tellFrom && now.Sub(r.failedAt) < tellFor {
			scores[name] = r.score
		}
	}
	return scores
}

// Told takes in the scores of all other hosts, added up; they replace those told before.
func (e *Evidence) Told(scores map[string]float64) { e.others = scores }

// Avoid returns the names of a group that evidence speaks against: those that do not
// answer at all, and of the others those that fail, unless they are more than a third.
func (e *Evidence) Avoid(now time.Time, group []string) map[string]bool {
	avoid, failing := map[string]bool{}, map[string]bool{}
	sound := false
	for _, name := range group {
		r, ok := e.records[name]
		switch {
		case ok && now.Before(r.until) && r.unanswered >= scoreToAvoid:
			avoid[name] = true
		case ok && now.Before(r.until):
			failing[name] = true
		}
		answered, ever := e.answered[name]
		sound = sound || (!avoid[name] && ever && now.Sub(answered) < answersFor)
	}
	// When this host's own network fails, everybody else seems down. Dropping them all
	// would leave no upstream; keeping them lets each try decide. As long as some answer
	// it is sound, and those that do not are down: with six engines in ten lost, six
	// requests in ten were sent to these until their entries lapsed.
	if !sound && len(avoid)*maxAvoidedShare > len(group) {
		avoid = map[string]bool{}
	}
	if len(failing)*maxAvoidedShare <= len(group)-len(avoid) {
		maps.Copy(avoid, failing)
	}
	return avoid
}

// Drop drops what is known of a host that has started again.
func (e *Evidence) Drop(name string) {
	delete(e.records, name)
	delete(e.others, name)
	delete(e.answered, name)
}

// Forget drops what is known of hosts that are no longer listed.
func (e *Evidence) Forget(listed map[string]bool) {
	for name := range e.records {
		if !listed[name] {
			delete(e.records, name)
		}
	}
	for name := range e.answered {
		if !listed[name] {
			delete(e.answered, name)
		}
	}
}
